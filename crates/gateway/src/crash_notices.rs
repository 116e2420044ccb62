//! Telling the other gateways of crashes of endpoints.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;
use wire::gateway::{CrashNotice, GatewayDatagram};

use crate::node::GatewayNode;

/// Delay of a notice, so that the runs that a crash breaks at the same moment share it.
const NOTICE_DELAY: Duration = Duration::from_millis(5);

/// Sends what this gateway finds to the other gateways, until the process ends.
pub async fn send_crash_notices(node: Rc<GatewayNode>) {
    loop {
        node.relay_state.crash_notice_due.notified().await;
        sleep(NOTICE_DELAY).await;
        node.send_new_crashes();
    }
}

impl GatewayNode {
    fn send_new_crashes(&self) {
        let now = self.now();
        loop {
            let notice = self.relay_state.crashes.borrow_mut().take_notice(now);
            let Some(notice) = notice else {
                return;
            };
            let datagram = GatewayDatagram::Crashes(notice);
            for recipient in self.directory.borrow().notice_recipients(now) {
                self.send_datagram(recipient, &datagram);
            }
        }
    }

    /// Handles the notice of another gateway.
    pub fn handle_crash_notice(&self, notice: &CrashNotice) {
        let now = self.now();
        self.relay_state
            .crashes
            .borrow_mut()
            .note_notice(now, notice);
        self.relay_state.announce_crashes();
    }
}
