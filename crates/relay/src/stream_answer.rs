//! Forwarding of an endpoint's event stream to the caller.

use std::time::Duration;

use bytes::Bytes;
use exchange::connection::EndpointError;
use exchange::events::ContentKind;
use quota::budget::HeldBytes;
use tokio::time::Instant;
use wire::id::VersionId;
use wire::stream::{OriginClaim, ProcessOrigin, StreamOrigin};

use crate::attempt::{AttemptResult, EndpointAttempt, FailedAttempt, OpenAnswer};
use crate::caller_limits::DEFAULT_CALLER_TIMEOUT;
use crate::origin_lookup::stream_id;
use crate::reach_check::wait_while_reachable;
use crate::retry::AttemptEnd;
use crate::session::{self, CallerFraming};
use crate::slot::OccupiedSlot;
use crate::unsettled_origins::UnsettledStream;

/// Time from the first event of a stream to a later one, from which on no part of its prompt counts
/// as crashing endpoints. Such a part crashes its endpoint within 0.1 s after the run began.
const SURVIVAL_TIME: Duration = Duration::from_millis(250);
/// Maximum size of the begin of an event that is not charged to the caller, in bytes. Ordinary events
/// are far smaller.
const MAX_UNCHARGED_BYTES: usize = 16 * 1024;

