//! State shared by the parts of the agent.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use admit::warm::DEFAULT_GENERATION_SIZE;
use admit::{AdmitQueue, AdmitSettings, WarmSet};
use arc_swap::ArcSwap;
use claim::{AttemptLimits, AttemptTable, SuspectGate};
use settings::FleetSettings;
use settings::fleet::EndpointSettings;
use settings::holder::SettingsHolder;
use settings::process::AgentSettings;
use tokio::sync::Notify;
use watch::{AgentMetrics, DecisionRing, RingSettings};
use wire::answer::{AttemptKey, EndpointLoad};
use wire::id::{AccountId, EndpointId, IncarnationNumber, name_id};
use wire::member::{EndpointRecord, EndpointState};

use crate::client::EndpointClient;
use crate::control::ControlLinks;
use crate::session::AttemptSession;

/// State shared with the worker threads of the HTTP server.
pub struct AgentShared {
    /// Settings from the agent's own file.
    pub settings: AgentSettings,
    /// Fleet settings in force; the default until the first version is in force.
    pub fleet: ArcSwap<FleetSettings>,
    /// Metrics.
    pub metrics: AgentMetrics,
    /// Whether the endpoint takes new work.
    pub is_serving: AtomicBool,
    decisions: Mutex<DecisionRing>,
}

impl AgentShared {
    /// Creates the state before any fleet settings are in force.
    pub fn new(settings: AgentSettings, metrics: AgentMetrics) -> Self {
        Self {
            settings,
            fleet: ArcSwap::default(),
            metrics,
            is_serving: AtomicBool::new(false),
            decisions: Mutex::new(DecisionRing::new(RingSettings::default())),
        }
    }

    /// The ring of decision records.
    pub fn decisions(&self) -> MutexGuard<'_, DecisionRing> {
        self.decisions
            .lock()
            .expect("no thread panics while it holds the ring")
    }
}

/// State of the agent that belongs to its main thread.
pub struct AgentCore {
    /// State shared with the HTTP workers.
    pub shared: Arc<AgentShared>,
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Connections to the control instances.
    pub control: ControlLinks,
    /// Versions and lease of the fleet settings.
    pub holder: RefCell<SettingsHolder>,
    /// State of the attempts that this incarnation of the agent has seen.
    pub attempts: RefCell<AttemptTable>,
    /// Sessions of all attempts that are queued or running, and of those that ended recently.
    pub sessions: RefCell<BTreeMap<AttemptKey, Rc<AttemptSession>>>,
    /// Admission queue.
    pub queue: RefCell<AdmitQueue>,
    /// Estimate of the prefixes in the endpoint's cache.
    pub warm_prefixes: RefCell<WarmSet>,
    /// Decides which requests run alone or are refused.
    pub gate: RefCell<SuspectGate>,
    /// Attempts that the queue has started and the suspect gate holds back.
    pub gated: RefCell<VecDeque<AttemptKey>>,
    /// Notified when the queue's next deadline may have changed.
    pub queue_changed: Notify,
    /// Epoch of the endpoint's cache; increases when the endpoint crashes.
    pub cache_epoch: Cell<u64>,
    /// Client of the endpoint's HTTP server.
    pub client: EndpointClient,
    /// Number of ended claimed attempts whose outcome control has not recorded yet.
    pub pending_claim_records: Cell<usize>,
    /// Number of crashes of the endpoint that control has not recorded yet.
    pub pending_crash_reports: Cell<usize>,
    /// Notified when control has recorded a crash.
    pub crash_recorded: Notify,
    /// Whether the endpoint passes its health checks and has not crashed since.
    pub is_endpoint_up: Cell<bool>,
    /// Whether the endpoint has said that it leaves.
    pub is_endpoint_leaving: Cell<bool>,
    /// Whether the endpoint has stated something unreadable.
    pub has_unreadable_statement: Cell<bool>,
    /// Whether the claims of earlier incarnations were abandoned. This must precede the first
    /// admission.
    pub has_abandoned_claims: Cell<bool>,
    is_stopping: Cell<bool>,
    /// Names of the client accounts in the fleet settings.
    account_names: RefCell<HashMap<AccountId, String>>,
}

impl AgentCore {
    /// Creates the state of a new incarnation, before any fleet settings are in force.
    pub fn new(
        shared: Arc<AgentShared>,
        incarnation: IncarnationNumber,
        control: ControlLinks,
    ) -> Self {
        let attempts = AttemptTable::new(incarnation, AttemptLimits::default());
        Self {
            endpoint: name_id(&shared.settings.endpoint),
            shared,
            control,
            holder: RefCell::default(),
            attempts: RefCell::new(attempts),
            sessions: RefCell::default(),
            queue: RefCell::new(AdmitQueue::new(AdmitSettings::default(), Instant::now())),
            warm_prefixes: RefCell::new(WarmSet::new(DEFAULT_GENERATION_SIZE)),
            gate: RefCell::default(),
            gated: RefCell::default(),
            queue_changed: Notify::new(),
            cache_epoch: Cell::new(incarnation),
            client: EndpointClient::new(),
            pending_claim_records: Cell::new(0),
            pending_crash_reports: Cell::new(0),
            crash_recorded: Notify::new(),
            is_endpoint_up: Cell::new(false),
            is_endpoint_leaving: Cell::new(false),
            has_unreadable_statement: Cell::new(false),
            has_abandoned_claims: Cell::new(false),
            is_stopping: Cell::new(false),
            account_names: RefCell::default(),
        }
    }

