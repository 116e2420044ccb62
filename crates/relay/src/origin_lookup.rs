//! Which service and version a returning caller's stream goes on at, and the messages by which
//! instances tell each other.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use catalog::CallKind;
use fault::FaultKind;
use tokio::time::timeout;
use wire::id::{InstanceId, StreamId, name_id};
use wire::stream::{MAX_MESSAGE_STREAMS, OriginClaim, OriginNotice, StreamMessage, StreamOrigin};

use crate::call::CallMetadata;
use crate::origin::{ASKED_INSTANCES, KEEPERS, rank_instances, whole_millis};
use crate::relay_call::DEFAULT_CALLER_TIMEOUT;
use crate::state::RelayState;

/// How long the answers to each round of queries are awaited. The next round makes up for lost
/// datagrams, and for a notice that the return of its caller has overtaken.
const ROUND_WAITS: [Duration; 3] = [
    Duration::from_millis(40),
    Duration::from_millis(80),
    Duration::from_millis(120),
];
/// A lookup takes at most its caller's timeout divided by this.
const LOOKUP_DIVISOR: u32 = 4;
/// Maximum number of streams that are looked up at once. Callers of others are refused.
const MAX_LOOKUPS: usize = 256;
/// Maximum number of streams that another instance is told of when it becomes live.
const MAX_REFRESHED_STREAMS: usize = 2000;

/// The other instances, as far as they share the origins of streams.
pub trait StreamPeers {
    /// Ids of the other instances that are probably live.
    fn instances(&self) -> Vec<InstanceId>;

    /// Sends a message, which may be lost.
    fn send(&self, to: InstanceId, message: &StreamMessage);
}

/// The streams that are being looked up.
#[derive(Debug, Default)]
pub struct OriginLookups {
    lookups: HashMap<StreamId, OriginLookup>,
}

#[derive(Debug, Default)]
struct OriginLookup {
    /// Number of calls that wait for it.
    waiting: usize,
    /// Instances that were asked in the latest round and have not answered.
    unanswered: BTreeSet<InstanceId>,
}

/// Guard of a lookup, which ends with the last guard of its stream.
struct LookupGuard<'a> {
    lookups: &'a RefCell<OriginLookups>,
    stream: StreamId,
}

impl<'a> LookupGuard<'a> {
    /// Begins a lookup or joins the one of the same stream. Returns `None` if there are too many.
    fn start(lookups: &'a RefCell<OriginLookups>, stream: StreamId) -> Option<Self> {
        let mut table = lookups.borrow_mut();
        let is_full = table.lookups.len() >= MAX_LOOKUPS;
        if is_full && !table.lookups.contains_key(&stream) {
            return None;
        }
        table.lookups.entry(stream).or_default().waiting += 1;
        Some(Self { lookups, stream })
    }

    /// Records which instances are asked in a round that begins.
    fn ask(&self, instances: &[InstanceId]) {
        if let Some(lookup) = self.lookups.borrow_mut().lookups.get_mut(&self.stream) {
            lookup.unanswered = instances.iter().copied().collect();
        }
    }

    /// Whether all instances that were asked in the latest round do not know the stream.
    fn is_unknown(&self) -> bool {
        let table = self.lookups.borrow();
        let lookup = table.lookups.get(&self.stream);
        lookup.is_none_or(|lookup| lookup.unanswered.is_empty())
    }
}

impl Drop for LookupGuard<'_> {
    fn drop(&mut self) {
        let mut table = self.lookups.borrow_mut();
        if let Some(lookup) = table.lookups.get_mut(&self.stream) {
            lookup.waiting -= 1;
            if lookup.waiting == 0 {
                table.lookups.remove(&self.stream);
            }
        }
    }
}

/// Id of the stream that began in the caller's attempt with this id.
pub fn stream_id(attempt_id: &str) -> StreamId {
    name_id(attempt_id)
}

