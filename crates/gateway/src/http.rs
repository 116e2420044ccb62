//! HTTP server for operators, readiness checks and metrics.

use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use actix_http::{Method, StatusCode};
use bytes::Bytes;
use fault::{Fault, FaultKind};
use platform::paths::{READ_CATALOG, READINESS, REPLACE_CATALOG};
use quota::connections::{ConnectionLimits, ConnectionUse};
use quota::gate::{ConnectionGate, ConnectionPass};
use quota::progress::ProgressLimits;
use relay::accept::accept_each;
use relay::session::{
    self, CallerFraming, IncomingCall, SessionError, SessionLimits, SessionReader, SessionWriter,
};
use settings::operator::FaultResponse;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use watch::TEXT_CONTENT_TYPE;

use crate::catalog_codec::{compress, decompress};
use crate::catalog_sync::LeaderSilence;
use crate::evacuation::{OrderPath, read_order_path};
use crate::evacuation_sync::OrderOutcome;
use crate::node::GatewayNode;

/// Limits on requests of operators, the load balancer and metrics scrapers.
const LIMITS: SessionLimits = SessionLimits {
    header_bytes: 16 * 1024,
    body_bytes: 8 * 1024 * 1024,
    header_timeout: Duration::from_secs(5),
    body_timeout: Duration::from_secs(5),
    body_progress: ProgressLimits {
        bytes_per_second: 1024,
        grace: Duration::from_secs(5),
        total: Duration::from_secs(60),
    },
};
/// Maximum size of a body at a listener that takes no catalogs, in bytes.
const MAX_PLAIN_BODY_BYTES: usize = 16 * 1024;
/// Maximum number of connections of one such listener. They are apart from those of callers, so
/// that readiness checks are answered while callers hold all theirs.
const MAX_CONNECTIONS: usize = 128;
/// Minimum rate at which an answer is taken.
const ANSWER_PROGRESS: ProgressLimits = ProgressLimits {
    bytes_per_second: 1024,
    grace: Duration::from_secs(5),
    total: Duration::from_secs(60),
};
/// Path at which operators read and replace the catalog.
pub const CATALOG: &str = "/operator/catalog";
/// Path of this gateway's status report, for operators.
pub const STATUS: &str = "/operator/gateway";
/// Path of the metrics.
const METRICS: &str = "/metrics";
/// Content type of all answers except the metrics.
const JSON_CONTENT_TYPE: &str = "application/json";
/// Time for which a connection may be idle between requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Value of `Retry-After` in answers with status 503, in seconds.
const RETRY_SECONDS: &str = "0.3";

/// Answer to one request.
struct HttpAnswer {
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
}

impl HttpAnswer {
    /// A success without a body.
    fn empty() -> Self {
        Self {
            status: StatusCode::OK,
            content_type: JSON_CONTENT_TYPE,
            body: Bytes::new(),
        }
    }

    fn done(message: &str) -> Self {
        Self {
            status: StatusCode::OK,
            content_type: JSON_CONTENT_TYPE,
            body: Bytes::from(format!("{{\"message\":\"{message}\"}}")),
        }
    }

    /// The status and the JSON body that stand for a fault.
    fn fault(fault: &Fault) -> Self {
        let status = StatusCode::from_u16(fault.kind.answer().status);
        let body = serde_json::to_vec(&FaultResponse::from(fault));
        Self {
            status: status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
            content_type: JSON_CONTENT_TYPE,
            body: Bytes::from(body.unwrap_or_default()),
        }
    }
}

/// Who a listener is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpAudience {
    /// Operators, who send catalogs.
    Operators,
    /// Readiness checks and metrics scrapers, who send no bodies.
    Checks,
}

/// Serves operators, readiness checks or metrics until the process ends.
pub async fn serve_http(listener: TcpListener, audience: HttpAudience, node: Rc<GatewayNode>) {
    let gate = ConnectionGate::new(ConnectionLimits {
        connections: MAX_CONNECTIONS,
        per_address: 0,
        waiting: 0,
        closing: 0,
    });
    accept_each(listener, "gateway", gate, |stream, pass| {
        serve_connection(stream, pass, audience, Rc::clone(&node))
    })
    .await;
}

