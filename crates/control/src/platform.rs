//! The platform's list of instances.
//!
//! The list lags behind the instances, and it names endpoints but not their incarnations. A state
//! that changes to leaving between two readings is attributed to the incarnation seen at the
//! earlier one, so a stale state never affects a new incarnation of the same endpoint.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use awc::http::StatusCode;
use member::list::{ListEntry, ListState};
use serde::Deserialize;
use serde::de::{Error, IgnoredAny};
use serde_json::Value;
use serde_json::value::RawValue;
use tokio::time::{interval, timeout};
use wire::id::{EndpointId, IncarnationNumber, name_id};

use crate::node::ControlNode;

/// Interval between readings of the list.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a reading.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of the list in bytes.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of entries of the list, unreadable ones included. Countless tiny entries would take
/// far more memory than their list.
const MAX_LIST_ENTRIES: usize = 16 * 1024;

/// State of an instance according to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformState {
    /// The instance runs.
    Live,
    /// The instance stops soon.
    Leaving,
}

/// One instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct PlatformInstance {
    /// Name of the endpoint on the instance.
    pub name: String,
    /// State of the instance.
    pub state: PlatformState,
}

/// A list as it was read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadInstances {
    /// The instances whose entries can be read.
    pub instances: Vec<PlatformInstance>,
    /// Number of entries that can't be read.
    pub skipped: usize,
}

/// Parses a list. An entry that another writer left is skipped and counted; the parser bounds its
/// depth.
///
/// # Errors
/// Bytes that are not an array in JSON, or more than [`MAX_LIST_ENTRIES`] entries.
pub fn read_instances(body: &[u8]) -> serde_json::Result<ReadInstances> {
    let count = serde_json::from_slice::<Vec<IgnoredAny>>(body)?.len();
    if count > MAX_LIST_ENTRIES {
        let message = format!("more than {MAX_LIST_ENTRIES} entries");
        return Err(serde_json::Error::custom(message));
    }
    let entries: Vec<Box<RawValue>> = serde_json::from_slice(body)?;
    let readable = entries.iter().filter_map(|entry| {
        let _: Value = serde_json::from_str(entry.get()).ok()?;
        serde_json::from_str(entry.get()).ok()
    });
    let instances: Vec<PlatformInstance> = readable.collect();
    Ok(ReadInstances {
        skipped: entries.len() - instances.len(),
        instances,
    })
}

/// Agent incarnations by endpoint.
pub type IncarnationMap = BTreeMap<EndpointId, IncarnationNumber>;

/// Tracks the leaving incarnations over successive readings of the list.
#[derive(Debug, Default)]
pub struct ListFollower {
    /// Endpoints that were leaving in the last reading.
    leaving: BTreeSet<EndpointId>,
    /// Incarnations that were known at the last reading.
    incarnations: IncarnationMap,
    /// The incarnations that are leaving.
    leaving_incarnations: IncarnationMap,
}

impl ListFollower {
    /// Processes a reading of the list, with the incarnations known now. Returns the incarnations
    /// that are leaving.
    pub fn observe(
        &mut self,
        instances: &[PlatformInstance],
        incarnations: IncarnationMap,
    ) -> Vec<ListEntry> {
        let leaving = instances
            .iter()
            .filter(|instance| instance.state == PlatformState::Leaving);
        let leaving: BTreeSet<EndpointId> =
            leaving.map(|instance| name_id(&instance.name)).collect();
        for endpoint in leaving.difference(&self.leaving) {
            if let Some(incarnation) = self.incarnations.get(endpoint) {
                self.leaving_incarnations.insert(*endpoint, *incarnation);
            }
        }
        self.leaving_incarnations
            .retain(|endpoint, incarnation| incarnations.get(endpoint) == Some(incarnation));
        self.leaving = leaving;
        self.incarnations = incarnations;
        let entries = self
            .leaving_incarnations
            .iter()
            .map(|(endpoint, incarnation)| ListEntry {
                endpoint: *endpoint,
                incarnation: Some(*incarnation),
                state: ListState::Leaving,
            });
        entries.collect()
    }
}

/// Polls the list at `address` until the process ends.
pub async fn follow_list(node: Rc<ControlNode>, address: SocketAddr) {
    let client = list_client();
    let follower = RefCell::new(ListFollower::default());
    let mut ticks = interval(READ_INTERVAL);
    let mut skipped = 0;
    loop {
        ticks.tick().await;
        match timeout(READ_TIMEOUT, read_list(&client, address)).await {
            Ok(Ok(ReadInstances {
                instances,
                skipped: odd,
            })) => {
                if std::mem::replace(&mut skipped, odd) != odd {
                    log::warn!(skipped = odd; "control: number of unreadable entries of the platform's list changed");
                }
                let entries = follower
                    .borrow_mut()
                    .observe(&instances, node.members.incarnations());
                node.members.observe_list(&entries);
            }
            Ok(Err(error)) => log::warn!("control: reading the platform's list failed: {error}."),
            Err(_) => log::warn!("control: reading the platform's list timed out."),
        }
    }
}

/// Client that reads the list at its own address only.
pub fn list_client() -> Client {
    Client::builder().disable_redirects().finish()
}

/// Reads the list at `address` once. Only an answer of status 200 is one.
///
/// # Errors
/// Why no whole list was read.
pub async fn read_list(client: &Client, address: SocketAddr) -> Result<ReadInstances, String> {
    // The client takes an interim answer for the answer, and another one may follow it.
    let sent = client
        .get(format!("http://{address}/instances"))
        .force_close()
        .send()
        .await;
    let mut response = sent.map_err(|error| error.to_string())?;
    if response.status() != StatusCode::OK {
        return Err(format!("answered with status {}", response.status()));
    }
    let body = response.body().limit(MAX_LIST_BYTES).await;
    let body = body.map_err(|error| error.to_string())?;
    read_instances(&body).map_err(|error| error.to_string())
}
