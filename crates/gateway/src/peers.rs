//! The other gateways as peers that share origins of streams and limits of endpoints.

use std::rc::{Rc, Weak};
use std::time::Duration;

use relay::origin::KnownInstance;
use relay::peers::{InstancePeers, VersionsFuture};
use relay::rate_keeper::KeeperTerm;
use wire::gateway::GatewayDatagram;
use wire::id::{DomainId, InstanceId};

use crate::node::GatewayNode;

/// Sends messages of the relay as datagrams.
pub struct GatewayPeers {
    /// The node, which owns the state of the relay that refers to these peers.
    node: Weak<GatewayNode>,
}

impl GatewayPeers {
    /// The peers of a gateway.
    pub fn new(node: &Rc<GatewayNode>) -> Self {
        Self {
            node: Rc::downgrade(node),
        }
    }
}

impl InstancePeers for GatewayPeers {
    fn instances(&self) -> Vec<InstanceId> {
        let Some(node) = self.node.upgrade() else {
            return Vec::new();
        };
        let directory = node.directory.borrow();
        let live = directory.live(node.now()).map(|(instance, _)| instance);
        let live: Vec<InstanceId> = live.collect();
        if !live.is_empty() {
            return live;
        }
        // After a start, the seeds are known before their first heartbeats arrive.
        let seeds = node.seeds().into_iter();
        seeds.filter(|seed| *seed != node.own).collect()
    }

    fn domain(&self, instance: InstanceId) -> DomainId {
        let node = self.node.upgrade();
        node.map_or(0, |node| node.directory.borrow().domain(instance))
    }

    fn storing(&self) -> Vec<InstanceId> {
        let node = self.node.upgrade();
        node.map_or_else(Vec::new, |node| node.directory.borrow().with_storage())
    }

    fn visit_live(&self, visit: &mut dyn FnMut(KnownInstance)) {
        let Some(node) = self.node.upgrade() else {
            return;
        };
        let directory = node.directory.borrow();
        if directory.visit_live(node.now(), &mut *visit) > 0 {
            return;
        }
        // After a start, the seeds are known before their first heartbeats arrive.
        for seed in node.seeds().into_iter().filter(|seed| *seed != node.own) {
            visit(KnownInstance {
                instance: seed,
                disk: directory.disk_domain(seed),
            });
        }
    }

    fn lately_live(&self, window: Duration) -> Vec<InstanceId> {
        let Some(node) = self.node.upgrade() else {
            return Vec::new();
        };
        let directory = node.directory.borrow();
        directory.heard_within(node.now(), window)
    }

    fn keeper(&self) -> Option<InstanceId> {
        let node = self.node.upgrade()?;
        if node.keeper_term().is_some() {
            return Some(node.own);
        }
        let of_quorum = node.quorum().and_then(|quorum| quorum.leader());
        let leader = of_quorum.map(|(_, leader)| leader);
        let leader = leader.or_else(|| node.directory.borrow().leader(node.now()));
        leader.filter(|leader| *leader != node.own)
    }

    fn keeper_term(&self) -> Option<KeeperTerm> {
        self.node.upgrade()?.keeper_term()
    }

    fn read_versions(&self) -> VersionsFuture {
        let node = self.node.upgrade();
        Box::pin(async move { node?.read_versions().await })
    }

    fn catch_up(&self) {
        if let Some(node) = self.node.upgrade() {
            for instance in self.instances() {
                node.send_datagram(instance, &GatewayDatagram::CatchUp);
                node.relay_state.refresh_keeper(instance);
            }
        }
    }

    fn send(&self, to: InstanceId, datagram: &GatewayDatagram) {
        if let Some(node) = self.node.upgrade() {
            node.send_datagram(to, datagram);
        }
    }
}

impl GatewayNode {
    /// The term in which this gateway leads the quorum, confirmed by a majority.
    fn keeper_term(&self) -> Option<KeeperTerm> {
        self.quorum()?.confirmed_term()
    }
}
