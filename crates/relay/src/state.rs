//! What the calls of one instance share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::ServiceConfig;
use catalog::CatalogIndex;
use tokio::sync::Notify;
use watch::GatewayMetrics;
use wire::gateway::ListedEndpoint;
use wire::id::{DomainId, EndpointId, InstanceId, ServiceId};

use crate::admission::{AdmissionControl, AdmissionSettings};
use crate::budget::{BudgetSettings, RetryBudget};
use crate::call::CallDialect;
use crate::crash::CrashTracker;
use crate::health::{CallOutcome, HealthChange};
use crate::placement::PlacementSettings;
use crate::pool::ConnectionPool;
use crate::row::estimated_holding_time;
use crate::table::EndpointTable;

/// Settings of the path of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct RelaySettings {
    /// This instance.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Choice of endpoints.
    pub placement: PlacementSettings,
    /// Bound on what waits for places.
    pub admission: AdmissionSettings,
    /// Budget of repeats.
    pub budget: BudgetSettings,
    /// Longest wait for a connection to an endpoint.
    pub connect_limit: Duration,
    /// Largest answer that is kept whole before it is sent on, in bytes.
    pub whole_answer_bytes: usize,
    /// Connections of callers at most.
    pub connections: usize,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            instance: 0,
            domain: 0,
            placement: PlacementSettings::default(),
            admission: AdmissionSettings::default(),
            budget: BudgetSettings::default(),
            connect_limit: Duration::from_millis(350),
            whole_answer_bytes: 4 * 1024 * 1024,
            connections: 2500,
        }
    }
}

/// Whether an instance takes calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServingPhase {
    /// It takes calls.
    Serving,
    /// It is about to stop: it takes calls that arrive, and asks callers to go elsewhere.
    Draining,
    /// It closes connections as soon as they are idle.
    Closing,
}

/// State that the calls of one instance share, on one thread.
pub struct RelayState {
    /// The settings.
    pub settings: RelaySettings,
    /// How the platform writes calls and answers.
    pub dialect: Rc<dyn CallDialect>,
    /// The catalog in force; none before the first.
    catalog: RefCell<Option<Rc<CatalogIndex>>>,
    /// What is measured.
    pub metrics: GatewayMetrics,
    /// The endpoints.
    pub table: RefCell<EndpointTable>,
    /// When the latest reading of the list came.
    listed_at: Cell<Option<Duration>>,
    /// Which calls are let in.
    pub admission: RefCell<AdmissionControl>,
    /// The budget of repeats.
    pub budget: RefCell<RetryBudget>,
    /// Calls that crash endpoints.
    pub crashes: RefCell<CrashTracker>,
    /// Idle connections to endpoints.
    pub pool: ConnectionPool,
    /// Settings of the HTTP codec, shared by all connections: each new one starts a task that keeps
    /// the date.
    pub http: ServiceConfig,
    phase: Cell<ServingPhase>,
    /// When the process ends at the latest, once it drains.
    exit_deadline: Cell<Option<Instant>>,
    phase_changed: Notify,
    set_up: Notify,
    /// Told when other instances should know of a new load at once.
    pub announcement_due: Notify,
    /// Calls that are being served.
    pub active_calls: Cell<usize>,
    /// Open connections of callers.
    pub open_connections: Cell<usize>,
    started: Instant,
}

impl RelayState {
    /// A desk without catalog and endpoints.
    pub fn new(
        settings: RelaySettings,
        dialect: Rc<dyn CallDialect>,
        metrics: GatewayMetrics,
    ) -> Self {
        Self {
            metrics,
            budget: RefCell::new(RetryBudget::new(settings.budget.clone())),
            admission: RefCell::new(AdmissionControl::new(settings.admission.clone())),
            settings,
            dialect,
            catalog: RefCell::default(),
            table: RefCell::default(),
            listed_at: Cell::new(None),
            crashes: RefCell::default(),
            pool: ConnectionPool::default(),
            http: ServiceConfig::default(),
            phase: Cell::new(ServingPhase::Serving),
            exit_deadline: Cell::new(None),
            phase_changed: Notify::new(),
            set_up: Notify::new(),
            announcement_due: Notify::new(),
            active_calls: Cell::new(0),
            open_connections: Cell::new(0),
            started: Instant::now(),
        }
    }

    /// Time since the desk was set up.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// The catalog in force.
    pub fn catalog(&self) -> Option<Rc<CatalogIndex>> {
        self.catalog.borrow().clone()
    }

    /// Puts a catalog in force. Calls that are under way keep theirs.
    pub fn set_catalog(&self, catalog: CatalogIndex) {
        *self.catalog.borrow_mut() = Some(Rc::new(catalog));
        self.set_up.notify_waiters();
    }

    /// Takes over a reading of the list.
    pub fn set_endpoints(&self, listed: &[ListedEndpoint]) {
        let change = self.table.borrow_mut().replace(listed);
        self.listed_at.set(Some(self.now()));
        self.metrics.set_endpoints(listed.len());
        if !change.is_empty() {
            log::info!(
                joined = change.joined.join(",").as_str(),
                left = change.left.join(",").as_str(),
                draining = change.draining.join(",").as_str(),
                endpoints = listed.len();
                "relay: the list changed"
            );
        }
        self.set_up.notify_waiters();
    }

