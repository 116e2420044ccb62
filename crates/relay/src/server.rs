//! Serving of caller connections.

use std::cell::Cell;
use std::future::Future;
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
use crate::state::{RelayState, ServingPhase};

/// Maximum time between two reads of a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Accepts and serves caller connections until phase [`ServingPhase::Closed`] or the end of the
/// process.
pub async fn serve_callers(listener: TcpListener, state: Rc<RelayState>) {
    let _open = CountGuard::new(&state, |state| &state.open_listeners);
    let accepting = accept_each(listener, "relay", |stream| {
        serve_caller(stream, Rc::clone(&state))
    });
    tokio::select! {
        biased;
        () = state.until_phase(ServingPhase::Closed) => {}
        () = accepting => {}
    }
}

/// Counts a connection and returns the future that serves it. A connection whose future has not run
/// yet must not escape a drain.
fn serve_caller(stream: TcpStream, state: Rc<RelayState>) -> impl Future<Output = ()> {
    let has_room = state.open_connections.get() < state.settings.max_connections;
    let open = CountGuard::new(&state, |state| &state.open_connections);
    async move {
        if !has_room {
            log::warn!("relay: caller connection closed: connection limit reached");
            return;
        }
        state.metrics.set_connections(state.open_connections.get());
        if let Err(error) = serve_calls(stream, &state).await {
            log::debug!("relay: caller connection failed: {error}");
        }
        drop(open);
    }
}

/// Counts something in the state for as long as it exists.
struct CountGuard {
    state: Rc<RelayState>,
    counter: fn(&RelayState) -> &Cell<usize>,
}

impl CountGuard {
    fn new(state: &Rc<RelayState>, counter: fn(&RelayState) -> &Cell<usize>) -> Self {
        let count = counter(state);
        count.set(count.get() + 1);
        Self {
            state: Rc::clone(state),
            counter,
        }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        let count = (self.counter)(&self.state);
        count.set(count.get() - 1);
    }
}

async fn serve_calls(stream: TcpStream, state: &Rc<RelayState>) -> crate::session::Result<()> {
    let (mut reader, mut writer) = open(stream, &state.http)?;
    loop {
        if !wait_for_call(&mut reader, state).await? {
            return Ok(());
        }
        let limits = session_limits(state);
        let incoming = match reader.read_call(&mut writer, &limits).await {
            Ok(incoming) => incoming,
            Err(error) => return reject_request(state, error, &mut writer).await,
        };
        let Some(record) = serve_while_connected(state, &incoming, &mut reader, &mut writer).await
        else {
            return Ok(());
        };
        record.note(&state.metrics);
        let is_over = matches!(record.end, CallEnd::Cut | CallEnd::CallerLost);
        if is_over || !writer.keeps_alive() {
            return Ok(());
        }
    }
}

/// Waits for the first bytes of the next call. Returns `false` if the connection is to be closed:
/// by the caller, after the idle timeout, or because the instance closes idle connections.
async fn wait_for_call(
    reader: &mut SessionReader,
    state: &RelayState,
) -> crate::session::Result<bool> {
    let idle_timeout = state.catalog().map_or(Duration::from_secs(15), |index| {
        index.catalog().limits.idle_timeout
    });
    tokio::select! {
        biased;
        arrived = timeout(idle_timeout, reader.wait_for_bytes()) => arrived.unwrap_or(Ok(false)),
        () = state.until_phase(ServingPhase::Closing) => Ok(false),
    }
}

fn session_limits(state: &RelayState) -> SessionLimits {
    let limits = state.catalog().map(|index| index.catalog().limits.clone());
    let limits = limits.unwrap_or_default();
    SessionLimits {
        header_bytes: limits.header_bytes,
        body_bytes: limits.body_bytes,
        header_timeout: limits.header_timeout,
        body_timeout: BODY_TIMEOUT,
    }
}

/// Serves a call until its end. Cancels it and returns `None` if the caller closes the connection.
async fn serve_while_connected(
    state: &Rc<RelayState>,
    incoming: &IncomingCall,
    reader: &mut SessionReader,
    writer: &mut SessionWriter,
) -> Option<CallRecord> {
    state.active_calls.set(state.active_calls.get() + 1);
    let record = tokio::select! {
        record = serve_call(state, incoming, writer) => Some(record),
        () = reader.closed() => None,
    };
    state.active_calls.set(state.active_calls.get() - 1);
    if record.is_none() {
        let metadata = state.dialect.read_call(incoming.head.head().headers());
        log::info!(call = metadata.attempt_id.as_deref().unwrap_or("-"); "relay: caller closed the connection, call cancelled");
    }
    record
}

/// Answers a request that can't be read with a fault. The connection is closed afterwards.
async fn reject_request(
    state: &RelayState,
    error: SessionError,
    writer: &mut SessionWriter,
) -> crate::session::Result<()> {
    let kind = match &error {
        SessionError::Socket(_) => return Err(error),
        SessionError::Parse(_) | SessionError::Payload(_) => FaultKind::MalformedRequest,
        SessionError::OversizedHead | SessionError::OversizedBody => FaultKind::OversizedBody,
        SessionError::Slow => FaultKind::SlowCaller,
    };
    log::info!("relay: request rejected: {error}");
    refuse(state, &CallRefusal::new(kind, None), writer).await;
    Ok(())
}
