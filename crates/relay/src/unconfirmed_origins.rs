//! Notices of origins that keepers with a disk have not confirmed, and when they are told again.
//!
//! Load pattern: a datagram to one of the two keepers with a disk is lost, then all processes are killed
//! and the other disk is lost or down. Without a confirmation, that keeper never learns of the stream.

use std::collections::BTreeMap;
use std::time::Duration;

use wire::id::InstanceId;
use wire::stream::{MAX_MESSAGE_STREAMS, NoticeDigest, OriginNotice};

/// Settings of the table of unconfirmed notices.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfirmationSettings {
    /// Time until a notice is told again. Doubles with each time.
    pub first_wait: Duration,
    /// Notices to one keeper that are due within this time go together.
    pub batch_slack: Duration,
    /// Maximum number of times that a notice is told again to a keeper that confirms others.
    pub max_repeats: u32,
    /// Time without a confirmation after which a keeper is told again only in trials: it is out of reach, or
    /// its software confirms nothing.
    pub max_silence: Duration,
    /// Interval of the trials.
    pub trial_interval: Duration,
    /// Maximum number of notices that wait for one keeper. Further ones are told once.
    pub max_waiting: usize,
}

impl Default for ConfirmationSettings {
    fn default() -> Self {
        Self {
            first_wait: Duration::from_millis(6),
            batch_slack: Duration::from_millis(2),
            max_repeats: 8,
            max_silence: Duration::from_secs(1),
            trial_interval: Duration::from_secs(5),
            max_waiting: 512,
        }
    }
}

/// What is known of the confirmations of one keeper.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum KeeperStanding {
    /// It has not confirmed anything yet.
    #[default]
    Unknown,
    /// It has confirmed a notice since it became live.
    Confirming,
    /// It has confirmed nothing for too long. The next trial is due at this time.
    Silent { trial_at: Duration },
}

/// A notice that one keeper has not confirmed.
#[derive(Clone, Copy, Debug)]
struct WaitingNotice {
    notice: OriginNotice,
    /// When it is told again.
    due_at: Duration,
    /// Number of times that it was told again.
    repeats: u32,
    /// When its caller stops waiting.
    over_at: Duration,
}

/// The notices that wait for one keeper.
#[derive(Debug, Default)]
struct KeeperBacklog {
    standing: KeeperStanding,
    /// When the first notice was told again since the last confirmation.
    unanswered_since: Option<Duration>,
    waiting: BTreeMap<NoticeDigest, WaitingNotice>,
    /// No notice is due before this time; `None` if none waits.
    due_at: Option<Duration>,
}

impl KeeperBacklog {
    fn update_due(&mut self) {
        let first = self.waiting.values().map(|waiting| waiting.due_at).min();
        self.due_at = match self.standing {
            KeeperStanding::Silent { trial_at } => first.map(|_| trial_at),
            KeeperStanding::Unknown | KeeperStanding::Confirming => first,
        };
    }
}

/// How a notice is told for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstNotice {
    /// In a message that gateways of all software versions know.
    Plain,
    /// In a message that asks for a confirmation.
    Tracked,
}

/// What is to be told again, and what was given up meanwhile.
#[derive(Debug, Default)]
pub struct DueNotices {
    /// Notices by keeper, at most [`MAX_MESSAGE_STREAMS`] together.
    pub messages: Vec<(InstanceId, Vec<OriginNotice>)>,
    /// Keepers that have become silent, with the number of notices that wait for them.
    pub silent: Vec<(InstanceId, usize)>,
    /// Number of notices that are not told again, as they were told too often or their callers have
    /// stopped waiting.
    pub given_up: u64,
}

/// What a confirmation has changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfirmedNotices {
    /// Number of notices that waited for it.
    pub notices: u64,
    /// Whether the keeper was silent before.
    pub was_silent: bool,
}

/// The notices that keepers have not confirmed.
#[derive(Debug, Default)]
pub struct UnconfirmedOrigins {
    settings: ConfirmationSettings,
    backlogs: BTreeMap<InstanceId, KeeperBacklog>,
}

