//! State that all calls of one instance share.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::future::pending;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::ServiceConfig;
use catalog::CatalogIndex;
use clock::BootClock;
use tokio::sync::Notify;
use tokio::time::sleep_until;
use watch::GatewayMetrics;
use wire::gateway::{AccountNotice, ListedEndpoint};
use wire::id::{DomainId, EndpointId, InstanceId, ServiceId};
use wire::process::ProcessQuery;

use crate::admission::{AdmissionControl, AdmissionSettings};
use crate::budget::{BudgetSettings, RetryBudget};
use crate::call::CallDialect;
use crate::caller_limits::CallerLimits;
use crate::cold_sharing::cold_rules;
use crate::crash::CrashTracker;
use crate::fleet_contact::FleetContact;
use crate::fleet_watch::{FleetWatch, WatchSettings};
use crate::health::{CallOutcome, HealthChange};
use crate::limit_sharing::PendingAsks;
use crate::origin::{OriginSettings, OriginTable};
use crate::origin_coverage::OriginCoverage;
use crate::origin_lookup::OriginLookups;
use crate::peers::InstancePeers;
use crate::placement::PlacementSettings;
use crate::process_keeper::resumable_services;
use crate::rate_keeper::RateKeeper;
use crate::region::DomainRegions;
use crate::report_schedule::ReportSchedule;
use crate::table::EndpointTable;
use crate::unconfirmed_origins::{ConfirmationSettings, UnconfirmedOrigins};
use crate::unsettled_origins::UnsettledOrigins;
use crate::version_certainty::VersionCertainty;
use exchange::pool::ConnectionPool;
use quota::budget::ByteBudget;

/// Settings of the relay.
#[derive(Clone, Debug, PartialEq)]
pub struct RelaySettings {
    /// Id of this instance.
    pub instance: InstanceId,
    /// Failure domain of this instance.
    pub domain: DomainId,
    /// Settings of placement.
    pub placement: PlacementSettings,
    /// Settings of admission control.
    pub admission: AdmissionSettings,
    /// Settings of the retry budget.
    pub budget: BudgetSettings,
    /// Settings of the table of origins of streams.
    pub origins: OriginSettings,
    /// Settings of the confirmations of origins.
    pub confirmations: ConfirmationSettings,
    /// Whether the whole fleet starts for the first time.
    pub is_first_start: bool,
    /// Longest time by which the list of endpoints is behind when a reading of it begins.
    pub list_lag: Duration,
    /// Settings of the watch for gaps in what this instance hears.
    pub watch: WatchSettings,
    /// Maximum time for connecting to an endpoint.
    pub connect_limit: Duration,
    /// Maximum size of an answer that is buffered whole before it is forwarded, in bytes.
    pub whole_answer_bytes: usize,
    /// Limits on callers.
    pub callers: CallerLimits,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            instance: 0,
            domain: 0,
            placement: PlacementSettings::default(),
            admission: AdmissionSettings::default(),
            budget: BudgetSettings::default(),
            origins: OriginSettings::default(),
            confirmations: ConfirmationSettings::default(),
            is_first_start: false,
            list_lag: Duration::ZERO,
            watch: WatchSettings::default(),
            connect_limit: Duration::from_millis(350),
            whole_answer_bytes: 4 * 1024 * 1024,
            callers: CallerLimits::default(),
        }
    }
}

/// Phase of serving and shutdown, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServingPhase {
    /// Calls are accepted.
    Serving,
    /// The process is about to stop. Calls that end before are still accepted, and answers ask callers
    /// to reconnect elsewhere.
    Draining,
    /// Connections are closed as soon as they are idle.
    Closing,
    /// No connection is accepted. The process ends when the last one is closed.
    Closed,
}

