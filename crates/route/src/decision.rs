//! The record of one selection, which shows operators why an endpoint was chosen.

use serde::{Deserialize, Serialize};
use wire::id::EndpointId;

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChoiceReason {
    /// The warm hint names it and its load is within the target for warm requests.
    Warm,
    /// It is one of the chat's preferred endpoints and its load is at most the mean.
    Preferred,
    /// It holds the longest known prefix of the prompt and its load is within the target for cold
    /// requests.
    SharedPrefix,
    /// It was drawn at random, with a probability proportional to its headroom.
    Room,
    /// None of the endpoints scanned has headroom; it is the least loaded of them.
    LeastLoaded,
    /// No endpoint is eligible.
    NoneLeft,
}

/// Why an endpoint that was considered was not chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Exclusion {
    /// It is draining, as reported by control or by its own refusal.
    Leaving,
    /// Control reports it as down: its lease lapsed or its agent finds it unusable.
    Down,
    /// A connection to it, or an attempt sent to it, failed recently.
    Suspect,
    /// It started to serve recently and does not admit requests yet.
    Joining,
    /// An earlier attempt of this request was refused or failed there.
    Tried,
    /// Its load with the request would exceed the limit.
    Loaded,
    /// It belongs to another service or does not carry the model.
    Misplaced,
    /// It lost its cache after the hint was issued.
    Cold,
    /// The hint names it, but the table does not contain it.
    Unknown,
}

/// One endpoint that was considered.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CandidateRecord {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its load as a multiple of its expected load, both including the request; 0 when the table
    /// does not contain it.
    pub load: f64,
    /// Tokens of the chat that it holds according to the warm hint; 0 when not named by the hint.
    pub warm_tokens: u32,
    /// The selection step that considered it.
    pub reason: ChoiceReason,
    /// Why it was not chosen; `None` for the chosen endpoint.
    pub exclusion: Option<Exclusion>,
}

/// The chosen endpoint and the record of the selection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteDecision {
    /// The endpoint, or `None` when none is eligible.
    pub endpoint: Option<EndpointId>,
    /// Why it was chosen.
    pub reason: ChoiceReason,
    /// Endpoints in the order in which they were considered.
    pub candidates: Vec<CandidateRecord>,
    /// Mean load per unit of weight. Times the weight of an endpoint, it is the expected load to
    /// which the endpoint's load relates.
    pub mean: f64,
    /// Number of known endpoints that carry the model.
    pub known: u32,
}

impl RouteDecision {
    /// The decision for a service without known endpoints.
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
