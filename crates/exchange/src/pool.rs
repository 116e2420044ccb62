//! Pool of idle connections to endpoints.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use wire::id::EndpointId;

use crate::connection::EndpointConnection;

/// Time for which an idle connection is kept if the endpoint states no limit.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum time for which an idle connection is kept.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time by which a connection is closed before the endpoint's own limit, so that no call is sent
/// while the endpoint closes the connection.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum number of idle connections to one endpoint.
const MAX_IDLE_CONNECTIONS: usize = 24;
/// All instances together keep at most the number of connections that an endpoint accepts, divided
/// by this, idle. The others are reserved for calls in progress.
const IDLE_DIVISOR: usize = 2;

/// Maximum number of idle connections, at least 1, that one instance keeps to an endpoint that
/// accepts `accepted` connections from all `instances` together. With `accepted` 0 the endpoint has
/// no limit.
pub fn idle_share(accepted: u32, instances: usize) -> usize {
    let share = match accepted {
        0 => MAX_IDLE_CONNECTIONS,
        accepted => accepted as usize / IDLE_DIVISOR / instances.max(1),
    };
    share.clamp(1, MAX_IDLE_CONNECTIONS)
}

struct IdleConnection {
    connection: EndpointConnection,
    until: Duration,
}

/// Idle connections by endpoint. The most recently used one is taken first.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<EndpointId, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes an idle connection that has not expired and that the endpoint has not closed.
    pub fn take(&self, now: Duration, endpoint: EndpointId) -> Option<EndpointConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&endpoint)?;
        while let Some(last) = connections.pop() {
            if now < last.until && last.connection.is_idle() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Adds a connection if it is reusable and fewer than `max_idle` connections to the endpoint
    /// are idle. `keep_alive` is the endpoint's own limit on idle time.
    pub fn put(
        &self,
        now: Duration,
        endpoint: EndpointId,
        mut connection: EndpointConnection,
        keep_alive: Option<Duration>,
        max_idle: usize,
    ) {
        let limit = match keep_alive {
            Some(limit) => limit.saturating_sub(IDLE_MARGIN),
            None => DEFAULT_IDLE_TIMEOUT,
        };
        if limit.is_zero() || !connection.is_reusable() {
            return;
        }
        connection.release_head();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(endpoint).or_default();
        if connections.len() < max_idle {
            connections.push(IdleConnection {
                connection,
                until: now + limit.min(MAX_IDLE_TIMEOUT),
            });
        }
    }

    /// Closes connections that have expired or that the endpoint has closed.
    pub fn expire(&self, now: Duration) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|kept| now < kept.until && kept.connection.is_idle());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Closes all idle connections to an endpoint.
    pub fn close(&self, endpoint: EndpointId) {
        self.idle.borrow_mut().remove(&endpoint);
    }
}
