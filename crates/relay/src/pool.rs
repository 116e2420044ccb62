//! Idle connections to endpoints.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use wire::id::EndpointId;

use crate::endpoint::EndpointConnection;

/// Time for which a connection is kept when the endpoint tells none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest time for which a connection is kept.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time before the endpoint's own limit at which a connection is given up, so that no call crosses
/// the close.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Idle connections to one endpoint at most.
const MAX_IDLE_CONNECTIONS: usize = 24;
/// Part, as a divisor, of the connections that an endpoint accepts which all instances together keep
/// idle at most. The rest is for calls under way.
const IDLE_DIVISOR: usize = 2;

/// Idle connections that one instance keeps to an endpoint that accepts `accepted` connections from
/// all `instances` together; 0 for no bound of its own.
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

/// Idle connections, by endpoint; the one used last is used first.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<EndpointId, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// An idle connection that still stands.
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

    /// Keeps a connection, if it may be used again and fewer than `max_idle` are kept.
    pub fn put(
        &self,
        now: Duration,
        endpoint: EndpointId,
        connection: EndpointConnection,
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
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(endpoint).or_default();
        if connections.len() < max_idle {
            connections.push(IdleConnection {
                connection,
                until: now + limit.min(MAX_IDLE_TIMEOUT),
            });
        }
    }

    /// Closes what is past its time.
    pub fn expire(&self, now: Duration) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|kept| now < kept.until && kept.connection.is_idle());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Closes every connection to an endpoint.
    pub fn close(&self, endpoint: EndpointId) {
        self.idle.borrow_mut().remove(&endpoint);
    }
}