async fn serve_connection(
    stream: TcpStream,
    pass: ConnectionPass,
    audience: HttpAudience,
    node: Rc<GatewayNode>,
) {
    if let Err(error) = serve_requests(stream, &pass, audience, &node).await {
        log::debug!("gateway: HTTP connection ended: {error}");
    }
}

async fn serve_requests(
    stream: TcpStream,
    pass: &ConnectionPass,
    audience: HttpAudience,
    node: &Rc<GatewayNode>,
) -> session::Result<()> {
    let state = &node.relay_state;
    let (mut reader, mut writer) =
        session::open(stream, &state.http, &state.bytes, ANSWER_PROGRESS)?;
    let limits = SessionLimits {
        body_bytes: match audience {
            HttpAudience::Operators => LIMITS.body_bytes,
            HttpAudience::Checks => MAX_PLAIN_BODY_BYTES,
        },
        ..LIMITS
    };
    loop {
        let received = tokio::select! {
            biased;
            received = receive_request(&mut reader, &mut writer, pass, &limits) => received,
            () = pass.evicted() => return Ok(()),
        };
        let incoming = match received {
            Ok(Some(incoming)) => incoming,
            Ok(None) => return Ok(()),
            Err(error) => return reject(error, &mut reader, &mut writer).await,
        };
        pass.note_use(ConnectionUse::Serving);
        reader.share.set_pinned(true);
        let answer = node.answer_http(&incoming).await;
        drop(incoming);
        // An answer that its client does not take counts towards the byte budget.
        let sent = send(answer, &mut writer).await;
        reader.share.set_pinned(false);
        pass.note_use(ConnectionUse::Idle);
        sent?;
        if !writer.keeps_alive() {
            return Ok(());
        }
        if reader.has_bytes() {
            // Other connections take their turn between two pipelined requests.
            tokio::task::yield_now().await;
        }
    }
}

/// Receives the next request. Returns `None` if the client closed the connection, or was idle for
/// too long.
async fn receive_request(
    reader: &mut SessionReader,
    writer: &mut SessionWriter,
    pass: &ConnectionPass,
    limits: &SessionLimits,
) -> session::Result<Option<IncomingCall>> {
    let arrived = timeout(IDLE_TIMEOUT, reader.wait_for_bytes()).await;
    if !arrived.unwrap_or(Ok(false))? {
        return Ok(None);
    }
    pass.note_use(ConnectionUse::Receiving);
    reader.read_call(writer, limits).await.map(Some)
}

async fn send(answer: HttpAnswer, writer: &mut SessionWriter) -> session::Result<()> {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(answer.content_type));
    if answer.status == StatusCode::SERVICE_UNAVAILABLE {
        headers.insert(RETRY_AFTER, HeaderValue::from_static(RETRY_SECONDS));
    }
    let framing = CallerFraming::Length(answer.body.len() as u64);
    writer
        .send_whole(answer.status, headers, answer.body, framing, false)
        .await
}

/// Answers a request that can't be read with a fault, and closes the connection.
async fn reject(
    error: SessionError,
    reader: &mut SessionReader,
    writer: &mut SessionWriter,
) -> session::Result<()> {
    let Some(kind) = error.fault_kind() else {
        return Err(error);
    };
    writer.closes = true;
    send(HttpAnswer::fault(&kind.because(error.to_string())), writer).await?;
    writer.shut_down().await?;
    reader.discard().await;
    Ok(())
}

impl GatewayNode {
    async fn answer_http(self: &Rc<Self>, incoming: &IncomingCall) -> HttpAnswer {
        let path = incoming.head.path();
        match (incoming.head.method(), path) {
            (&Method::GET, READINESS) => self.answer_readiness(),
            (&Method::POST, REPLACE_CATALOG) => self.answer_replace(&incoming.body).await,
            (&Method::GET, READ_CATALOG) => self.answer_read().await,
            (&Method::POST, CATALOG) => self.answer_replace(&incoming.body).await,
            (&Method::GET, CATALOG) => self.answer_read().await,
            (&Method::GET, STATUS) => self.answer_status(),
            (&Method::GET, METRICS) => self.answer_metrics(),
            (&Method::POST, path) => self.answer_order(path).await,
            _ => no_such_path(),
        }
    }

