//! What entries and agents are told, under a byte budget.
//!
//! One delta is built for all connections, so that control encodes it once. Changes of state and
//! records always go out; loads go out as far as the budget reaches, largest change first. Entries
//! learn the loads of the endpoints that they use from the answers.

use std::time::{Duration, Instant};

use wire::id::ServiceId;
use wire::member::{LoadSample, MemberDigest, ServiceMean};

use crate::row::MemberRow;
use crate::table::MemberTable;

/// Usual encoded size of a load sample in bytes.
const LOAD_SAMPLE_BYTES: f64 = 22.0;
/// Longest time whose budget one digest may use.
const MAX_BUDGET_TIME: Duration = Duration::from_secs(2);

impl MemberTable {
    /// The change since the last call, for connections that have all digests before it.
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

    /// Everything that [`Self::next_digest`] has told so far, for a new connection. The first
    /// delta after it completes it.
    pub fn full_digest(&self) -> MemberDigest {
        let rows = self.rows.iter();
        MemberDigest {
            records: rows.clone().map(|row| row.record.clone()).collect(),
            gone: Vec::new(),
            loads: rows.map(load_sample).collect(),
            means: self.means(),
        }
    }

    /// What an agent of `service` needs of a digest with these `means`.
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

    /// Whether a digest should not wait: a member changed its state, or a mean moved far.
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
        let is_listed = |service| self.rows.iter().any(|row| row.record.service == service);
        let now = self.means();
        for sent in &self.sent_means {
            let is_live = now.iter().any(|mean| mean.service == sent.service);
            if !is_live && sent.weight > 0 && is_listed(sent.service) {
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

    /// Every changed state, and the `budget` largest changes of load.
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

/// Mean load for each unit of weight.
fn load_per_weight(mean: &ServiceMean) -> f64 {
    mean.load as f64 / mean.weight.max(1) as f64
}
