//! Measures the time that an instance takes to apply a settings change, by size of the tree and of
//! the change.
//!
//! `cargo run --release -p fake --example change_cost -- ACCOUNTS ENDPOINTS EDITS`

use std::env;
use std::fmt::Write;
use std::time::Instant;

use settings::SettingsTree;
use settings::fleet::hash_key;
use settings::tree::Result;
use wire::command::SettingEdit;

/// Defaults of the arguments: client accounts, endpoints, edits.
const DEFAULT_SIZES: [usize; 3] = [2100, 720, 1];
/// Number of models of the service.
const MODELS: usize = 39;
/// Number of changes over which the times are averaged.
const REPETITIONS: u32 = 20;

fn main() -> Result<()> {
    let mut sizes = DEFAULT_SIZES;
    for (size, text) in sizes.iter_mut().zip(env::args().skip(1)) {
        *size = text.parse().unwrap_or(*size);
    }
    let [accounts, endpoints, edits] = sizes;
    let text = tree_text(accounts, endpoints);
    let tree = SettingsTree::parse(&text)?;
    let edits: Vec<SettingEdit> = (0..edits).map(|index| edit(index % accounts)).collect();
    let start = Instant::now();
    for _ in 0..REPETITIONS {
        tree.edited(&edits)?;
    }
    let edited = start.elapsed() / REPETITIONS;
    let start = Instant::now();
    for version in 0..REPETITIONS {
        tree.resolve(u64::from(version))?;
    }
    let resolved = start.elapsed() / REPETITIONS;
    println!(
        "RESULT change accounts={accounts} endpoints={endpoints} edits={} tree_kb={:.0} \
         edit_ms={:.3} resolve_ms={:.3}",
        edits.len(),
        text.len() as f64 / 1e3,
        edited.as_secs_f64() * 1e3,
        resolved.as_secs_f64() * 1e3,
    );
    Ok(())
}

fn edit(account: usize) -> SettingEdit {
    SettingEdit {
        path: format!("accounts.account-{account}.share"),
        value: Some("2".to_owned()),
    }
}

fn tree_text(accounts: usize, endpoints: usize) -> String {
    let mut text = "[services.runner]\nkind = \"model\"\n".to_owned();
    for model in 0..MODELS {
        push(
            &mut text,
            &format!("[services.runner.models.model-{model}]"),
        );
    }
    for endpoint in 0..endpoints {
        push(
            &mut text,
            &format!("[endpoints.runner-{endpoint}]\nservice = \"runner\""),
        );
    }
    for account in 0..accounts {
        let hash = hash_key(&format!("key {account}"));
        push(
            &mut text,
            &format!("[accounts.account-{account}]\nkey_hash = \"{hash}\""),
        );
    }
    let hash = hash_key("operator");
    push(
        &mut text,
        &format!("[operators.sysop]\nkey_hash = \"{hash}\"\nrole = \"change\""),
    );
    text
}

fn push(text: &mut String, table: &str) {
    // Writing to a string can't fail.
    let _ = writeln!(text, "{table}");
}
