//! The members that one control instance knows.
//!
//! Only heartbeats prove that a member is alive, and only their absence, or a state reported by the
//! member itself, that it is down. Every other source can only report that a member is leaving.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use wire::id::{EndpointId, IncarnationNumber, ServiceId};
use wire::member::{AgentHeartbeat, EndpointRecord, EndpointState, ServiceMean};

use crate::flap::{FlapRecord, FlapSettings};
use crate::list::{ListEntry, ListState};
use crate::row::{MemberRow, MemberState};

/// Largest factor by which damping may raise the load of the remaining members. It is lower than
/// the usual load bound, because damped members still count towards the mean.
const MAX_DAMPING_LOAD_FACTOR: f64 = 1.15;

/// Timeouts and limits of membership.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberSettings {
    /// Time without heartbeats after which a member's lease expires. It spans three heartbeat
    /// intervals, so that one lost and one late heartbeat are tolerated.
    pub lease: Duration,
    /// Longest remaining lease after the agent's connection has closed.
    pub lease_after_close: Duration,
    /// Time after its lease has expired at which a member is removed from the table.
    pub forget_after: Duration,
    /// Damping of members that fail and return repeatedly.
    pub flaps: FlapSettings,
    /// Bytes per second that changed loads may use in digests.
    pub load_bytes_per_second: u32,
    /// Longest time between two digests.
    pub digest_interval: Duration,
    /// Shortest time between two digests.
    pub min_digest_interval: Duration,
    /// Relative change of a service's mean above which a digest is sent before the interval is
    /// over.
    pub urgent_mean_change: f64,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(3500),
            lease_after_close: Duration::from_secs(1),
            forget_after: Duration::from_secs(120),
            flaps: FlapSettings::default(),
            load_bytes_per_second: 512,
            digest_interval: Duration::from_millis(500),
            min_digest_interval: Duration::from_millis(100),
            urgent_mean_change: 0.05,
        }
    }
}

/// The members that one control instance knows.
#[derive(Clone, Debug)]
pub struct MemberTable {
    pub(crate) settings: MemberSettings,
    /// Sorted by endpoint.
    pub(crate) rows: Vec<MemberRow>,
    /// Endpoints that operators drain.
    drained: HashSet<EndpointId>,
    /// Endpoints removed since the last digest.
    pub(crate) removed: Vec<EndpointId>,
    /// Means as of the last digest, sorted by service.
    pub(crate) sent_means: Vec<ServiceMean>,
    pub(crate) digest_at: Option<Instant>,
}

impl MemberTable {
    /// Creates an empty table.
    pub fn new(settings: MemberSettings) -> Self {
        Self {
            settings,
            rows: Vec::new(),
            drained: HashSet::new(),
            removed: Vec::new(),
            sent_means: Vec::new(),
            digest_at: None,
        }
    }

    /// Handles a heartbeat. Ignores it if it is from an earlier incarnation, not newer than the
    /// last one of this incarnation, or from an unknown incarnation and without a record.
    pub fn observe_heartbeat(&mut self, heartbeat: &AgentHeartbeat, now: Instant) {
        let Some(index) = self.row_for(heartbeat, now) else {
            return;
        };
        let lease_until = now + self.settings.lease;
        let row = &mut self.rows[index];
        if heartbeat.sequence <= row.sequence {
            return;
        }
        row.sequence = heartbeat.sequence;
        row.reported = heartbeat.state;
        row.load = heartbeat.load;
        row.settings = heartbeat.settings;
        row.lease_until = lease_until;
        self.update_state(index, now);
    }

    /// Shortens the lease of a member whose agent's connection has closed. An agent that is alive
    /// connects again before the shortened lease expires.
    pub fn observe_close(
        &mut self,
        endpoint: EndpointId,
        incarnation: IncarnationNumber,
        now: Instant,
    ) {
        let lease_until = now + self.settings.lease_after_close;
        if let Some(row) = self.find_mut(endpoint)
            && row.record.incarnation == incarnation
        {
            row.lease_until = row.lease_until.min(lease_until);
        }
    }

