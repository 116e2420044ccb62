//! Log lines and metrics of what endpoints state about themselves.

use wire::id::EndpointId;
use wire::statement::CallRate;

use crate::state::RelayState;
use crate::statement::{EndpointStatement, StatedValue};

/// The latest statement of an endpoint in the log, so that only changes are logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoggedStatement {
    /// The limit that was logged last; `None` for none.
    limit: Option<CallRate>,
    /// Whether a line on an unreadable statement was written.
    is_unreadable: bool,
}

/// A change of what an endpoint states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementChange {
    /// It names another limit, or none any more.
    Limit(Option<CallRate>),
    /// It stated something unreadable, for the first time.
    Unreadable,
}

impl LoggedStatement {
    /// Records a statement. Returns what is to be logged.
    pub fn note(&mut self, statement: EndpointStatement) -> Option<StatementChange> {
        if statement.limit == StatedValue::Unreadable {
            let is_first = !std::mem::replace(&mut self.is_unreadable, true);
            return is_first.then_some(StatementChange::Unreadable);
        }
        let limit = statement.limit.stated();
        let before = std::mem::replace(&mut self.limit, limit);
        (before != limit).then_some(StatementChange::Limit(limit))
    }
}

impl RelayState {
    /// Counts what an endpoint states in the head of an answer, and logs what changed.
    pub fn log_statement(&self, endpoint: EndpointId, statement: EndpointStatement) {
        match statement.limit {
            StatedValue::Absent => {}
            StatedValue::Stated(_) => self.metrics.count_statement("limit"),
            StatedValue::Unreadable => self.metrics.count_statement("unreadable"),
        }
        let mut table = self.table.borrow_mut();
        let Some(row) = table.row_mut(endpoint) else {
            return;
        };
        let change = row.logged.note(statement);
        let name = row.name.as_str();
        match change {
            None => {}
            Some(StatementChange::Limit(Some(rate))) => {
                log::info!(endpoint = name, calls_per_s = rate.per_second(); "relay: endpoint names a limit");
            }
            Some(StatementChange::Limit(None)) => {
                log::info!(endpoint = name; "relay: endpoint names no limit any more");
            }
            Some(StatementChange::Unreadable) => {
                log::warn!(endpoint = name; "relay: endpoint states what can't be read");
            }
        }
    }
}