/// State that all calls of one instance share. Calls run on a single thread.
pub struct RelayState {
    /// Settings of the relay.
    pub settings: RelaySettings,
    /// Format of calls and answers on the platform.
    pub dialect: Rc<dyn CallDialect>,
    /// The active catalog; `None` before the first one arrived.
    catalog: RefCell<Option<Rc<CatalogIndex>>>,
    /// Services of the active catalog at which streams begin that callers may resume.
    pub(crate) resumable_services: RefCell<BTreeSet<ServiceId>>,
    /// Regions of the failure domains.
    pub regions: RefCell<DomainRegions>,
    /// Metrics of the instance.
    pub metrics: GatewayMetrics,
    /// Listed endpoints with their load and health.
    pub table: RefCell<EndpointTable>,
    /// Time at which the list of endpoints was last received or confirmed.
    listed_at: Cell<Option<Duration>>,
    /// Admission control.
    pub admission: RefCell<AdmissionControl>,
    /// Retry budget.
    pub budget: RefCell<RetryBudget>,
    /// Requests that are suspected of crashing endpoints.
    pub crashes: RefCell<CrashTracker>,
    /// Origins of the streams that callers may resume.
    pub origins: RefCell<OriginTable>,
    /// Whether these records are complete.
    pub origin_coverage: RefCell<OriginCoverage>,
    /// Notices of origins that their keepers have not confirmed.
    pub unconfirmed: RefCell<UnconfirmedOrigins>,
    /// Notified when such a notice is due earlier than all before.
    pub(crate) repeat_due: Notify,
    /// Streams whose origin is not settled.
    pub unsettled: RefCell<UnsettledOrigins>,
    /// Streams whose origin is being looked up at other instances.
    pub origin_lookups: RefCell<OriginLookups>,
    /// Notified when another instance has sent a message about origins.
    pub origin_changed: Notify,
    /// Notified when a record of an origin has changed.
    pub origin_store_due: Notify,
    /// Whether the records that the store held at the start of this instance were read, if it has a
    /// store.
    pub(crate) has_stored_origins: Cell<bool>,
    /// The other instances; unset for an instance that has none.
    pub peers: OnceCell<Rc<dyn InstancePeers>>,
    /// Hands out the rates which endpoints name, while this instance keeps them.
    pub rate_keeper: RefCell<RateKeeper>,
    /// Requests for tokens to the instance that keeps the rates.
    pub pending_asks: RefCell<PendingAsks>,
    /// Since when this instance may not know of restarts of endpoints; `None` if it does.
    pub(crate) uninformed_since: Cell<Option<Duration>>,
    /// When the first reading of the list that began since the start of this instance arrived.
    pub(crate) first_list_at: Cell<Option<Duration>>,
    /// Whether this instance has followed the fleet without a gap.
    pub(crate) watch: RefCell<FleetWatch>,
    /// When this instance last asked all others for what it had missed.
    pub(crate) caught_up_at: Cell<Option<Duration>>,
    /// Whether this instance hears enough of the others.
    pub(crate) fleet_contact: RefCell<FleetContact>,
    /// Idle connections to endpoints.
    pub pool: ConnectionPool,
    /// The byte budget of the process, which the connections of all its listeners share.
    pub bytes: ByteBudget,
    /// Settings of the HTTP codec. All connections share one value, as each new [`ServiceConfig`]
    /// starts a task that updates its cached date.
    pub http: ServiceConfig,
    phase: Cell<ServingPhase>,
    /// Time at which the process exits at the latest, but for the answers that tell callers so; `None`
    /// until it drains.
    exit_deadline: Cell<Option<Instant>>,
    phase_changed: Notify,
    /// Notified when a catalog or a list of endpoints arrives.
    set_up: Notify,
    /// Notified when a changed load should be announced to other instances at once.
    pub announcement_due: Notify,
    /// Endpoints whose restarts are to be announced to other instances.
    pub(crate) pending_cold: RefCell<BTreeSet<EndpointId>>,
    /// Notified when there are such endpoints.
    pub(crate) cold_notice_due: Notify,
    /// Notified when a crash of an endpoint should be announced to other instances.
    pub crash_notice_due: Notify,
    /// Number of calls in progress.
    pub active_calls: Cell<usize>,
    /// Questions to the keepers of processes, and when they were asked.
    pub(crate) asked_processes: RefCell<HashMap<ProcessQuery, Duration>>,
    /// When endpoints were asked for the reports by which their processes become known.
    pub(crate) report_schedule: RefCell<ReportSchedule>,
    /// Notified when more is known of processes of endpoints.
    pub(crate) processes_changed: Notify,
    /// Number of calls that were given up because the process exits.
    pub given_up_calls: Cell<usize>,
    /// Number of open caller connections, from the moment when they are accepted.
    pub open_connections: Cell<usize>,
    /// Number of listeners that accept callers.
    pub open_listeners: Cell<usize>,
    clock: BootClock,
}