    /// Marks the members that the platform's instance list reports as leaving.
    pub fn observe_list(&mut self, entries: &[ListEntry], now: Instant) {
        for entry in entries {
            let Some(index) = self.find(entry.endpoint) else {
                continue;
            };
            let row = &mut self.rows[index];
            // The list lags: an entry for another incarnation must not affect this one.
            let is_same_incarnation = entry.incarnation == Some(row.record.incarnation);
            if is_same_incarnation && entry.state == ListState::Leaving {
                row.is_listed_leaving = true;
                self.update_state(index, now);
            }
        }
    }

    /// Replaces the set of endpoints that operators drain.
    pub fn set_drained(&mut self, endpoints: impl IntoIterator<Item = EndpointId>, now: Instant) {
        self.drained = endpoints.into_iter().collect();
        for index in 0..self.rows.len() {
            let row = &mut self.rows[index];
            row.is_drained = self.drained.contains(&row.record.endpoint);
            self.update_state(index, now);
        }
    }

    /// Updates the states of all members and removes those whose lease expired `forget_after` ago.
    pub fn tick(&mut self, now: Instant) {
        for index in 0..self.rows.len() {
            self.update_state(index, now);
        }
        let forget_after = self.settings.forget_after;
        let is_kept = |row: &MemberRow| now < row.lease_until + forget_after;
        let forgotten = self.rows.iter().filter(|row| !is_kept(row));
        self.removed
            .extend(forgotten.map(|row| row.record.endpoint));
        self.rows.retain(is_kept);
    }

    /// All members, sorted by endpoint.
    pub fn rows(&self) -> &[MemberRow] {
        &self.rows
    }

    /// The member with this id.
    pub fn get(&self, endpoint: EndpointId) -> Option<&MemberRow> {
        Some(&self.rows[self.find(endpoint)?])
    }

    /// Total load and weight of the live and damped members of each service, and the weight of the
    /// unhealthy and expired ones, sorted by service.
    ///
    /// Damped members count: they receive no load, and a mean without them would let the other
    /// members exceed the load bound.
    pub fn means(&self) -> Vec<ServiceMean> {
        let mut means: Vec<ServiceMean> = Vec::new();
        for row in &self.rows {
            let service = row.record.service;
            let position = means.binary_search_by_key(&service, |mean| mean.service);
            let index = position.unwrap_or_else(|index| {
                means.insert(index, empty_mean(service));
                index
            });
            let mean = &mut means[index];
            let weight = u64::from(row.record.weight.max(1));
            match row.state {
                MemberState::Live | MemberState::Damped => {
                    mean.load += u64::from(row.load.total());
                    mean.weight += weight;
                }
                MemberState::Unhealthy | MemberState::Expired => mean.absent += weight,
                MemberState::Leaving => {}
            }
        }
        means
    }

    /// Checks the invariants of the table.
    ///
    /// # Panics
    /// If an invariant does not hold.
    pub fn verify(&self) {
        let endpoint = |row: &MemberRow| row.record.endpoint;
        assert!(
            self.rows
                .is_sorted_by(|left, right| endpoint(left) < endpoint(right))
        );
        for row in &self.rows {
            let is_leaving = row.is_listed_leaving || row.is_drained;
            assert!(row.state != MemberState::Live || !is_leaving);
        }
    }

    /// Index of the row for `heartbeat`, which is created or replaced for a new incarnation; `None`
    /// if the heartbeat must be ignored.
    fn row_for(&mut self, heartbeat: &AgentHeartbeat, now: Instant) -> Option<usize> {
        match self.search(heartbeat.endpoint) {
            Ok(index) => self
                .accept_incarnation(index, heartbeat, now)
                .then_some(index),
            Err(index) => {
                let record = heartbeat.record.as_ref()?;
                let row = self.new_row(record, now);
                self.rows.insert(index, row);
                Some(index)
            }
        }
    }

