//! What this instance observes of crashes: lost runs, and endpoints that accept no connection.
//!
//! After a run was lost, its endpoint is checked at once. If it accepts no connection, it is down.
//! If it accepts one, the cause stays pending: another endpoint may have taken over the address.

use std::rc::Rc;
use std::time::Duration;

use exchange::connection::EndpointConnection;
use wire::id::{EndpointId, FingerprintHash, ServiceId};

use crate::crash::{LostRun, SuspectHash};
use crate::state::RelayState;

impl RelayState {
    /// Records a call to a service with these parts in its prompt.
    pub fn note_call(&self, service: ServiceId, parts: &Rc<[SuspectHash]>) {
        self.crashes.borrow_mut().note_call(service, parts);
        self.publish_crash_decisions();
    }

    /// Records that a run was lost.
    pub fn note_lost_run(&self, run: LostRun) {
        self.crashes.borrow_mut().note_lost(self.now(), run);
        self.announce_crashes();
    }

    /// Records that an endpoint accepted no connection, or that another one has taken over its
    /// address.
    pub fn note_endpoint_down(&self, endpoint: EndpointId) {
        self.note_maybe_cold(endpoint);
        self.note_restart_sign(endpoint);
        self.crashes.borrow_mut().note_down(self.now(), endpoint);
        self.announce_crashes();
    }

    /// Checks that an endpoint accepts connections, if the cause of a lost run there is pending.
    pub fn check_endpoint(self: &Rc<Self>, endpoint: EndpointId) {
        let address = self.table.borrow().row(endpoint).map(|row| row.address);
        let Some(address) = address else {
            return;
        };
        if !self.crashes.borrow_mut().start_check(endpoint) {
            return;
        }
        let state = Rc::clone(self);
        actix_rt::spawn(async move {
            let limit = state.settings.connect_limit;
            if EndpointConnection::open(address.into(), limit)
                .await
                .is_err()
            {
                state.note_endpoint_down(endpoint);
            }
            state.crashes.borrow_mut().end_check(endpoint);
        });
    }

    /// Records that an endpoint answered a call that was sent at `sent_at`, on the clock of
    /// [`Self::now`].
    pub fn note_endpoint_alive(&self, endpoint: EndpointId, sent_at: Duration) {
        self.crashes.borrow_mut().note_alive(endpoint, sent_at);
        self.publish_crash_decisions();
    }

    /// Records that an endpoint answered a request whole.
    pub fn note_request_served(&self, fingerprint: FingerprintHash) {
        let now = self.now();
        self.crashes.borrow_mut().note_served(now, fingerprint);
        self.announce_crashes();
    }

    /// Records that an endpoint generated a whole answer to a prompt with these parts.
    pub fn note_parts_served(&self, parts: &[SuspectHash]) {
        let now = self.now();
        self.crashes.borrow_mut().note_parts_served(now, parts);
        self.announce_crashes();
    }

    /// Records that an endpoint has written an answer to a prompt with these parts for a while.
    pub fn note_parts_survived(&self, parts: &Rc<[SuspectHash]>) {
        let now = self.now();
        self.crashes.borrow_mut().note_parts_survived(now, parts);
        self.announce_crashes();
    }

    /// Publishes the latest decisions, and lets other instances know of what was found.
    pub fn announce_crashes(&self) {
        self.publish_crash_decisions();
        if self.crashes.borrow().has_notice() {
            self.crash_notice_due.notify_one();
        }
    }
}
