//! Entries and agents known to this control instance, and the digests sent to them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use link::{LinkSender, PeerRole};
use member::list::ListEntry;
use member::{MemberSettings, MemberState, MemberTable};
use settings::FleetSettings;
use watch::InstanceRole;
use watch::status::{EndpointStatus, FleetStatus, InstanceStatus, ServiceStatus};
use wire::LinkMessage;
use wire::id::{EndpointId, IncarnationNumber, InstanceId, ServiceId, name_id};
use wire::member::{AgentHeartbeat, EntryHeartbeat, MemberDigest, ServiceMean};

use crate::node::ControlNode;
use crate::platform::IncarnationMap;

/// Time without heartbeats after which an entry is removed.
const ENTRY_LEASE: Duration = Duration::from_secs(5);

/// Last heartbeat of an entry.
#[derive(Clone, Debug)]
struct EntryRow {
    heartbeat: EntryHeartbeat,
    heard_at: Instant,
}

/// An open connection of an entry or an agent.
pub struct PeerRecord {
    /// Name of the peer.
    pub name: String,
    /// Role of the peer.
    pub role: PeerRole,
    /// Sends messages to the peer.
    pub sender: LinkSender,
    /// Endpoint and incarnation of an agent, after its first heartbeat.
    pub agent: Cell<Option<(EndpointId, IncarnationNumber)>>,
}

/// Members (endpoints with their agents) and entries known to this instance.
pub struct MemberRegistry {
    table: RefCell<MemberTable>,
    entries: RefCell<BTreeMap<InstanceId, EntryRow>>,
}

impl Default for MemberRegistry {
    fn default() -> Self {
        let table = MemberTable::new(MemberSettings::default());
        Self {
            table: RefCell::new(table),
            entries: RefCell::default(),
        }
    }
}

impl MemberRegistry {
    /// Records the heartbeat of an agent.
    pub fn observe_agent(&self, heartbeat: &AgentHeartbeat) {
        self.table
            .borrow_mut()
            .observe_heartbeat(heartbeat, Instant::now());
    }

    /// Records the heartbeat of an entry, received directly or from another control instance.
    /// Heartbeats of earlier incarnations are ignored.
    pub fn observe_entry(&self, heartbeat: EntryHeartbeat) {
        let mut entries = self.entries.borrow_mut();
        let known = entries.get(&heartbeat.instance);
        if known.is_some_and(|row| row.heartbeat.incarnation > heartbeat.incarnation) {
            return;
        }
        let heard_at = Instant::now();
        entries.insert(
            heartbeat.instance,
            EntryRow {
                heartbeat,
                heard_at,
            },
        );
    }

    /// Records that the connection of an agent closed.
    pub fn observe_close(&self, endpoint: EndpointId, incarnation: IncarnationNumber) {
        self.table
            .borrow_mut()
            .observe_close(endpoint, incarnation, Instant::now());
    }

    /// The incarnations of the members' agents, by endpoint.
    pub fn incarnations(&self) -> IncarnationMap {
        let table = self.table.borrow();
        let rows = table.rows().iter();
        rows.map(|row| (row.record.endpoint, row.record.incarnation))
            .collect()
    }

    /// Records which incarnations are leaving according to the platform's list.
    pub fn observe_list(&self, entries: &[ListEntry]) {
        self.table
            .borrow_mut()
            .observe_list(entries, Instant::now());
    }

