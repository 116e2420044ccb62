//! What an endpoint states about itself in the head of an answer.

use std::time::Duration;

use actix_http::StatusCode;
use wire::statement::CallRate;

/// A value in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StatedValue<T> {
    /// The head does not have it.
    #[default]
    Absent,
    /// The head has it.
    Stated(T),
    /// The head has something else in its place.
    Unreadable,
}

impl<T> StatedValue<T> {
    /// The value, if the head has it.
    pub fn stated(self) -> Option<T> {
        match self {
            Self::Stated(value) => Some(value),
            Self::Absent | Self::Unreadable => None,
        }
    }
}

/// What an endpoint states about itself in the head of an answer, whatever its status.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointStatement {
    /// Rate of calls that the endpoint takes from all instances together.
    pub limit: StatedValue<CallRate>,
    /// Time for which the endpoint wants no calls from the instance that it answers. Only with the
    /// statuses by which it turns calls away.
    pub rest: StatedValue<Duration>,
    /// Whether the endpoint is leaving and wants no new calls.
    pub is_leaving: StatedValue<bool>,
}

impl EndpointStatement {
    /// The statement in an answer with this status. Other answers may have the header of a rest for
    /// their caller.
    pub fn of_answer(self, status: StatusCode) -> Self {
        let turns_away = [
            StatusCode::SERVICE_UNAVAILABLE,
            StatusCode::TOO_MANY_REQUESTS,
        ];
        match turns_away.contains(&status) {
            true => self,
            false => Self {
                rest: StatedValue::Absent,
                ..self
            },
        }
    }

    /// Whether a part of it can't be read.
    pub fn is_unreadable(&self) -> bool {
        self.limit == StatedValue::Unreadable
            || self.rest == StatedValue::Unreadable
            || self.is_leaving == StatedValue::Unreadable
    }
}

/// A change of what an endpoint states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementChange {
    /// It names another limit, or none any more.
    Limit(Option<CallRate>),
    /// It says that it leaves.
    Leaving,
    /// It stated something unreadable, for the first time.
    Unreadable,
}
