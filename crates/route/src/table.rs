//! The endpoints known to an entry and their last reported load.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fault::FaultKind;
use wire::answer::EndpointLoad;
use wire::id::{DomainId, EndpointId, IncarnationNumber, ModelId, ServiceId};
use wire::member::{EndpointRecord, EndpointState, LoadSample, MemberDigest, WarmDigest};

use crate::prefix::PrefixTable;

/// Settings of a [`RouteTable`].
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSettings {
    /// Failure domain of the entry.
    pub domain: DomainId,
    /// Age at which a reported load above the mean has decayed to the mean.
    pub high_load_decay: Duration,
    /// Age at which a reported load below the mean has decayed to the mean.
    pub low_load_decay: Duration,
    /// Time for which an endpoint is excluded after a connection to it, or an attempt sent to it,
    /// failed.
    pub suspect_duration: Duration,
    /// Time for which an endpoint is excluded after control reported that it joined or serves
    /// again, because its agent does not admit requests yet.
    pub join_delay: Duration,
    /// Time for which an endpoint is excluded after it refused a request because it is draining,
    /// whatever digests report.
    pub leaving_duration: Duration,
}

impl Default for RouteSettings {
    fn default() -> Self {
        Self {
            domain: 0,
            high_load_decay: Duration::from_secs(5),
            low_load_decay: Duration::from_secs(1),
            suspect_duration: Duration::from_secs(1),
            join_delay: Duration::from_millis(300),
            leaving_duration: Duration::from_secs(10),
        }
    }
}

/// The entry's view of one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct EndpointRow {
    pub(crate) endpoint: EndpointId,
    pub(crate) cache_epoch: u64,
    pub(crate) service: ServiceId,
    pub(crate) domain: DomainId,
    /// At least 1.
    pub(crate) weight: u32,
    pub(crate) state: EndpointState,
    /// Last reported load, received at `seen_at`.
    pub(crate) load: EndpointLoad,
    pub(crate) seen_at: Option<Instant>,
    /// Requests of this entry that the endpoint has neither admitted nor refused yet.
    pub(crate) pending: u32,
    pub(crate) suspect_until: Option<Instant>,
    pub(crate) leaving_until: Option<Instant>,
    pub(crate) joining_until: Option<Instant>,
}

/// A serving endpoint and its load, as known to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServingEndpoint {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Last reported load plus pending requests of this entry.
    pub load: u32,
}

/// The properties of an endpoint on which the order of preference depends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PreferenceKey {
    pub(crate) endpoint: EndpointId,
    pub(crate) weight: u32,
}

/// The endpoints of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceRows {
    /// Mean load per unit of weight, as last reported by control.
    pub(crate) mean: Option<f64>,
    /// Share of the weight that does not serve but may join again, as last reported by control.
    pub(crate) absent_share: f64,
    pub(crate) rows: Vec<u32>,
}

/// The endpoints known to an entry. Memory is linear in endpoints.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    pub(crate) settings: RouteSettings,
    /// Sorted by endpoint, parallel to `records`.
    pub(crate) rows: Vec<EndpointRow>,
    records: Vec<EndpointRecord>,
    /// Derived from `rows` and parallel to them; read to compute the order of preference.
    pub(crate) keys: Vec<PreferenceKey>,
    /// Derived from `rows`.
    pub(crate) services: HashMap<ServiceId, ServiceRows>,
    /// Endpoints that carry a model, sorted. A model without an entry is carried by all endpoints.
    pub(crate) placement: HashMap<ModelId, Vec<EndpointId>>,
    pub(crate) prefixes: PrefixTable,
}

impl RouteTable {
    /// An empty table.
    pub fn new(settings: RouteSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Number of endpoints.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Record of an endpoint.
    pub fn record(&self, endpoint: EndpointId) -> Option<&EndpointRecord> {
        Some(&self.records[self.find(endpoint)?])
    }

    /// Address of the agent of an endpoint.
    pub fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        Some(self.record(endpoint)?.address)
    }

    /// Last reported load of an endpoint plus the pending requests of this entry.
    pub fn load(&self, endpoint: EndpointId) -> Option<u32> {
        let row = &self.rows[self.find(endpoint)?];
        Some(row.load.total() + row.pending)
    }

    /// Last reported load of an endpoint.
    pub fn reported_load(&self, endpoint: EndpointId) -> Option<EndpointLoad> {
        Some(self.rows[self.find(endpoint)?].load)
    }

    /// Last reported state of an endpoint.
    pub fn state(&self, endpoint: EndpointId) -> Option<EndpointState> {
        Some(self.rows[self.find(endpoint)?].state)
    }

    /// Records of all endpoints, sorted by id.
    pub fn records(&self) -> &[EndpointRecord] {
        &self.records
    }

