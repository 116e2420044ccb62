//! Builds the membership digests that control sends to entries and agents, within a byte budget.
//!
//! One delta is built for all connections, so that control encodes it once. Every changed state and
//! record is sent; changed loads are sent in order of the size of the change, until the budget is
//! used up. Entries learn the loads of the endpoints that they use from the endpoints' answers.

use std::time::{Duration, Instant};

use wire::id::ServiceId;
use wire::member::{LoadSample, MemberDigest, ServiceMean};

use crate::row::MemberRow;
use crate::table::MemberTable;

/// Typical encoded size of a load sample in bytes.
const LOAD_SAMPLE_BYTES: f64 = 22.0;
/// Longest time since the previous digest that counts towards the byte budget of a digest.
const MAX_BUDGET_TIME: Duration = Duration::from_secs(2);

impl MemberTable {
    /// Returns the changes since the last call, for connections that have received every earlier
    /// digest.
    pub fn next_digest(&mut self, now: Instant) -> MemberDigest {
        let budget = self.sample_budget(now);
        self.digest_at = Some(now);
        let means = self.changed_means();
        self.sent_means = self.means();
        let records = self.rows.iter_mut().filter(|row| row.is_record_changed);
        let records = records
            .map(|row| {
                row.is_record_changed = false;
                row.record.clone()
            })
            .collect();
        MemberDigest {
            records,
            gone: std::mem::take(&mut self.removed),
            loads: self.take_samples(budget),
            means,
        }
    }

    /// Returns a digest of all members for a new connection. Changes since the last
    /// [`Self::next_digest`] are part of it already; the next delta may repeat them.
    pub fn full_digest(&self) -> MemberDigest {
        let rows = self.rows.iter();
        MemberDigest {
            records: rows.clone().map(|row| row.record.clone()).collect(),
            gone: Vec::new(),
            loads: rows.map(load_sample).collect(),
            means: self.means(),
        }
    }

    /// Returns the part of a digest with these `means` that an agent of `service` needs.
    pub fn agent_digest(means: &[ServiceMean], service: ServiceId) -> MemberDigest {
        let own = means.iter().filter(|mean| mean.service == service);
        MemberDigest {
            means: own.copied().collect(),
            ..MemberDigest::default()
        }
    }

    /// Whether a digest is due.
    pub fn is_digest_due(&self, now: Instant) -> bool {
        let Some(at) = self.digest_at else {
            return true;
        };
        let age = now.saturating_duration_since(at);
        let is_min_interval_over = age >= self.settings.min_digest_interval;
        age >= self.settings.digest_interval || (is_min_interval_over && self.is_urgent())
    }

    /// Whether a digest should be sent before the interval is over: a member's state changed, or a
    /// service's mean changed by more than `urgent_mean_change`.
    pub fn is_urgent(&self) -> bool {
        let is_changed = |row: &MemberRow| {
            let sent = row.sent.map(|sent| sent.state);
            sent != Some(row.state.endpoint_state())
        };
        self.rows.iter().any(is_changed) || self.has_mean_changed()
    }

    fn has_mean_changed(&self) -> bool {
        let limit = self.settings.urgent_mean_change;
        self.means().iter().any(|mean| {
            let sent = self
                .sent_means
                .iter()
                .find(|sent| sent.service == mean.service);
            sent.is_none_or(|sent| {
                let change = (load_per_weight(mean) - load_per_weight(sent)).abs();
                change > limit * load_per_weight(sent).max(1.0)
            })
        })
    }

    fn changed_means(&self) -> Vec<ServiceMean> {
        let means = self.means().into_iter();
        let changed = means.filter(|mean| !self.sent_means.contains(mean));
        let mut changed: Vec<ServiceMean> = changed.collect();
        let has_members = |service| self.rows.iter().any(|row| row.record.service == service);
        let current = self.means();
        for sent in &self.sent_means {
            let is_live = current.iter().any(|mean| mean.service == sent.service);
            if !is_live && sent.weight > 0 && has_members(sent.service) {
                let (load, weight) = (0, 0);
                changed.push(ServiceMean {
                    load,
                    weight,
                    ..*sent
                });
            }
        }
        changed
    }

    fn sample_budget(&self, now: Instant) -> usize {
        let elapsed = match self.digest_at {
            None => MAX_BUDGET_TIME,
            Some(at) => now.saturating_duration_since(at).min(MAX_BUDGET_TIME),
        };
        let bytes = f64::from(self.settings.load_bytes_per_second) * elapsed.as_secs_f64();
        (bytes / LOAD_SAMPLE_BYTES) as usize
    }

    /// Returns samples of all members that are new or changed their state, and of the `budget`
    /// other members with the largest change of load, and records them as sent.
    fn take_samples(&mut self, budget: usize) -> Vec<LoadSample> {
        let mut changed: Vec<(u32, usize)> = Vec::new();
        let mut samples = Vec::new();
        for (index, row) in self.rows.iter_mut().enumerate() {
            let sample = row.sample();
            match row.sent {
                Some(sent) if sent.state == sample.state => {
                    let change = sent.load.total().abs_diff(sample.load.total());
                    if change > 0 {
                        changed.push((change, index));
                    }
                }
                _ => {
                    row.sent = Some(sample);
                    samples.push(load_sample(row));
                }
            }
        }
        changed.sort_unstable_by(|left, right| right.cmp(left));
        for (_, index) in changed.into_iter().take(budget) {
            let row = &mut self.rows[index];
            row.sent = Some(row.sample());
            samples.push(load_sample(row));
        }
        samples
    }
}

fn load_sample(row: &MemberRow) -> LoadSample {
    LoadSample {
        endpoint: row.record.endpoint,
        incarnation: row.record.incarnation,
        state: row.state.endpoint_state(),
        load: row.load,
    }
}

/// Mean load per unit of weight.
fn load_per_weight(mean: &ServiceMean) -> f64 {
    mean.load as f64 / mean.weight.max(1) as f64
}
