//! What an endpoint states about itself in the head of an answer.

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
}

/// A change of what an endpoint states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementChange {
    /// It names another limit, or none any more.
    Limit(Option<CallRate>),
    /// It stated something unreadable, for the first time.
    Unreadable,
}
