//! Filter for decision records and notices.

use serde::{Deserialize, Serialize};

use crate::record::{DecisionPart, DecisionRecord, NoticeRecord};
use crate::ring::RingEvent;

/// Conditions on an event. All must hold; an absent condition always holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RecordFilter {
    /// Name of the client account. Excludes notices.
    pub account: Option<String>,
    /// Name of the service. Excludes notices.
    pub service: Option<String>,
    /// Name of an endpoint that was chosen or attempted, or that is the subject of a notice.
    pub endpoint: Option<String>,
}

impl RecordFilter {
    /// Whether the event matches all conditions.
    pub fn matches(&self, event: &RingEvent) -> bool {
        match event {
            RingEvent::Decision(record) => self.matches_decision(record),
            RingEvent::Notice(record) => self.matches_notice(record),
        }
    }

    fn matches_decision(&self, record: &DecisionRecord) -> bool {
        is_met(&self.account, |name| name == record.account)
            && is_met(&self.service, |name| name == record.service)
            && is_met(&self.endpoint, |name| involves(record, name))
    }

    fn matches_notice(&self, record: &NoticeRecord) -> bool {
        self.account.is_none()
            && self.service.is_none()
            && is_met(&self.endpoint, |name| name == record.subject)
    }
}

fn is_met(condition: &Option<String>, test: impl Fn(&str) -> bool) -> bool {
    condition.as_deref().is_none_or(test)
}

fn involves(record: &DecisionRecord, endpoint: &str) -> bool {
    let is_attempted = match &record.part {
        DecisionPart::Entry(decision) => decision
            .attempts
            .iter()
            .any(|attempt| attempt.endpoint == endpoint),
        DecisionPart::Agent(_) => false,
    };
    is_attempted || record.endpoint() == Some(endpoint)
}
