//! What the instances tell each other of restarts of endpoints, which are cold afterwards.

use std::collections::HashMap;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use catalog::CatalogIndex;
use pace::cold::{ColdRule, LIST_LAG};
use rand::RngExt;
use tokio::time::sleep;
use wire::gateway::ColdListNotice;
use wire::id::{EndpointId, InstanceId, ServiceId, name_id};
use wire::statement::{ColdNotice, LimitMessage, MAX_NOTICES};

use crate::state::RelayState;

/// Delay of an announcement, so that the endpoints of a failure domain that is lost share one, and
/// that of the instances that find the same most need not announce it. Far shorter than a restart.
const NOTICE_DELAY: Range<Duration> = Duration::from_millis(3)..Duration::from_millis(20);

/// Time after the first reading of the list in which others that know of restarts tell an instance
/// that has started: two heartbeats. Without it, all calls after a restart of all instances needed
/// tokens for five seconds, and two thirds of those of the first second were refused.
const TELLING_TIME: Duration = Duration::from_millis(500);
/// Interval at which a call that waits for a keeper of the rates looks for one.
const KEEPER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The services of a catalog that have cold endpoints.
pub fn cold_rules(catalog: &CatalogIndex) -> HashMap<ServiceId, ColdRule> {
    let services = catalog.catalog().services.iter();
    let rules = services.filter_map(|service| {
        let rule = ColdRule {
            start: service.cold_start,
            rate: service.cold_rate?,
        };
        (!rule.start.is_zero()).then_some((name_id(&service.name), rule))
    });
    rules.collect()
}

/// Announces restarts to the other instances, until the process ends.
pub async fn send_cold_notices(state: Rc<RelayState>) {
    loop {
        state.cold_notice_due.notified().await;
        sleep(rand::rng().random_range(NOTICE_DELAY)).await;
        state.send_pending_cold();
    }
}

impl RelayState {
    /// Updates the time until which this instance may not know of restarts that others know of. An
    /// instance that is alone for that long learns of them by the list and its own calls. After its
    /// start, others that know tell it with their first heartbeats; if none has done so a while after
    /// the first reading of the list, all have restarted, and the list tells what is cold.
    pub(crate) fn refresh_informed(&self) {
        let mut table = self.table.borrow_mut();
        let longest = table.longest_cold_start();
        table.keeper.cut_since = self.fleet_contact.borrow().lost_at();
        table.keeper.uninformed_until = match (longest, self.uninformed_since.get()) {
            (Some(longest), Some(since)) => {
                let told_by_list = self.first_list_at.get().filter(|_| since.is_zero());
                let at_latest = since + longest + LIST_LAG;
                told_by_list.map_or(at_latest, |at| at_latest.min(at + TELLING_TIME))
            }
            _ => Duration::ZERO,
        };
    }

    /// Records that a reading of the list began since the start of this instance.
    pub(crate) fn note_first_list(&self) {
        if self.first_list_at.get().is_none() {
            self.first_list_at.set(Some(self.now()));
            self.refresh_informed();
        }
    }

    /// Records the number of live instances, this one included. An instance that has heard fewer than
    /// half of them does not know of restarts until another one that does has told it.
    pub fn note_live_instances(&self, live: usize) {
        let now = self.now();
        if !self.fleet_contact.borrow_mut().note_live(now, live) {
            return;
        }
        let is_lost = self.fleet_contact.borrow().lost_at().is_some();
        self.watch.borrow_mut().note_minority(is_lost);
        if self.table.borrow().has_cold_rules() {
            log::info!(
                live = live, is_lost = is_lost;
                "relay: knowledge of restarted endpoints depends on other gateways"
            );
        }
        self.uninformed_since.set(Some(now));
        self.refresh_informed();
    }

    /// Waits until some instance keeps the rates that instances share, at most for `limit`, if this
    /// instance knows neither which endpoints of the service are cold nor who keeps the rates. Load
    /// pattern: all instances restart at once, and calls arrive before the quorum has a leader. They
    /// need tokens that nobody hands out yet, and would all be refused.
    pub(crate) async fn until_rates_kept(&self, service: ServiceId, limit: Duration) {
        let deadline = self.now() + limit;
        while self.lacks_keeper(service) && self.now() < deadline {
            sleep(KEEPER_CHECK_INTERVAL).await;
        }
    }

    fn lacks_keeper(&self, service: ServiceId) -> bool {
        let needs_keeper = self.table.borrow().needs_keeper(self.now(), service);
        needs_keeper
            && self
                .peers
                .get()
                .is_some_and(|peers| peers.keeper().is_none())
    }

    /// Records that an endpoint could not be reached or broke a connection, and tells the other
    /// instances, as it is cold when it returns.
    pub(crate) fn note_maybe_cold(&self, endpoint: EndpointId) {
        let now = self.now();
        let is_new = self.table.borrow_mut().note_maybe_cold(now, endpoint);
        if is_new {
            let table = self.table.borrow();
            let name = table.row(endpoint).map_or("-", |row| row.name.as_str());
            log::info!(endpoint = name; "relay: endpoint may be cold when it answers again");
        }
        self.announce_cold(is_new, endpoint);
    }

