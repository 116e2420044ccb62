//! Probes: single calls with a blamed part that nearly all prompts have.
//!
//! While such a part is refused, hardly any call of its service is served, so nothing would show
//! that it was blamed wrongly. One instance therefore lets a few single calls through. Their number
//! is bounded, as each may crash an endpoint.

use std::collections::BTreeMap;
use std::time::Duration;

use super::suspicion::SuspectHash;

/// Time from the latest crash to the first probe. Long enough for endpoints to return.
const FIRST_PROBE_DELAY: Duration = Duration::from_secs(2);
/// Factor by which the delay grows with each probe.
const DELAY_FACTOR: u32 = 6;
/// Maximum number of probes of one part.
const MAX_PROBES: u32 = 3;
/// Maximum number of parts that are probed.
const MAX_PROBED_PARTS: usize = 256;

/// Probes of common parts that were blamed.
#[derive(Debug, Default)]
pub(super) struct PartProbes {
    /// Whether this instance makes the probes of the fleet.
    pub(super) is_prober: bool,
    /// Number of probes made, by the first part of the blamed group.
    made: BTreeMap<SuspectHash, u32>,
}

impl PartProbes {
    /// Whether a call with a blamed part, whose latest crash was found at `latest_at`, is let
    /// through as a probe. If so, records it.
    pub(super) fn begin(&mut self, now: Duration, part: SuspectHash, latest_at: Duration) -> bool {
        let made = self.made.get(&part).copied().unwrap_or_default();
        let has_room = self.made.len() < MAX_PROBED_PARTS || self.made.contains_key(&part);
        let delay = FIRST_PROBE_DELAY * DELAY_FACTOR.pow(made.min(MAX_PROBES));
        let is_due = self.is_prober && has_room && made < MAX_PROBES && now >= latest_at + delay;
        if is_due {
            self.made.insert(part, made + 1);
        }
        is_due
    }

    /// Forgets the probes of parts that are no longer blamed.
    pub(super) fn retain(&mut self, is_blamed: impl Fn(SuspectHash) -> bool) {
        self.made.retain(|part, _| is_blamed(*part));
    }
}
