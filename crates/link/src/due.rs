//! When a connection has to be probed, and when it counts as dead.
//!
//! Only a side that awaits something probes: an answer that it asked for, or the reaction to its
//! heartbeat. A connection on which nothing is awaited stays silent and costs nothing. Arrivals
//! of any kind show that the connection lives, so a flowing answer costs no probes either.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use wire::LinkMessage;
use wire::answer::AttemptKey;

/// Time after which nobody waits for a decision any more.
const DECISION_LIMIT: Duration = Duration::from_secs(10);

/// What the receiver does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DueStep {
    /// Nothing is awaited: read without a limit.
    Rest,
    /// Read until then, and ask again.
    WaitUntil(Instant),
    /// Send a probe, and ask again.
    Probe,
    /// The connection is dead.
    Silent,
}

/// The clock of one connection's silence.
#[derive(Debug)]
pub struct DueWatch {
    probe_after: Duration,
    silence_limit: Duration,
    /// Attempts whose answer has not ended.
    answers: BTreeSet<AttemptKey>,
    /// Tickets of proposals without a decision, with the time at which they were sent.
    decisions: BTreeMap<u64, Instant>,
    /// Whether a heartbeat awaits any arrival.
    is_reaction_due: bool,
    /// Start of the silence: the last arrival, or when the first thing became due.
    since: Instant,
    /// Whether a probe was sent in this silence.
    has_probed: bool,
}

impl DueWatch {
    /// The watch of a new connection.
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

    /// A message is sent. Returns whether the receiver has to look at the watch again.
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

    /// A message arrived.
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

    /// Bytes arrived.
    pub fn heard(&mut self, now: Instant) {
        self.is_reaction_due = false;
        self.begin_silence(now);
    }

    /// What to do at `now`.
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
            // A receiver that looks late gives its peer the full time for the reply.
            self.since = now.checked_sub(self.probe_after).unwrap_or(self.since);
            return DueStep::Probe;
        }
        DueStep::WaitUntil(dead_at)
    }

    /// Whether the peer owes anything.
    pub fn is_due(&self) -> bool {
        self.is_reaction_due || !self.answers.is_empty() || !self.decisions.is_empty()
    }

    fn begin_silence(&mut self, now: Instant) {
        self.since = now;
        self.has_probed = false;
    }
}
