//! What endpoints state about themselves, and the messages by which gateways share their limits.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::id::EndpointId;

/// Millionths of a call per second, the unit of [`CallRate`].
const UNITS: f64 = 1e6;
/// Largest rate in calls per second. Greater ones, which no endpoint reaches, are taken as this.
const MAX_PER_SECOND: f64 = 1e6;

/// Rate of calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallRate(u64);

impl CallRate {
    /// A rate of calls per second. `None` if the number is negative, infinite or none.
    pub fn from_per_second(rate: f64) -> Option<Self> {
        let is_rate = rate.is_finite() && rate >= 0.0;
        is_rate.then(|| Self((rate.min(MAX_PER_SECOND) * UNITS) as u64))
    }

    /// The rate in calls per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / UNITS
    }
}

/// Largest number of notices in a message. This and [`MAX_WISHES`] keep messages within
/// [`crate::gateway::MAX_DATAGRAM_BYTES`].
pub const MAX_NOTICES: usize = 24;
/// Largest number of endpoints in a [`TokenAsk`].
pub const MAX_WISHES: usize = 16;

/// Identifies a [`TokenAsk`]. Random, chosen by the gateway that asks.
pub type AskId = u64;

/// The limit that an answer of an endpoint named, or that it named none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its address. A notice says nothing of another process that has the name at another address.
    pub address: SocketAddrV4,
    /// Rate of calls that it takes from all instances together; `None` for no limit.
    pub limit: Option<CallRate>,
    /// Time since the call was sent whose answer states this, in milliseconds.
    pub sent_age_ms: u32,
    /// Time since the head of that answer arrived, in milliseconds. At most `sent_age_ms`.
    pub read_age_ms: u32,
}

/// Largest number of endpoints in a [`LimitMessage::ColdAsk`], which has two entries for each.
pub const MAX_COLD_WISHES: usize = 12;

/// What a gateway knows of the latest restart of an endpoint that is cold after a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdNotice {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its address. A notice says nothing of another process that has the name at another address.
    pub address: SocketAddrV4,
    /// Time since the latest sign of a restart, in milliseconds; `None` if there was none.
    pub sign_age_ms: Option<u32>,
    /// Time since the first answer after it, in milliseconds; `None` if there was none.
    pub answer_age_ms: Option<u32>,
    /// How much longer the endpoint is cold by its own statement or the list's, in milliseconds.
    pub remaining_ms: Option<u32>,
}

/// Tokens of one endpoint that a gateway asks for. Each token is the right to send one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenWish {
    /// The endpoint, and what the gateway knows of its limit.
    pub notice: LimitNotice,
    /// Number of tokens.
    pub count: u16,
}

/// Asks the keeper of the rates for tokens of the first of these endpoints that has any.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenAsk {
    /// Id of the request.
    pub id: AskId,
    /// The endpoints in order of preference; at most [`MAX_WISHES`].
    pub wishes: Vec<TokenWish>,
}

/// Tokens that a gateway may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenLot {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Number of tokens; at least 1.
    pub count: u16,
}

/// An endpoint that has no token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenShortage {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Time until it has one, in milliseconds.
    pub next_ms: u32,
}

/// The answer to a [`TokenAsk`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TokenOutcome {
    /// The receiver keeps the rates.
    Kept {
        /// The tokens; `None` if no endpoint has any.
        lot: Option<TokenLot>,
        /// The endpoints before that one, which have none.
        shortages: Vec<TokenShortage>,
    },
    /// The receiver does not keep the rates.
    NotKeeper,
}

/// Message about limits from one gateway to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitMessage {
    /// What endpoints stated lately.
    Notices {
        /// The statements; at most [`MAX_NOTICES`].
        notices: Vec<LimitNotice>,
        /// Number of gateways, those that follow the receiver in the order of ids, to which the
        /// receiver passes on what is new to it.
        forward: u16,
    },
    /// Asks for tokens.
    Ask(TokenAsk),
    /// Answers the request with this id.
    Reply {
        /// Id of the request.
        id: AskId,
        /// The answer.
        outcome: TokenOutcome,
    },
    /// Endpoints that are cold, or may be. Older gateways ignore it.
    Cold {
        /// What is known of them; at most [`MAX_NOTICES`].
        notices: Vec<ColdNotice>,
        /// Whether the sender knew of the restarts of all endpoints when it sent this and the
        /// messages just before it, so that the receiver now does, too.
        is_whole: bool,
        /// Number of gateways to which the receiver passes on what is new to it.
        forward: u16,
    },
    /// Asks for tokens of endpoints of which some are cold, or may be.
    ColdAsk {
        /// The request; with at most [`MAX_COLD_WISHES`] endpoints.
        ask: TokenAsk,
        /// What the sender knows of the cold ones.
        notices: Vec<ColdNotice>,
    },
}
