//! The endpoint table and the retry budget, behind one lock.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use fault::FaultKind;
use rand::SeedableRng;
use rand::rngs::StdRng;
use route::{RetryBudget, RetrySettings, RouteDecision, RouteRequest, RouteSettings, RouteTable};
use settings::FleetSettings;
use wire::answer::EndpointLoad;
use wire::id::{EndpointId, name_id};
use wire::member::MemberDigest;

/// The state from which endpoints are selected.
pub struct SelectorState {
    /// The known endpoints.
    pub table: RouteTable,
    /// Budget of retries and redirects.
    pub budget: RetryBudget,
    rng: StdRng,
}

impl SelectorState {
    /// Chooses an endpoint and counts the request as pending there.
    pub fn choose(&mut self, request: &RouteRequest<'_>) -> RouteDecision {
        let decision = self.table.choose(request, Instant::now(), &mut self.rng);
        if let Some(endpoint) = decision.endpoint {
            self.table.add_pending(endpoint);
        }
        decision
    }

    /// Whether a call may start another round after a fault of `kind`. A refusal costs its agent
    /// almost nothing and is limited by hops, rounds and back-off; any other fault takes a retry
    /// from the budget.
    pub fn try_next_round(&mut self, kind: FaultKind) -> bool {
        match kind {
            FaultKind::Overloaded | FaultKind::Draining => true,
            _ => self.budget.try_retry(),
        }
    }

    /// Delay before retry number `retry`: the delay for which the refusal asked, if any, plus the
    /// back-off delay.
    pub fn backoff_after(&mut self, retry: u32, retry_after: Option<Duration>) -> Duration {
        self.budget.backoff_after(retry, retry_after, &mut self.rng)
    }
}

/// Selects endpoints for the threads of the entry.
pub struct EndpointSelector {
    state: Mutex<SelectorState>,
}

impl EndpointSelector {
    /// A selector without endpoints, for an entry in the failure domain `domain`.
    pub fn new(domain: &str) -> Self {
        let settings = RouteSettings {
            domain: name_id(domain),
            ..RouteSettings::default()
        };
        let state = SelectorState {
            table: RouteTable::new(settings),
            budget: RetryBudget::new(RetrySettings::default()),
            rng: StdRng::from_rng(&mut rand::rng()),
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// The state, locked.
    pub fn lock(&self) -> MutexGuard<'_, SelectorState> {
        self.state
            .lock()
            .expect("no thread panics while it holds the selector")
    }

    /// Applies a member digest from control. `is_first` marks the first digest of a connection,
    /// which lists all endpoints.
    pub fn observe_digest(&self, digest: &MemberDigest, is_first: bool) {
        let now = Instant::now();
        let mut state = self.lock();
        if is_first {
            state.table.replace_with(digest, now);
        } else {
            state.table.observe_digest(digest, now);
        }
    }

    /// Applies the load reported at the end of an answer.
    pub fn observe_load(&self, endpoint: EndpointId, load: EndpointLoad) {
        self.lock()
            .table
            .observe_load(endpoint, load, Instant::now());
    }

    /// Applies the placement of models from new settings.
    pub fn place_models(&self, fleet: &FleetSettings) {
        let mut state = self.lock();
        let models = fleet.services.values().flat_map(|service| &service.models);
        for (name, model) in models {
            let endpoints = model.endpoints.iter().map(|name| name_id(name)).collect();
            state.table.place_model(name_id(name), endpoints);
        }
    }
}
