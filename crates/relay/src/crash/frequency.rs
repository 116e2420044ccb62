//! How many of the latest calls have a part in their prompts.
//!
//! A part that nearly all prompts have is lost in nearly all crashes, and does not tell which
//! requests cause them. To refuse all requests that have it would end the service.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use wire::id::ServiceId;

use super::suspicion::SuspectHash;

/// Number of the latest calls of a service that are kept.
const KEPT_CALLS: usize = 64;
/// Number of calls below which they say nothing.
const MIN_CALLS: usize = 8;
/// Share of the calls from which on a part is in nearly all prompts.
const COMMON_SHARE: f64 = 0.9;
/// Maximum number of services whose calls are kept.
const MAX_SERVICES: usize = 64;

/// The prompts of the latest calls, by service.
#[derive(Debug, Default)]
pub(super) struct PartFrequency {
    calls: BTreeMap<ServiceId, VecDeque<Rc<[SuspectHash]>>>,
}

impl PartFrequency {
    /// Records a call of a service, whether it is refused or not.
    pub(super) fn note(&mut self, service: ServiceId, parts: &Rc<[SuspectHash]>) {
        let is_full = self.calls.len() >= MAX_SERVICES;
        if is_full && !self.calls.contains_key(&service) {
            return;
        }
        let calls = self.calls.entry(service).or_default();
        if calls.len() >= KEPT_CALLS {
            calls.pop_front();
        }
        calls.push_back(Rc::clone(parts));
    }

    /// Whether nearly all prompts of a service have a part.
    pub(super) fn is_common(&self, part: SuspectHash) -> bool {
        let mut services = self.calls.values();
        services.any(|calls| {
            let having = calls.iter().filter(|parts| parts.contains(&part)).count();
            calls.len() >= MIN_CALLS && having as f64 >= COMMON_SHARE * calls.len() as f64
        })
    }
}