    async fn answer_order(self: &Rc<Self>, path: &str) -> HttpAnswer {
        let (domain, action) = match read_order_path(path) {
            OrderPath::Order(domain, action) => (domain, action),
            OrderPath::Malformed(reason) => {
                return HttpAnswer::fault(&FaultKind::MalformedRequest.because(reason));
            }
            OrderPath::Other => return no_such_path(),
        };
        let outcome = self.order_evacuation(domain.clone(), action).await;
        log::info!(
            domain = domain.as_str(), action = format!("{action:?}").as_str(), outcome = format!("{outcome:?}").as_str();
            "gateway: order for a failure domain ended"
        );
        match outcome {
            OrderOutcome::Committed => HttpAnswer::empty(),
            OrderOutcome::UnknownDomain => {
                let reason = format!("there is no failure domain `{domain}`");
                HttpAnswer::fault(&FaultKind::UnknownService.because(reason))
            }
            OrderOutcome::Refused => HttpAnswer::fault(&no_quorum()),
            OrderOutcome::Unconfirmed => HttpAnswer::fault(&unconfirmed()),
        }
    }

    fn answer_readiness(&self) -> HttpAnswer {
        match self.is_ready() {
            true => HttpAnswer::done("ready"),
            false => {
                HttpAnswer::fault(&FaultKind::SettingsStale.because("this gateway is not ready"))
            }
        }
    }

    fn answer_status(&self) -> HttpAnswer {
        match serde_json::to_vec(&self.status()) {
            Ok(body) => HttpAnswer {
                status: StatusCode::OK,
                content_type: JSON_CONTENT_TYPE,
                body: Bytes::from(body),
            },
            Err(error) => HttpAnswer::fault(&FaultKind::Internal.because(error.to_string())),
        }
    }

    fn answer_metrics(&self) -> HttpAnswer {
        let metrics = &self.relay_state.metrics;
        metrics.process.set_settings_version(self.catalog_version());
        let live = self.directory.borrow().live(self.now()).count();
        metrics.set_gateways(live + 1);
        let budget = &self.relay_state.bytes;
        metrics.set_byte_budget(budget.held(), budget.evictions());
        match metrics.process.expose() {
            Ok(text) => HttpAnswer {
                status: StatusCode::OK,
                content_type: TEXT_CONTENT_TYPE,
                body: Bytes::from(text),
            },
            Err(error) => HttpAnswer::fault(&FaultKind::Internal.because(error.to_string())),
        }
    }

    async fn answer_replace(self: &Rc<Self>, body: &Bytes) -> HttpAnswer {
        let catalog = match platform::catalog_body::read_catalog(body) {
            Ok(catalog) => catalog,
            Err(error) => {
                log::info!("gateway: catalog refused: {error}");
                let fault = FaultKind::MalformedRequest.because(error.to_string());
                return HttpAnswer::fault(&fault);
            }
        };
        let version = catalog.version;
        let text = match compress(version, body) {
            Ok(text) => text,
            Err(error) => {
                log::error!("gateway: catalog {version} can't be compressed: {error}");
                return HttpAnswer::fault(&FaultKind::Internal.because(error.to_string()));
            }
        };
        let replaced = self.replace_catalog(text).await;
        log::info!(version = version, acknowledged = replaced.is_ok(); "gateway: catalog replacement ended");
        match replaced {
            Ok(()) => HttpAnswer::done("in force"),
            Err(LeaderSilence::Refused) => HttpAnswer::fault(&no_quorum()),
            Err(LeaderSilence::Unconfirmed) => HttpAnswer::fault(&unconfirmed()),
        }
    }

    async fn answer_read(self: &Rc<Self>) -> HttpAnswer {
        let text = self.read_catalog().await;
        let body = text.as_ref().map(decompress).transpose();
        let body = body.unwrap_or_else(|error| {
            log::error!("gateway: the newest catalog can't be decompressed: {error}");
            None
        });
        match body {
            Some(body) => HttpAnswer {
                status: StatusCode::OK,
                content_type: JSON_CONTENT_TYPE,
                body: Bytes::from(body),
            },
            None => HttpAnswer::fault(&no_quorum()),
        }
    }
}

fn no_such_path() -> HttpAnswer {
    HttpAnswer::fault(&FaultKind::UnknownService.because("there is no such path"))
}

fn unconfirmed() -> Fault {
    FaultKind::ChangeUnconfirmed.because("no quorum confirmed the change in time")
}

fn no_quorum() -> Fault {
    FaultKind::ControlUnreachable.because("no quorum answered in time")
}