    /// Endpoints that serve according to the last report, except those in `tried`.
    pub fn serving(&self, tried: &[EndpointId]) -> impl Iterator<Item = ServingEndpoint> {
        let serving = self.rows.iter().filter(move |row| {
            row.state == EndpointState::Serving && !tried.contains(&row.endpoint)
        });
        serving.map(|row| ServingEndpoint {
            endpoint: row.endpoint,
            load: row.load.total() + row.pending,
        })
    }

    /// Restricts `model` to `endpoints`; an empty list removes the restriction.
    pub fn place_model(&mut self, model: ModelId, mut endpoints: Vec<EndpointId>) {
        if endpoints.is_empty() {
            self.placement.remove(&model);
            return;
        }
        endpoints.sort_unstable();
        self.placement.insert(model, endpoints);
    }

    /// Applies a member digest from control.
    pub fn observe_digest(&mut self, digest: &MemberDigest, now: Instant) {
        // Endpoints in the first digest are assumed to have been serving for a while, so they get
        // no join delay.
        let is_first = self.rows.is_empty();
        let admits_from = now + self.settings.join_delay;
        for record in &digest.records {
            let joining_until = (!is_first).then_some(admits_from);
            self.upsert(record, joining_until);
        }
        for endpoint in &digest.gone {
            self.remove(*endpoint);
        }
        if !digest.records.is_empty() || !digest.gone.is_empty() {
            self.rebuild_services();
        }
        for sample in &digest.loads {
            self.observe_sample(sample, now);
        }
        for mean in &digest.means {
            let service = self.services.entry(mean.service).or_default();
            service.mean = (mean.weight > 0).then(|| mean.load as f64 / mean.weight as f64);
            let total = (mean.weight + mean.absent).max(1);
            service.absent_share = mean.absent as f64 / total as f64;
        }
    }

    /// Removes every endpoint that is not in `digest`, then applies it. Used for the first digest
    /// of a connection, which lists all endpoints.
    pub fn replace_with(&mut self, digest: &MemberDigest, now: Instant) {
        let is_listed = |endpoint| {
            digest
                .records
                .iter()
                .any(|record| record.endpoint == endpoint)
        };
        let known: Vec<EndpointId> = self.rows.iter().map(|row| row.endpoint).collect();
        for endpoint in known.into_iter().filter(|endpoint| !is_listed(*endpoint)) {
            self.remove(endpoint);
        }
        self.rebuild_services();
        self.observe_digest(digest, now);
    }

    /// Applies a digest of the prefixes cached at an endpoint.
    pub fn observe_warm(&mut self, digest: &WarmDigest) {
        self.prefixes.observe(digest);
    }

    /// Adds one pending request to `endpoint`. Each call of [`Self::observe_reply`],
    /// [`Self::observe_refusal`], [`Self::observe_failure`] or [`Self::remove_pending`] removes one.
    pub fn add_pending(&mut self, endpoint: EndpointId) {
        if let Some(row) = self.row_mut(endpoint) {
            row.pending += 1;
        }
    }

    /// Applies the load reported with an admission or a refusal, and removes one pending request.
    pub fn observe_reply(&mut self, endpoint: EndpointId, load: EndpointLoad, now: Instant) {
        if let Some(row) = self.row_mut(endpoint) {
            row.pending = row.pending.saturating_sub(1);
        }
        self.observe_load(endpoint, load, now);
    }

    /// Removes a pending request that was never sent or whose reply is no longer awaited.
    pub fn remove_pending(&mut self, endpoint: EndpointId) {
        if let Some(row) = self.row_mut(endpoint) {
            row.pending = row.pending.saturating_sub(1);
        }
    }

    /// Applies a load reported without an admission or a refusal, such as at the end of an answer.
    pub fn observe_load(&mut self, endpoint: EndpointId, load: EndpointLoad, now: Instant) {
        if let Some(row) = self.row_mut(endpoint) {
            row.load = load;
            row.seen_at = Some(now);
            row.suspect_until = None;
        }
    }

    /// Applies a refusal: the load that it reports, and whether the endpoint is draining.
    pub fn observe_refusal(
        &mut self,
        endpoint: EndpointId,
        kind: FaultKind,
        load: EndpointLoad,
        now: Instant,
    ) {
        self.observe_reply(endpoint, load, now);
        let leaving_until = now + self.settings.leaving_duration;
        if kind == FaultKind::Draining
            && let Some(row) = self.row_mut(endpoint)
        {
            row.leaving_until = Some(leaving_until);
        }
    }