impl RelayState {
    /// Finds the origin of the stream that a call resumes. Returns `None` for a call that begins
    /// one, or is answered with no stream.
    ///
    /// # Errors
    /// [`FaultKind::OriginUnknown`] if the stream can't go on: nobody knows which version began it,
    /// the caller does not name it, or its route does not allow it.
    pub async fn resumed_origin(
        &self,
        kind: CallKind,
        metadata: &CallMetadata,
    ) -> Result<Option<StreamOrigin>, FaultKind> {
        if !kind.is_stream() || metadata.resume_after.is_none() {
            return Ok(None);
        }
        let named = metadata.resumes.as_deref();
        let stream = named.filter(|_| kind.is_repeatable()).map(stream_id);
        let stream = stream.ok_or(FaultKind::OriginUnknown)?;
        let caller_timeout = metadata.caller_timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT);
        let finding = timeout(caller_timeout / LOOKUP_DIVISOR, self.find_origin(stream));
        match finding.await.ok().flatten() {
            Some(OriginClaim::Known(origin)) => {
                self.publish_origin(stream, origin, metadata.caller_timeout);
                Ok(Some(origin))
            }
            Some(OriginClaim::Disputed) | None => Err(FaultKind::OriginUnknown),
        }
    }

    /// Records which service and version begin a stream, or go on with it, and tells its keepers.
    /// Call before the caller gets the first event.
    pub fn publish_origin(
        &self,
        stream: StreamId,
        origin: StreamOrigin,
        caller_timeout: Option<Duration>,
    ) {
        let notice = OriginNotice {
            stream,
            claim: OriginClaim::Known(origin),
            lifetime_ms: whole_millis(caller_timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT)),
        };
        self.origins.borrow_mut().note(self.now(), notice);
        let Some(peers) = self.stream_peers.get() else {
            return;
        };
        let message = StreamMessage::Origins(vec![notice]);
        for keeper in rank_instances(stream, &peers.instances(), KEEPERS) {
            peers.send(keeper, &message);
        }
    }

    /// Looks up the origin of a stream, at other instances if this one has no record. Returns
    /// `None` if nobody who answers in time has one.
    async fn find_origin(&self, stream: StreamId) -> Option<OriginClaim> {
        if let Some(claim) = self.known_origin(stream) {
            self.metrics.count_stream_return("recorded");
            return Some(claim);
        }
        let claim = self.ask_for_origin(stream).await;
        let result = match claim {
            Some(_) => "found",
            None => "unknown",
        };
        self.metrics.count_stream_return(result);
        claim
    }

    async fn ask_for_origin(&self, stream: StreamId) -> Option<OriginClaim> {
        let peers = self.stream_peers.get()?;
        let guard = LookupGuard::start(&self.origin_lookups, stream)?;
        for (round, wait) in ROUND_WAITS.into_iter().enumerate() {
            let asked = rank_instances(stream, &peers.instances(), ASKED_INSTANCES);
            guard.ask(&asked);
            for instance in asked {
                peers.send(instance, &StreamMessage::Query(stream));
            }
            // In the first round, the notice of the stream may still be on its way.
            let may_end = round > 0;
            let answered = self.until_answered(&guard, may_end);
            if let Ok(claim) = timeout(wait, answered).await {
                return claim;
            }
        }
        None
    }

    /// Waits until the origin of a stream is known or, if `may_end`, all instances that were asked
    /// have answered.
    async fn until_answered(&self, guard: &LookupGuard<'_>, may_end: bool) -> Option<OriginClaim> {
        loop {
            let changed = self.origin_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let claim = self.known_origin(guard.stream);
            if claim.is_some() || may_end && guard.is_unknown() {
                return claim;
            }
            changed.await;
        }
    }

    fn known_origin(&self, stream: StreamId) -> Option<OriginClaim> {
        self.origins.borrow().find(self.now(), stream)
    }

    /// Handles a message of another instance.
    pub fn handle_stream_message(&self, from: InstanceId, message: StreamMessage) {
        match message {
            StreamMessage::Origins(notices) => {
                let mut origins = self.origins.borrow_mut();
                for notice in notices {
                    origins.note(self.now(), notice);
                }
            }
            StreamMessage::Query(stream) => self.answer_query(from, stream),
            StreamMessage::Unknown(stream) => {
                let mut table = self.origin_lookups.borrow_mut();
                if let Some(lookup) = table.lookups.get_mut(&stream) {
                    lookup.unanswered.remove(&from);
                }
            }
        }
        self.origin_changed.notify_waiters();
    }

    fn answer_query(&self, from: InstanceId, stream: StreamId) {
        let notice = self.origins.borrow().notice_of(self.now(), stream);
        let answer = match notice {
            Some(notice) => StreamMessage::Origins(vec![notice]),
            None => StreamMessage::Unknown(stream),
        };
        if let Some(peers) = self.stream_peers.get() {
            peers.send(from, &answer);
        }
    }

    /// Tells an instance that has become live, and may have lost its records, of the streams that
    /// it is a keeper of.
    pub fn refresh_keeper(&self, keeper: InstanceId) {
        let Some(peers) = self.stream_peers.get() else {
            return;
        };
        let instances = peers.instances();
        let origins = self.origins.borrow();
        let notices = origins.notices_for(self.now(), keeper, &instances, MAX_REFRESHED_STREAMS);
        for notices in notices.chunks(MAX_MESSAGE_STREAMS) {
            peers.send(keeper, &StreamMessage::Origins(notices.to_vec()));
        }
    }
}
