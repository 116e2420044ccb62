//! State shared by the threads of the entry.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use arc_swap::ArcSwap;
use fault::FaultKind;
use kernel::body::BodyIntake;
use kernel::http::ServingMark;
use settings::FleetSettings;
use settings::holder::SettingsHolder;
use settings::process::EntrySettings;
use watch::{DecisionRing, EntryMetrics, RingSettings};
use wire::id::IncarnationNumber;

use crate::control::ProposalQueue;
use crate::pool::LinkPool;
use crate::selector::EndpointSelector;

/// State of one entry, shared by its threads.
pub struct EntryCore {
    /// Settings from the configuration file of this entry.
    pub settings: EntrySettings,
    /// Incarnation of this entry.
    pub incarnation: IncarnationNumber,
    /// Settings in force; the defaults until the first version arrives.
    pub fleet: ArcSwap<FleetSettings>,
    /// Selects endpoints.
    pub selector: EndpointSelector,
    /// Connections to agents.
    pub pool: LinkPool,
    /// Queue of proposals to the control quorum.
    pub proposals: ProposalQueue,
    /// Metrics of this entry.
    pub metrics: EntryMetrics,
    /// Reads the bodies of requests.
    pub bodies: BodyIntake,
    holder: Mutex<SettingsHolder>,
    decisions: Mutex<DecisionRing>,
    /// Whether readiness fails because the entry is stopping. Set before `is_stopping`.
    is_unready: AtomicBool,
    /// Whether new calls are refused.
    is_stopping: AtomicBool,
    /// Number of calls whose answer has not ended.
    active: AtomicUsize,
}

impl EntryCore {
    /// The state of an entry that has received neither settings nor endpoints yet.
    pub fn new(
        settings: EntrySettings,
        incarnation: IncarnationNumber,
        pool: LinkPool,
        proposals: ProposalQueue,
        metrics: EntryMetrics,
    ) -> Self {
        let selector = EndpointSelector::new(&settings.instance.failure_domain);
        Self {
            bodies: BodyIntake::new(&settings.limits),
            settings,
            incarnation,
            fleet: ArcSwap::default(),
            selector,
            pool,
            proposals,
            metrics,
            holder: Mutex::default(),
            decisions: Mutex::new(DecisionRing::new(RingSettings::default())),
            is_unready: AtomicBool::new(false),
            is_stopping: AtomicBool::new(false),
            active: AtomicUsize::new(0),
        }
    }

    /// The settings holder, locked.
    pub fn holder(&self) -> MutexGuard<'_, SettingsHolder> {
        self.holder
            .lock()
            .expect("no thread panics while it holds the settings")
    }

    /// The ring of decision records, locked.
    pub fn decisions(&self) -> MutexGuard<'_, DecisionRing> {
        self.decisions
            .lock()
            .expect("no thread panics while it holds the ring")
    }

    /// Fails readiness from now on, so that the load balancer sends no new calls.
    pub fn fail_readiness(&self) {
        self.is_unready.store(true, Ordering::SeqCst);
    }

    /// Refuses new calls from now on.
    pub fn stop_admitting(&self) {
        self.is_stopping.store(true, Ordering::SeqCst);
    }

    /// Whether the entry is ready: settings are in force and it is not stopping.
    pub fn is_ready(&self) -> bool {
        !self.is_unready.load(Ordering::SeqCst) && self.fleet.load().version > 0
    }

    /// Number of calls whose answer has not ended.
    pub fn active(&self) -> usize {
        self.active.load(Ordering::SeqCst)
    }

    /// Admits a call and counts it as active until the guard is dropped.
    ///
    /// # Errors
    /// `Draining` when the entry is stopping.
    pub fn admit(self: &Arc<Self>) -> fault::Result<CallGuard> {
        // Counted before the check, so that a drain that sees no active calls cannot miss this one.
        self.active.fetch_add(1, Ordering::SeqCst);
        let guard = CallGuard {
            core: Arc::clone(self),
            serving: None,
        };
        if self.is_stopping.load(Ordering::SeqCst) {
            return Err(FaultKind::Draining.because("this entry is stopping"));
        }
        Ok(guard)
    }

    /// Checks whether new calls of `service` may start.
    ///
    /// # Errors
    /// `SettingsStale` if no settings are in force, or if the settings lease has lapsed and the
    /// service has `when_stale = "step-out"`.
    pub fn check_lease(&self, service: &str) -> fault::Result<()> {
        self.holder().check_lease(service, Instant::now())
    }
}

/// Keeps a call counted as active until it is dropped.
pub struct CallGuard {
    core: Arc<EntryCore>,
    /// Marks the caller's connection, once its request has been received.
    serving: Option<ServingMark>,
}

impl CallGuard {
    /// Keeps the mark of the caller's connection until the answer has ended.
    pub fn set_serving(&mut self, serving: Option<ServingMark>) {
        self.serving = serving;
    }

    /// The core that counts the call.
    pub fn core(&self) -> &Arc<EntryCore> {
        &self.core
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.core.active.fetch_sub(1, Ordering::SeqCst);
    }
}
