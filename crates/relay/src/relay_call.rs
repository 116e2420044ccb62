//! A call together with the rules that apply to it.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Request;
use bytes::Bytes;
use catalog::{AccountRule, RouteRule};
use tokio::time::Instant;
use wire::id::{DomainId, EndpointId, FingerprintHash, ServiceId, VersionId};
use wire::stream::ProcessOrigin;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::admission::AdmissionCall;
use crate::call::{CallMetadata, PromptOutline};
use crate::caller_limits::DEFAULT_CALLER_TIMEOUT;
use crate::crash::SuspectHash;
use crate::origin_lookup::ResumedOrigin;
use crate::placement::PlacementQuery;
use crate::region::{DomainRegions, allowed_domains};
use crate::rules::{CallRules, fingerprint};
use crate::session::IncomingCall;
use crate::state::RelayState;

/// A call whose route and client account are known.
pub struct RelayCall<'a> {
    /// Head as received.
    pub head: &'a Request,
    /// Body as received.
    pub body: &'a Bytes,
    /// Metadata from the head.
    pub metadata: CallMetadata,
    /// Route of the call.
    pub route: &'a RouteRule,
    /// Client account of the caller; `None` for callers without one.
    pub account: Option<&'a AccountRule>,
    /// Service that runs the call.
    pub service: ServiceId,
    /// Software version that began the stream which the caller resumes; `None` if it begins one.
    pub resumed_version: Option<VersionId>,
    /// The process that began that stream, while its version is not known: only this one goes on with it.
    pub resumed_process: Cell<Option<ProcessOrigin>>,
    /// Failure domains in which the call must stay; `None` if it may go anywhere.
    pub domains: Option<BTreeSet<DomainId>>,
    /// Rank among the calls of the service; 0 is the most urgent.
    pub rank: u8,
    /// Maximum number of connections that an endpoint of the service accepts from all instances
    /// together; 0 for no limit.
    pub max_connections: u32,
    /// Hash that is equal for calls that are the same work.
    pub fingerprint: FingerprintHash,
    /// Hashes of the shared parts of the prompt, which differ between services.
    pub parts: Rc<[SuspectHash]>,
    /// Arrival time.
    pub started: Instant,
    /// Time at which the call is abandoned: the earlier of the caller's and the route's timeout.
    pub deadline: Instant,
}

impl<'a> RelayCall<'a> {
    /// Combines a call that arrived at `started` with its rules, the origin of the stream which it
    /// resumes, and the regions of failure domains.
    pub fn new(
        incoming: &'a IncomingCall,
        metadata: CallMetadata,
        rules: CallRules<'a>,
        resumed: Option<ResumedOrigin>,
        regions: &DomainRegions,
        started: Instant,
    ) -> Self {
        let caller_timeout = metadata.caller_timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT);
        let prompt = metadata.prompt.as_ref();
        let parts = prompt.map_or_else(Rc::default, |prompt| part_hashes(prompt, rules.service));
        Self {
            parts,
            head: &incoming.head,
            body: &incoming.body,
            fingerprint: fingerprint(incoming, rules.account),
            metadata,
            route: rules.route,
            account: rules.account,
            service: rules.service,
            resumed_version: resumed.map(|resumed| resumed.origin.version),
            resumed_process: Cell::new(resumed.and_then(|resumed| resumed.process)),
            domains: allowed_domains(regions, rules.route, rules.account),
            rank: rules.rank,
            max_connections: rules.max_connections,
            started,
            deadline: started + caller_timeout.min(rules.route.timeout),
        }
    }

    /// Whether only the process that began the stream may go on with it.
    pub fn is_bound_to_process(&self) -> bool {
        self.resumed_process.get().is_some()
    }

    /// Name of the client account; empty for none.
    pub fn account_name(&self) -> &str {
        self.account.map_or("", |account| account.name.as_str())
    }

    /// Time until the caller stops waiting; `None` if it stated no timeout.
    pub fn time_left(&self) -> Option<Duration> {
        let caller_timeout = self.metadata.caller_timeout?;
        Some(caller_timeout.saturating_sub(self.started.elapsed()))
    }

    /// Builds the call's input to admission control.
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

    /// Builds the call's input to the choice of an endpoint of `version`, or of any version, given
    /// the endpoints that it has tried.
    pub fn query<'b>(
        &'b self,
        state: &RelayState,
        version: Option<VersionId>,
        tried: &'b [EndpointId],
    ) -> PlacementQuery<'b> {
        PlacementQuery {
            service: self.service,
            version,
            endpoint: self.resumed_process.get().map(|process| process.endpoint),
            domains: self.domains.as_ref(),
            shared_part: self
                .metadata
                .prompt
                .as_ref()
                .and_then(PromptOutline::shared_part),
            instance: state.settings.instance,
            domain: state.settings.domain,
            tried,
            is_resumable: self.route.kind.is_stream() && self.route.kind.is_repeatable(),
            may_ask: false,
            now: state.now(),
        }
    }
}

/// Hashes of the parts of a prompt that calls of other chats may share, for one service. All of
/// them, as any may crash endpoints; the size limit of a head bounds their number.
fn part_hashes(prompt: &PromptOutline, service: ServiceId) -> Rc<[SuspectHash]> {
    prompt
        .shared_parts()
        .map(|part| xxh3_64_with_seed(&part.to_le_bytes(), service))
        .collect()
}
