//! Detection of unreachable endpoints while calls wait for their bytes.
//!
//! Load pattern: a failure domain loses power, and its connections neither close nor are reset. A
//! call that waits there learns of it by its silence limit only, which allows for long queues and
//! takes seconds. So an endpoint that is silent to all calls of this instance is probed: if it does
//! not accept a connection twice in a row, calls that may run again go on elsewhere.

use std::future::Future;
use std::net::SocketAddrV4;
use std::time::Duration;

use exchange::connection::{self, EndpointConnection, EndpointError};
use tokio::time::sleep;
use wire::id::EndpointId;

use crate::attempt::with_time_limit;
use crate::state::RelayState;

/// Time for which a call waits for bytes before its endpoint is probed.
const PROBE_DELAY: Duration = Duration::from_millis(700);
/// Interval at which a call that waits looks at what is known of its endpoint.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Waits for an endpoint, and fails with [`EndpointError::Silent`] after `limit`, or as soon as the
/// endpoint is found unreachable. The limit is `None` if the call can't be retried elsewhere.
pub(crate) async fn wait_while_reachable<T>(
    state: &RelayState,
    endpoint: EndpointId,
    limit: Option<Duration>,
    wait: impl Future<Output = connection::Result<T>>,
) -> connection::Result<T> {
    if limit.is_none_or(|limit| limit <= PROBE_DELAY) {
        return with_time_limit(limit, wait).await;
    }
    tokio::select! {
        biased;
        result = with_time_limit(limit, wait) => result,
        () = state.until_unreachable(endpoint) => Err(EndpointError::Silent),
    }
}

/// What a call that waits for a silent endpoint does next.
enum ProbeStep {
    /// The endpoint is unreachable.
    GiveUp,
    /// Probe the endpoint at this address.
    Probe(SocketAddrV4),
    /// Look again later.
    Wait,
}

impl RelayState {
    /// Waits until an endpoint is found unreachable. Probes it while it is silent to all calls of
    /// this instance.
    async fn until_unreachable(&self, endpoint: EndpointId) {
        sleep(PROBE_DELAY).await;
        loop {
            match self.probe_step(endpoint) {
                ProbeStep::GiveUp => return,
                ProbeStep::Wait => sleep(CHECK_INTERVAL).await,
                ProbeStep::Probe(address) => {
                    let limit = self.settings.connect_limit;
                    let opened = EndpointConnection::open(address.into(), limit).await;
                    self.note_probe(endpoint, opened.is_ok());
                }
            }
        }
    }

    fn probe_step(&self, endpoint: EndpointId) -> ProbeStep {
        let now = self.now();
        let mut table = self.table.borrow_mut();
        let Some(row) = table.row_mut(endpoint) else {
            // An endpoint that is no longer listed may still answer.
            return ProbeStep::Wait;
        };
        if row.is_unreachable(now) {
            return ProbeStep::GiveUp;
        }
        match row.begin_probe(now) {
            true => ProbeStep::Probe(row.address),
            false => ProbeStep::Wait,
        }
    }

    fn note_probe(&self, endpoint: EndpointId, is_reached: bool) {
        let now = self.now();
        let mut table = self.table.borrow_mut();
        let Some(row) = table.row_mut(endpoint) else {
            return;
        };
        row.note_probe(is_reached);
        if row.is_unreachable(now) {
            log::info!(endpoint = row.name.as_str(); "relay: silent endpoint accepts no connection");
            drop(table);
            self.note_maybe_cold(endpoint);
        }
    }
}
