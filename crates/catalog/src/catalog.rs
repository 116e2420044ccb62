//! The catalog and its parts.

use std::time::Duration;

/// Number of a catalog. The highest takes effect; numbers may have gaps.
pub type CatalogVersion = u64;

/// Routes, services and client accounts, as one whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteCatalog {
    /// Number of this catalog.
    pub version: CatalogVersion,
    /// Which requests go where. Host and prefix together are unique.
    pub routes: Vec<RouteRule>,
    /// What routes may name.
    pub services: Vec<ServiceRule>,
    /// What callers may send.
    pub limits: CallLimits,
    /// Who may call. Without any account, calls need no key.
    pub accounts: Vec<AccountRule>,
}

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Idempotent: may run more than once.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that another endpoint may continue after the last event.
    ResumableStream,
}

impl CallKind {
    /// Whether a request may run again, in whole or from an event on.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Its name, for operators.
    pub name: String,
    /// Host of the requests, in lower case, without a port.
    pub host: String,
    /// Start of their path. Begins and ends with a slash.
    pub prefix: String,
    /// How often a request may run.
    pub kind: CallKind,
    /// Longest time for which a request is kept waiting. Above zero.
    pub timeout: Duration,
    /// Time within which an answer, or its first event, is on time.
    pub objective: Duration,
    /// Longest pause between two events of a stream that is on time.
    pub max_event_gap: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the route's requests. At least one has a weight above zero.
    pub services: Vec<ServiceShare>,
    /// Endpoints that may run one request, at most. At least 1.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Whether requests carry the parts of a prompt.
    pub has_prompt: bool,
}

/// Part of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, in relation to the route's other weights.
    pub weight: u32,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Its name.
    pub name: String,
    /// Path of the liveness check of its endpoints.
    pub health_path: String,
    /// Connections that one endpoint accepts from all callers together.
    pub max_connections: u32,
    /// What its endpoints are, when they are model engines.
    pub engine: Option<EngineRule>,
}

/// Model engines of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRule {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that fit into the memory of one engine.
    pub cache_tokens: u64,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// Bytes of the head of a request.
    pub header_bytes: usize,
    /// Bytes of the body of a request.
    pub body_bytes: usize,
    /// Time from the first byte of a head to its last.
    pub header_timeout: Duration,
    /// Time for which a connection may be idle between requests.
    pub idle_timeout: Duration,
}

impl Default for CallLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountRule {
    /// Its name.
    pub name: String,
    /// Its keys. No two accounts share one.
    pub keys: Vec<String>,
    /// Rank of its requests, which goes before that of the route.
    pub priority: Option<u8>,
}
