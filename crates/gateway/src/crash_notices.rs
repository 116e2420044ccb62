//! Telling the other gateways of crashes of endpoints.

use std::rc::Rc;
use std::time::Duration;

use relay::crash::SuspectKind;
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
        for kind in [SuspectKind::Request, SuspectKind::Part] {
            while let Some(notice) = self.next_notice(now, kind) {
                let datagram = datagram_of(kind, notice);
                for recipient in self.directory.borrow().notice_recipients(now) {
                    self.send_datagram(recipient, &datagram);
                }
            }
        }
    }

    fn next_notice(&self, now: Duration, kind: SuspectKind) -> Option<CrashNotice> {
        let mut crashes = self.relay_state.crashes.borrow_mut();
        crashes.take_notice(now, kind)
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

    /// Repeats to another gateway what this one knows of suspects with several crashes. Returns
    /// whether there was something to repeat.
    pub fn repeat_crashes_to(&self, recipient: InstanceId) -> bool {
        let mut is_told = false;
        for kind in [SuspectKind::Request, SuspectKind::Part] {
            let mut crashes = self.relay_state.crashes.borrow_mut();
            let repetition = crashes.next_repetition(self.now(), kind);
            drop(crashes);
            if let Some(notice) = repetition {
                self.send_datagram(recipient, &datagram_of(kind, notice));
                is_told = true;
            }
        }
        is_told
    }

    /// Handles the notice of another gateway, and sends it the objections, if there are any.
    pub fn handle_crash_notice(&self, from: InstanceId, kind: SuspectKind, notice: &CrashNotice) {
        let now = self.now();
        let mut crashes = self.relay_state.crashes.borrow_mut();
        let objections = crashes.note_notice(now, kind, notice);
        drop(crashes);
        self.relay_state.announce_crashes();
        if let Some(objections) = objections {
            self.send_datagram(from, &datagram_of(kind, objections));
        }
    }
}

fn datagram_of(kind: SuspectKind, notice: CrashNotice) -> GatewayDatagram {
    match kind {
        SuspectKind::Request => GatewayDatagram::Crashes(notice),
        SuspectKind::Part => GatewayDatagram::PartCrashes(notice),
    }
}
