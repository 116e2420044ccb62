//! HTTP calls to the endpoint, its health and its crashes.

use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use actix_service::{Service, fn_service};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, Connector as TcpConnector};
use awc::error::SendRequestError;
use awc::http::header::HeaderMap;
use awc::http::{Method, StatusCode, Uri};
use awc::{Client, ClientResponse, Connector};
use claim::attempts::AttemptState;
use fault::{Fault, FaultKind};
use tokio::net::TcpStream;
use tokio::time::{interval, sleep, timeout};
use wire::answer::{HeaderField, SubmitRequest};
use wire::command::ControlCommand;
use wire::id::FingerprintHash;

use crate::core::AgentCore;

/// Header in which an endpoint reports the prompt tokens that it found in its cache.
const CACHED_TOKENS_HEADER: &str = "x-cached-tokens";
/// Headers of an answer that are not forwarded, because the sender on each connection sets its own.
const CONNECTION_HEADERS: [&str; 6] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "upgrade",
    "date",
];
/// Interval between health checks.
const HEALTH_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of consecutive failed health checks after which the endpoint is down.
const HEALTH_FAILURE_THRESHOLD: u32 = 2;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time for which a failure is withheld from the entry while control records the crash that
/// caused it.
const CRASH_REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after the recording of a crash report in which control's list of suspects reaches the
/// agent. Until then the agent treats the reported requests as suspects itself.
const LIST_PROPAGATION_DELAY: Duration = Duration::from_secs(1);

/// An answer of the endpoint whose body has not been read.
pub type EndpointResponse = ClientResponse;

/// Reason why the endpoint gave no answer to a request.
pub enum SendFault {
    /// The request was not sent, so it was not executed.
    NotSent(Fault),
    /// The request failed after the connection was opened; it may have been executed.
    Broken(Fault),
}

/// HTTP clients for the endpoint.
pub struct EndpointClients {
    /// Reuses connections whose last answer was read completely.
    pooled: Client,
    /// Opens a new connection for each request. On a reused connection, which the endpoint may
    /// close at that moment, the outcome of a non-idempotent request would be unknown.
    fresh: Client,
}

impl EndpointClients {
    /// Creates the clients without opening connections.
    pub fn new() -> Self {
        let connector = || Connector::new().connector(fn_service(connect_nodelay));
        let pooled = connector().limit(0).timeout(CONNECT_TIMEOUT);
        let fresh = connector().limit(0).timeout(CONNECT_TIMEOUT);
        let fresh = fresh.conn_keep_alive(Duration::ZERO);
        Self {
            pooled: Client::builder()
                .connector(pooled)
                .disable_timeout()
                .finish(),
            fresh: Client::builder()
                .connector(fresh)
                .disable_timeout()
                .finish(),
        }
    }

    /// The client to use for a request.
    pub fn choose(&self, is_idempotent: bool) -> &Client {
        if is_idempotent {
            &self.pooled
        } else {
            &self.fresh
        }
    }
}

/// Opens a connection with `TCP_NODELAY`, as the head and the body of a request are two writes and
/// the second must not wait for an acknowledgement of the first.
async fn connect_nodelay(
    info: ConnectInfo<Uri>,
) -> std::result::Result<Connection<Uri, TcpStream>, ConnectError> {
    let connector = TcpConnector::default().service();
    let connection = connector.call(info).await?;
    connection
        .io_ref()
        .set_nodelay(true)
        .map_err(ConnectError::Io)?;
    Ok(connection)
}

impl Default for EndpointClients {
    fn default() -> Self {
        Self::new()
    }
}

/// Sends a request to the endpoint and waits for the head of its answer.
///
/// # Errors
/// [`SendFault`], which says whether the request may have been executed.
pub async fn send(
    core: &AgentCore,
    submit: &SubmitRequest,
) -> std::result::Result<EndpointResponse, SendFault> {
    let method = Method::from_bytes(submit.method.as_bytes()).map_err(|_| {
        SendFault::NotSent(FaultKind::MalformedRequest.because("the method is invalid"))
    })?;
    let uri = format!(
        "http://{}{}",
        core.shared.settings.endpoint_http, submit.path
    );
    let client = core.clients.choose(submit.idempotent);
    let mut request = client.request(method, uri).no_decompress();
    for header in &submit.headers {
        request = request.insert_header((header.name.as_str(), header.value.as_str()));
    }
    request
        .send_body(submit.body.clone())
        .await
        .map_err(|error| classify(&error))
}

fn classify(error: &SendRequestError) -> SendFault {
    match error {
        SendRequestError::Url(_) | SendRequestError::Connect(_) => {
            let message = format!("the endpoint can't be reached: {error}");
            SendFault::NotSent(FaultKind::NoEndpoint.because(message))
        }
        _ => {
            let message = format!("the endpoint failed: {error}");
            SendFault::Broken(FaultKind::EndpointFailed.because(message))
        }
    }
}

/// Headers of an answer that are forwarded to the entry.
pub fn forwarded_headers(headers: &HeaderMap) -> Vec<HeaderField> {
    let forwarded = headers.iter().filter_map(|(name, value)| {
        let name = name.as_str();
        let is_dropped = CONNECTION_HEADERS.contains(&name) || name == CACHED_TOKENS_HEADER;
        let value = value.to_str().ok().filter(|_| !is_dropped)?;
        Some(HeaderField {
            name: name.to_owned(),
            value: value.to_owned(),
        })
    });
    forwarded.collect()
}

/// Prompt tokens that the endpoint found in its cache; 0 if it does not report them.
pub fn cached_tokens(headers: &HeaderMap) -> u32 {
    let value = headers
        .get(CACHED_TOKENS_HEADER)
        .and_then(|value| value.to_str().ok());
    value.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Whether the answer is a stream of server-sent events.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let value = headers
        .get("content-type")
        .and_then(|value| value.to_str().ok());
    value.is_some_and(|text| text.starts_with("text/event-stream"))
}

/// Whether the endpoint answers its health check on a new connection.
pub async fn is_alive(core: &AgentCore) -> bool {
    let uri = format!("http://{}/healthz", core.shared.settings.endpoint_http);
    let check = core.clients.choose(false).get(uri).send();
    match timeout(HEALTH_TIMEOUT, check).await {
        Ok(Ok(response)) => response.status() < StatusCode::INTERNAL_SERVER_ERROR,
        _ => false,
    }
}

/// Checks the endpoint's health periodically until the process ends.
pub async fn watch_health(core: Rc<AgentCore>) {
    let mut ticks = interval(HEALTH_INTERVAL);
    let mut failures = 0;
    loop {
        ticks.tick().await;
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
