//! Plan for moving cached prefixes off an endpoint that leaves.
//!
//! Within a byte budget, the plan covers the prefixes whose loss would cost most. Each is moved to
//! the endpoint that its chats prefer once the leaving endpoint is gone. A step is returned only
//! while no request is queued at the leaving endpoint.

use std::collections::VecDeque;

use wire::answer::EndpointLoad;
use wire::id::{EndpointId, ModelId, PrefixHash, ServiceId};

use crate::preference::AffinityKey;
use crate::table::RouteTable;
use wire::member::EndpointState;

/// A prefix that the leaving endpoint holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExportCandidate {
    /// The prefix.
    pub prefix: PrefixHash,
    /// Affinity key of the requests that use it.
    pub affinity: AffinityKey,
    /// First prefix hash of the requests that use it.
    pub shared: Option<PrefixHash>,
    /// Model that computed it.
    pub model: Option<ModelId>,
    /// Tokens that an endpoint without the prefix would have to compute.
    pub tokens: u32,
    /// Size of its cached state in bytes.
    pub bytes: u64,
    /// Expected number of uses before a cache evicts it.
    pub expected_uses: f64,
}

impl ExportCandidate {
    /// Expected number of tokens that need not be recomputed, per byte moved.
    fn value(&self) -> f64 {
        f64::from(self.tokens) * self.expected_uses / self.bytes.max(1) as f64
    }
}

/// One prefix to move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExportStep {
    /// The prefix.
    pub prefix: PrefixHash,
    /// The endpoint that receives it.
    pub target: EndpointId,
    /// Size of the cached state to move.
    pub bytes: u64,
}

/// The prefixes to move, most valuable first.
#[derive(Clone, Debug, Default)]
pub struct ExportPlan {
    /// Ordered by value per byte; their total size is at most the budget.
    steps: VecDeque<ExportStep>,
}

impl ExportPlan {
    /// Removes and returns the next step. Returns `None` while requests are queued at the leaving
    /// endpoint, whose load is `load`.
    pub fn next_step(&mut self, load: EndpointLoad) -> Option<ExportStep> {
        if load.queued > 0 {
            return None;
        }
        self.steps.pop_front()
    }

    /// The remaining steps, next one first.
    pub fn steps(&self) -> impl Iterator<Item = &ExportStep> {
        self.steps.iter()
    }
}

impl RouteTable {
    /// Plans the export of `candidates` from `leaving`, limited to `budget` bytes.
    pub fn plan_export(
        &self,
        service: ServiceId,
        leaving: EndpointId,
        candidates: &[ExportCandidate],
        budget: u64,
    ) -> ExportPlan {
        let mut ordered: Vec<&ExportCandidate> = candidates.iter().collect();
        ordered.sort_by(|left, right| {
            let by_value = right.value().total_cmp(&left.value());
            by_value.then(left.prefix.cmp(&right.prefix))
        });
        let mut remaining = budget;
        let mut steps = VecDeque::new();
        for candidate in ordered {
            if candidate.bytes > remaining {
                continue;
            }
            let Some(target) = self.successor(service, leaving, candidate) else {
                continue;
            };
            remaining -= candidate.bytes;
            steps.push_back(ExportStep {
                prefix: candidate.prefix,
                target,
                bytes: candidate.bytes,
            });
        }
        ExportPlan { steps }
    }

    /// The endpoint that the chats of `candidate` prefer once `leaving` is gone.
    fn successor(
        &self,
        service: ServiceId,
        leaving: EndpointId,
        candidate: &ExportCandidate,
    ) -> Option<EndpointId> {
        let service = self.services.get(&service)?;
        let is_successor = |index: &u32| {
            let row = &self.rows[*index as usize];
            let is_serving = row.state == EndpointState::Serving && row.endpoint != leaving;
            is_serving && self.carries(row.endpoint, candidate.model)
        };
        let pool: Vec<u32> = service.rows.iter().copied().filter(is_successor).collect();
        let order = self.preference_order(&pool, candidate.affinity, candidate.shared);
        let row = order.first()?;
        Some(self.rows[*row as usize].endpoint)
    }
}