    /// Records bytes of an answer to a call that was sent at `sent_at`, whose head arrived at
    /// `since`.
    pub(crate) fn note_answer(&self, endpoint: EndpointId, sent_at: Duration, since: Duration) {
        let now = self.now();
        let is_first = self
            .table
            .borrow_mut()
            .note_answer(now, endpoint, sent_at, since);
        if is_first {
            self.log_cold(endpoint, false);
        }
        self.announce_cold(is_first, endpoint);
    }

    /// Records the cold times of this instance's own reading of the list. Returns those that the other
    /// instances are told, in milliseconds.
    pub fn note_cold_reading(&self, cold: &[(EndpointId, Duration)]) -> Vec<(EndpointId, u32)> {
        let now = self.now();
        let table = self.table.borrow();
        let matters = |(id, remaining): &&(EndpointId, Duration)| {
            let row = table.row(*id);
            row.is_some_and(|row| row.has_cold_rule() && (row.is_cold(now) || !remaining.is_zero()))
        };
        let told = cold.iter().filter(matters);
        let told: Vec<(EndpointId, u32)> = told
            .map(|(id, remaining)| {
                let millis = u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX);
                (*id, millis)
            })
            .collect();
        drop(table);
        self.note_cold_list(&ColdListNotice {
            age_ms: 0,
            endpoints: told.clone(),
        });
        told
    }

    /// Records what a reading of the list says about cold endpoints.
    pub fn note_cold_list(&self, notice: &ColdListNotice) {
        let age = Duration::from_millis(notice.age_ms.into());
        let read_at = self.now().saturating_sub(age);
        let mut table = self.table.borrow_mut();
        for (id, remaining_ms) in &notice.endpoints {
            if let Some(row) = table.row_mut(*id) {
                let remaining = Duration::from_millis((*remaining_ms).into());
                row.note_listed_cold(read_at, remaining);
            }
        }
    }

    fn announce_cold(&self, is_new: bool, endpoint: EndpointId) {
        if is_new {
            self.metrics.count_statement("cold");
            self.pending_cold.borrow_mut().insert(endpoint);
            self.cold_notice_due.notify_one();
        }
    }

    /// Tells the other instances of the restarts that are to be announced.
    fn send_pending_cold(&self) {
        let now = self.now();
        let pending = std::mem::take(&mut *self.pending_cold.borrow_mut());
        let notices: Vec<ColdNotice> = {
            let table = self.table.borrow();
            let notices = pending.iter();
            notices
                .filter_map(|id| table.cold_notice(now, *id))
                .collect()
        };
        for notices in notices.chunks(MAX_NOTICES) {
            self.send_to_all(|forward| LimitMessage::Cold {
                notices: notices.to_vec(),
                is_whole: false,
                forward,
            });
        }
    }

    /// Drops an announcement that another instance has made already, with as much knowledge.
    fn drop_pending_cold(&self, now: Duration, notice: &ColdNotice) {
        let own = self.table.borrow().cold_notice(now, notice.endpoint);
        let has_answer = own.is_some_and(|own| own.answer_age_ms.is_some());
        if notice.answer_age_ms.is_some() || !has_answer {
            self.pending_cold.borrow_mut().remove(&notice.endpoint);
        }
    }

    /// Tells another instance of all cold endpoints.
    pub(crate) fn repeat_cold_to(&self, to: InstanceId) {
        let now = self.now();
        let (notices, is_whole) = {
            let table = self.table.borrow();
            if !table.has_cold_rules() {
                return;
            }
            let keeper = table.keeper;
            let is_whole = keeper.is_informed(now) && keeper.cut_since.is_none();
            (table.cold_notices(now), is_whole)
        };
        let mut chunks = notices.chunks(MAX_NOTICES).map(<[_]>::to_vec).peekable();
        let mut next = chunks.next().or_else(|| is_whole.then(Vec::new));
        while let Some(notices) = next {
            next = chunks.next();
            let message = LimitMessage::Cold {
                notices,
                is_whole: is_whole && next.is_none(),
                forward: 0,
            };
            self.send_limit_message(to, message);
        }
    }

    /// Records what another instance knows of restarts.
    pub(crate) fn note_cold_notices(&self, notices: Vec<ColdNotice>, is_whole: bool, forward: u16) {
        let now = self.now();
        let mut new = Vec::new();
        for notice in notices {
            let is_new = self.table.borrow_mut().note_told_cold(now, &notice);
            if is_new {
                self.log_cold(notice.endpoint, true);
                new.push(notice);
            } else {
                self.drop_pending_cold(now, &notice);
            }
        }
        let is_cut = !self.watch.borrow().is_settled();
        // Notices that arrive before the list find no rows.
        let has_rows = !self.table.borrow().is_empty();
        if is_whole && !is_cut && has_rows && self.uninformed_since.take().is_some() {
            self.refresh_informed();
        }
        if !new.is_empty() && forward > 0 {
            self.pass_on(forward, |_| LimitMessage::Cold {
                notices: new.clone(),
                is_whole: false,
                forward: 0,
            });
        }
    }

    fn log_cold(&self, endpoint: EndpointId, is_told: bool) {
        let table = self.table.borrow();
        let Some(row) = table.row(endpoint) else {
            return;
        };
        let until = row.cold_until().filter(|until| *until != Duration::MAX);
        let cold_ms = until.map(|until| until.saturating_sub(self.now()).as_millis() as u64);
        log::info!(
            endpoint = row.name.as_str(), cold_ms = cold_ms, told = is_told;
            "relay: endpoint is cold"
        );
    }
}
