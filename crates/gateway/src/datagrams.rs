//! Sending and receiving datagrams: heartbeats, notices of the endpoint list and small consensus
//! messages.

use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;

use relay::crash::SuspectKind;
use replica::ReplicaMessage;
use wire::codec;
use wire::gateway::{
    GatewayDatagram, GatewayHeartbeat, ListNotice, MAX_DATAGRAM_BYTES, address_of, instance_at,
};
use wire::id::InstanceId;

use crate::list_readings::NoticeAction;
use crate::node::GatewayNode;

/// Size of the receive buffer.
const BUFFER_BYTES: usize = 4096;

impl GatewayNode {
    /// Sends a datagram. Returns `false` if it can't be encoded or is too large. A datagram that
    /// the socket does not accept is lost, as one may be in the network; a later one makes up for
    /// it.
    pub fn send_datagram(&self, to: InstanceId, datagram: &GatewayDatagram) -> bool {
        let Ok(payload) = codec::encode(datagram) else {
            return false;
        };
        if payload.len() > MAX_DATAGRAM_BYTES {
            log::debug!(
                "gateway: datagram of {} bytes is too large and not sent",
                payload.len()
            );
            return false;
        }
        let sealed = self.seal.seal(&payload);
        let sent = self
            .socket
            .try_send_to(&sealed, SocketAddr::V4(address_of(to)));
        if let Err(error) = &sent {
            log::debug!("gateway: datagram to {} not sent: {error}", address_of(to));
        }
        true
    }

    fn handle_datagram(self: &Rc<Self>, from: SocketAddrV4, bytes: &[u8]) {
        let Some(payload) = self.seal.open(bytes) else {
            return;
        };
        let datagram = match codec::decode_as::<GatewayDatagram>(payload) {
            Ok(datagram) => datagram,
            Err(error) => {
                log::warn!("gateway: datagram from {from} can't be decoded: {error}");
                return;
            }
        };
        let from = instance_at(from);
        self.relay_state.note_heard();
        match datagram {
            GatewayDatagram::Heartbeat(heartbeat) => self.handle_heartbeat(from, *heartbeat),
            GatewayDatagram::List(notice) => self.handle_list_notice(from, notice),
            GatewayDatagram::VersionlessList(_) => {
                log::debug!(
                    "gateway: endpoint list without versions from {} ignored",
                    address_of(from)
                );
            }
            GatewayDatagram::Replica(bytes) => self.receive_replica_bytes(&bytes),
            GatewayDatagram::Crashes(notice) => {
                self.handle_crash_notice(from, SuspectKind::Request, &notice);
            }
            GatewayDatagram::Stream(message) => {
                self.relay_state.handle_stream_message(from, message);
            }
            GatewayDatagram::Limit(message) => {
                self.relay_state.handle_limit_message(from, message);
            }
            GatewayDatagram::ColdList(notice) => self.relay_state.note_cold_list(&notice),
            GatewayDatagram::Restarts(notice) => self.relay_state.handle_restart_notice(&notice),
            GatewayDatagram::Versions(record) => self.note_recorded(&record),
            GatewayDatagram::ListAge(age) => {
                let is_settled = self.relay_state.is_settled();
                let mut readings = self.readings.borrow_mut();
                readings.note_age(self.now(), &age, is_settled);
                drop(readings);
                self.note_list_stated();
            }
            GatewayDatagram::Accounts(notice) => self.handle_account_notice(from, notice),
            GatewayDatagram::PartCrashes(notice) => {
                self.handle_crash_notice(from, SuspectKind::Part, &notice);
            }
            GatewayDatagram::Evacuations(notice) => self.handle_evacuations(from, notice),
            GatewayDatagram::CatchUp => self.tell_all(from),
            GatewayDatagram::Processes(message) => {
                self.relay_state.handle_process_message(from, message);
            }
        }
    }

    fn handle_heartbeat(self: &Rc<Self>, from: InstanceId, heartbeat: GatewayHeartbeat) {
        let now = self.now();
        self.relay_state
            .table
            .borrow_mut()
            .set_instance_loads(now, from, heartbeat.loads.clone());
        let is_new = self
            .directory
            .borrow_mut()
            .record_heartbeat(now, from, heartbeat);
        if is_new {
            log::info!(peer = address_of(from).to_string().as_str(); "gateway: peer is live");
            self.heartbeat_due.notify_one();
            self.tell_all(from);
        }
        self.fetch_newer_catalog();
    }

    /// Tells a gateway that has become live, or has missed messages, what this one knows.
    pub fn tell_all(&self, instance: InstanceId) {
        // Before the list, without which a gateway that has restarted sends no calls.
        self.send_evacuations(instance);
        self.send_list_notice(instance);
        self.repeat_crashes_to(instance);
        self.relay_state.refresh_keeper(instance);
        self.relay_state.repeat_restart_signs_to(instance);
        self.relay_state.repeat_processes_to(instance);
        self.send_recorded(instance);
        self.relay_state.repeat_limits_to(instance);
    }

    fn handle_list_notice(self: &Rc<Self>, from: InstanceId, notice: ListNotice) {
        let action = self
            .readings
            .borrow_mut()
            .handle_notice(self.now(), from, notice);
        match action {
            NoticeAction::Unchanged => self.relay_state.confirm_list(),
            NoticeAction::Apply(endpoints) => self.relay_state.set_endpoints(&endpoints),
            NoticeAction::Fetch => self.fetch_list(from),
            NoticeAction::Stale => {}
        }
    }

    /// Decodes a consensus message and hands it to this gateway's member, if there is one.
    pub fn receive_replica_bytes(self: &Rc<Self>, bytes: &[u8]) {
        let Some(quorum) = self.quorum() else {
            return;
        };
        match ReplicaMessage::decode(bytes) {
            Ok(message) => self.receive_replica(&quorum, message),
            Err(error) => log::warn!("gateway: consensus message can't be decoded: {error}"),
        }
    }
}

/// Receives datagrams until the process ends.
pub async fn receive_datagrams(node: Rc<GatewayNode>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        match node.socket.recv_from(&mut buffer).await {
            Ok((length, SocketAddr::V4(from))) => node.handle_datagram(from, &buffer[..length]),
            Ok((_, from)) => log::debug!("gateway: datagram from IPv6 address {from} ignored"),
            Err(error) => log::debug!("gateway: receiving a datagram failed: {error}"),
        }
    }
}
