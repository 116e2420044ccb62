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
    pub fn admits(&self, event: &RingEvent) -> bool {
        match event {
            RingEvent::Decision(record) => self.admits_decision(record),
            RingEvent::Notice(record) => self.admits_notice(record),
        }
    }

    fn admits_decision(&self, record: &DecisionRecord) -> bool {
        holds(&self.account, |name| name == record.account)
            && holds(&self.service, |name| name == record.service)
            && holds(&self.endpoint, |name| touches(record, name))
    }

    fn admits_notice(&self, record: &NoticeRecord) -> bool {
        self.account.is_none()
            && self.service.is_none()
            && holds(&self.endpoint, |name| name == record.subject)
    }
}

fn holds(condition: &Option<String>, test: impl Fn(&str) -> bool) -> bool {
    condition.as_deref().is_none_or(test)
}

fn touches(record: &DecisionRecord, endpoint: &str) -> bool {
    let tried = match &record.part {
        DecisionPart::Entry(decision) => decision
            .attempts
            .iter()
            .any(|attempt| attempt.endpoint == endpoint),
        DecisionPart::Agent(_) => false,
    };
    tried || record.endpoint() == Some(endpoint)
}
