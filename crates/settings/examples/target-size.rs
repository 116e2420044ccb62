//! Measures the cost of settings operations at the target size: 2,100 accounts, 39 models,
//! 720 endpoints.
//!
//! `cargo run --release -p settings --example target-size`

use std::fmt::Write;
use std::time::{Duration, Instant};

use settings::fleet::hash_key;
use settings::{SettingsHistory, SettingsTree};
use wire::codec::encode;
use wire::command::{SettingEdit, SettingsChange};

const ACCOUNTS: usize = 2_100;
const MODELS: usize = 39;
const ENDPOINTS: usize = 720;
const SERVICES: usize = 13;
/// Number of changes in three days at the target size.
const CHANGES: u64 = 4_500;

fn main() {
    let tree = SettingsTree::parse(&target_text()).expect("the tree parses");
    println!("tree {} bytes", tree.to_text().len());
    let mut history = SettingsHistory::default();
    let first = SettingsHistory::first_change(&tree);
    history
        .apply(&first, Duration::ZERO)
        .expect("the tree is valid");
    let resolve = timed(20, || drop(history.resolved()));
    println!("resolve {resolve:?}");
    let text = timed(20, || drop(tree.to_text()));
    println!("text {text:?}");
    let start = Instant::now();
    for base in 1..=CHANGES {
        history
            .apply(&change(base), Duration::ZERO)
            .expect("the change is valid");
    }
    println!("accept {:?}", start.elapsed() / CHANGES as u32);
    let bytes = encode(&history).expect("it fits a message");
    println!("snapshot after {CHANGES} changes {} bytes", bytes.len());
    let update = history.update_since(history.version() - 1);
    let bytes = encode(&update).expect("it fits a message");
    println!("update by one version {} bytes", bytes.len());
    let oldest = history.records().next().map_or(0, |record| record.version);
    let rebuild = timed(5, || drop(history.tree_at(oldest)));
    println!("rebuild of version {oldest} {rebuild:?}");
}

fn target_text() -> String {
    let mut text = String::new();
    for index in 0..SERVICES {
        let _ = writeln!(text, "[services.service-{index}]");
    }
    for index in 0..MODELS {
        let service = index % SERVICES;
        let _ = writeln!(
            text,
            "[services.service-{service}.models.model-{index}]\nversion = \"2026-11\""
        );
    }
    for index in 0..ENDPOINTS {
        let service = index % SERVICES;
        let _ = writeln!(
            text,
            "[endpoints.runner-{index}]\nservice = \"service-{service}\""
        );
    }
    for index in 0..ACCOUNTS {
        let hash = hash_key(&index.to_string());
        let _ = writeln!(
            text,
            "[accounts.account-{index}]\nkey_hash = \"{hash}\"\nconcurrency = 8"
        );
    }
    text
}

fn change(base: u64) -> SettingsChange {
    let endpoint = base as usize % ENDPOINTS;
    SettingsChange {
        change_id: format!("{base:032x}"),
        base,
        operator: "anna".to_owned(),
        edits: vec![SettingEdit {
            path: format!("endpoints.runner-{endpoint}.draining"),
            value: Some((base as usize / ENDPOINTS).is_multiple_of(2).to_string()),
        }],
    }
}

fn timed(rounds: u32, run: impl Fn()) -> Duration {
    let start = Instant::now();
    for _ in 0..rounds {
        run();
    }
    start.elapsed() / rounds
}
