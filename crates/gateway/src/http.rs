//! HTTP server for operators, readiness checks and metrics.

use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use actix_http::{Method, StatusCode};
use bytes::Bytes;
use fault::{Fault, FaultKind};
use platform::paths::{READ_CATALOG, READINESS, REPLACE_CATALOG};
use relay::accept::accept_each;
use relay::session::{self, CallerFraming, IncomingCall, SessionLimits};
use settings::operator::FaultResponse;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use watch::TEXT_CONTENT_TYPE;

use crate::catalog_codec::{compress, decompress};
use crate::evacuation::{OrderPath, read_order_path};
use crate::evacuation_sync::OrderOutcome;
use crate::node::GatewayNode;

/// Limits on requests of operators, the load balancer and metrics scrapers.
const LIMITS: SessionLimits = SessionLimits {
    header_bytes: 16 * 1024,
    body_bytes: 8 * 1024 * 1024,
    header_timeout: Duration::from_secs(5),
    body_timeout: Duration::from_secs(5),
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

/// Serves operators, readiness checks and metrics until the process ends.
pub async fn serve_http(listener: TcpListener, node: Rc<GatewayNode>) {
    accept_each(listener, "gateway", |stream| {
        serve_connection(stream, Rc::clone(&node))
    })
    .await;
}

async fn serve_connection(stream: TcpStream, node: Rc<GatewayNode>) {
    if let Err(error) = serve_requests(stream, &node).await {
        log::debug!("gateway: HTTP connection ended: {error}");
    }
}

async fn serve_requests(stream: TcpStream, node: &Rc<GatewayNode>) -> session::Result<()> {
    let (mut reader, mut writer) = session::open(stream, &node.relay_state.http)?;
    loop {
        let arrived = timeout(IDLE_TIMEOUT, reader.wait_for_bytes()).await;
        if !arrived.unwrap_or(Ok(false))? {
            return Ok(());
        }
        let incoming = reader.read_call(&mut writer, &LIMITS).await?;
        let answer = node.answer_http(&incoming).await;
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(answer.content_type));
        if answer.status == StatusCode::SERVICE_UNAVAILABLE {
            headers.insert(RETRY_AFTER, HeaderValue::from_static(RETRY_SECONDS));
        }
        let framing = CallerFraming::Length(answer.body.len() as u64);
        writer
            .send_whole(answer.status, headers, answer.body, framing, false)
            .await?;
        if !writer.keeps_alive() {
            return Ok(());
        }
    }
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
            OrderOutcome::Unconfirmed => HttpAnswer::fault(&no_quorum()),
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
        let is_done = self.replace_catalog(text).await;
        log::info!(version = version, acknowledged = is_done; "gateway: catalog replacement ended");
        match is_done {
            true => HttpAnswer::done("in force"),
            false => HttpAnswer::fault(&no_quorum()),
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

fn no_quorum() -> Fault {
    FaultKind::ControlUnreachable.because("no quorum answered in time")
}