    /// The latest reading of the list is the same as the one before.
    pub fn confirm_list(&self) {
        self.listed_at.set(Some(self.now()));
    }

    /// Age of the latest reading of the list.
    pub fn list_age(&self) -> Option<Duration> {
        let at = self.listed_at.get()?;
        Some(self.now().saturating_sub(at))
    }

    /// Whether there is a catalog, and an endpoint.
    pub fn is_set_up(&self) -> bool {
        self.catalog.borrow().is_some() && !self.table.borrow().is_empty()
    }

    /// Waits until there is a catalog and an endpoint. An instance that has just started has them
    /// within a moment, and a call that waits for them needs no second try.
    pub async fn until_set_up(&self) {
        loop {
            let changed = self.set_up.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.is_set_up() {
                return;
            }
            changed.await;
        }
    }

    /// The phase.
    pub fn phase(&self) -> ServingPhase {
        self.phase.get()
    }

    /// Whether answers ask their callers to open the next connection elsewhere.
    pub fn is_stopping(&self) -> bool {
        self.phase() > ServingPhase::Serving
    }

    /// Enters a later phase.
    pub fn enter_phase(&self, phase: ServingPhase) {
        self.phase.set(self.phase.get().max(phase));
        self.phase_changed.notify_waiters();
    }

    /// Sets when the process ends at the latest.
    pub fn set_exit_deadline(&self, at: Instant) {
        self.exit_deadline.set(Some(at));
    }

    /// Whether a call that may take `time` is taken. Once idle connections are closed, only calls
    /// that end before the process does are.
    pub fn accepts_call(&self, time: Duration) -> bool {
        let exit_deadline = self.exit_deadline.get();
        let fits = exit_deadline.is_none_or(|at| Instant::now() + time <= at);
        self.phase() < ServingPhase::Closing || fits
    }

    /// Waits until connections are to be closed when idle.
    pub async fn until_closing(&self) {
        loop {
            let changed = self.phase_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.phase() == ServingPhase::Closing {
                return;
            }
            changed.await;
        }
    }

    /// Whether nothing comes from an endpoint that runs requests of this instance.
    pub fn is_silent(&self, endpoint: EndpointId) -> bool {
        let table = self.table.borrow();
        let row = table.row(endpoint);
        row.is_some_and(|row| row.is_silent(self.now()))
    }

    /// Notes what a call told about an endpoint, and why.
    pub fn note_health(&self, endpoint: EndpointId, outcome: CallOutcome, reason: &str) {
        let now = self.now();
        let mut table = self.table.borrow_mut();
        let change = table.note(now, endpoint, outcome);
        let name = table.row(endpoint).map_or("-", |row| row.name.as_str());
        match change {
            HealthChange::None => {}
            HealthChange::LeftOut { breaks, pause } => log::warn!(
                endpoint = name, breaks = breaks, pause_ms = pause.as_millis() as u64, reason = reason;
                "relay: an endpoint is left out"
            ),
            HealthChange::Recovered => log::info!(endpoint = name; "relay: an endpoint is back"),
        }
    }

    /// A call arrived for a service.
    pub fn note_request(&self, service: ServiceId) {
        let mut budget = self.budget.borrow_mut();
        budget.note_request(self.now(), service);
    }

    /// Marks a call at an endpoint for as long as the guard lives. `account` is the name of its
    /// client account, empty for none.
    pub fn occupy(
        self: &Rc<Self>,
        service: ServiceId,
        endpoint: EndpointId,
        account: &str,
    ) -> OccupiedSlot {
        let began = self.now();
        let mut table = self.table.borrow_mut();
        let holding_time = table.holding_time(service, endpoint).unwrap_or_default();
        let wait = table.expected_wait(began, endpoint, holding_time);
        table.start(began, endpoint);
        if table.is_announcement_due(endpoint) {
            self.announcement_due.notify_one();
        }
        let mut admission = self.admission.borrow_mut();
        admission.accounts.start(service, account);
        OccupiedSlot {
            state: Rc::clone(self),
            service,
            endpoint,
            account: account.to_owned(),
            began,
            wait,
        }
    }
}

/// A call that an endpoint runs.
pub struct OccupiedSlot {
    state: Rc<RelayState>,
    service: ServiceId,
    endpoint: EndpointId,
    account: String,
    /// When the call was sent, by the clock of the desk.
    began: Duration,
    /// How long it was expected to wait for its place.
    pub wait: Duration,
}

impl OccupiedSlot {
    /// The call has ended well: tells how long it occupied its place.
    pub fn complete(self) {
        let time = self.state.now().saturating_sub(self.began);
        let mut table = self.state.table.borrow_mut();
        table.note_holding_time(self.endpoint, estimated_holding_time(time, self.wait));
    }
}

impl Drop for OccupiedSlot {
    fn drop(&mut self) {
        let now = self.state.now();
        self.state.table.borrow_mut().finish(now, self.endpoint);
        let mut admission = self.state.admission.borrow_mut();
        admission.accounts.finish(self.service, &self.account);
    }
}
