//! The quorum's record of software versions: which of them streams can have begun at.
//!
//! The leader records each version before the first stream begins at it: other gateways begin no
//! resumable stream at a version that the record does not hold, once it holds one of the service.
//! Versions are never taken back. After a loss of all gateways, the streams of a service that has had two go
//! on only as the logs of origins tell.

use std::rc::Rc;
use std::time::Duration;

use relay::origin_coverage::COVERAGE_TIME;
use wire::codec;
use wire::gateway::{GatewayDatagram, GatewayReply, GatewayRequest, ListedEndpoint};
use wire::id::InstanceId;
use wire::version_record::VersionRecord;

use crate::node::GatewayNode;

/// Start of a command that holds a record. No encoded catalog begins like this, as its version
/// would not fit into its type; older builds log the command and skip it.
const COMMAND_MARK: [u8; 10] = [0xff; 10];
/// Services in one datagram at most, which keeps it within the limit of a datagram.
const MESSAGE_SERVICES: usize = 40;
/// Shortest interval between two proposals of the record.
pub const PROPOSAL_INTERVAL: Duration = Duration::from_millis(500);

/// Encodes a record as a command of the replicated log.
///
/// # Errors
/// When the record exceeds the size limit of a message.
pub fn encode_command(record: &VersionRecord) -> codec::Result<Vec<u8>> {
    let mut command = COMMAND_MARK.to_vec();
    command.extend(codec::encode(record)?);
    Ok(command)
}

/// Decodes a command that holds a record; `None` for one that holds something else.
pub fn decode_command(command: &[u8]) -> Option<codec::Result<VersionRecord>> {
    let bytes = command.strip_prefix(&COMMAND_MARK)?;
    Some(codec::decode_as(bytes))
}

/// What a leader adds to the record: the versions that it has seen of services that the record
/// holds, and those of other services if it knows all versions at which streams of these may live.
pub fn additions(
    record: &VersionRecord,
    seen: &VersionRecord,
    is_first_start: bool,
    watched: Duration,
) -> VersionRecord {
    let knows_all = is_first_start || watched >= COVERAGE_TIME;
    let mut merged = record.clone();
    let mut added = seen.clone();
    added
        .versions
        .retain(|service, _| knows_all || record.versions.contains_key(service));
    added.routing = None;
    merged.merge(&added);
    merged
}

/// The versions in a list.
pub fn listed_versions(list: &[ListedEndpoint]) -> VersionRecord {
    let mut record = VersionRecord::default();
    for endpoint in list {
        record.add(endpoint.service_id(), wire::id::name_id(&endpoint.version));
    }
    record
}

/// Parts of a record that each fit into a datagram.
pub fn parts(record: &VersionRecord) -> Vec<VersionRecord> {
    let entries: Vec<_> = record.versions.iter().collect();
    let chunks = entries.chunks(MESSAGE_SERVICES);
    chunks
        .map(|chunk| VersionRecord {
            versions: chunk.iter().map(|(id, value)| (**id, **value)).collect(),
            routing: None,
        })
        .collect()
}

impl GatewayNode {
    /// Proposes what is missing in the record if this gateway leads.
    pub fn update_version_record(self: &Rc<Self>) {
        let digest = self.readings.borrow().digest();
        if self.seen_digest.replace(digest) != digest {
            let listed = listed_versions(&self.readings.borrow().list());
            self.seen_versions.borrow_mut().merge(&listed);
        }
        if let Some(quorum) = self.quorum() {
            let is_first_start = self.settings.borrow().first_start;
            let seen = self.seen_versions.borrow().clone();
            self.propose_versions(&quorum, &seen, is_first_start);
        }
    }

    /// Takes over what the quorum has recorded, or another gateway has told of it, and tells others
    /// of what is new.
    pub fn note_recorded(&self, record: &VersionRecord) {
        if self.relay_state.note_recorded(record) {
            for instance in self.directory.borrow().notice_recipients(self.now()) {
                self.send_recorded(instance);
            }
        }
    }

    /// Tells another gateway of the record, as far as it is known here.
    pub fn send_recorded(&self, instance: InstanceId) {
        let table = self.relay_state.table.borrow();
        for part in parts(&table.recorded) {
            self.send_datagram(instance, &GatewayDatagram::Versions(part));
        }
    }

    /// Reads the record through the leader; `None` if no quorum confirms it in time.
    pub async fn read_versions(self: &Rc<Self>) -> Option<VersionRecord> {
        let reply = self.request_from_leader(&GatewayRequest::ReadVersions);
        match reply.await.ok()? {
            GatewayReply::Versions(record) => Some(record),
            _ => None,
        }
    }
}