impl UnconfirmedOrigins {
    /// An empty table.
    pub fn new(settings: ConfirmationSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Number of notices that wait, over all keepers.
    pub fn len(&self) -> usize {
        let backlogs = self.backlogs.values();
        backlogs.map(|backlog| backlog.waiting.len()).sum()
    }

    /// Whether no notice waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records that a keeper is told a notice now, and returns how.
    pub fn tell(&mut self, now: Duration, keeper: InstanceId, notice: OriginNotice) -> FirstNotice {
        let backlog = self.backlogs.entry(keeper).or_default();
        if backlog.waiting.len() < self.settings.max_waiting {
            let waiting = WaitingNotice {
                notice,
                due_at: now + self.settings.first_wait,
                repeats: 0,
                over_at: now + Duration::from_millis(notice.lifetime_ms.into()),
            };
            backlog.waiting.insert(notice.digest(), waiting);
            let due_at = match backlog.standing {
                KeeperStanding::Silent { trial_at } => trial_at,
                KeeperStanding::Unknown | KeeperStanding::Confirming => waiting.due_at,
            };
            backlog.due_at = Some(backlog.due_at.map_or(due_at, |first| first.min(due_at)));
        }
        match backlog.standing {
            KeeperStanding::Confirming => FirstNotice::Tracked,
            KeeperStanding::Unknown | KeeperStanding::Silent { .. } => FirstNotice::Plain,
        }
    }

    /// Records that a keeper holds these notices.
    pub fn confirm(
        &mut self,
        now: Duration,
        keeper: InstanceId,
        digests: &[NoticeDigest],
    ) -> ConfirmedNotices {
        let mut confirmed = ConfirmedNotices::default();
        let Some(backlog) = self.backlogs.get_mut(&keeper) else {
            return confirmed;
        };
        for digest in digests {
            confirmed.notices += u64::from(backlog.waiting.remove(digest).is_some());
        }
        confirmed.was_silent = matches!(backlog.standing, KeeperStanding::Silent { .. });
        if confirmed.was_silent {
            for waiting in backlog.waiting.values_mut() {
                (waiting.due_at, waiting.repeats) = (now, 0);
            }
        }
        backlog.standing = KeeperStanding::Confirming;
        backlog.unanswered_since = None;
        backlog.update_due();
        confirmed
    }

    /// Records that an instance has become live, perhaps with another software.
    pub fn note_live(&mut self, now: Duration, instance: InstanceId) {
        if let Some(backlog) = self.backlogs.get_mut(&instance) {
            backlog.standing = KeeperStanding::Unknown;
            backlog.unanswered_since = None;
            for waiting in backlog.waiting.values_mut() {
                (waiting.due_at, waiting.repeats) = (now, 0);
            }
            backlog.update_due();
        }
    }

    /// When [`Self::take_due`] has something to tell at the earliest.
    pub fn due_at(&self) -> Option<Duration> {
        let due = self.backlogs.values().filter_map(|backlog| backlog.due_at);
        due.min()
    }

    /// Takes what is to be told again now. Forgets the keepers that are not among `live`.
    pub fn take_due(&mut self, now: Duration, live: &[InstanceId]) -> DueNotices {
        let mut due = DueNotices::default();
        let settings = &self.settings;
        self.backlogs.retain(|keeper, backlog| {
            if !live.contains(keeper) {
                due.given_up += backlog.waiting.len() as u64;
                return false;
            }
            if backlog.due_at.is_none_or(|due_at| now < due_at) {
                return true;
            }
            let before = backlog.waiting.len();
            backlog.waiting.retain(|_, waiting| {
                waiting.repeats < settings.max_repeats && now < waiting.over_at
            });
            due.given_up += (before - backlog.waiting.len()) as u64;
            let was_silent = matches!(backlog.standing, KeeperStanding::Silent { .. });
            let is_unheard = backlog
                .unanswered_since
                .is_some_and(|since| now > since + settings.max_silence);
            let is_trial = was_silent || is_unheard;
            if is_trial {
                let trial_at = now + settings.trial_interval;
                backlog.standing = KeeperStanding::Silent { trial_at };
                if !was_silent {
                    due.silent.push((*keeper, backlog.waiting.len()));
                }
            }
            let most = match is_trial {
                true => MAX_MESSAGE_STREAMS,
                false => usize::MAX,
            };
            let mut notices = Vec::new();
            for waiting in backlog.waiting.values_mut() {
                let is_due = is_trial || waiting.due_at <= now + settings.batch_slack;
                if is_due && notices.len() < most {
                    // In trials, a notice waits until its caller does not.
                    waiting.repeats += u32::from(!is_trial);
                    waiting.due_at = now + settings.first_wait * 2_u32.pow(waiting.repeats);
                    notices.push(waiting.notice);
                }
            }
            if !notices.is_empty() {
                backlog.unanswered_since.get_or_insert(now);
            }
            let messages = notices.chunks(MAX_MESSAGE_STREAMS);
            due.messages
                .extend(messages.map(|notices| (*keeper, notices.to_vec())));
            backlog.update_due();
            true
        });
        due
    }
}
