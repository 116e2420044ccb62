//! HTTP calls to the endpoint.

use std::rc::Rc;
use std::str::FromStr;
use std::time::{Duration, Instant};

use actix_http::header::{CONTENT_TYPE, HOST, HeaderMap, HeaderName, HeaderValue};
use actix_http::{
    ConnectionType, Method, RequestHead, ResponseHead, ServiceConfig, StatusCode, Uri,
};
use bytes::Bytes;
use exchange::connection::{EndpointConnection, EndpointError, request_head};
use exchange::events::ContentKind;
use exchange::pool::ConnectionPool;
use fault::{Fault, FaultKind};
use pace::statement::{EndpointStatement, StatementHeaders};
use wire::answer::{AttemptKey, HeaderField, SubmitRequest};

use crate::core::AgentCore;

/// Header in which an endpoint reports the prompt tokens that it found in its cache.
const CACHED_TOKENS_HEADER: &str = "x-cached-tokens";
/// Header in which the agent names each request, and an endpoint may name it in its answer.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// Names of the headers in which an endpoint states something about itself.
pub const STATEMENT_HEADERS: StatementHeaders = StatementHeaders {
    limit: "x-rate-limit",
    leaving: "x-leaving",
    cold: "x-cold-ms",
};
/// Headers of an answer that are not forwarded, because the sender on each connection sets its own.
const CONNECTION_HEADERS: [&str; 7] = [
    REQUEST_ID_HEADER,
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "upgrade",
    "date",
];
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Most idle connections that are kept to the endpoint.
const MAX_IDLE_CONNECTIONS: usize = 24;

/// Reason why the endpoint gave no answer to a request.
pub enum SendFault {
    /// The request was not sent, so it was not executed.
    NotSent(Fault),
    /// The request failed after the connection was opened; it may have been executed.
    Broken(Fault),
}

/// Client of the endpoint's HTTP server.
pub struct EndpointClient {
    /// Connections whose last answer was read completely and named its request. Only idempotent
    /// requests take one: on a reused connection, which the endpoint may close at that moment, the
    /// outcome of another request would be unknown.
    idle: ConnectionPool,
    config: ServiceConfig,
    started: Instant,
}

impl EndpointClient {
    /// Creates the client without opening connections.
    pub fn new() -> Self {
        Self {
            idle: ConnectionPool::default(),
            config: ServiceConfig::default(),
            started: Instant::now(),
        }
    }
}

impl Default for EndpointClient {
    fn default() -> Self {
        Self::new()
    }
}

/// An answer of the endpoint whose body has not been read.
pub struct EndpointAnswer {
    connection: EndpointConnection,
    head: ResponseHead,
    /// Whether the answer names the request that it belongs to.
    is_named: bool,
}

impl EndpointAnswer {
    /// Status of the answer.
    pub fn status(&self) -> StatusCode {
        self.head.status
    }

    /// Headers of the answer.
    pub fn headers(&self) -> &HeaderMap {
        self.head.headers()
    }

    /// Whether the answer states the end of its body.
    pub fn states_end(&self) -> bool {
        self.connection.framing.states_end()
    }

    /// Reads the next bytes of the body. Returns `None` at its end.
    ///
    /// # Errors
    /// The reason why the body can't be read to its end.
    pub async fn next_chunk(&mut self) -> fault::Result<Option<Bytes>> {
        let chunk = self.connection.next_chunk().await;
        chunk.map_err(|error| {
            FaultKind::EndpointFailed.because(format!("the endpoint failed midway: {error}"))
        })
    }

    /// Keeps the connection, whose body was read to its end, for further requests, if a second
    /// answer to this one could be told from theirs.
    pub fn release(self, core: &AgentCore) {
        if !self.is_named {
            return;
        }
        let client = &core.client;
        let now = client.started.elapsed();
        let connection = self.connection;
        client
            .idle
            .put(now, core.endpoint, connection, None, MAX_IDLE_CONNECTIONS);
    }

    /// Headers that are forwarded to the entry. `states_end` tells whether the end of the answer
    /// will be known.
    pub fn forwarded_headers(&self, states_end: bool) -> Vec<HeaderField> {
        let forwarded = self.headers().iter().filter_map(|(name, value)| {
            let name = name.as_str();
            let is_dropped = CONNECTION_HEADERS.contains(&name) || name == CACHED_TOKENS_HEADER;
            let value = value.to_str().ok().filter(|_| !is_dropped)?;
            Some(HeaderField {
                name: name.to_owned(),
                value: value.to_owned(),
            })
        });
        let mark = (!states_end).then(HeaderField::until_close);
        forwarded.chain(mark).collect()
    }

