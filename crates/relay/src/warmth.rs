//! Where the parts of prompts were read lately.

use std::collections::HashMap;

use wire::id::EndpointId;

use crate::call::PromptPart;

/// Parts after which older ones begin to be forgotten.
const MAX_PARTS: usize = 4096;

/// The endpoint that read each part last, as far as this instance sent it there.
#[derive(Debug, Default)]
pub struct WarmParts {
    recent: HashMap<u64, EndpointId>,
    /// Parts that were not read since `recent` was begun.
    earlier: HashMap<u64, EndpointId>,
}

impl WarmParts {
    /// An endpoint has read a prompt that begins with these parts.
    pub fn note(&mut self, parts: &[PromptPart], endpoint: EndpointId) {
        for part in parts {
            self.recent.insert(part.id, endpoint);
        }
        if self.recent.len() >= MAX_PARTS {
            self.earlier = std::mem::take(&mut self.recent);
        }
    }

    /// The endpoint that read a part last.
    pub fn holder(&self, part: u64) -> Option<EndpointId> {
        let recent = self.recent.get(&part);
        recent.or_else(|| self.earlier.get(&part)).copied()
    }
}