    /// Sets the endpoints that operators drain in the settings.
    pub fn set_drained(&self, fleet: &FleetSettings) {
        let drained = fleet
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.draining);
        let drained = drained.map(|(name, _)| name_id(name));
        self.table.borrow_mut().set_drained(drained, Instant::now());
    }

    /// Expires leases and returns the next digest if it is due.
    pub fn tick(&self) -> Option<MemberDigest> {
        let now = Instant::now();
        let mut table = self.table.borrow_mut();
        table.tick(now);
        self.entries
            .borrow_mut()
            .retain(|_, row| row.heard_at.elapsed() < ENTRY_LEASE);
        table.is_digest_due(now).then(|| table.next_digest(now))
    }

    /// A digest of all members, their loads and all means, for a new connection.
    pub fn full_digest(&self) -> MemberDigest {
        self.table.borrow().full_digest()
    }

    /// Numbers of entries and of members.
    pub fn counts(&self) -> (usize, usize) {
        (
            self.entries.borrow().len(),
            self.table.borrow().rows().len(),
        )
    }

    /// Mean loads by service.
    pub fn means(&self) -> Vec<ServiceMean> {
        self.table.borrow().means()
    }

    fn service_of(&self, endpoint: EndpointId) -> Option<ServiceId> {
        Some(self.table.borrow().get(endpoint)?.record.service)
    }

    fn instance_rows(&self) -> Vec<InstanceStatus> {
        let entries = self.entries.borrow();
        let entry_rows = entries.values().map(|row| InstanceStatus {
            name: row.heartbeat.name.clone(),
            role: InstanceRole::Entry,
            domain: row.heartbeat.domain_name.clone(),
            settings: row.heartbeat.settings,
            silence: row.heard_at.elapsed(),
        });
        let table = self.table.borrow();
        let rows = table.rows().iter();
        let live = rows.filter(|row| row.state != MemberState::Expired);
        let agent_rows = live.map(|row| InstanceStatus {
            name: row.record.name.clone(),
            role: InstanceRole::Agent,
            domain: row.record.domain_name.clone(),
            settings: row.settings,
            silence: Duration::ZERO,
        });
        entry_rows.chain(agent_rows).collect()
    }

    fn endpoint_rows(&self, fleet: &FleetSettings) -> Vec<EndpointStatus> {
        let table = self.table.borrow();
        let means = table.means();
        let rows = table.rows().iter().map(|row| {
            let service = row.record.service;
            let expected = mean_of(&means, service) * f64::from(row.record.weight);
            let load = f64::from(row.load.total());
            EndpointStatus {
                name: row.record.name.clone(),
                service: service_name(fleet, service),
                domain: row.record.domain_name.clone(),
                state: row.state.endpoint_state(),
                load: row.load,
                load_over_mean: if expected > 0.0 { load / expected } else { 0.0 },
            }
        });
        rows.collect()
    }

    fn service_rows(&self, fleet: &FleetSettings) -> Vec<ServiceStatus> {
        let means = self.means();
        let rows = fleet.services.iter().map(|(name, service)| ServiceStatus {
            name: name.clone(),
            mean_load: mean_of(&means, name_id(name)),
            load_bound: service.policy.load_bound,
            ..ServiceStatus::default()
        });
        rows.collect()
    }
}

impl ControlNode {
    /// Sends a digest to every open connection: the whole digest to an entry, only the mean of its
    /// own service to an agent. An agent that has not sent a heartbeat yet gets nothing.
    pub fn send_digest(&self, digest: &MemberDigest) {
        self.for_each_peer(|peer| {
            let agent = peer.agent.get().map(|(endpoint, _)| endpoint);
            let digest = match (peer.role, agent) {
                (PeerRole::Agent, None) => return,
                (PeerRole::Agent, Some(endpoint)) => {
                    let service = self.members.service_of(endpoint).unwrap_or_default();
                    MemberTable::agent_digest(&digest.means, service)
                }
                _ => digest.clone(),
            };
            if digest != MemberDigest::default() {
                let _ = peer.sender.try_send(LinkMessage::Members(digest));
            }
        });
    }

    /// Status of the fleet from the view of this instance.
    pub fn fleet_status(&self) -> FleetStatus {
        let state = self.state.borrow();
        let fleet = state.settings.resolved().unwrap_or_default();
        let quorum = self.summarize_quorum();
        let own = InstanceStatus {
            name: self.settings.instance.name.clone(),
            role: InstanceRole::Control,
            domain: self.settings.instance.failure_domain.clone(),
            settings: state.settings.version(),
            silence: Duration::ZERO,
        };
        let mut instances = self.members.instance_rows();
        instances.insert(0, own);
        FleetStatus {
            instance: self.settings.instance.name.clone(),
            role: InstanceRole::Control,
            time: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default(),
            leader: quorum.leader,
            term: quorum.term,
            settings: state.settings.version(),
            instances,
            services: self.members.service_rows(&fleet),
            endpoints: self.members.endpoint_rows(&fleet),
            decisions: Vec::new(),
        }
    }
}

/// Mean load of a service per unit of weight; 0 if it has none.
fn mean_of(means: &[ServiceMean], service: ServiceId) -> f64 {
    let found = means.iter().find(|mean| mean.service == service);
    found.map_or(0.0, |mean| mean.load as f64 / mean.weight.max(1) as f64)
}

fn service_name(fleet: &FleetSettings, service: ServiceId) -> String {
    fleet
        .services
        .keys()
        .find(|name| name_id(name) == service)
        .cloned()
        .unwrap_or_default()
}