    /// Prompt tokens that the endpoint found in its cache; 0 if it does not report them.
    pub fn cached_tokens(&self) -> u32 {
        let value = self.headers().get(CACHED_TOKENS_HEADER);
        let value = value.and_then(|value| value.to_str().ok());
        value.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Whether the answer is a stream of server-sent events.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    ContentKind::of(headers) == ContentKind::Events
}

/// Sends a request to the endpoint and waits for the head of its answer.
///
/// # Errors
/// [`SendFault`], which says whether the request may have been executed.
pub async fn send(
    core: &Rc<AgentCore>,
    submit: &SubmitRequest,
) -> std::result::Result<EndpointAnswer, SendFault> {
    let id = request_id(submit.key);
    let head = head_of(core, submit, &id).map_err(SendFault::NotSent)?;
    let idle = idle_connection(core, submit.idempotent);
    let is_reused = idle.is_some();
    let mut connection = match idle {
        Some(connection) => connection,
        None => connect(core).await.map_err(not_sent)?,
    };
    let sent_at = Instant::now();
    let exchange = connection.exchange(&core.client.config, head, &submit.body);
    let head = match exchange.await {
        Ok(head) => head,
        Err(error) if !connection.has_sent => return Err(not_sent(error)),
        Err(error) => return Err(broken(&error)),
    };
    let is_named = head.headers().get(REQUEST_ID_HEADER) == Some(&id);
    if is_reused && !is_named {
        // It may be a second answer to an earlier request on the connection.
        return Err(broken(&EndpointError::Misdelivered));
    }
    let statement = EndpointStatement::read(head.headers(), STATEMENT_HEADERS);
    core.note_statement(sent_at, statement.of_answer(head.status));
    Ok(EndpointAnswer {
        connection,
        head,
        is_named,
    })
}

/// Sends a request of the agent's own, a health check or an order, on a new connection, and reads the
/// head of its answer. `body` is JSON, or empty.
///
/// # Errors
/// The reason why no whole head of a final answer arrived.
pub async fn send_own(
    core: &AgentCore,
    method: Method,
    path: &'static str,
    body: &Bytes,
) -> exchange::connection::Result<ResponseHead> {
    let mut connection = connect(core).await?;
    let host = core.shared.settings.endpoint_http.to_string();
    let host = HeaderValue::try_from(host).expect("an address is valid");
    let mut headers = HeaderMap::new();
    headers.insert(HOST, host);
    if !body.is_empty() {
        let json = HeaderValue::from_static("application/json");
        headers.insert(CONTENT_TYPE, json);
    }
    let mut head = request_head(method, Uri::from_static(path), headers);
    head.set_connection_type(ConnectionType::Close);
    let exchange = connection.exchange(&core.client.config, head, body);
    exchange.await
}

fn broken(error: &EndpointError) -> SendFault {
    let message = format!("the endpoint failed: {error}");
    SendFault::Broken(FaultKind::EndpointFailed.because(message))
}

/// Id of an attempt, for the endpoint.
fn request_id(key: AttemptKey) -> HeaderValue {
    let text = format!("{:032x}-{}", key.request, key.attempt);
    HeaderValue::try_from(text).expect("hexadecimal digits are valid")
}

fn not_sent(error: EndpointError) -> SendFault {
    let message = format!("the endpoint can't be reached: {error}");
    SendFault::NotSent(FaultKind::NoEndpoint.because(message))
}

/// Takes an idle connection for a request that may be executed again if it breaks.
fn idle_connection(core: &AgentCore, is_idempotent: bool) -> Option<EndpointConnection> {
    let client = &core.client;
    let idle = is_idempotent.then(|| client.idle.take(client.started.elapsed(), core.endpoint));
    idle.flatten()
}

async fn connect(core: &AgentCore) -> exchange::connection::Result<EndpointConnection> {
    let address = core.shared.settings.endpoint_http;
    EndpointConnection::open(address, CONNECT_TIMEOUT).await
}

fn head_of(
    core: &AgentCore,
    submit: &SubmitRequest,
    id: &HeaderValue,
) -> fault::Result<RequestHead> {
    let malformed = |what: &str| FaultKind::MalformedRequest.because(format!("{what} is invalid"));
    let method = Method::from_bytes(submit.method.as_bytes());
    let method = method.map_err(|_| malformed("the method"))?;
    let uri = Uri::from_str(&submit.path).map_err(|_| malformed("the path"))?;
    let mut headers = HeaderMap::new();
    let host = core.shared.settings.endpoint_http.to_string();
    let host = HeaderValue::from_str(&host).map_err(|_| malformed("the host"))?;
    headers.insert(HOST, host);
    for field in &submit.headers {
        let name = HeaderName::from_str(&field.name);
        let value = HeaderValue::from_str(&field.value);
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(malformed("a header"));
        };
        headers.insert(name, value);
    }
    headers.insert(HeaderName::from_static(REQUEST_ID_HEADER), id.clone());
    Ok(request_head(method, uri, headers))
}