impl RelayState {
    /// Creates the state of an instance without catalog and endpoints.
    pub fn new(
        settings: RelaySettings,
        dialect: Rc<dyn CallDialect>,
        metrics: GatewayMetrics,
    ) -> Self {
        let budget = match settings.is_first_start {
            true => RetryBudget::new(settings.budget.clone()),
            false => RetryBudget::after_restart(settings.budget.clone()),
        };
        let uninformed_since = (!settings.is_first_start).then_some(Duration::ZERO);
        let has_stored_origins = Cell::new(!settings.origins.is_storing);
        let mut table = EndpointTable::default();
        table.versions = VersionCertainty::new(settings.list_lag);
        Self {
            metrics,
            budget: RefCell::new(budget),
            admission: RefCell::new(AdmissionControl::new(settings.admission.clone())),
            origins: RefCell::new(OriginTable::new(settings.origins.clone())),
            unconfirmed: RefCell::new(UnconfirmedOrigins::new(settings.confirmations.clone())),
            repeat_due: Notify::new(),
            origin_coverage: RefCell::new(OriginCoverage::new(settings.is_first_start)),
            table: RefCell::new(table),
            bytes: ByteBudget::new(settings.callers.budget_bytes),
            watch: RefCell::new(FleetWatch::new(settings.watch.clone())),
            settings,
            dialect,
            catalog: RefCell::default(),
            resumable_services: RefCell::default(),
            regions: RefCell::default(),
            listed_at: Cell::new(None),
            crashes: RefCell::new(CrashTracker::new(rand::random())),
            unsettled: RefCell::default(),
            origin_lookups: RefCell::default(),
            origin_changed: Notify::new(),
            origin_store_due: Notify::new(),
            has_stored_origins,
            asked_processes: RefCell::default(),
            report_schedule: RefCell::default(),
            processes_changed: Notify::new(),
            peers: OnceCell::new(),
            rate_keeper: RefCell::default(),
            pending_asks: RefCell::default(),
            uninformed_since: Cell::new(uninformed_since),
            first_list_at: Cell::new(None),
            caught_up_at: Cell::new(None),
            fleet_contact: RefCell::default(),
            pool: ConnectionPool::default(),
            http: ServiceConfig::default(),
            phase: Cell::new(ServingPhase::Serving),
            exit_deadline: Cell::new(None),
            phase_changed: Notify::new(),
            set_up: Notify::new(),
            announcement_due: Notify::new(),
            pending_cold: RefCell::default(),
            cold_notice_due: Notify::new(),
            crash_notice_due: Notify::new(),
            active_calls: Cell::new(0),
            given_up_calls: Cell::new(0),
            open_connections: Cell::new(0),
            open_listeners: Cell::new(0),
            clock: BootClock::start(),
        }
    }

    /// Time since this state was created, suspensions of the machine included. All times of the relay are on this clock unless they are
    /// an [`Instant`].
    pub fn now(&self) -> Duration {
        self.clock.elapsed()
    }

    /// The active catalog; `None` before the first one arrived.
    pub fn catalog(&self) -> Option<Rc<CatalogIndex>> {
        self.catalog.borrow().clone()
    }

    /// Activates a catalog. Calls in progress keep the previous one.
    pub fn set_catalog(&self, catalog: CatalogIndex) {
        self.table.borrow_mut().set_cold_rules(cold_rules(&catalog));
        self.refresh_informed();
        *self.resumable_services.borrow_mut() = resumable_services(&catalog);
        *self.catalog.borrow_mut() = Some(Rc::new(catalog));
        self.warn_of_unknown_regions();
        self.set_up.notify_waiters();
    }

    /// Sets the regions of the failure domains. Calls in progress keep the previous ones.
    pub fn set_regions(&self, regions: DomainRegions) {
        *self.regions.borrow_mut() = regions;
        self.warn_of_unknown_regions();
    }

    /// Logs the regions that the catalog names and in which no failure domain lies. Calls that must
    /// stay there are refused, so a misspelt name shows here.
    fn warn_of_unknown_regions(&self) {
        let Some(index) = self.catalog() else {
            return;
        };
        let catalog = index.catalog();
        let of_routes = catalog.routes.iter().flat_map(|one| &one.allowed_regions);
        let of_accounts = catalog.accounts.iter().flat_map(|one| &one.allowed_regions);
        let named: BTreeSet<&String> = of_routes.chain(of_accounts).collect();
        let regions = self.regions.borrow();
        for region in named.into_iter().filter(|one| !regions.contains(one)) {
            log::warn!(region = region.as_str(); "relay: catalog names a region without a failure domain");
        }
    }

    /// Replaces the list of endpoints.
    pub fn set_endpoints(&self, listed: &[ListedEndpoint]) {
        let change = self.table.borrow_mut().replace_at(self.now(), listed);
        self.listed_at.set(Some(self.now()));
        self.metrics.set_endpoints(listed.len());
        if !change.is_empty() {
            log::info!(
                joined = change.joined.join(",").as_str(),
                left = change.left.join(",").as_str(),
                draining = change.draining.join(",").as_str(),
                endpoints = listed.len();
                "relay: endpoint list changed"
            );
        }
        self.set_up.notify_waiters();
    }

    /// Sets the evacuated failure domains. No call is sent to their endpoints; calls that run there
    /// go on.
    pub fn set_evacuated(&self, domains: &BTreeSet<DomainId>) {
        let now = self.now();
        let mut table = self.table.borrow_mut();
        table.set_evacuated(now, domains);
        if table.is_all_evacuated() {
            log::warn!("relay: all endpoints are in evacuated failure domains; calls are refused");
        }
    }

