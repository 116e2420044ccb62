//! Log lines and metrics of what endpoints state about themselves.

use pace::statement::{EndpointStatement, StatedValue};
use wire::id::EndpointId;

use crate::state::RelayState;
use crate::statement_change::StatementChange;

impl RelayState {
    /// Counts what an endpoint states in the head of an answer.
    pub fn count_statement(&self, statement: EndpointStatement) {
        if let StatedValue::Stated(_) = statement.limit {
            self.metrics.count_statement("limit");
        }
        if let StatedValue::Stated(_) = statement.rest {
            self.metrics.count_statement("rest");
        }
        if statement.is_leaving == StatedValue::Stated(true) {
            self.metrics.count_statement("leaving");
        }
        if statement.is_unreadable() {
            self.metrics.count_statement("unreadable");
        }
    }

    /// Logs that an endpoint asks for rest.
    pub fn log_rest(&self, endpoint: EndpointId, statement: EndpointStatement) {
        let table = self.table.borrow();
        let name = table.row(endpoint).map_or("-", |row| row.name.as_str());
        if let Some(rest) = statement.rest.stated() {
            log::info!(endpoint = name, rest_ms = rest.as_millis() as u64; "relay: endpoint asks for rest");
        }
    }

    /// Logs a change of what an endpoint states. `is_told` tells whether another instance told it.
    pub fn log_statement(&self, endpoint: EndpointId, change: StatementChange, is_told: bool) {
        let table = self.table.borrow();
        let name = table.row(endpoint).map_or("-", |row| row.name.as_str());
        match change {
            StatementChange::Limit(Some(rate)) => {
                log::info!(endpoint = name, calls_per_s = rate.per_second(), told = is_told; "relay: endpoint names a limit");
            }
            StatementChange::Limit(None) => {
                log::info!(endpoint = name, told = is_told; "relay: endpoint names no limit any more");
            }
            StatementChange::Cold(remaining) => {
                let cold_ms = remaining.as_millis() as u64;
                log::info!(endpoint = name, cold_ms = cold_ms, told = is_told; "relay: endpoint is cold");
            }
            StatementChange::Leaving => {
                log::info!(endpoint = name; "relay: endpoint says that it leaves");
            }
            StatementChange::Unreadable => {
                log::warn!(endpoint = name; "relay: endpoint states what can't be read");
            }
        }
    }
}
