//! Why no endpoint of a software version goes on with a stream.

use std::time::Duration;

use crate::placement::PlacementQuery;
use crate::table::EndpointTable;

/// Numbers of the endpoints of one service and software version, by what keeps a stream from going on
/// there. An endpoint counts once, for the first of these that holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionCensus {
    /// Listed endpoints of the version.
    pub listed: u32,
    /// They take no new calls: they drain, leave or lie in an evacuated failure domain.
    pub leaving: u32,
    /// The call has tried them.
    pub tried: u32,
    /// The quorum has not recorded their version yet, as far as this instance knows.
    pub unrecorded: u32,
    /// It is not certain that their present process has the version.
    pub uncertain: u32,
    /// They answer no calls at present.
    pub down: u32,
    /// Their statements allow no call at present.
    pub without_room: u32,
    /// Time until the list may state at the earliest that an uncertain one has the version.
    pub certain_in: Option<Duration>,
}

/// What keeps a stream from going on at any endpoint of its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionGap {
    /// No endpoint of the version is listed.
    Absent,
    /// All of them take no new calls.
    Leaving,
    /// Some may take it, once their version is certain.
    Uncertain,
    /// Some take it, once the quorum's record of the version is known.
    Unrecorded,
    /// Those that take new calls are down, full or were tried.
    Unavailable,
}

impl VersionGap {
    /// Label for the log and the metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Absent => "version-absent",
            Self::Leaving => "version-leaving",
            Self::Uncertain => "version-uncertain",
            Self::Unrecorded => "version-unrecorded",
            Self::Unavailable => "version-unavailable",
        }
    }
}

impl VersionCensus {
    /// Counts the endpoints of the version that a call depends on.
    pub fn of(table: &EndpointTable, query: &PlacementQuery<'_>) -> Self {
        let mut census = Self::default();
        let rows = table.of_service(query.service);
        for (id, row) in rows.filter(|(id, row)| query.matches(*id, row)) {
            census.listed += 1;
            let is_recorded = table.recorded.allows(row.service, row.version_id);
            let count = match row.standing(query.now) {
                None => &mut census.leaving,
                _ if query.tried.contains(&id) => &mut census.tried,
                _ if !is_recorded => &mut census.unrecorded,
                _ if !query.is_certain(table, id) => {
                    let wait = table.versions.statement_wait(id, query.now);
                    let known = census.certain_in.into_iter().chain(wait);
                    census.certain_in = known.min();
                    &mut census.uncertain
                }
                _ if row.is_sound(query.now) => &mut census.without_room,
                _ => &mut census.down,
            };
            *count += 1;
        }
        census
    }

    /// What keeps a stream from going on at any of the endpoints.
    pub fn gap(&self) -> VersionGap {
        if self.listed == 0 {
            VersionGap::Absent
        } else if self.listed == self.leaving {
            VersionGap::Leaving
        } else if self.uncertain > 0 {
            VersionGap::Uncertain
        } else if self.unrecorded > 0 {
            VersionGap::Unrecorded
        } else {
            VersionGap::Unavailable
        }
    }
}
