//! The other gateways as peers that share the origins of streams.

use std::rc::{Rc, Weak};

use relay::origin_lookup::StreamPeers;
use wire::gateway::GatewayDatagram;
use wire::id::InstanceId;
use wire::stream::StreamMessage;

use crate::node::GatewayNode;

/// Sends messages about origins of streams as datagrams.
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

impl StreamPeers for GatewayPeers {
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

    fn send(&self, to: InstanceId, message: &StreamMessage) {
        if let Some(node) = self.node.upgrade() {
            node.send_datagram(to, &GatewayDatagram::Stream(message.clone()));
        }
    }
}
