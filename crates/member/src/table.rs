//! The members as one control instance knows them.
//!
//! Only heartbeats prove that a member lives, and only their absence, or its own word, that it does
//! not. Every other path can only say that it is leaving.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use wire::id::{EndpointId, IncarnationNumber, ServiceId};
use wire::member::{AgentHeartbeat, EndpointRecord, EndpointState, ServiceMean};

use crate::flap::{FlapRecord, FlapSettings};
use crate::list::{ListEntry, ListState};
use crate::row::{MemberRow, MemberState};

/// Largest factor by which damping may raise the load of the members that are left. It stays below
/// the usual load bound, as damped members count in the mean.
const MAX_DAMPING_LOAD_FACTOR: f64 = 1.15;

/// Times and limits of membership.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberSettings {
    /// Time without heartbeats after which a member's lease lapses. Three heartbeats fit in, so
    /// that a lost one and a late one are borne.
    pub lease: Duration,
    /// Rest of a lease after the agent's connection closed.
    pub lease_after_close: Duration,
    /// Time after which a lapsed member is forgotten.
    pub forget_after: Duration,
    /// Damping of members that come and go.
    pub flaps: FlapSettings,
    /// Bytes per second that loads may take in digests.
    pub load_bytes_per_second: u32,
    /// Longest time between two digests.
    pub digest_interval: Duration,
    /// Shortest time between two digests.
    pub min_digest_interval: Duration,
    /// Change of a service's mean, as a share, that calls for a digest before the interval is over.
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

/// The members as one control instance knows them.
#[derive(Clone, Debug)]
pub struct MemberTable {
    pub(crate) settings: MemberSettings,
    /// Sorted by endpoint.
    pub(crate) rows: Vec<MemberRow>,
    /// Endpoints that operators drain.
    drained: HashSet<EndpointId>,
    /// Endpoints forgotten since the last digest.
    pub(crate) removed: Vec<EndpointId>,
    /// Means as the last digest told them, sorted by service.
    pub(crate) sent_means: Vec<ServiceMean>,
    pub(crate) digest_at: Option<Instant>,
}

impl MemberTable {
    /// An empty table.
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

    /// Takes a heartbeat in. One of an earlier life, or an outdated one of this life, is ignored,
    /// and so is one of an unknown life without a record.
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

    /// Takes in that the connection of an agent closed. A living agent connects again within the
    /// rest of its lease.
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

    /// Takes the platform's list in.
    pub fn observe_list(&mut self, entries: &[ListEntry], now: Instant) {
        for entry in entries {
            let Some(index) = self.find(entry.endpoint) else {
                continue;
            };
            let row = &mut self.rows[index];
            // A line of another life must not touch this one.
            let is_same_incarnation = entry.incarnation == Some(row.record.incarnation);
            if is_same_incarnation && entry.state == ListState::Leaving {
                row.is_listed_leaving = true;
                self.update_state(index, now);
            }
        }
    }

    /// Sets the endpoints that operators drain.
    pub fn set_drained(&mut self, endpoints: impl IntoIterator<Item = EndpointId>, now: Instant) {
        self.drained = endpoints.into_iter().collect();
        for index in 0..self.rows.len() {
            let row = &mut self.rows[index];
            row.is_drained = self.drained.contains(&row.record.endpoint);
            self.update_state(index, now);
        }
    }

    /// Lets leases lapse, damping end, and lapsed members be forgotten.
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

    /// Every known member, sorted by endpoint.
    pub fn rows(&self) -> &[MemberRow] {
        &self.rows
    }

    /// The member with this id.
    pub fn get(&self, endpoint: EndpointId) -> Option<&MemberRow> {
        Some(&self.rows[self.find(endpoint)?])
    }

    /// Load and weight by service of the members whose endpoints serve, sorted by service.
    ///
    /// Damped members count: they stand empty, and a mean without them would let the others go
    /// above the bound.
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

    /// Re-checks the invariants.
    ///
    /// # Panics
    /// When one does not hold.
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

    /// Index of the row that `heartbeat` belongs to.
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

    /// Whether `heartbeat` is of the life that the row describes, after it was brought up to a
    /// later life.
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

    /// A later life that follows without a planned leaving counts as a failure, unless the lapse
    /// of the earlier one was counted already.
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

    /// Whether the service's other live members can carry the load without the one at `index`.
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