    /// Records that the active list was stated by a reading that began at `began_at`.
    pub fn note_list_stated(&self, began_at: Duration) {
        let now = self.now();
        self.table.borrow_mut().versions.note_stated(now, began_at);
        self.settle_origins();
        if !began_at.is_zero() {
            self.note_first_list();
        }
    }

    /// Records that the latest list of endpoints is the same as the previous one.
    pub fn confirm_list(&self) {
        self.listed_at.set(Some(self.now()));
    }

    /// Time since the list of endpoints was last received or confirmed; `None` before the first
    /// list.
    pub fn list_age(&self) -> Option<Duration> {
        let at = self.listed_at.get()?;
        Some(self.now().saturating_sub(at))
    }

    /// Whether the instance has a catalog and at least one endpoint.
    pub fn is_set_up(&self) -> bool {
        self.catalog.borrow().is_some() && !self.table.borrow().is_empty()
    }

    /// Waits until the instance has a catalog and at least one endpoint. Both arrive shortly after
    /// the start, so a call that waits for them does not have to be retried by its caller.
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

    /// Current phase.
    pub fn phase(&self) -> ServingPhase {
        self.phase.get()
    }

    /// Whether the instance is draining or closing. Answers then ask callers to reconnect
    /// elsewhere.
    pub fn is_stopping(&self) -> bool {
        self.phase() > ServingPhase::Serving
    }

    /// Enters a phase. Has no effect if the instance is in a later phase already.
    pub fn enter_phase(&self, phase: ServingPhase) {
        self.phase.set(self.phase.get().max(phase));
        self.phase_changed.notify_waiters();
    }

    /// Sets the time at which the process exits at the latest.
    pub fn set_exit_deadline(&self, at: Instant) {
        self.exit_deadline.set(Some(at));
    }

    /// Whether a call that is abandoned at `deadline` ends before the process exits. Any other may run
    /// elsewhere, and is refused from the start of a drain on.
    pub fn accepts_call(&self, deadline: tokio::time::Instant) -> bool {
        let exit_deadline = self.exit_deadline.get();
        exit_deadline.is_none_or(|at| deadline.into_std() <= at)
    }

    /// Whether the time has passed at which the process exits at the latest.
    pub fn is_past_exit(&self) -> bool {
        let exit_deadline = self.exit_deadline.get();
        exit_deadline.is_some_and(|at| Instant::now() >= at)
    }

    /// Waits until the time at which the process exits at the latest.
    pub async fn until_exit(&self) {
        self.until_phase(ServingPhase::Draining).await;
        match self.exit_deadline.get() {
            Some(at) => sleep_until(at.into()).await,
            None => pending().await,
        }
    }

    /// Whether no caller is connected any more. In phase [`ServingPhase::Closing`], a connection
    /// stays open only while a call on it is read or served.
    pub fn is_drained(&self) -> bool {
        self.open_connections.get() == 0
    }

    /// Whether no caller is connected and none can connect any more.
    pub fn is_closed(&self) -> bool {
        self.open_listeners.get() == 0 && self.is_drained()
    }

    /// Waits until the phase is `phase` or a later one.
    pub async fn until_phase(&self, phase: ServingPhase) {
        loop {
            let changed = self.phase_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.phase() >= phase {
                return;
            }
            changed.await;
        }
    }

    /// Whether an endpoint that runs requests of this instance has sent nothing for a while.
    pub fn is_silent(&self, endpoint: EndpointId) -> bool {
        let table = self.table.borrow();
        let row = table.row(endpoint);
        row.is_some_and(|row| row.is_silent(self.now()))
    }

    /// Records the outcome of a call in the health of its endpoint. `reason` is for the log.
    pub fn note_health(&self, endpoint: EndpointId, outcome: CallOutcome, reason: &str) {
        let now = self.now();
        let mut table = self.table.borrow_mut();
        let change = table.note(now, endpoint, outcome);
        let name = table.row(endpoint).map_or("-", |row| row.name.as_str());
        match change {
            HealthChange::None => {}
            HealthChange::LeftOut { breaks, pause } => log::warn!(
                endpoint = name, breaks = breaks, pause_ms = pause.as_millis() as u64, reason = reason;
                "relay: endpoint left out"
            ),
            HealthChange::Recovered => log::info!(endpoint = name; "relay: endpoint recovered"),
        }
    }

    /// The notices to other instances of the calls by client account; none while no service is short
    /// of slots.
    pub fn account_notices(&self, now: Duration) -> Vec<AccountNotice> {
        let mut admission = self.admission.borrow_mut();
        let AdmissionControl {
            shares, accounts, ..
        } = &mut *admission;
        shares.notices(now, accounts)
    }

    /// Records a call to a service in the retry budget.
    pub fn note_request(&self, service: ServiceId) {
        let mut budget = self.budget.borrow_mut();
        budget.note_request(self.now(), service);
    }
}