    /// Whether `heartbeat` is from the incarnation in the row, which a record of a later
    /// incarnation replaces first.
    fn accept_incarnation(
        &mut self,
        index: usize,
        heartbeat: &AgentHeartbeat,
        now: Instant,
    ) -> bool {
        let row_incarnation = self.rows[index].record.incarnation;
        if heartbeat.incarnation < row_incarnation {
            return false;
        }
        let Some(record) = &heartbeat.record else {
            return heartbeat.incarnation == row_incarnation;
        };
        if heartbeat.incarnation > row_incarnation {
            self.start_incarnation(index, record, now);
        } else if self.rows[index].record != *record {
            self.rows[index].record = record.clone();
            self.rows[index].is_record_changed = true;
        }
        true
    }

    /// Replaces the row by one for a later incarnation. This counts as a failure only if the
    /// earlier incarnation was live. If it was leaving, the restart was planned; if it was live
    /// before it expired or became unhealthy, that was counted already. Failures of a damped member
    /// are not counted.
    fn start_incarnation(&mut self, index: usize, record: &EndpointRecord, now: Instant) {
        let mut row = self.new_row(record, now);
        let old = &self.rows[index];
        row.flaps = old.flaps.clone();
        if old.state == MemberState::Live {
            row.flaps.record_failure(&self.settings.flaps, now);
        }
        self.rows[index] = row;
    }

    fn new_row(&self, record: &EndpointRecord, now: Instant) -> MemberRow {
        MemberRow {
            record: record.clone(),
            sequence: 0,
            reported: EndpointState::Serving,
            load: Default::default(),
            settings: 0,
            lease_until: now + self.settings.lease,
            is_listed_leaving: false,
            is_drained: self.drained.contains(&record.endpoint),
            flaps: FlapRecord::new(now),
            state: MemberState::Expired,
            sent: None,
            is_record_changed: true,
        }
    }

    fn update_state(&mut self, index: usize, now: Instant) {
        let row = &mut self.rows[index];
        let mut state = row.undamped_state(now);
        let has_failed = matches!(state, MemberState::Expired | MemberState::Unhealthy);
        if has_failed && row.state == MemberState::Live {
            row.flaps.record_failure(&self.settings.flaps, now);
        }
        let is_damped = row.flaps.is_damped(&self.settings.flaps, now);
        let service = row.record.service;
        if state == MemberState::Live && is_damped && self.has_capacity_without(service, index) {
            state = MemberState::Damped;
        }
        self.rows[index].state = state;
    }

    /// Whether the service's other live members can take over the load of the member at `index`.
    fn has_capacity_without(&self, service: ServiceId, index: usize) -> bool {
        let rows = self.rows.iter().enumerate();
        let members = rows.filter(|(_, row)| row.record.service == service);
        let (live, all) = members.fold((0, 0), |(live, all), (other, row)| {
            let is_live = other != index && row.state == MemberState::Live;
            (live + u32::from(is_live), all + 1)
        });
        f64::from(all) <= MAX_DAMPING_LOAD_FACTOR * f64::from(live)
    }

    fn search(&self, endpoint: EndpointId) -> Result<usize, usize> {
        self.rows
            .binary_search_by_key(&endpoint, |row| row.record.endpoint)
    }

    fn find(&self, endpoint: EndpointId) -> Option<usize> {
        self.search(endpoint).ok()
    }

    fn find_mut(&mut self, endpoint: EndpointId) -> Option<&mut MemberRow> {
        let index = self.find(endpoint)?;
        Some(&mut self.rows[index])
    }
}

fn empty_mean(service: ServiceId) -> ServiceMean {
    ServiceMean {
        service,
        load: 0,
        weight: 0,
        absent: 0,
    }
}
