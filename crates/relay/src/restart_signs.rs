//! Signs that endpoints have restarted: what this instance sees of them, and the messages by which
//! instances tell each other.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix_http::header::HeaderMap;
use actix_http::{Method, StatusCode, Uri};
use bytes::Bytes;
use exchange::connection::{self, EndpointConnection, EndpointError, request_head};
use tokio::time::timeout;
use wire::gateway::GatewayDatagram;
use wire::id::{EndpointId, InstanceId};
use wire::process::ProcessStart;
use wire::stream::{RestartNotice, RestartSign};

use crate::call::ForwardMetadata;
use crate::report_schedule::ListedProcess;
use crate::state::RelayState;
use crate::version_certainty::ProcessReport;

/// Maximum time for the check of an endpoint.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes of a report that are read at most.
const MAX_REPORT_BYTES: usize = 64 * 1024;
/// Endpoints that are checked for one call at a time.
const MAX_CHECKS: usize = 2;
/// Longest time for which a process runs; a start before that is not believed.
const MAX_PROCESS_AGE: Duration = Duration::from_hours(10 * 365 * 24);
/// Number of other instances that are told of a sign, so that its cost does not grow with the
/// fleet. Each instance tells those that follow it in the order of ids, and most instances have
/// calls at an endpoint that restarts.
const TOLD_INSTANCES: usize = 32;

impl RelayState {
    /// Records that an endpoint refused a connection, or that one broke or fell silent.
    pub fn note_restart_sign(&self, endpoint: EndpointId) {
        let now = self.now();
        let is_due = self.table.borrow_mut().versions.note_sign(endpoint, now);
        let Some(peers) = self.peers.get().filter(|_| is_due) else {
            return;
        };
        let notice = RestartNotice {
            watched_ms: 0,
            signs: vec![RestartSign {
                endpoint,
                age_ms: 0,
            }],
        };
        let notice = GatewayDatagram::Restarts(notice);
        let instances = peers.instances();
        let own = self.settings.instance;
        let (before, after): (Vec<InstanceId>, Vec<InstanceId>) =
            instances.into_iter().partition(|instance| *instance < own);
        for instance in after.into_iter().chain(before).take(TOLD_INSTANCES) {
            peers.send(instance, &notice);
        }
    }

    /// Records that an endpoint answered a call that was sent at `sent_at`, on a connection that it
    /// accepted at `since`.
    pub fn note_process(&self, endpoint: EndpointId, since: Duration, sent_at: Duration) {
        let mut table = self.table.borrow_mut();
        table.versions.note_answer(endpoint, since, sent_at);
    }

    /// Checks endpoints whose software version is not certain, so that streams may go on there.
    pub fn check_processes(self: &Rc<Self>, endpoints: &[EndpointId]) {
        let mut begun = 0;
        for endpoint in endpoints {
            if begun == MAX_CHECKS {
                return;
            }
            let now = self.now();
            let mut table = self.table.borrow_mut();
            let may_check = table.row(*endpoint).is_some_and(|row| row.may_report(now));
            let is_due = may_check && table.versions.begin_check(*endpoint, now);
            drop(table);
            if is_due {
                begun += 1;
                self.spawn_check(*endpoint);
            }
        }
    }

    /// Begins to check an endpoint.
    pub(crate) fn spawn_check(self: &Rc<Self>, endpoint: EndpointId) {
        let state = Rc::clone(self);
        actix_rt::spawn(async move {
            let checked = timeout(CHECK_TIMEOUT, state.check_process(endpoint)).await;
            if let Ok(Err(error)) = checked {
                log::debug!("relay: report of an endpoint not read: {error}");
            }
        });
    }

    /// Asks an endpoint for its report. Any answer shows that a process serves.
    async fn check_process(&self, endpoint: EndpointId) -> connection::Result<()> {
        let address = {
            let table = self.table.borrow();
            let row = table.row(endpoint).ok_or(EndpointError::ConnectTimeout)?;
            row.address
        };
        let limit = self.settings.connect_limit;
        // A connection from before the sign shows at once that there was no restart.
        let idle = self.pool.take(self.now(), endpoint);
        let idle = idle.filter(|idle| idle.address == address.into());
        let is_reused = idle.is_some();
        let mut connection = match idle {
            Some(connection) => connection,
            None => EndpointConnection::open(address.into(), limit).await?,
        };
        self.read_report(endpoint, &mut connection, is_reused)
            .await?;
        Ok(())
    }

    /// Reads the report of an endpoint on a connection, and records the process that it names. Returns
    /// when that process started; `None` if the answer does not tell.
    pub(crate) async fn read_report(
        &self,
        endpoint: EndpointId,
        connection: &mut EndpointConnection,
        is_reused: bool,
    ) -> connection::Result<Option<ProcessStart>> {
        let sent_at = self.now();
        let (name, version) = {
            let table = self.table.borrow();
            let row = table.row(endpoint).ok_or(EndpointError::ConnectTimeout)?;
            (row.name.clone(), row.version_id)
        };
        let since = sent_at.saturating_sub(connection.age());
        let metadata = ForwardMetadata {
            time_left: CHECK_TIMEOUT,
            endpoint: &name,
            account: None,
            rank: 0,
            resume_after: None,
            warm_source: None,
        };
        let headers = self.dialect.forward_call(&HeaderMap::new(), &metadata);
        let path = Uri::from_static(self.dialect.report_path());
        let head = request_head(Method::GET, path, headers);
        let head = connection.exchange(&self.http, head, &Bytes::new()).await?;
        // On a connection that is used again, it may be a second answer to an earlier call.
        let is_report = head.status == StatusCode::OK;
        if head.status == StatusCode::MISDIRECTED_REQUEST || is_reused && !is_report {
            return Ok(None);
        }
        self.note_process(endpoint, since, sent_at);
        if !is_report {
            return Ok(None);
        }
        let mut report = Vec::new();
        while report.len() < MAX_REPORT_BYTES
            && let Some(bytes) = connection.next_chunk().await?
        {
            report.extend_from_slice(&bytes);
        }
        let start = self.dialect.read_process_start(&report);
        connection.process_start = start;
        if let Some(start) = start {
            let report = ProcessReport {
                start,
                age: process_age(start),
                since,
                sent_at,
            };
            let listed = ListedProcess {
                address: connection.address,
                version,
            };
            self.note_process_report(endpoint, listed, report);
        }
        Ok(start)
    }

    /// Tells an instance that has become live of the signs that this one knows.
    pub fn repeat_restart_signs_to(&self, instance: InstanceId) {
        let notice = self.table.borrow().versions.notice(self.now());
        if let Some((peers, notice)) = self.peers.get().zip(notice) {
            peers.send(instance, &GatewayDatagram::Restarts(notice));
        }
    }

    /// Handles a notice of another instance.
    pub fn handle_restart_notice(&self, notice: &RestartNotice) {
        let now = self.now();
        let is_recent = self.watch.borrow().is_settled();
        let mut table = self.table.borrow_mut();
        table.versions.note_notice(now, notice, is_recent);
    }
}

/// Time since a process started at this time of day, in milliseconds since the Unix epoch; `None` for a
/// time that can't be true.
fn process_age(start: u64) -> Option<Duration> {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
    let age = since_epoch.checked_sub(Duration::from_millis(start))?;
    (age < MAX_PROCESS_AGE).then_some(age)
}