impl EndpointAttempt<'_> {
    /// Forwards a successful answer of a stream route, whole events at a time. The first event of an
    /// answer that resumes a stream has to go on after the last one that was sent. A stream that ends
    /// inside an event was broken off, whatever its framing says. One that sends no whole event for
    /// longer than the silence limit is silent.
    pub(crate) async fn forward_stream(
        &mut self,
        mut answer: OpenAnswer,
        slot: &OccupiedSlot,
    ) -> AttemptResult {
        let content = ContentKind::of(answer.head.headers());
        if self.writer.has_started {
            self.progress.events.begin_rest();
        }
        let mut first_at: Option<Instant> = None;
        let mut has_survived = false;
        let mut event_at = Instant::now();
        let mut partial = HeldBytes::new(&self.writer.share);
        loop {
            let limit = self.progress.silence_limit;
            let left = limit.map(|limit| limit.saturating_sub(event_at.elapsed()));
            let waiting = answer.connection.next_chunk();
            let waited = wait_while_reachable(self.state, self.endpoint, left, waiting).await;
            let chunk = match waited {
                Ok(Some(chunk)) => chunk,
                Ok(None) => return self.end_stream(answer, content, slot).await,
                Err(EndpointError::Silent) if !self.may_go_on_elsewhere() => {
                    self.progress.silence_limit = None;
                    continue;
                }
                Err(error) => return self.break_off(&answer, &error),
            };
            self.note_bytes(slot);
            let whole = match content {
                ContentKind::Events | ContentKind::Unknown => self.progress.events.push(&chunk),
                ContentKind::Other => Ok(Some(chunk)),
            };
            let bytes = match whole {
                Ok(Some(bytes)) => bytes,
                Ok(None) => {
                    let buffered = self.progress.events.buffered();
                    let is_large = buffered > MAX_UNCHARGED_BYTES;
                    if is_large && partial.grow_to(buffered).await.is_err() {
                        self.note_end(answer.connection.framing, false, 0);
                        self.progress.events.drop_partial();
                        return AttemptResult::Failed(self.note_exhausted());
                    }
                    continue;
                }
                Err(error) => return self.break_off(&answer, &error),
            };
            partial.shrink_to(0);
            event_at = Instant::now();
            if first_at.is_none() {
                self.note_served();
            }
            let first_at = *first_at.get_or_insert(event_at);
            if !has_survived && event_at >= first_at + SURVIVAL_TIME {
                has_survived = true;
                self.state.note_parts_survived(&self.call.parts);
            }
            if self.send_events(&answer, bytes).await.is_err() {
                return AttemptResult::CallerLost;
            }
        }
    }

    /// Ends a stream whose connection has no more bytes for it.
    async fn end_stream(
        &mut self,
        answer: OpenAnswer,
        content: ContentKind,
        slot: &OccupiedSlot,
    ) -> AttemptResult {
        let framing = answer.connection.framing;
        let rest = self.progress.events.take_rest();
        self.note_end(framing, true, rest.len());
        if !rest.is_empty() || self.lacks_events(&answer, content) {
            let error = match framing.states_end() {
                true => EndpointError::PartialEvent,
                false => EndpointError::Closed,
            };
            return AttemptResult::Failed(self.note_break(&error, true));
        }
        if self.progress.events.awaits_rest() {
            // Nothing shows that it is the end of the stream, and not an endpoint that does not know it.
            return AttemptResult::Failed(self.note_break(&EndpointError::NotContinued, true));
        }
        if self.writer.has_started && self.writer.states_end() && !framing.states_end() {
            // An earlier endpoint promised the caller an end that this one does not state.
            self.progress.last_error = Some("end of the resumed stream is not known".to_owned());
            return AttemptResult::Failed(FailedAttempt::without_answer(AttemptEnd::Broken));
        }
        if !self.writer.has_started {
            self.note_served();
        }
        let sent = self.send_events(&answer, Bytes::new()).await;
        if sent.is_err() || self.writer.finish().await.is_err() {
            return AttemptResult::CallerLost;
        }
        let status = answer.head.status;
        self.end_answer(answer, slot);
        AttemptResult::Delivered(status)
    }

    /// Whether a stream that does not state its end ended before its first event. Only one that
    /// resumes another may have no more events.
    fn lacks_events(&self, answer: &OpenAnswer, content: ContentKind) -> bool {
        let is_resumed =
            self.progress.events.last_id().is_some() || self.call.metadata.resume_after.is_some();
        let is_empty = !self.writer.has_started && !is_resumed;
        is_empty && content == ContentKind::Events && !answer.connection.framing.states_end()
    }

    /// Drops what follows the last whole event of a stream that failed.
    fn break_off(&mut self, answer: &OpenAnswer, error: &EndpointError) -> AttemptResult {
        self.note_end(answer.connection.framing, false, 0);
        self.progress.events.drop_partial();
        AttemptResult::Failed(self.note_break(error, true))
    }

    /// Records that bytes of the stream have arrived.
    fn note_bytes(&self, slot: &OccupiedSlot) {
        let state = self.state;
        slot.note_alive();
        if let Some(head_at) = slot.head_at() {
            state.note_answer(self.endpoint, self.progress.attempted_at, head_at);
        }
        let now = state.now();
        let mut table = state.table.borrow_mut();
        table.note_activity(now, self.endpoint);
        let since = self.progress.accepted_at;
        table.versions.note_bytes(self.endpoint, since, now);
    }

    /// Records that the caller is about to get the first event of its stream, or of the rest of one
    /// that it resumes.
    fn note_begun(&mut self) {
        let call = self.call;
        if call.resumed_version.is_some() {
            return;
        }
        self.progress.begun_by = Some(self.progress.attempt_version);
        self.progress.is_begun_uncertain = true;
        self.settle_version();
        if self.progress.is_begun_uncertain {
            if call.route.kind.is_repeatable() {
                self.state.metrics.count_stream_return("begun-unsettled");
            }
            let claim = self.uncertain_claim();
            self.publish(claim);
            self.note_unsettled();
        }
    }

    /// What is known of the origin of a stream whose version is not certain.
    fn uncertain_claim(&self) -> OriginClaim {
        match self.progress.process_start {
            Some(start) => OriginClaim::Process(ProcessOrigin {
                service: self.call.service,
                endpoint: self.endpoint,
                start,
            }),
            None => OriginClaim::Unsettled,
        }
    }

    /// Lets the origin be settled after the stream has ended, if its caller may resume it.
    fn note_unsettled(&self) {
        let (state, call, progress) = (self.state, self.call, &self.progress);
        let Some((stream, address)) = progress.published_stream.zip(progress.attempt_address)
        else {
            return;
        };
        let now = state.now();
        let caller_timeout = call.metadata.caller_timeout;
        let unsettled = UnsettledStream {
            request: call.fingerprint,
            stream,
            service: call.service,
            endpoint: self.endpoint,
            address,
            process_start: progress.process_start,
            listed_version: progress.attempt_version,
            accepted_at: progress.accepted_at,
            caller_timeout,
            expires_at: now + caller_timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT),
        };
        state.unsettled.borrow_mut().add(now, unsettled);
        state.find_process_of(unsettled.process());
    }

    /// Records the software version that began the stream, and publishes it, once it is certain.
    fn settle_version(&mut self) {
        self.state.check_gap();
        let Some(version) = self.certain_version() else {
            return;
        };
        self.progress.begun_by = Some(version);
        self.progress.is_begun_uncertain = false;
        if let Some(stream) = self.progress.published_stream {
            let mut unsettled = self.state.unsettled.borrow_mut();
            unsettled.remove(self.call.fingerprint, stream);
        }
        let service = self.call.service;
        self.publish(OriginClaim::Known(StreamOrigin { service, version }));
    }

    /// Tells other instances what is known of the origin of the stream, if its caller may resume it.
    fn publish(&mut self, claim: OriginClaim) {
        let call = self.call;
        if !call.route.kind.is_repeatable() {
            return;
        }
        // A caller that names no attempt finds its stream by the request alone.
        let attempt_id = call.metadata.attempt_id.as_deref();
        let unnamed = || self.progress.published_stream.unwrap_or_else(rand::random);
        let stream = attempt_id.map_or_else(unnamed, stream_id);
        self.progress.published_stream = Some(stream);
        let caller_timeout = call.metadata.caller_timeout;
        self.state
            .publish_claim(call.fingerprint, stream, claim, caller_timeout);
    }

    /// The software version of the process that sends the stream; `None` while it is not certain.
    fn certain_version(&self) -> Option<VersionId> {
        let progress = &self.progress;
        let table = self.state.table.borrow();
        let known = &table.versions.known;
        let process = progress.process_start;
        let process = process.and_then(|start| known.stating(self.endpoint, start));
        if let Some(process) = process {
            return Some(process.version());
        }
        let row = table.row(self.endpoint)?;
        if Some(row.address) != progress.attempt_address {
            return None;
        }
        let is_same = row.version_id == progress.attempt_version;
        let is_certain = is_same && table.versions.is_certain(self.endpoint);
        let is_stated = table.versions.states(progress.accepted_at);
        (is_certain || is_stated).then_some(row.version_id)
    }

    /// Sends whole events to the caller, preceded by the head of the answer if nothing has been
    /// sent.
    async fn send_events(&mut self, answer: &OpenAnswer, bytes: Bytes) -> session::Result<()> {
        let state = self.state;
        if !self.writer.has_started {
            self.note_begun();
            let framing = match answer.connection.framing.states_end() {
                true => CallerFraming::Chunks,
                false => CallerFraming::UntilClose,
            };
            let headers = state.dialect.forward_answer(answer.head.headers());
            let status = answer.head.status;
            self.writer
                .put_head(status, headers, framing, state.is_stopping())?;
        } else if self.progress.is_begun_uncertain {
            self.settle_version();
        }
        self.writer.send_bytes(bytes).await
    }
}
