//! The platform's list of instances.
//!
//! The list lags, and names endpoints but not their lives. A line that turned to leaving between
//! two readings is about the life that was there at the earlier one, so a new life of the same
//! endpoint is never touched by an old line.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use member::list::{ListEntry, ListState};
use serde::Deserialize;
use tokio::time::{interval, timeout};
use wire::id::{EndpointId, IncarnationNumber, name_id};

use crate::node::ControlNode;

/// Time between two readings.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Longest duration of a reading.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest list in bytes.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// What the platform says of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformState {
    /// The instance runs.
    Live,
    /// The instance stops soon.
    Leaving,
}

/// One line of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct PlatformInstance {
    /// Name of the endpoint on the instance.
    pub name: String,
    /// What the platform says of it.
    pub state: PlatformState,
}

/// Lives by endpoint.
pub type IncarnationMap = BTreeMap<EndpointId, IncarnationNumber>;

/// What the readings so far say.
#[derive(Debug, Default)]
pub struct ListFollower {
    /// Endpoints that the last reading called leaving.
    leaving: BTreeSet<EndpointId>,
    /// Lives at the last reading.
    incarnations: IncarnationMap,
    /// The lives that leave.
    leaving_incarnations: IncarnationMap,
}

impl ListFollower {
    /// Takes a reading in, with the lives that are there now. Returns the lives that leave.
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

/// Follows the list at `address` until the process ends.
pub async fn follow_list(node: Rc<ControlNode>, address: SocketAddr) {
    let client = Client::default();
    let follower = RefCell::new(ListFollower::default());
    let mut ticks = interval(READ_INTERVAL);
    loop {
        ticks.tick().await;
        match timeout(READ_TIMEOUT, read_list(&client, address)).await {
            Ok(Ok(instances)) => {
                let entries = follower
                    .borrow_mut()
                    .observe(&instances, node.members.incarnations());
                node.members.observe_list(&entries);
            }
            Ok(Err(error)) => log::warn!("control: the platform's list is unreadable: {error}."),
            Err(_) => log::warn!("control: the platform's list does not answer."),
        }
    }
}

async fn read_list(client: &Client, address: SocketAddr) -> Result<Vec<PlatformInstance>, String> {
    let sent = client
        .get(format!("http://{address}/instances"))
        .send()
        .await;
    let mut response = sent.map_err(|error| error.to_string())?;
    let read = response
        .json::<Vec<PlatformInstance>>()
        .limit(MAX_LIST_BYTES)
        .await;
    read.map_err(|error| error.to_string())
}
