//! Connections of a listener, and which one gives way to a new one.
//!
//! Load pattern: clients open as many connections as the listener accepts and leave them idle, or
//! send a part of a request. New callers would be turned away until they leave.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

/// Id of a connection.
pub type ConnectionId = u64;

/// A connection is not closed in favour of a new one unless it has been without progress for this
/// time. Callers that have just connected need a moment to send their request. With 500 ms, new
/// connections were refused while idle ones were opened faster than they came of age.
const MIN_STALL: Duration = Duration::from_millis(20);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// A request is awaited, or its head or body is being received.
    Receiving,
    /// A request is being served.
    Serving,
    /// A request has been answered and the next one has not begun.
    Idle,
}

/// Limits on the connections of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum number of connections.
    pub connections: usize,
    /// Maximum number of connections from one peer address; 0 for no limit of its own.
    pub per_address: usize,
    /// Maximum number of connections on which no request is being served; 0 for no limit of its own.
    pub waiting: usize,
    /// Maximum number of connections that gave way and have not been closed yet; 0 for no limit.
    /// While there are more, the processor is short, and new connections are refused: each would
    /// hold memory in addition.
    pub closing: usize,
}

/// Answer to a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitResult {
    /// It is accepted.
    Admitted(ConnectionId),
    /// It is accepted, and the other one is to be closed in its favour.
    Replaces(ConnectionId, ConnectionId),
    /// It is to be closed.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct OpenConnection {
    address: IpAddr,
    used_for: ConnectionUse,
    progress_at: Duration,
    is_evicted: bool,
}

/// The open connections of a listener.
#[derive(Debug)]
pub struct ConnectionTable {
    limits: ConnectionLimits,
    open: HashMap<ConnectionId, OpenConnection>,
    evicted: usize,
    next: ConnectionId,
}

impl ConnectionTable {
    /// Creates the table of a listener without connections.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            open: HashMap::new(),
            evicted: 0,
            next: 0,
        }
    }

    /// Number of open connections that were not evicted.
    pub fn count(&self) -> usize {
        self.open.len() - self.evicted
    }

    /// Decides on a new connection.
    pub fn admit(&mut self, now: Duration, address: IpAddr) -> AdmitResult {
        let per_address = self.limits.per_address;
        let has_waiting = self.limits.waiting > 0 && self.waiting() >= self.limits.waiting;
        let is_full = has_waiting || self.count() >= self.limits.connections;
        let same = match per_address {
            0 => 0,
            _ => self.count_of(address),
        };
        let has_too_many = per_address > 0 && same >= per_address;
        let victim = match (is_full, has_too_many) {
            (false, false) => None,
            (_, true) => self.victim(now, Some(address)),
            (true, false) => self.victim(now, None),
        };
        let has_backlog = self.limits.closing > 0 && self.evicted >= self.limits.closing;
        if (is_full || has_too_many) && (victim.is_none() || has_backlog) {
            return AdmitResult::Refused;
        }
        self.next += 1;
        let connection = OpenConnection {
            address,
            used_for: ConnectionUse::Receiving,
            progress_at: now,
            is_evicted: false,
        };
        self.open.insert(self.next, connection);
        match victim {
            None => AdmitResult::Admitted(self.next),
            Some(victim) => {
                if let Some(other) = self.open.get_mut(&victim) {
                    other.is_evicted = true;
                    self.evicted += 1;
                }
                AdmitResult::Replaces(self.next, victim)
            }
        }
    }

    /// Removes a closed connection.
    pub fn remove(&mut self, id: ConnectionId) {
        if let Some(removed) = self.open.remove(&id) {
            self.evicted -= usize::from(removed.is_evicted);
        }
    }

    /// Records what a connection does, as progress of its client.
    pub fn note_use(&mut self, now: Duration, id: ConnectionId, used_for: ConnectionUse) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.used_for = used_for;
            connection.progress_at = now;
        }
    }

    fn count_of(&self, address: IpAddr) -> usize {
        let same = self
            .open
            .values()
            .filter(|other| other.address == address && !other.is_evicted);
        same.count()
    }

    /// Number of connections on which no request is being served.
    fn waiting(&self) -> usize {
        let waiting = self
            .open
            .values()
            .filter(|other| !other.is_evicted && other.used_for != ConnectionUse::Serving);
        waiting.count()
    }

    /// The connection that gives way: one whose request is overdue before one that is idle between
    /// requests, and the one without progress for the longest of these.
    fn victim(&self, now: Duration, address: Option<IpAddr>) -> Option<ConnectionId> {
        let candidates = self.open.iter().filter(|(_, other)| {
            let stalled = now.saturating_sub(other.progress_at);
            let is_candidate = !other.is_evicted && other.used_for != ConnectionUse::Serving;
            is_candidate && stalled >= MIN_STALL && address.is_none_or(|only| only == other.address)
        });
        let longest = candidates.min_by_key(|(id, other)| {
            (
                other.used_for == ConnectionUse::Idle,
                other.progress_at,
                **id,
            )
        });
        longest.map(|(id, _)| *id)
    }
}
