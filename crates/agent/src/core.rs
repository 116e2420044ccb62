//! What the parts of the agent share.

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

use crate::control::ControlLinks;
use crate::endpoint::EndpointClients;
use crate::session::AttemptSession;

/// What the HTTP workers read of the agent.
pub struct AgentShared {
    /// The agent's file.
    pub settings: AgentSettings,
    /// Settings in force; the default before the first.
    pub fleet: ArcSwap<FleetSettings>,
    /// Metrics.
    pub metrics: AgentMetrics,
    /// Whether the endpoint takes new work.
    pub is_serving: AtomicBool,
    decisions: Mutex<DecisionRing>,
}

impl AgentShared {
    /// Shared state without settings.
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

/// State of one agent, on one thread.
pub struct AgentCore {
    /// What the HTTP workers read too.
    pub shared: Arc<AgentShared>,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Connections to the control instances.
    pub control: ControlLinks,
    /// The holder of the settings.
    pub holder: RefCell<SettingsHolder>,
    /// Attempts that this life has seen.
    pub attempts: RefCell<AttemptTable>,
    /// Answers on their way. Holds every attempt that is queued or running.
    pub sessions: RefCell<BTreeMap<AttemptKey, Rc<AttemptSession>>>,
    /// Admission.
    pub queue: RefCell<AdmitQueue>,
    /// Prefixes that the endpoint is believed to hold.
    pub warm_prefixes: RefCell<WarmSet>,
    /// Which requests run alone or are refused.
    pub gate: RefCell<SuspectGate>,
    /// Attempts that the queue started and the gate holds back.
    pub gated: RefCell<VecDeque<AttemptKey>>,
    /// Told when the queue has something new to wait for.
    pub queue_changed: Notify,
    /// Life of the endpoint's cache.
    pub cache_epoch: Cell<u64>,
    /// Clients of the endpoint's HTTP server.
    pub clients: EndpointClients,
    /// Ends of claimed attempts that control has not recorded yet.
    pub pending_claim_records: Cell<usize>,
    /// Crashes of the endpoint that control has not recorded yet.
    pub pending_crash_reports: Cell<usize>,
    /// Told when control recorded one.
    pub crash_recorded: Notify,
    /// Whether the endpoint answers its health check.
    pub is_endpoint_up: Cell<bool>,
    /// Whether claims of earlier lives were given up, which must precede the first admission.
    pub has_abandoned_claims: Cell<bool>,
    is_stopping: Cell<bool>,
    /// Names of the client accounts in force.
    account_names: RefCell<HashMap<AccountId, String>>,
}

impl AgentCore {
    /// A core without settings, for this life of the agent.
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
            clients: EndpointClients::new(),
            pending_claim_records: Cell::new(0),
            pending_crash_reports: Cell::new(0),
            crash_recorded: Notify::new(),
            is_endpoint_up: Cell::new(false),
            has_abandoned_claims: Cell::new(false),
            is_stopping: Cell::new(false),
            account_names: RefCell::default(),
        }
    }

    /// This life of the agent.
    pub fn incarnation(&self) -> IncarnationNumber {
        self.attempts.borrow().incarnation()
    }

    /// Load of the endpoint now.
    pub fn load(&self) -> EndpointLoad {
        self.queue.borrow().load()
    }

    /// The endpoint's branch of the settings.
    pub fn endpoint_settings(&self) -> Option<EndpointSettings> {
        self.shared
            .fleet
            .load()
            .endpoints
            .get(&self.shared.settings.endpoint)
            .cloned()
    }

    /// Name of a client account; empty when the settings know none.
    pub fn account_name(&self, account: AccountId) -> String {
        self.account_names
            .borrow()
            .get(&account)
            .cloned()
            .unwrap_or_default()
    }

    /// The session of an attempt.
    pub fn session(&self, key: AttemptKey) -> Option<Rc<AttemptSession>> {
        self.sessions.borrow().get(&key).cloned()
    }

    /// Takes no new work from now on.
    pub fn stop(self: &Rc<Self>) {
        self.is_stopping.set(true);
        self.refresh_state();
    }

    /// Whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.get()
    }

    /// Whether an answer has not reached its entry, or an end is not recorded.
    pub fn has_unfinished_work(&self) -> bool {
        let is_busy = !self.queue.borrow().is_idle() || self.pending_claim_records.get() > 0;
        is_busy
            || self
                .sessions
                .borrow()
                .values()
                .any(|session| !session.is_delivered())
    }

    /// Takes new settings over.
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

    /// What the endpoint does with new work.
    pub fn endpoint_state(&self) -> EndpointState {
        let endpoint = self.endpoint_settings();
        let is_leaving = self.is_stopping.get() || endpoint.is_some_and(|found| found.draining);
        let is_known = self.endpoint_settings().is_some() && self.has_abandoned_claims.get();
        if is_leaving {
            EndpointState::Draining
        } else if is_known && self.is_endpoint_up.get() {
            EndpointState::Serving
        } else {
            EndpointState::Down
        }
    }

    /// Brings the queue, the readiness and the control instances up to the endpoint's state.
    pub fn refresh_state(self: &Rc<Self>) {
        let state = self.endpoint_state();
        if self.queue.borrow().state() == state {
            return;
        }
        log::info!("agent: endpoint is {}.", state_name(state));
        self.shared
            .is_serving
            .store(state == EndpointState::Serving, Ordering::Relaxed);
        let actions = self.queue.borrow_mut().set_state(state, Instant::now());
        self.perform(actions);
        self.send_heartbeats();
    }

    /// What is fixed for this life of the agent and of the endpoint's cache.
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
            places: endpoint.places,
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
