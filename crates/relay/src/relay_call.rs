//! A call under the rules that apply to it.

use std::time::Duration;

use actix_http::Request;
use bytes::Bytes;
use catalog::{AccountRule, RouteRule};
use tokio::time::Instant;
use wire::id::{EndpointId, FingerprintHash, ServiceId};

use crate::admission::AdmissionCall;
use crate::call::{CallMetadata, PromptOutline};
use crate::placement::PlacementQuery;
use crate::rules::{CallRules, fingerprint};
use crate::session::IncomingCall;
use crate::state::RelayState;

/// Longest wait of a caller that names none.
pub const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(60);

/// A call whose route and client account are known.
pub struct RelayCall<'a> {
    /// Its head as it came in.
    pub head: &'a Request,
    /// Its body.
    pub body: &'a Bytes,
    /// What the head tells.
    pub metadata: CallMetadata,
    /// Its route.
    pub route: &'a RouteRule,
    /// The client account.
    pub account: Option<&'a AccountRule>,
    /// The service that takes it.
    pub service: ServiceId,
    /// Rank among the calls that the service may get; 0 is the most urgent.
    pub rank: u8,
    /// Connections that an endpoint of the service accepts from all instances; 0 for any number.
    pub connections: u32,
    /// What makes two calls the same work.
    pub fingerprint: FingerprintHash,
    /// When it arrived.
    pub started: Instant,
    /// When the caller or the route gives up.
    pub deadline: Instant,
}

impl<'a> RelayCall<'a> {
    /// A call under its rules that arrived at `started`.
    pub fn new(
        incoming: &'a IncomingCall,
        metadata: CallMetadata,
        rules: CallRules<'a>,
        started: Instant,
    ) -> Self {
        let caller_timeout = metadata.caller_timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT);
        Self {
            head: &incoming.head,
            body: &incoming.body,
            fingerprint: fingerprint(incoming, rules.account),
            metadata,
            route: rules.route,
            account: rules.account,
            service: rules.service,
            rank: rules.rank,
            connections: rules.connections,
            started,
            deadline: started + caller_timeout.min(rules.route.timeout),
        }
    }

    /// Name of the client account; empty for none.
    pub fn account_name(&self) -> &str {
        self.account.map_or("", |account| account.name.as_str())
    }

    /// Time that the caller has left, if it told any.
    pub fn time_left(&self) -> Option<Duration> {
        let caller_timeout = self.metadata.caller_timeout?;
        Some(caller_timeout.saturating_sub(self.started.elapsed()))
    }

    /// What the call asks of the decision whether it is let in.
    pub fn admission<'b>(&'b self, state: &RelayState) -> AdmissionCall<'b> {
        AdmissionCall {
            rank: self.rank,
            account: self.account_name(),
            objective: self.route.objective,
            is_stream: self.route.kind.is_stream(),
            time_left: self.deadline.saturating_duration_since(Instant::now()),
            instances: state.budget.borrow().instances(),
        }
    }

    /// What the call asks of the choice of an endpoint, when it has tried these.
    pub fn query<'b>(&self, state: &RelayState, tried: &'b [EndpointId]) -> PlacementQuery<'b> {
        PlacementQuery {
            service: self.service,
            shared_part: self
                .metadata
                .prompt
                .as_ref()
                .and_then(PromptOutline::shared_part),
            instance: state.settings.instance,
            domain: state.settings.domain,
            tried,
            now: state.now(),
        }
    }
}
