//! The command that follows decisions as they are made.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use watch::explain::summarize;
use watch::ring::{RingBatch, RingEntry};

use crate::args::WatchArgs;
use crate::client::OperatorClient;
use crate::error::Result;
use crate::print;
use crate::read::DECISIONS_PATH;

/// Interval between two queries of the entries.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Serialize)]
struct FollowQuery<'a> {
    after: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    account: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    service: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    endpoint: Option<&'a str>,
}

/// Prints decisions as they are made, until the count is reached or, without a count, until the
/// program is stopped. With `once`, prints the decisions that are recorded now.
///
/// # Errors
/// A request or the output failed.
pub async fn watch(
    client: &OperatorClient,
    command: &WatchArgs,
    json: bool,
    out: &mut dyn Write,
) -> Result<()> {
    let entries = client.entries()?;
    let mut next: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    let mut remaining = command.count.unwrap_or(u64::MAX);
    loop {
        for entry in entries {
            let after = next.entry(*entry).or_default();
            let batch = read_batch(client, command, *entry, *after).await?;
            *after = batch.next;
            for ring_entry in &batch.entries {
                if remaining == 0 {
                    return Ok(());
                }
                print_entry(out, ring_entry, json)?;
                remaining -= 1;
            }
        }
        if remaining == 0 || command.once {
            return Ok(());
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

async fn read_batch(
    client: &OperatorClient,
    command: &WatchArgs,
    entry: SocketAddr,
    after: u64,
) -> Result<RingBatch> {
    let query = FollowQuery {
        after,
        account: command.account.as_deref(),
        service: command.service.as_deref(),
        endpoint: command.endpoint.as_deref(),
    };
    client.get_from(entry, DECISIONS_PATH, &query).await
}

fn print_entry(out: &mut dyn Write, entry: &RingEntry, json: bool) -> Result<()> {
    if json {
        print::json(out, entry)?;
    } else {
        writeln!(out, "{}", summarize(&entry.event))?;
    }
    out.flush()?;
    Ok(())
}
