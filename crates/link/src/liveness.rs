//! When to probe a connection, and when to declare it dead.
//!
//! A side sends probes only while it waits for a reply: the answer to a request, the decision on a
//! proposal, or any traffic after its heartbeat. An idle connection is not probed and costs
//! nothing. Received bytes of any kind show that the peer is alive, so a streaming answer needs no
//! probes either.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use wire::LinkMessage;
use wire::answer::AttemptKey;

/// Time after which a proposal no longer counts as pending. Exceeds the timeout after which a
/// proposer gives up waiting.
const DECISION_LIMIT: Duration = Duration::from_secs(10);

/// Next action of the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LivenessAction {
    /// No reply is pending: read without a timeout.
    Idle,
    /// Read until this time, then ask for the next action.
    WaitUntil(Instant),
    /// Send a probe, then ask for the next action.
    Probe,
    /// Close the connection: the peer did not respond to the probe in time.
    TimedOut,
}

/// Tracks the pending replies and the liveness timeouts of one connection.
#[derive(Debug)]
pub struct LivenessMonitor {
    probe_after: Duration,
    silence_limit: Duration,
    /// Attempts whose answer is incomplete.
    pending_answers: BTreeSet<AttemptKey>,
    /// Send times of proposals without a decision, by ticket.
    pending_decisions: BTreeMap<u64, Instant>,
    /// Whether nothing has arrived since the last heartbeat was sent.
    is_heartbeat_pending: bool,
    /// Start of the silent period: the last received bytes, or the time at which the first reply
    /// became pending. A late probe moves it forward.
    silent_since: Instant,
    /// Whether a probe was sent in this silent period.
    has_probed: bool,
}

impl LivenessMonitor {
    /// Creates the state of a new connection, without pending replies.
    pub fn new(now: Instant, probe_after: Duration, silence_limit: Duration) -> Self {
        debug_assert!(
            probe_after < silence_limit,
            "a probe needs time for its reply"
        );
        Self {
            probe_after,
            silence_limit,
            pending_answers: BTreeSet::new(),
            pending_decisions: BTreeMap::new(),
            is_heartbeat_pending: false,
            silent_since: now,
            has_probed: false,
        }
    }

    /// Records that a message is sent. Returns true if it starts a wait for replies; the receiver
    /// must then ask for its next action again.
    pub fn record_sent(&mut self, now: Instant, message: &LinkMessage) -> bool {
        let was_pending = self.is_reply_pending();
        match message {
            LinkMessage::Submit(submit) => {
                self.pending_answers.insert(submit.key);
            }
            LinkMessage::Resume(resume) => {
                self.pending_answers.insert(resume.key);
            }
            LinkMessage::Propose(proposal) => {
                self.pending_decisions.insert(proposal.ticket, now);
            }
            LinkMessage::Cancel(cancel) => {
                self.pending_answers.remove(&cancel.key);
            }
            LinkMessage::AgentHeartbeat(_) | LinkMessage::EntryHeartbeat(_) => {
                self.is_heartbeat_pending = true;
            }
            _ => {}
        }
        let starts_wait = !was_pending && self.is_reply_pending();
        if starts_wait {
            self.begin_silence(now);
        }
        starts_wait
    }

    /// Records a received message, which may end the wait for a reply.
    pub fn record_received(&mut self, message: &LinkMessage) {
        match message {
            LinkMessage::End(end) => {
                self.pending_answers.remove(&end.key);
            }
            LinkMessage::Refused(notice) => {
                self.pending_answers.remove(&notice.key);
            }
            LinkMessage::Decided(decision) => {
                self.pending_decisions.remove(&decision.ticket);
            }
            _ => {}
        }
    }

    /// Records received bytes, which restart the timeouts.
    pub fn record_bytes_received(&mut self, now: Instant) {
        self.is_heartbeat_pending = false;
        self.begin_silence(now);
    }

    /// Returns what the receiver has to do at `now`.
    pub fn next_action(&mut self, now: Instant) -> LivenessAction {
        self.pending_decisions
            .retain(|_, sent_at| now.saturating_duration_since(*sent_at) < DECISION_LIMIT);
        if !self.is_reply_pending() {
            return LivenessAction::Idle;
        }
        let probe_at = self.silent_since + self.probe_after;
        let timeout_at = self.silent_since + self.silence_limit;
        if now >= timeout_at && self.has_probed {
            return LivenessAction::TimedOut;
        }
        if now < probe_at {
            return LivenessAction::WaitUntil(probe_at);
        }
        if !self.has_probed {
            self.has_probed = true;
            // If the receiver was scheduled late, the peer still gets the full time to reply.
            self.silent_since = now
                .checked_sub(self.probe_after)
                .unwrap_or(self.silent_since);
            return LivenessAction::Probe;
        }
        LivenessAction::WaitUntil(timeout_at)
    }

    /// Whether any reply is pending.
    pub fn is_reply_pending(&self) -> bool {
        self.is_heartbeat_pending
            || !self.pending_answers.is_empty()
            || !self.pending_decisions.is_empty()
    }

    fn begin_silence(&mut self, now: Instant) {
        self.silent_since = now;
        self.has_probed = false;
    }
}
