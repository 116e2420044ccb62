//! Which process of an endpoint an attempt reaches.
//!
//! Load pattern: after a restart of all instances, or a sign of a restart, no reading of the list states
//! yet which process an endpoint has. A call whose stream depends on that reads the endpoint's report on
//! its own connection before it is sent, so that the process that states its start is the one that runs
//! the call.

use std::time::Duration;

use exchange::connection::{self, EndpointConnection, EndpointError};
use wire::process::ProcessStart;

use crate::attempt::EndpointAttempt;
use crate::placement;
use crate::reach_check::wait_while_reachable;

/// Longest time for which a call that needs a certain process awaits the report of its endpoint, which
/// takes no slot there.
const REPORT_LIMIT: Duration = Duration::from_millis(500);
/// The same for a call that begins a stream, which can do without.
const BEGIN_REPORT_LIMIT: Duration = Duration::from_millis(150);

/// Which process of an endpoint an attempt needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WantedProcess {
    /// Any.
    Any,
    /// Any, but the origin of the stream that it begins depends on its start, if it states one.
    Stated,
    /// The one with this start.
    Only(ProcessStart),
    /// One of a version of which no process is known.
    Unknown,
}

impl EndpointAttempt<'_> {
    /// Finds out on the connection of the call which process of the endpoint accepted it, if the software
    /// version of a stream depends on that. May replace the connection. Returns whether the process was
    /// asked.
    ///
    /// # Errors
    /// [`EndpointError::OtherProcess`] if the stream goes on at another process only, or begins better at
    /// another endpoint; otherwise why a process that is needed did not state its start.
    pub(crate) async fn learn_process(
        &self,
        connection: &mut EndpointConnection,
        is_reused: bool,
    ) -> connection::Result<bool> {
        match self.wanted_process() {
            WantedProcess::Any => Ok(false),
            WantedProcess::Unknown => Err(EndpointError::OtherProcess),
            WantedProcess::Only(start) => {
                let is_asked = self.ask_process(connection, is_reused).await?;
                match connection.process_start == Some(start) {
                    true => Ok(is_asked),
                    false => Err(EndpointError::OtherProcess),
                }
            }
            WantedProcess::Stated if connection.process_start.is_none() && !self.may_ask() => {
                Ok(false)
            }
            WantedProcess::Stated => {
                let limit = Some(BEGIN_REPORT_LIMIT);
                let asked = self.ask_once(connection, is_reused, limit).await;
                if self.begins_better_elsewhere(connection.process_start) {
                    return Err(EndpointError::OtherProcess);
                }
                if let Ok(is_asked) = asked {
                    return Ok(is_asked);
                }
                // The stream begins without it.
                *connection = self.open_connection(connection.address).await?;
                Ok(false)
            }
        }
    }

    /// Whether a call that can do without may ask, as reports have a price. If so, records that it does.
    fn may_ask(&self) -> bool {
        let now = self.state.now();
        let mut table = self.state.table.borrow_mut();
        let listed = self.progress.attempt_version;
        table.versions.begin_statement(self.endpoint, listed, now)
    }

    /// Lets the process state its start, on a new connection if the first one can't be used afterwards.
    async fn ask_process(
        &self,
        connection: &mut EndpointConnection,
        is_reused: bool,
    ) -> connection::Result<bool> {
        let limit = Some(REPORT_LIMIT);
        let asked = self.ask_once(connection, is_reused, limit).await;
        let may_ask_again = is_reused || matches!(asked, Err(EndpointError::OtherProcess));
        if asked.is_ok() || !may_ask_again {
            return asked;
        }
        *connection = self.open_connection(connection.address).await?;
        self.ask_once(connection, false, limit).await
    }

    /// Reads the report on a connection on which the process has not stated its start. Returns whether it
    /// was asked.
    ///
    /// # Errors
    /// [`EndpointError::OtherProcess`] if the call can't be sent on the connection after that.
    async fn ask_once(
        &self,
        connection: &mut EndpointConnection,
        is_reused: bool,
        limit: Option<Duration>,
    ) -> connection::Result<bool> {
        if connection.process_start.is_some() {
            return Ok(false);
        }
        let report = self.state.read_report(self.endpoint, connection, is_reused);
        wait_while_reachable(self.state, self.endpoint, limit, report).await?;
        match connection.is_reusable() {
            true => Ok(true),
            false => Err(EndpointError::OtherProcess),
        }
    }

    /// Whether the stream would begin at a process of unknown version, in the first attempt, though
    /// another endpoint has room whose version is certain or known.
    fn begins_better_elsewhere(&self, start: Option<ProcessStart>) -> bool {
        let is_first = self.tried.len() == 1;
        let table = self.state.table.borrow();
        let known = &table.versions.known;
        let process = start.and_then(|start| known.stating(self.endpoint, start));
        let query = self.call.query(self.state, None, self.tried);
        let placement = &self.state.settings.placement;
        is_first && process.is_none() && placement::has_lasting(placement, &table, &query)
    }

    /// Which process of the endpoint the call needs.
    fn wanted_process(&self) -> WantedProcess {
        let call = self.call;
        if let Some(process) = call.resumed_process.get() {
            return WantedProcess::Only(process.start);
        }
        let table = self.state.table.borrow();
        let versions = &table.versions;
        let row = table.row(self.endpoint);
        let version = self
            .progress
            .begun_by
            .unwrap_or(self.progress.attempt_version);
        // The list may have changed while the connection was opened.
        let is_listed = row.is_some_and(|row| {
            row.version_id == version && Some(row.address) == self.progress.attempt_address
        });
        if is_listed && versions.is_certain(self.endpoint) {
            return WantedProcess::Any;
        }
        if let Some(version) = self.progress.begun_by {
            let process = versions.known_process(self.endpoint, version);
            return process.map_or(WantedProcess::Unknown, |process| {
                WantedProcess::Only(process.start())
            });
        }
        let is_resumable = call.route.kind.is_stream() && call.route.kind.is_repeatable();
        let has_versions = table.recorded.only_known(call.service).is_none();
        let may_report = row.is_some_and(|row| row.may_report(self.state.now()));
        // One that has stated its start here is checked beside the stream, for all that begin there.
        let may_be_replaced = versions.may_be_replaced(self.endpoint, version);
        match is_resumable && has_versions && may_report && may_be_replaced {
            true => WantedProcess::Stated,
            false => WantedProcess::Any,
        }
    }
}
