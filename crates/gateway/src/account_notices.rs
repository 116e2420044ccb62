//! Telling the other gateways of the calls by client account, while a service is short of slots.

use std::time::Duration;

use wire::gateway::{AccountNotice, GatewayDatagram};
use wire::id::InstanceId;

use crate::node::GatewayNode;

impl GatewayNode {
    /// Sends the notices that are due with a heartbeat to its recipients. There are none while no
    /// service is short of slots.
    pub fn send_account_notices(&self, now: Duration, recipients: &[InstanceId]) {
        for notice in self.relay_state.account_notices(now) {
            let datagram = GatewayDatagram::Accounts(notice);
            for instance in recipients {
                self.send_datagram(*instance, &datagram);
            }
        }
    }

    /// Handles the notice of another gateway.
    pub fn handle_account_notice(&self, from: InstanceId, notice: AccountNotice) {
        let now = self.now();
        let mut admission = self.relay_state.admission.borrow_mut();
        admission.shares.note_heard(now, from, notice);
    }
}
