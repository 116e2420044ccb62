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
pub enum DueStep {
    /// No reply is pending: read without a timeout.
    Rest,
    /// Read until this time, then ask for the next action.
    WaitUntil(Instant),
    /// Send a probe, then ask for the next action.
    Probe,
    /// Close the connection: the peer did not respond to the probe in time.
    Silent,
}

/// Tracks the pending replies and the liveness timeouts of one connection.
#[derive(Debug)]
pub struct DueWatch {
    probe_after: Duration,
    silence_limit: Duration,
    /// Attempts whose answer is incomplete.
    answers: BTreeSet<AttemptKey>,
    /// Send times of proposals without a decision, by ticket.
    decisions: BTreeMap<u64, Instant>,
    /// Whether nothing has arrived since the last heartbeat was sent.
    is_reaction_due: bool,
    /// Start of the silent period: the last received bytes, or the time at which the first reply
    /// became pending. A late probe moves it forward.
    since: Instant,
    /// Whether a probe was sent in this silent period.
    has_probed: bool,
}

impl DueWatch {
    /// Creates the state of a new connection, without pending replies.
    pub fn new(now: Instant, probe_after: Duration, silence_limit: Duration) -> Self {
        debug_assert!(
            probe_after < silence_limit,
            "a probe needs time for its reply"
        );
        Self {
            probe_after,
            silence_limit,
            answers: BTreeSet::new(),
            decisions: BTreeMap::new(),
            is_reaction_due: false,
            since: now,
            has_probed: false,
        }
    }

    /// Records that a message is sent. Returns true if it starts a wait for replies; the receiver
    /// must then ask for its next action again.
    pub fn sent(&mut self, now: Instant, message: &LinkMessage) -> bool {
        let was_due = self.is_due();
        match message {
            LinkMessage::Submit(submit) => {
                self.answers.insert(submit.key);
            }
            LinkMessage::Resume(resume) => {
                self.answers.insert(resume.key);
            }
            LinkMessage::Propose(proposal) => {
                self.decisions.insert(proposal.ticket, now);
            }
            LinkMessage::Cancel(cancel) => {
                self.answers.remove(&cancel.key);
            }
            LinkMessage::AgentHeartbeat(_) | LinkMessage::EntryHeartbeat(_) => {
                self.is_reaction_due = true;
            }
            _ => {}
        }
        let begins = !was_due && self.is_due();
        if begins {
            self.begin_silence(now);
        }
        begins
    }

    /// Records a received message, which may end the wait for a reply.
    pub fn received(&mut self, message: &LinkMessage) {
        match message {
            LinkMessage::End(end) => {
                self.answers.remove(&end.key);
            }
            LinkMessage::Refused(notice) => {
                self.answers.remove(&notice.key);
            }
            LinkMessage::Decided(decision) => {
                self.decisions.remove(&decision.ticket);
            }
            _ => {}
        }
    }

    /// Records received bytes, which restart the timeouts.
    pub fn heard(&mut self, now: Instant) {
        self.is_reaction_due = false;
        self.begin_silence(now);
    }

    /// Returns what the receiver has to do at `now`.
    pub fn step(&mut self, now: Instant) -> DueStep {
        self.decisions
            .retain(|_, sent| now.saturating_duration_since(*sent) < DECISION_LIMIT);
        if !self.is_due() {
            return DueStep::Rest;
        }
        let probe_at = self.since + self.probe_after;
        let dead_at = self.since + self.silence_limit;
        if now >= dead_at && self.has_probed {
            return DueStep::Silent;
        }
        if now < probe_at {
            return DueStep::WaitUntil(probe_at);
        }
        if !self.has_probed {
            self.has_probed = true;
            // If the receiver was scheduled late, the peer still gets the full time to reply.
            self.since = now.checked_sub(self.probe_after).unwrap_or(self.since);
            return DueStep::Probe;
        }
        DueStep::WaitUntil(dead_at)
    }

    /// Whether any reply is pending.
    pub fn is_due(&self) -> bool {
        self.is_reaction_due || !self.answers.is_empty() || !self.decisions.is_empty()
    }

    fn begin_silence(&mut self, now: Instant) {
        self.since = now;
        self.has_probed = false;
    }
}
