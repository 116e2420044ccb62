//! Serving callers.

use std::rc::Rc;
use std::time::Duration;

use fault::FaultKind;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::accept::accept_each;
use crate::forward::serve_call;
use crate::record::{CallEnd, CallRecord};
use crate::refusal::CallRefusal;
use crate::reply::refuse;
use crate::session::{
    IncomingCall, SessionError, SessionLimits, SessionReader, SessionWriter, open,
};
use crate::state::RelayDesk;

/// Longest pause inside a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves callers until the process ends.
pub async fn serve_callers(listener: TcpListener, desk: Rc<RelayDesk>) {
    accept_each(listener, "relay", |stream| {
        serve_caller(stream, Rc::clone(&desk))
    })
    .await;
}

async fn serve_caller(stream: TcpStream, desk: Rc<RelayDesk>) {
    if desk.open_connections.get() >= desk.settings.connections {
        log::warn!("relay: a connection above the limit was closed");
        return;
    }
    desk.open_connections.set(desk.open_connections.get() + 1);
    desk.metrics.set_connections(desk.open_connections.get());
    if let Err(error) = serve_calls(stream, &desk).await {
        log::debug!("relay: a caller's connection ended: {error}");
    }
    desk.open_connections.set(desk.open_connections.get() - 1);
}

async fn serve_calls(stream: TcpStream, desk: &Rc<RelayDesk>) -> crate::session::Result<()> {
    let (mut reader, mut writer) = open(stream, &desk.http)?;
    loop {
        if !wait_for_call(&mut reader, desk).await? {
            return Ok(());
        }
        let limits = session_limits(desk);
        let incoming = match reader.read_call(&mut writer, &limits).await {
            Ok(incoming) => incoming,
            Err(error) => return turn_away(desk, error, &mut writer).await,
        };
        let Some(record) = serve_watched(desk, &incoming, &mut reader, &mut writer).await else {
            return Ok(());
        };
        record.note(&desk.metrics);
        let is_over = matches!(record.end, CallEnd::Cut | CallEnd::CallerLost);
        if is_over || !writer.is_kept() {
            return Ok(());
        }
    }
}

/// Waits for the next call. `false` when there will be none.
async fn wait_for_call(
    reader: &mut SessionReader,
    desk: &RelayDesk,
) -> crate::session::Result<bool> {
    let idle_timeout = desk.catalog().map_or(Duration::from_secs(15), |index| {
        index.catalog().limits.idle_timeout
    });
    tokio::select! {
        biased;
        arrived = timeout(idle_timeout, reader.wait_for_bytes()) => arrived.unwrap_or(Ok(false)),
        () = desk.until_closing() => Ok(false),
    }
}

fn session_limits(desk: &RelayDesk) -> SessionLimits {
    let limits = desk.catalog().map(|index| index.catalog().limits.clone());
    let limits = limits.unwrap_or_default();
    SessionLimits {
        header_bytes: limits.header_bytes,
        body_bytes: limits.body_bytes,
        header_timeout: limits.header_timeout,
        body_timeout: BODY_TIMEOUT,
    }
}

/// Serves a call until its end, or until the caller leaves.
async fn serve_watched(
    desk: &Rc<RelayDesk>,
    incoming: &IncomingCall,
    reader: &mut SessionReader,
    writer: &mut SessionWriter,
) -> Option<CallRecord> {
    desk.active_calls.set(desk.active_calls.get() + 1);
    let record = tokio::select! {
        record = serve_call(desk, incoming, writer) => Some(record),
        () = reader.closed() => None,
    };
    desk.active_calls.set(desk.active_calls.get() - 1);
    if record.is_none() {
        let notes = desk.dialect.read_call(incoming.head.head().headers());
        log::info!(call = notes.attempt.as_deref().unwrap_or("-"); "relay: the caller left");
    }
    record
}

/// Answers a request that can't be read, and closes.
async fn turn_away(
    desk: &RelayDesk,
    error: SessionError,
    writer: &mut SessionWriter,
) -> crate::session::Result<()> {
    let kind = match &error {
        SessionError::Socket(_) => return Err(error),
        SessionError::Parse(_) | SessionError::Payload(_) => FaultKind::MalformedRequest,
        SessionError::OversizedHead | SessionError::OversizedBody => FaultKind::OversizedBody,
        SessionError::Slow => FaultKind::SlowCaller,
    };
    log::info!("relay: a request was turned away: {error}");
    refuse(desk, &CallRefusal::new(kind, None), writer).await;
    Ok(())
}
