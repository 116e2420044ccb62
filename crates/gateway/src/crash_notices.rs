//! Telling the other gateways of crashes of endpoints.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval, sleep};
use wire::gateway::{CrashNotice, GatewayDatagram};
use wire::id::InstanceId;

use crate::node::GatewayNode;

/// Delay of a notice, so that the runs that a crash breaks at the same moment share it.
const NOTICE_DELAY: Duration = Duration::from_millis(5);
/// Interval at which one other gateway is told again of requests with several crashes.
const REPETITION_INTERVAL: Duration = Duration::from_millis(250);

/// Sends what this gateway finds to the other gateways, and repeats what it knows to one after the
/// other, until the process ends.
pub async fn send_crash_notices(node: Rc<GatewayNode>) {
    let mut ticks = interval(REPETITION_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_told = node.own;
    loop {
        tokio::select! {
            () = node.relay_state.crash_notice_due.notified() => {
                sleep(NOTICE_DELAY).await;
                node.send_new_crashes();
            }
            _ = ticks.tick() => last_told = node.repeat_crashes(last_told),
        }
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

    /// Repeats what this gateway knows to the one that follows `last_told`. Returns the gateway that
    /// was told last.
    fn repeat_crashes(&self, last_told: InstanceId) -> InstanceId {
        let next = self.directory.borrow().next_live(self.now(), last_told);
        match next {
            Some(recipient) if self.repeat_crashes_to(recipient) => recipient,
            _ => last_told,
        }
    }

    /// Repeats to another gateway what this one knows of requests with several crashes. Returns
    /// whether there was something to repeat.
    pub fn repeat_crashes_to(&self, recipient: InstanceId) -> bool {
        let mut crashes = self.relay_state.crashes.borrow_mut();
        let Some(notice) = crashes.next_repetition(self.now()) else {
            return false;
        };
        self.send_datagram(recipient, &GatewayDatagram::Crashes(notice));
        true
    }

    /// Handles the notice of another gateway, and sends it the objections, if there are any.
    pub fn handle_crash_notice(&self, from: InstanceId, notice: &CrashNotice) {
        let now = self.now();
        let mut crashes = self.relay_state.crashes.borrow_mut();
        let objections = crashes.note_notice(now, notice);
        drop(crashes);
        self.relay_state.announce_crashes();
        if let Some(objections) = objections {
            self.send_datagram(from, &GatewayDatagram::Crashes(objections));
        }
    }
}