    /// Marks `endpoint` as suspect after a connection to it or an attempt sent to it failed, and
    /// removes one pending request.
    pub fn observe_failure(&mut self, endpoint: EndpointId, now: Instant) {
        let suspect_until = now + self.settings.suspect_duration;
        if let Some(row) = self.row_mut(endpoint) {
            row.pending = row.pending.saturating_sub(1);
            row.suspect_until = Some(suspect_until);
        }
    }

    /// Checks the invariants.
    ///
    /// # Panics
    /// If one is violated.
    pub fn verify(&self) {
        assert_eq!(self.rows.len(), self.records.len());
        assert!(
            self.rows
                .is_sorted_by(|left, right| left.endpoint < right.endpoint)
        );
        for (row, record) in self.rows.iter().zip(&self.records) {
            assert_eq!(row.endpoint, record.endpoint);
            assert!(row.weight >= 1);
        }
        assert_eq!(self.rows.len(), self.keys.len());
        let listed: usize = self
            .services
            .values()
            .map(|service| service.rows.len())
            .sum();
        assert_eq!(listed, self.rows.len());
    }

    /// Whether `endpoint` carries `model`.
    pub(crate) fn carries(&self, endpoint: EndpointId, model: Option<ModelId>) -> bool {
        let placed = model.and_then(|model| self.placement.get(&model));
        placed.is_none_or(|endpoints| endpoints.binary_search(&endpoint).is_ok())
    }

    pub(crate) fn find(&self, endpoint: EndpointId) -> Option<usize> {
        self.rows
            .binary_search_by_key(&endpoint, |row| row.endpoint)
            .ok()
    }

    fn row_mut(&mut self, endpoint: EndpointId) -> Option<&mut EndpointRow> {
        let index = self.find(endpoint)?;
        Some(&mut self.rows[index])
    }

    fn upsert(&mut self, record: &EndpointRecord, joining_until: Option<Instant>) {
        self.prefixes
            .drop_earlier_epochs(record.endpoint, record.cache_epoch);
        let search = self
            .rows
            .binary_search_by_key(&record.endpoint, |row| row.endpoint);
        match search {
            Ok(index) => self.update(index, record, joining_until),
            Err(index) => {
                self.rows.insert(index, new_row(record, joining_until));
                self.records.insert(index, record.clone());
            }
        }
    }

    /// Updates a known endpoint. A record of an earlier incarnation is ignored.
    fn update(&mut self, index: usize, record: &EndpointRecord, joining_until: Option<Instant>) {
        let known = &self.records[index];
        if record.incarnation < known.incarnation {
            return;
        }
        let row = &mut self.rows[index];
        if record.incarnation > known.incarnation {
            *row = new_row(record, joining_until);
        }
        row.cache_epoch = record.cache_epoch;
        row.service = record.service;
        row.domain = record.domain;
        row.weight = record.weight.max(1);
        self.records[index] = record.clone();
    }

    fn remove(&mut self, endpoint: EndpointId) {
        let Some(index) = self.find(endpoint) else {
            return;
        };
        self.rows.remove(index);
        self.records.remove(index);
        self.prefixes.remove(endpoint);
    }

    fn rebuild_services(&mut self) {
        let keys = self.rows.iter().map(|row| PreferenceKey {
            endpoint: row.endpoint,
            weight: row.weight,
        });
        self.keys = keys.collect();
        for service in self.services.values_mut() {
            service.rows.clear();
        }
        for (index, row) in (0..).zip(&self.rows) {
            let service = self.services.entry(row.service).or_default();
            service.rows.push(index);
        }
        self.services.retain(|_, service| !service.rows.is_empty());
    }

    fn observe_sample(&mut self, sample: &LoadSample, now: Instant) {
        let Some(index) = self.find(sample.endpoint) else {
            return;
        };
        if !is_current(sample.incarnation, &self.records[index]) {
            return;
        }
        let admits_from = now + self.settings.join_delay;
        let row = &mut self.rows[index];
        let is_serving = sample.state == EndpointState::Serving;
        if is_serving && row.state != EndpointState::Serving {
            row.joining_until = Some(admits_from);
        }
        row.state = sample.state;
        row.load = sample.load;
        row.seen_at = Some(now);
    }
}

fn is_current(incarnation: IncarnationNumber, record: &EndpointRecord) -> bool {
    incarnation == record.incarnation
}

fn new_row(record: &EndpointRecord, joining_until: Option<Instant>) -> EndpointRow {
    EndpointRow {
        endpoint: record.endpoint,
        cache_epoch: record.cache_epoch,
        service: record.service,
        domain: record.domain,
        weight: record.weight.max(1),
        state: EndpointState::Serving,
        load: EndpointLoad::default(),
        seen_at: None,
        pending: 0,
        suspect_until: None,
        leaving_until: None,
        joining_until,
    }
}
