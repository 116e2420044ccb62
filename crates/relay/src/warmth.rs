//! Endpoints that recently processed each prompt part.

use std::collections::HashMap;

use wire::id::EndpointId;

use crate::call::PromptPart;

/// Number of parts per generation. The generation before the previous one is discarded.
const MAX_PARTS: usize = 4096;

/// The endpoint that last processed each prompt part in a call of this instance.
#[derive(Debug, Default)]
pub struct WarmParts {
    recent: HashMap<u64, EndpointId>,
    /// Parts of the previous generation, which `recent` replaced.
    earlier: HashMap<u64, EndpointId>,
}

impl WarmParts {
    /// Records that an endpoint has processed a prompt that begins with `parts`.
    pub fn note(&mut self, parts: &[PromptPart], endpoint: EndpointId) {
        for part in parts {
            self.recent.insert(part.id, endpoint);
        }
        if self.recent.len() >= MAX_PARTS {
            self.earlier = std::mem::take(&mut self.recent);
        }
    }

    /// The endpoint that last processed a part.
    pub fn holder(&self, part: u64) -> Option<EndpointId> {
        let recent = self.recent.get(&part);
        recent.or_else(|| self.earlier.get(&part)).copied()
    }
}
