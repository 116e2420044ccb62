//! Slots that the calls of an instance occupy at endpoints.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use wire::id::{EndpointId, FingerprintHash, ServiceId};

use crate::crash::{LostRun, SuspectHash};
use crate::relay_call::RelayCall;
use crate::row::estimated_holding_time;
use crate::state::RelayState;

impl RelayState {
    /// Counts a call as running at an endpoint until the returned guard is dropped.
    pub fn occupy(self: &Rc<Self>, call: &RelayCall<'_>, endpoint: EndpointId) -> OccupiedSlot {
        let (began, service) = (self.now(), call.service);
        let mut table = self.table.borrow_mut();
        let holding_time = table.holding_time(service, endpoint).unwrap_or_default();
        let wait = table.expected_wait(began, endpoint, holding_time);
        table.start(began, endpoint);
        if table.is_announcement_due(endpoint) {
            self.announcement_due.notify_one();
        }
        let mut admission = self.admission.borrow_mut();
        admission.accounts.start(service, call.account_name());
        OccupiedSlot {
            state: Rc::clone(self),
            service,
            endpoint,
            account: call.account_name().to_owned(),
            fingerprint: call.fingerprint,
            parts: Rc::clone(&call.parts),
            began,
            wait,
            alive_at: Cell::new(None),
            head_at: Cell::new(None),
            is_whole: Cell::new(false),
            is_ended: false,
        }
    }
}

/// Guard of a call that counts as running at an endpoint. A call that was sent and whose guard is
/// dropped without [`Self::complete`] or [`Self::end`] was given up, and its run is lost.
pub struct OccupiedSlot {
    state: Rc<RelayState>,
    service: ServiceId,
    endpoint: EndpointId,
    account: String,
    fingerprint: FingerprintHash,
    parts: Rc<[SuspectHash]>,
    /// Time at which the guard was created, on the clock of [`RelayState::now`].
    began: Duration,
    /// Expected wait of the call for a slot.
    pub wait: Duration,
    /// When the endpoint last sent bytes for the call, or else when the call was sent; `None`
    /// before.
    alive_at: Cell<Option<Duration>>,
    /// When the head of the answer arrived.
    head_at: Cell<Option<Duration>>,
    /// Whether the endpoint stated the end of its answer, and sent all of it.
    is_whole: Cell<bool>,
    is_ended: bool,
}

impl OccupiedSlot {
    /// Records that the call is being sent, or that the endpoint sent bytes for it.
    pub fn note_alive(&self) {
        self.alive_at.set(Some(self.state.now()));
    }

    /// Records that the head of the answer arrived.
    pub fn note_head(&self) {
        self.note_alive();
        self.head_at.set(Some(self.state.now()));
    }

    /// When the head of the answer arrived; `None` before.
    pub fn head_at(&self) -> Option<Duration> {
        self.head_at.get()
    }

    /// Records that the answer arrived up to the end that the endpoint stated for it.
    pub fn note_whole(&self) {
        self.is_whole.set(true);
    }

    /// Ends a call that was answered, and records its estimated holding time. `is_success` tells
    /// whether the endpoint generated the answer.
    pub fn complete(mut self, is_success: bool) {
        self.is_ended = true;
        if !self.is_whole.get() {
            // The end of the answer may have been the crash of its endpoint.
            self.note_lost();
        } else {
            self.state.note_request_served(self.fingerprint);
            if is_success {
                self.state.note_parts_served(&self.parts);
            }
        }
        let time = self.state.now().saturating_sub(self.began);
        let mut table = self.state.table.borrow_mut();
        table.note_holding_time(self.endpoint, estimated_holding_time(time, self.wait));
    }

    /// Ends a call that the endpoint answered with a failure, or that was not sent.
    pub fn end(mut self) {
        self.is_ended = true;
    }

    /// Ends a call whose connection broke or fell silent: its run is lost. Checks whether the
    /// endpoint is down.
    pub fn lose(mut self) {
        self.is_ended = true;
        self.note_lost();
        self.state.check_endpoint(self.endpoint);
    }

    fn note_lost(&self) {
        if let Some(alive_at) = self.alive_at.get() {
            self.state.note_lost_run(LostRun {
                fingerprint: self.fingerprint,
                parts: Rc::clone(&self.parts),
                endpoint: self.endpoint,
                alive_at,
            });
        }
    }
}

impl Drop for OccupiedSlot {
    fn drop(&mut self) {
        let now = self.state.now();
        self.state.table.borrow_mut().finish(now, self.endpoint);
        // A run that is given up because the process exits tells nothing of its endpoint.
        if !self.is_ended && !self.state.is_past_exit() {
            self.note_lost();
        }
        let mut admission = self.state.admission.borrow_mut();
        admission.accounts.finish(self.service, &self.account);
    }
}
