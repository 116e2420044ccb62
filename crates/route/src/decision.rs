//! The record of a choice, for operators who ask why.

use serde::{Deserialize, Serialize};
use wire::id::EndpointId;

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChoiceReason {
    /// The hint names it and it has room.
    Warm,
    /// It is preferred by the chat and has room.
    Preferred,
    /// It holds the longest known prefix of the prompt and has room.
    SharedPrefix,
    /// It was drawn in proportion to its room.
    Room,
    /// Nobody has room; it is the least loaded.
    LeastLoaded,
    /// No endpoint can be tried.
    NoneLeft,
}

/// Why an endpoint was passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Exclusion {
    /// It is draining or said that it is leaving.
    Leaving,
    /// Control says that it is down: its lease lapsed or its agent finds it unusable.
    Down,
    /// A connection to it failed a moment ago.
    Suspect,
    /// It began to serve a moment ago and admits nothing yet.
    Joining,
    /// It refused this request before.
    Tried,
    /// Its load would exceed the aim.
    Loaded,
    /// It serves another service, or does not carry the model.
    Misplaced,
    /// Its cache was lost since the hint was given.
    Cold,
    /// The hint names it, but no digest does.
    Unknown,
}

/// One endpoint that was considered.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CandidateRecord {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its load with the request, as a multiple of the mean.
    pub load: f64,
    /// Tokens that are believed warm there.
    pub warm_tokens: u32,
    /// Why it was considered.
    pub reason: ChoiceReason,
    /// Why it was passed over; `None` for the chosen one.
    pub exclusion: Option<Exclusion>,
}

/// The choice and its record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteDecision {
    /// The endpoint, or `None` when none can be tried.
    pub endpoint: Option<EndpointId>,
    /// Why it was chosen.
    pub reason: ChoiceReason,
    /// Endpoints in the order in which they were considered.
    pub candidates: Vec<CandidateRecord>,
    /// Mean load for each unit of weight that the loads are measured by.
    pub mean: f64,
    /// Endpoints that carry the model.
    pub known: u32,
}

impl RouteDecision {
    /// The decision where no endpoint is known.
    pub fn none() -> Self {
        Self {
            endpoint: None,
            reason: ChoiceReason::NoneLeft,
            candidates: Vec::new(),
            mean: 0.0,
            known: 0,
        }
    }
}
