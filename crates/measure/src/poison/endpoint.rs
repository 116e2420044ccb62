//! Simulated endpoints, each at an address of its own.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use wire::gateway::ListedEndpoint;
use wire::id::{EndpointId, name_id};

/// Name of the service of all endpoints.
pub const SERVICE: &str = "engines";
/// Requests that an endpoint runs at once.
const SLOTS: u16 = 64;
/// Time from a crash until the list names the successor.
const LIST_LAG: Duration = Duration::from_millis(3500);
/// Time in which an endpoint that has started is on the list.
const JOIN_LAG: Duration = Duration::from_millis(1200);

/// Reply to a connection attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectReply {
    /// The endpoint of that id accepted.
    Accepted(EndpointId),
    /// Nothing accepts connections there.
    Unreachable,
}

/// What listens at one address.
#[derive(Clone, Debug)]
pub struct SimulatedEndpoint {
    address: usize,
    /// Number of names that endpoints at this address have had.
    names: u32,
    /// Number of starts at this address.
    pub starts: u32,
    /// When it accepts connections again, if it is down.
    up_at: Option<Duration>,
    /// Name on the list.
    listed_name: String,
    /// When the list names the current endpoint.
    listed_at: Option<Duration>,
}

impl SimulatedEndpoint {
    /// Creates an endpoint that is up and listed.
    pub fn new(address: usize) -> Self {
        let mut endpoint = Self {
            address,
            names: 0,
            starts: 0,
            up_at: None,
            listed_name: String::new(),
            listed_at: None,
        };
        endpoint.listed_name = endpoint.name();
        endpoint
    }

    /// Crashes the endpoint. It returns after `downtime`, under another name if `is_renamed`.
    pub fn crash(&mut self, now: Duration, downtime: Duration, is_renamed: bool) {
        self.up_at = Some(now + downtime);
        self.starts += 1;
        if is_renamed {
            self.names += 1;
            self.listed_at = Some((now + LIST_LAG).max(now + downtime + JOIN_LAG));
        }
    }

    /// Advances to `now`. Returns whether the list has changed.
    pub fn advance(&mut self, now: Duration) -> bool {
        if self.up_at.is_some_and(|at| now >= at) {
            self.up_at = None;
        }
        let is_due = self.listed_at.is_some_and(|at| now >= at);
        if is_due {
            self.listed_at = None;
            self.listed_name = self.name();
        }
        is_due
    }

    /// Whether it accepts connections.
    pub fn is_up(&self) -> bool {
        self.up_at.is_none()
    }

    /// Opens a connection.
    pub fn connect(&self) -> ConnectReply {
        match self.is_up() {
            true => ConnectReply::Accepted(name_id(&self.name())),
            false => ConnectReply::Unreachable,
        }
    }

    /// Entry of the list for this address.
    pub fn listed(&self) -> ListedEndpoint {
        let host = u32::try_from(self.address).unwrap_or(u32::MAX);
        ListedEndpoint {
            name: self.listed_name.clone(),
            service: SERVICE.to_owned(),
            address: SocketAddrV4::new(Ipv4Addr::from_bits(0x0a00_0000 + host), 80),
            domain: 0,
            slots: SLOTS,
            is_draining: false,
            version: "v1".to_owned(),
        }
    }

    /// Id of the entry of the list.
    pub fn listed_id(&self) -> EndpointId {
        name_id(&self.listed_name)
    }

    fn name(&self) -> String {
        format!("endpoint-{}-{}", self.address, self.names)
    }
}
