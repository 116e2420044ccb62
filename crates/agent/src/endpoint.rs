//! Health of the endpoint, and its crashes.

use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use actix_http::{Method, StatusCode};
use bytes::Bytes;
use claim::attempts::AttemptState;
use pace::statement::{EndpointStatement, StatedValue};
use tokio::time::{interval, sleep, timeout};
use wire::command::ControlCommand;
use wire::id::FingerprintHash;

use crate::client::{STATEMENT_HEADERS, send_own};
use crate::core::AgentCore;

/// Path of the endpoint's health check.
const HEALTH_PATH: &str = "/healthz";
/// Interval between health checks.
const HEALTH_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of consecutive failed health checks after which the endpoint is down.
const HEALTH_FAILURE_THRESHOLD: u32 = 2;
/// Longest time for which a failure is withheld from the entry while control records the crash that
/// caused it.
const CRASH_REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after the recording of a crash report in which control's list of suspects reaches the
/// agent. Until then the agent treats the reported requests as suspects itself.
const LIST_PROPAGATION_DELAY: Duration = Duration::from_secs(1);

/// Whether the endpoint answers its health check on a new connection. Records what it states.
pub async fn is_alive(core: &Rc<AgentCore>) -> bool {
    let sent_at = Instant::now();
    let body = Bytes::new();
    let check = send_own(core, Method::GET, HEALTH_PATH, &body);
    let Ok(Ok(head)) = timeout(HEALTH_TIMEOUT, check).await else {
        return false;
    };
    let status = head.status;
    let statement = EndpointStatement::read(head.headers(), STATEMENT_HEADERS);
    let statement = statement.of_answer(status);
    core.note_statement(sent_at, statement);
    if status == StatusCode::OK && statement.is_leaving != StatedValue::Stated(true) {
        core.is_endpoint_leaving.set(false);
    }
    // An endpoint that rests turns its health check away, too.
    status < StatusCode::INTERNAL_SERVER_ERROR || statement.rest.stated().is_some()
}

/// Checks the endpoint's health periodically until the process ends.
pub async fn watch_health(core: Rc<AgentCore>) {
    let mut ticks = interval(HEALTH_INTERVAL);
    let mut failures = 0;
    loop {
        ticks.tick().await;
        if !core.queue.borrow_mut().may_probe(Instant::now()) {
            continue;
        }
        if is_alive(&core).await {
            failures = 0;
            core.is_endpoint_up.set(true);
        } else {
            failures += 1;
            if failures >= HEALTH_FAILURE_THRESHOLD {
                core.is_endpoint_up.set(false);
            }
        }
        core.refresh_state();
    }
}

impl AgentCore {
    /// Records what the endpoint states in the head of an answer to a request that was sent at
    /// `sent_at`.
    pub fn note_statement(self: &Rc<Self>, sent_at: Instant, statement: EndpointStatement) {
        if statement.is_unreadable() && !self.has_unreadable_statement.replace(true) {
            log::warn!("agent: the endpoint states what can't be read.");
        }
        let is_leaving = statement.is_leaving == StatedValue::Stated(true);
        if is_leaving && !self.is_endpoint_leaving.replace(true) {
            log::info!("agent: the endpoint says that it leaves.");
            self.refresh_state();
        }
        let now = Instant::now();
        let mut queue = self.queue.borrow_mut();
        let actions = queue.note_statement(now, sent_at, statement);
        drop(queue);
        self.perform(actions);
        self.queue_changed.notify_one();
    }

    /// Handles a crash of the endpoint in the epoch `cache_epoch` of its cache. All requests that
    /// were running become suspects, and their outcome is unknown. Later calls for the same epoch
    /// have no effect.
    pub fn handle_endpoint_crash(self: &Rc<Self>, cache_epoch: u64) {
        if self.cache_epoch.get() != cache_epoch {
            return;
        }
        let suspects = self.running_fingerprints();
        log::error!(
            "agent: endpoint crashed with {} requests running.",
            suspects.len()
        );
        self.shared.metrics.record_crash();
        self.cache_epoch.set(new_epoch().max(cache_epoch + 1));
        self.warm_prefixes.borrow_mut().clear();
        self.gate.borrow_mut().crashed(&suspects);
        self.attempts.borrow_mut().fail_running(Instant::now());
        self.is_endpoint_up.set(false);
        self.is_endpoint_leaving.set(false);
        self.queue.borrow_mut().forget_statements(Instant::now());
        self.refresh_state();
        self.pending_crash_reports
            .set(self.pending_crash_reports.get() + 1);
        actix_rt::spawn(report_crash(Rc::clone(self), cache_epoch, suspects));
    }

    /// Waits until control has recorded the crashes of the endpoint, so that a retry of a failed
    /// request is already known to be a suspect. Gives up after `CRASH_REPORT_TIMEOUT`.
    pub async fn wait_for_crash_reports(&self) {
        let recorded = async {
            while self.pending_crash_reports.get() > 0 {
                self.crash_recorded.notified().await;
            }
        };
        if timeout(CRASH_REPORT_TIMEOUT, recorded).await.is_err() {
            log::warn!(
                "agent: control did not record a crash in time; reporting the failure anyway."
            );
        }
    }

    fn running_fingerprints(&self) -> Vec<FingerprintHash> {
        let attempts = self.attempts.borrow();
        let running = attempts.in_state(AttemptState::Running);
        let sessions = self.sessions.borrow();
        running
            .filter_map(|key| Some(sessions.get(&key)?.submit.fingerprint))
            .collect()
    }
}

/// Reports a crash to control. After [`LIST_PROPAGATION_DELAY`] the agent relies on control's list
/// of suspects alone.
async fn report_crash(core: Rc<AgentCore>, cache_epoch: u64, suspects: Vec<FingerprintHash>) {
    let endpoint = core.endpoint;
    let command = ControlCommand::ReportCrash {
        endpoint,
        cache_epoch,
        suspects,
    };
    core.control.propose_until_decided(command).await;
    core.pending_crash_reports
        .set(core.pending_crash_reports.get() - 1);
    core.crash_recorded.notify_waiters();
    sleep(LIST_PROPAGATION_DELAY).await;
    core.gate.borrow_mut().report_recorded();
    core.start_gated();
}

/// A new cache epoch from the wall clock in nanoseconds, which increases across restarts.
fn new_epoch() -> u64 {
    let since_unix_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_unix_epoch.as_nanos()).unwrap_or(u64::MAX)
}
