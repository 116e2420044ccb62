//! The catalog and its parts.

use std::time::Duration;

use wire::statement::CallRate;

/// Version number of a catalog. The highest takes effect; numbers need not be consecutive.
pub type CatalogVersion = u64;

/// Routes, services, limits and client accounts of one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteCatalog {
    /// Version of this catalog.
    pub version: CatalogVersion,
    /// Routes; each has a different combination of host and prefix.
    pub routes: Vec<RouteRule>,
    /// Services that routes may name.
    pub services: Vec<ServiceRule>,
    /// Limits on what callers send.
    pub limits: CallLimits,
    /// Client accounts. Without any account, calls need no key.
    pub accounts: Vec<AccountRule>,
}

/// Whether a request of a route may run more than once, and whether its answer is a stream.
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
    /// Whether a request may run again, from its start or from the last event that was received.
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
    /// Name of the route, for operators.
    pub name: String,
    /// Host of the route's requests, in lower case, without a port.
    pub host: String,
    /// Prefix of the path of the route's requests. Begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once, and whether its answer is a stream.
    pub kind: CallKind,
    /// Longest time that a request may take, up to the end of a streamed answer. Above zero.
    pub timeout: Duration,
    /// Latency objective: time within which an answer, or its first event, is on time.
    pub objective: Duration,
    /// Longest time between two events of a stream that is on time.
    pub max_event_gap: Option<Duration>,
    /// Priority of the route's requests; 0 is the most urgent.
    pub priority: u8,
    /// Services among which the route's requests are divided. At least one has a weight above zero.
    pub services: Vec<ServiceShare>,
    /// Largest number of endpoints that may run one request; those that state that they did not run
    /// it don't count. At least 1.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Whether requests carry the parts of a prompt.
    pub has_prompt: bool,
    /// Regions in which the route's requests stay; empty for any.
    pub allowed_regions: Vec<String>,
}

/// Share of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: String,
    /// Weight in relation to the route's other weights.
    pub weight: u32,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name of the service.
    pub name: String,
    /// Path of the liveness check of its endpoints.
    pub health_path: String,
    /// Connections that one endpoint accepts from all callers together.
    pub max_connections: u32,
    /// Capacity of its endpoints if they are model engines.
    pub engine: Option<EngineRule>,
    /// Time for which an endpoint is cold after a start; zero for never.
    pub cold_start: Duration,
    /// Rate of calls that a cold endpoint tolerates from all instances together; `None` if endpoints
    /// are never cold.
    pub cold_rate: Option<CallRate>,
}

/// Capacity of the model engines of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRule {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that fit into the key-value cache of one engine.
    pub cache_tokens: u64,
}

/// Limits on the size and the duration of what callers send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time from the first to the last byte of a request's head.
    pub header_timeout: Duration,
    /// Longest time for which a connection may be idle between requests.
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
    /// Name of the account.
    pub name: String,
    /// API keys of the account. No two accounts share one.
    pub keys: Vec<String>,
    /// Priority of the account's requests, which is compared before that of the route.
    pub priority: Option<u8>,
    /// Regions in which the account's requests stay; empty for any.
    pub allowed_regions: Vec<String>,
}
