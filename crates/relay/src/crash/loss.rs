//! Runs that ended without an answer and whose cause is pending.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use wire::id::{EndpointId, FingerprintHash};

use super::suspicion::SuspectHash;

/// Time within which a lost run is attributed to a crash that is found later.
const PENDING_TIME: Duration = Duration::from_secs(3);
/// Maximum number of lost runs whose cause is pending.
const MAX_PENDING_RUNS: usize = 1024;

/// A run of a request at an endpoint that ended without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostRun {
    /// The request.
    pub fingerprint: FingerprintHash,
    /// Parts of its prompt that other requests may share.
    pub parts: Rc<[SuspectHash]>,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When the endpoint last sent bytes for it, or else when the request was sent.
    pub alive_at: Duration,
}

/// Lost runs of this instance whose cause is pending.
#[derive(Debug, Default)]
pub(super) struct PendingRuns {
    /// The runs with the time of the loss, oldest first.
    runs: VecDeque<(LostRun, Duration)>,
}

impl PendingRuns {
    /// Adds a run that was lost at `now`. Returns `false` if there is no room.
    pub(super) fn push(&mut self, now: Duration, run: LostRun) -> bool {
        let has_room = self.runs.len() < MAX_PENDING_RUNS;
        if has_room {
            self.runs.push_back((run, now));
        }
        has_room
    }

    /// Removes the runs for which `is_taken` holds, and returns them.
    pub(super) fn take(&mut self, is_taken: impl Fn(&LostRun) -> bool) -> Vec<LostRun> {
        self.take_by(|run, _| is_taken(run))
    }

    /// Removes the runs at an endpoint that were lost up to `until`, and returns them.
    pub(super) fn take_lost_until(
        &mut self,
        endpoint: EndpointId,
        until: Duration,
    ) -> Vec<LostRun> {
        self.take_by(|run, lost_at| run.endpoint == endpoint && lost_at <= until)
    }

    /// Removes the runs that are no longer attributed to a crash, and returns them.
    pub(super) fn take_expired(&mut self, now: Duration) -> Vec<LostRun> {
        self.take_by(|_, lost_at| now >= lost_at + PENDING_TIME)
    }

    /// Number of pending runs of a request.
    pub(super) fn count_of(&self, fingerprint: FingerprintHash) -> usize {
        let runs = self.runs.iter();
        let same = runs.filter(|(run, _)| run.fingerprint == fingerprint);
        same.count()
    }

    /// Whether a run at an endpoint is pending.
    pub(super) fn is_at(&self, endpoint: EndpointId) -> bool {
        self.runs.iter().any(|(run, _)| run.endpoint == endpoint)
    }

    fn take_by(&mut self, is_taken: impl Fn(&LostRun, Duration) -> bool) -> Vec<LostRun> {
        let mut taken = Vec::new();
        self.runs.retain(|(run, lost_at)| {
            let is_kept = !is_taken(run, *lost_at);
            if !is_kept {
                taken.push(run.clone());
            }
            is_kept
        });
        taken
    }
}
