//! Serving of caller connections.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use quota::connections::ConnectionUse;
use quota::gate::{ConnectionGate, ConnectionPass};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};

use crate::accept::accept_each;
use crate::forward::serve_call;
use crate::record::{CallEnd, CallRecord};
use crate::refusal::CallRefusal;
use crate::reply::refuse;
use crate::session::{
    IncomingCall, SessionError, SessionLimits, SessionReader, SessionWriter, open,
};
use crate::state::{RelayState, ServingPhase};

/// Accepts and serves caller connections until phase [`ServingPhase::Closed`] or the end of the
/// process.
pub async fn serve_callers(listener: TcpListener, state: Rc<RelayState>) {
    let _open = CountGuard::new(&state, |state| &state.open_listeners);
    let gate = ConnectionGate::new(state.settings.callers.connections);
    let accepting = accept_each(listener, "relay", gate, |stream, pass| {
        serve_caller(stream, pass, Rc::clone(&state))
    });
    tokio::select! {
        biased;
        () = state.until_phase(ServingPhase::Closed) => {}
        () = accepting => {}
    }
}

/// Counts a connection and returns the future that serves it. A connection whose future has not run
/// yet must not escape a drain.
fn serve_caller(
    stream: TcpStream,
    pass: ConnectionPass,
    state: Rc<RelayState>,
) -> impl Future<Output = ()> {
    let open = CountGuard::new(&state, |state| &state.open_connections);
    async move {
        state.metrics.set_connections(state.open_connections.get());
        if let Err(error) = serve_calls(stream, &pass, &state).await {
            log::debug!("relay: caller connection failed: {error}");
        }
        drop(pass);
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

async fn serve_calls(
    stream: TcpStream,
    pass: &ConnectionPass,
    state: &Rc<RelayState>,
) -> crate::session::Result<()> {
    let answer_progress = state.settings.callers.answer_progress;
    let (mut reader, mut writer) = open(stream, &state.http, &state.bytes, answer_progress)?;
    let mut pipelined = 0;
    loop {
        pipelined = match reader.has_bytes() {
            true => pipelined + 1,
            false => 0,
        };
        writer.closes = pipelined >= state.settings.callers.pipelined_requests;
        let received = tokio::select! {
            biased;
            received = receive_call(&mut reader, &mut writer, pass, state) => received,
            () = pass.evicted() => return Ok(()),
        };
        let incoming = match received {
            Ok(Some(incoming)) => incoming,
            Ok(None) => return Ok(()),
            Err(refused) => return reject_request(state, refused, &mut reader, &mut writer).await,
        };
        pass.note_use(ConnectionUse::Serving);
        reader.share.set_pinned(true);
        // Boxed so that a connection without a call takes little memory.
        let serving = Box::pin(serve_while_connected(
            state,
            &incoming,
            &mut reader,
            &mut writer,
        ));
        let record = serving.await;
        reader.share.set_pinned(false);
        pass.note_use(ConnectionUse::Idle);
        drop(incoming);
        let Some(record) = record else {
            return Ok(());
        };
        record.note(&state.metrics);
        let is_over = matches!(record.end, CallEnd::Cut | CallEnd::CallerLost);
        if is_over || !writer.keeps_alive() {
            return Ok(());
        }
        if writer.closes {
            log::info!("relay: connection closed: too many pipelined requests");
            return close_after_answer(&mut reader, &mut writer).await;
        }
        if reader.has_bytes() {
            // Other connections take their turn between two pipelined requests.
            tokio::task::yield_now().await;
        }
    }
}

/// A request that can't be read, and the time until its caller stops waiting, if it is known.
struct RejectedRequest {
    error: SessionError,
    time_left: Option<Duration>,
}

impl From<SessionError> for RejectedRequest {
    fn from(error: SessionError) -> Self {
        Self {
            error,
            time_left: None,
        }
    }
}

/// Receives the next call. Returns `None` if the connection is to be closed.
async fn receive_call(
    reader: &mut SessionReader,
    writer: &mut SessionWriter,
    pass: &ConnectionPass,
    state: &RelayState,
) -> Result<Option<IncomingCall>, RejectedRequest> {
    if !wait_for_call(reader, state).await? {
        return Ok(None);
    }
    pass.note_use(ConnectionUse::Receiving);
    let incoming = tokio::select! {
        biased;
        received = read_call(reader, writer, state) => received?,
        () = state.until_exit() => return Err(SessionError::Stopping.into()),
    };
    Ok(Some(incoming))
}

/// Reads a call whose first bytes have arrived.
async fn read_call(
    reader: &mut SessionReader,
    writer: &mut SessionWriter,
    state: &RelayState,
) -> Result<IncomingCall, RejectedRequest> {
    let started = Instant::now();
    let limits = session_limits(state);
    let head = reader.read_head(writer, &limits).await?;
    if writer.is_bodiless() {
        return Ok(reader.read_body(head, writer, &limits).await?);
    }
    let caller_timeout = state
        .dialect
        .read_call(head.head().headers())
        .caller_timeout;
    let received = reader.read_body(head, writer, &limits).await;
    received.map_err(|error| RejectedRequest {
        error,
        time_left: caller_timeout.map(|limit| limit.saturating_sub(started.elapsed())),
    })
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
        body_timeout: state.settings.callers.body_timeout,
        body_progress: state.settings.callers.body_progress,
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
    rejected: RejectedRequest,
    reader: &mut SessionReader,
    writer: &mut SessionWriter,
) -> crate::session::Result<()> {
    let error = rejected.error;
    let Some(kind) = error.fault_kind() else {
        return Err(error);
    };
    log::info!("relay: request rejected: {error}");
    state.metrics.count_rejected(kind);
    writer.closes = true;
    refuse(state, &CallRefusal::new(kind, rejected.time_left), writer).await;
    close_after_answer(reader, writer).await
}

/// Closes a connection whose caller may still be sending, such that it can read its last answer.
async fn close_after_answer(
    reader: &mut SessionReader,
    writer: &mut SessionWriter,
) -> crate::session::Result<()> {
    writer.shut_down().await?;
    reader.discard().await;
    Ok(())
}
