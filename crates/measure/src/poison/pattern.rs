//! How endpoints end, and what else fails during a run.

use argh::FromArgValue;
use derive_more::Display;

/// How endpoints end, and what else fails during a run. Unless stated otherwise, an endpoint that
/// crashed refuses connections for some seconds and returns under another name at its address.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CrashPattern {
    /// Nothing else fails.
    #[display("new-name")]
    NewName,
    /// Crashed endpoints return under their own name.
    #[display("same-name")]
    SameName,
    /// Crashed endpoints are replaced at their address within 20 ms.
    #[display("replaced")]
    Replaced,
    /// Crashed endpoints fall silent: no connection to them is closed, none can be opened.
    #[display("silent")]
    Silent,
    /// The callers of the request disconnect before the endpoint crashes.
    #[display("caller-leaves")]
    CallerLeaves,
    /// A quarter of the endpoints crashes every few seconds for other reasons.
    #[display("crash-storm")]
    CrashStorm,
    /// Gateways restart in turn.
    #[display("gateway-restarts")]
    GatewayRestarts,
    /// A third of the gateways is cut off from the others, but not from the endpoints, again and
    /// again.
    #[display("gateway-cuts")]
    GatewayCuts,
    /// Endpoints lose a fifth of their answers without crashing.
    #[display("lost-answers")]
    LostAnswers,
}

impl CrashPattern {
    /// All patterns.
    pub const ALL: [Self; 9] = [
        Self::NewName,
        Self::SameName,
        Self::Replaced,
        Self::Silent,
        Self::CallerLeaves,
        Self::CrashStorm,
        Self::GatewayRestarts,
        Self::GatewayCuts,
        Self::LostAnswers,
    ];
}

/// What crashes each endpoint that runs it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum PoisonScope {
    /// One request, which is sent again and again.
    #[display("request")]
    Request,
    /// Each request with a certain part in its prompt. No two of them are alike otherwise; harmless
    /// requests share their other parts.
    #[display("prompt-part")]
    PromptPart,
}

impl PoisonScope {
    /// Number of crashes from which on the fleet has to know.
    pub fn known_crashes(self) -> u32 {
        match self {
            Self::Request => 3,
            Self::PromptPart => 5,
        }
    }
}

impl FromArgValue for PoisonScope {
    fn from_arg_value(value: &str) -> Result<Self, String> {
        let scopes = [Self::Request, Self::PromptPart];
        let named = scopes.into_iter().find(|scope| scope.to_string() == value);
        named.ok_or_else(|| format!("no scope {value}"))
    }
}

impl FromArgValue for CrashPattern {
    fn from_arg_value(value: &str) -> Result<Self, String> {
        let named = Self::ALL
            .into_iter()
            .find(|pattern| pattern.to_string() == value);
        named.ok_or_else(|| format!("no pattern {value}"))
    }
}
