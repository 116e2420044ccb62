//! Measures the memory and time cost of an entry's metrics and decision ring.
//!
//! `cargo run --release -p watch --example metric_cost -- ACCOUNTS MODELS ACCOUNT_LABELS`

use std::env;
use std::time::{Duration, Instant};

use fault::RunOutcome;
use watch::entry::AnswerSample;
use watch::label::LabelSettings;
use watch::record::{
    AttemptRecord, AttemptResult, CandidateRecord, DecisionPart, DecisionRecord, EntryDecision,
    ExclusionKind, MAX_CANDIDATES,
};
use watch::ring::{DecisionRing, RingSettings};
use watch::usage::ProcessUsage;
use watch::{EntryMetrics, Result};
use wire::answer::PriorityClass;
use wire::id::RequestId;

/// Default accounts, models and account labels, in the order of the arguments.
const DEFAULT_SIZES: [usize; 3] = [2100, 39, 100];
/// Records pushed into the ring.
const RECORD_COUNT: RequestId = 200_000;
/// Bytes in a megabyte.
const MEGABYTE: f64 = 1e6;

fn main() -> Result<()> {
    let mut sizes = DEFAULT_SIZES;
    for (size, text) in sizes.iter_mut().zip(env::args().skip(1)) {
        *size = text.parse().unwrap_or(*size);
    }
    let [accounts, models, account_labels] = sizes;
    let ring = measure_ring();
    measure_metrics(accounts, models, account_labels)?;
    ring.verify();
    Ok(())
}

fn measure_metrics(accounts: usize, models: usize, account_labels: usize) -> Result<()> {
    let before = ProcessUsage::read();
    let metrics = EntryMetrics::new(LabelSettings {
        accounts: account_labels,
        ..LabelSettings::default()
    })?;
    let start = Instant::now();
    for account in 0..accounts {
        record_account(&metrics, account, models);
    }
    let spent = start.elapsed();
    let held = ProcessUsage::read().resident_bytes - before.resident_bytes;
    let text = metrics.process.expose()?;
    let answers = accounts * models;
    println!(
        "RESULT metrics accounts={accounts} models={models} account_labels={account_labels} \
         resident_mb={:.2} exposition_mb={:.2} ns_per_answer={:.0}",
        held as f64 / MEGABYTE,
        text.len() as f64 / MEGABYTE,
        spent.as_nanos() as f64 / answers as f64,
    );
    Ok(())
}

/// Records one answer of each model, cycling through the priority classes.
fn record_account(metrics: &EntryMetrics, account: usize, models: usize) {
    let name = format!("account-{account}");
    let classes = [
        PriorityClass::Urgent,
        PriorityClass::Interactive,
        PriorityClass::Batch,
    ];
    for model in 0..models {
        let class = classes[model % classes.len()];
        metrics.record(&AnswerSample {
            account: &name,
            service: "toponym-lm",
            model: Some(&format!("model-{model}")),
            class,
            outcome: RunOutcome::Ran,
            fault: None,
            first_token: Some(Duration::from_millis(90)),
            queue_wait: Some(Duration::from_millis(2)),
            total: Duration::from_millis(800),
            prompt_tokens: 2000,
            cached_tokens: 1500,
            attempts: 1,
        });
        let observer = metrics.gap_observer(&name, class);
        observer.observe(Duration::from_millis(30));
    }
}

/// Fills a ring and returns it, so that its memory is not reused by the next measurement.
fn measure_ring() -> DecisionRing {
    let settings = RingSettings {
        full_rate: u32::MAX,
        ..RingSettings::default()
    };
    let before = ProcessUsage::read();
    let mut ring = DecisionRing::new(settings);
    let start = Instant::now();
    for request in 0..RECORD_COUNT {
        ring.push(full_record(request));
    }
    let spent = start.elapsed();
    let held = ProcessUsage::read().resident_bytes - before.resident_bytes;
    println!(
        "RESULT ring records={} resident_mb={:.2} ns_per_record={:.0}",
        settings.ordinary_capacity + settings.notable_capacity,
        held as f64 / MEGABYTE,
        spent.as_nanos() as f64 / RECORD_COUNT as f64,
    );
    ring
}

/// Builds a record with the largest number of candidates; every second one is notable.
fn full_record(request: RequestId) -> DecisionRecord {
    let candidates = (0..MAX_CANDIDATES).map(|index| CandidateRecord {
        endpoint: format!("toponym-lm-{index}"),
        domain: "willamette".to_owned(),
        load: 3,
        warm_tokens: 1024,
        excluded: Some(ExclusionKind::RankedLower),
    });
    let attempt = AttemptRecord {
        attempt: 1,
        endpoint: "toponym-lm-1".to_owned(),
        result: AttemptResult::Answered,
    };
    DecisionRecord {
        request,
        time: Duration::from_secs(1),
        instance: "entry-1".to_owned(),
        account: "county-archive".to_owned(),
        service: "toponym-lm".to_owned(),
        model: Some("provenance".to_owned()),
        class: PriorityClass::Interactive,
        part: DecisionPart::Entry(EntryDecision {
            candidates: candidates.collect(),
            choice: Some("toponym-lm-1".to_owned()),
            attempts: vec![attempt; 1 + (request % 2) as usize],
            ..EntryDecision::default()
        }),
        outcome: RunOutcome::Ran,
        fault: None,
        total: Duration::from_millis(800),
    }
}
