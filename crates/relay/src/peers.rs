//! The other instances.

use std::pin::Pin;
use std::time::Duration;

use wire::gateway::GatewayDatagram;
use wire::id::{DomainId, InstanceId};
use wire::version_record::VersionRecord;

use crate::origin::KnownInstance;
use crate::rate_keeper::KeeperTerm;

/// Reading of the record of software versions.
pub type VersionsFuture = Pin<Box<dyn Future<Output = Option<VersionRecord>>>>;

/// The other instances, as the calls of this one need them.
pub trait InstancePeers {
    /// Ids of the other instances that are probably live.
    fn instances(&self) -> Vec<InstanceId>;

    /// Ids of the other instances that store records of streams on a disk, live or not.
    fn storing(&self) -> Vec<InstanceId> {
        Vec::new()
    }

    /// The failure domain of another instance; 0 if it is not known.
    fn domain(&self, _instance: InstanceId) -> DomainId {
        0
    }

    /// Visits the other instances that are probably live. Those that hold a list of them do so without
    /// a copy of it.
    fn visit_live(&self, visit: &mut dyn FnMut(KnownInstance)) {
        let storing = self.storing();
        for instance in self.instances() {
            let is_storing = storing.contains(&instance);
            let disk = is_storing.then(|| self.domain(instance));
            visit(KnownInstance { instance, disk });
        }
    }

    /// Ids of the other instances that were live at some time within `window`.
    fn lately_live(&self, window: Duration) -> Vec<InstanceId>;

    /// The instance that probably keeps the rates which endpoints name; may be this one. `None` if
    /// none is known.
    fn keeper(&self) -> Option<InstanceId>;

    /// The term in which this instance keeps the rates; `None` if it certainly does not, or if a
    /// majority has not confirmed it lately.
    fn keeper_term(&self) -> Option<KeeperTerm>;

    /// Reads the record of software versions, confirmed by a quorum; `None` without one.
    fn read_versions(&self) -> VersionsFuture {
        Box::pin(async { None })
    }

    /// Asks all others for what they tell an instance that has become live, and tells them what they
    /// may have missed of this one.
    fn catch_up(&self) {}

    /// Sends a message, which may be lost.
    fn send(&self, to: InstanceId, datagram: &GatewayDatagram);
}
