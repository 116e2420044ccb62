//! Whether this instance has followed the fleet without a gap, so that what it has not heard of has
//! not happened.
//!
//! Load pattern: an instance is cut off or stands still for a few seconds while endpoints are
//! replaced, and callers reach it before it has read the list again. It must know that it missed
//! messages: nothing else tells it that its beliefs are old.
//!
//! A process that did not run, or that heard none of the others or only a minority of them, has a
//! gap. After it, messages may still arrive that were sent within it, so what others say to be
//! complete counts only once the watch has settled.

use std::time::Duration;

/// Settings of the watch.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchSettings {
    /// Longest time between two signs that this process runs which is no gap.
    pub max_stall: Duration,
    /// Longest time without a message of another instance which is no gap. Two heartbeats.
    pub max_silence: Duration,
    /// Time after a gap within which messages have arrived that were sent in it.
    pub settling_time: Duration,
    /// Time without a message after which the others are taken for gone, and this instance for the
    /// only one. Longer than any partition of the network.
    pub alone_after: Duration,
}

impl Default for WatchSettings {
    fn default() -> Self {
        Self {
            max_stall: MAX_STALL,
            max_silence: Duration::from_millis(500),
            settling_time: Duration::from_millis(500),
            alone_after: Duration::from_secs(30),
        }
    }
}

/// Longest stall of this process that is not noticed. Heartbeats show every 250 ms that it runs, and
/// are late by some of that on a busy machine. Ages that others state are known only as exactly as
/// this.
pub const MAX_STALL: Duration = Duration::from_millis(600);

/// What a call of the watch found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchChange {
    /// Nothing new.
    None,
    /// A gap has begun: the others are no longer heard.
    Lost,
    /// A gap has ended.
    Resumed,
    /// Messages from within the last gap no longer arrive.
    Settled,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchState {
    /// There has been no gap since this time.
    Following(Duration),
    /// There is a gap: the others are not heard.
    Lost,
    /// A gap ended at this time, and messages from within it may still arrive.
    Settling(Duration),
}

/// The watch of one instance.
#[derive(Clone, Debug)]
pub struct FleetWatch {
    settings: WatchSettings,
    state: WatchState,
    /// When this process was last seen to run; `None` before the first time.
    ran_at: Option<Duration>,
    /// When another instance was last heard; `None` while none is expected.
    heard_at: Option<Duration>,
    /// Whether only a minority of the instances is heard.
    is_minority: bool,
}

impl FleetWatch {
    /// The watch of an instance that starts at zero.
    pub fn new(settings: WatchSettings) -> Self {
        Self {
            settings,
            state: WatchState::Following(Duration::ZERO),
            ran_at: None,
            heard_at: None,
            is_minority: false,
        }
    }

    /// The time from which on there has been no gap; `None` while there is one.
    pub fn since(&self) -> Option<Duration> {
        match self.state {
            WatchState::Following(since) | WatchState::Settling(since) => Some(since),
            WatchState::Lost => None,
        }
    }

    /// Whether messages that arrive were not sent within a gap.
    pub fn is_settled(&self) -> bool {
        matches!(self.state, WatchState::Following(_))
    }

    /// Records that this process runs. To be called at least every half of the longest stall.
    pub fn note_running(&mut self, now: Duration) -> WatchChange {
        self.ran_at.get_or_insert(now);
        let change = self.check(now);
        self.ran_at = Some(now);
        change
    }

    /// Looks for a gap. To be called before a message is handled, and before a belief decides: the
    /// process may have stood still since it was last recorded to run.
    pub fn check(&mut self, now: Duration) -> WatchChange {
        if self
            .ran_at
            .is_some_and(|at| now > at + self.settings.max_stall)
        {
            self.ran_at = Some(now);
            return self.resume(now);
        }
        let is_gone = self.is_silent_for(now, self.settings.alone_after);
        if is_gone {
            self.heard_at = None;
        }
        let is_silent = self.is_minority || self.is_silent_for(now, self.settings.max_silence);
        match self.state {
            WatchState::Following(_) | WatchState::Settling(_) if is_silent => {
                self.state = WatchState::Lost;
                WatchChange::Lost
            }
            WatchState::Lost if !is_silent => self.resume(now),
            WatchState::Settling(since) if now >= since + self.settings.settling_time => {
                self.state = WatchState::Following(since);
                WatchChange::Settled
            }
            _ => WatchChange::None,
        }
    }

    /// Records a message of another instance that has just arrived.
    pub fn note_heard(&mut self, now: Duration) -> WatchChange {
        self.heard_at = Some(now);
        match self.state {
            WatchState::Lost if !self.is_minority => self.resume(now),
            _ => WatchChange::None,
        }
    }

    /// Records whether only a minority of the instances is heard.
    pub fn note_minority(&mut self, is_minority: bool) {
        self.is_minority = is_minority;
    }

    fn is_silent_for(&self, now: Duration, time: Duration) -> bool {
        self.heard_at.is_some_and(|at| now > at + time)
    }

    fn resume(&mut self, now: Duration) -> WatchChange {
        // What was heard before a stall says nothing of the present.
        self.heard_at = self.heard_at.map(|_| now);
        self.state = WatchState::Settling(now);
        WatchChange::Resumed
    }
}