    /// Incarnation of this agent process.
    pub fn incarnation(&self) -> IncarnationNumber {
        self.attempts.borrow().incarnation()
    }

    /// Current load of the endpoint.
    pub fn load(&self) -> EndpointLoad {
        self.queue.borrow().load()
    }

    /// The endpoint's branch of the fleet settings, if there is one.
    pub fn endpoint_settings(&self) -> Option<EndpointSettings> {
        self.shared
            .fleet
            .load()
            .endpoints
            .get(&self.shared.settings.endpoint)
            .cloned()
    }

    /// Name of a client account; empty if the fleet settings do not contain it.
    pub fn account_name(&self, account: AccountId) -> String {
        self.account_names
            .borrow()
            .get(&account)
            .cloned()
            .unwrap_or_default()
    }

    /// The session of an attempt, if there is one.
    pub fn session(&self, key: AttemptKey) -> Option<Rc<AttemptSession>> {
        self.sessions.borrow().get(&key).cloned()
    }

    /// Stops the admission of new work, for a shutdown.
    pub fn stop(self: &Rc<Self>) {
        self.is_stopping.set(true);
        self.refresh_state();
    }

    /// Whether the process is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.get()
    }

    /// Whether an attempt is active, an answer is not delivered, or control has not recorded the
    /// end of a claimed attempt.
    pub fn has_unfinished_work(&self) -> bool {
        let is_busy = !self.queue.borrow().is_idle() || self.pending_claim_records.get() > 0;
        is_busy
            || self
                .sessions
                .borrow()
                .values()
                .any(|session| !session.is_delivered())
    }

    /// Puts a new version of the fleet settings in force.
    pub fn install_fleet(self: &Rc<Self>, fleet: Arc<FleetSettings>) {
        let names = fleet
            .accounts
            .keys()
            .map(|name| (name_id(name), name.clone()));
        *self.account_names.borrow_mut() = names.collect();
        self.shared
            .metrics
            .process
            .set_settings_version(fleet.version);
        self.shared.fleet.store(fleet);
        let settings = self.admit_settings();
        let actions = self
            .queue
            .borrow_mut()
            .update_settings(settings, Instant::now());
        self.perform(actions);
        self.refresh_state();
    }

    /// State of the endpoint. It serves if it has settings, the claims of earlier incarnations are
    /// abandoned, it passes its health checks, it is not to be drained and does not say that it
    /// leaves, and the agent is not stopping.
    pub fn endpoint_state(&self) -> EndpointState {
        let endpoint = self.endpoint_settings();
        let is_leaving = self.is_stopping.get()
            || self.is_endpoint_leaving.get()
            || endpoint.is_some_and(|found| found.draining);
        let is_known = self.endpoint_settings().is_some() && self.has_abandoned_claims.get();
        if is_leaving {
            EndpointState::Draining
        } else if is_known && self.is_endpoint_up.get() {
            EndpointState::Serving
        } else {
            EndpointState::Down
        }
    }

    /// If the endpoint's state has changed, updates the queue and the readiness and sends
    /// heartbeats.
    pub fn refresh_state(self: &Rc<Self>) {
        let state = self.endpoint_state();
        if self.queue.borrow().state() == state {
            return;
        }
        log::info!("agent: endpoint state changed to {}.", state_name(state));
        self.shared
            .is_serving
            .store(state == EndpointState::Serving, Ordering::Relaxed);
        let actions = self.queue.borrow_mut().set_state(state, Instant::now());
        self.perform(actions);
        self.send_heartbeats();
    }

    /// The endpoint's record for heartbeats. It changes only with the settings and the cache epoch.
    pub fn endpoint_record(&self) -> EndpointRecord {
        let endpoint = self.endpoint_settings().unwrap_or_default();
        let settings = &self.shared.settings;
        EndpointRecord {
            endpoint: self.endpoint,
            name: settings.endpoint.clone(),
            incarnation: self.incarnation(),
            cache_epoch: self.cache_epoch.get(),
            service: name_id(&endpoint.service),
            domain: name_id(&settings.instance.failure_domain),
            domain_name: settings.instance.failure_domain.clone(),
            address: settings.link,
            weight: endpoint.weight,
        }
    }

    fn admit_settings(&self) -> AdmitSettings {
        let fleet = self.shared.fleet.load();
        let endpoint = self.endpoint_settings().unwrap_or_default();
        let service = fleet.services.get(&endpoint.service);
        let policy = service.map_or(&fleet.policy, |service| &service.policy);
        AdmitSettings {
            slots: endpoint.places,
            weight: endpoint.weight,
            limits: policy.load_limits(),
            queue_limit: policy.queue_limit,
            ..AdmitSettings::default()
        }
    }
}

fn state_name(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Serving => "serving",
        EndpointState::Draining => "draining",
        EndpointState::Down => "down",
    }
}
