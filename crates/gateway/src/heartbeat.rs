//! Sending heartbeats, and the state that is updated with each: the loads of silent gateways, the
//! possible members of the quorum, the pool of idle connections and the processes of endpoints.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval, sleep};
use wire::gateway::{
    GatewayDatagram, GatewayHeartbeat, MAX_KNOWN_GATEWAYS, MAX_LOADS, StorageState, address_of,
};
use wire::id::{InstanceId, name_id};

use crate::bootstrap::{QuorumStanding, quorum_peers};
use crate::node::GatewayNode;

/// Regular interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Delay of a heartbeat that is sent before the next regular one, so that several causes share it.
const EARLY_HEARTBEAT_DELAY: Duration = Duration::from_millis(20);
/// The same delay for a heartbeat that announces a changed load.
const LOAD_HEARTBEAT_DELAY: Duration = Duration::from_millis(40);
/// Interval at which expired idle connections to endpoints are closed, limits of endpoints are
/// repeated to one other gateway, and endpoints that leave are checked. The pool does not hand out
/// an expired connection in between either.
const SLOW_INTERVAL: Duration = Duration::from_secs(1);
/// One of this many heartbeats names the live gateways; the others leave them out.
const HEARTBEATS_PER_PEER_LIST: u64 = 4;

/// Sends heartbeats until the process ends.
pub async fn send_heartbeats(node: Rc<GatewayNode>) {
    let mut ticks = interval(HEARTBEAT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last = node.now();
    let mut expired_at = last;
    let mut last_told = node.own;
    loop {
        let fits_one_round = node.directory.borrow().fits_one_round();
        tokio::select! {
            _ = ticks.tick() => {}
            () = node.heartbeat_due.notified() => sleep(EARLY_HEARTBEAT_DELAY).await,
            () = node.relay_state.announcement_due.notified(), if fits_one_round => sleep(LOAD_HEARTBEAT_DELAY).await,
        }
        let now = node.now();
        node.drop_silent_loads(last, now);
        last = now;
        node.relay_state.crashes.borrow_mut().expire(now);
        node.relay_state.publish_crash_decisions();
        node.relay_state.note_running();
        node.update_quorum_peers(now);
        node.update_version_record();
        node.heartbeats_sent.set(node.heartbeats_sent.get() + 1);
        let heartbeat = GatewayDatagram::Heartbeat(Box::new(node.own_heartbeat(now)));
        let seeds = node.seeds();
        let recipients = {
            let mut directory = node.directory.borrow_mut();
            directory.add_known(now, seeds.iter().copied());
            directory.next_recipients(now, &seeds)
        };
        for instance in &recipients {
            node.send_datagram(*instance, &heartbeat);
        }
        node.announce_evacuations();
        node.send_account_notices(now, &recipients);
        node.relay_state.find_processes();
        node.relay_state.find_unsettled();
        node.relay_state.ask_for_lasting();
        if now >= expired_at + SLOW_INTERVAL {
            expired_at = now;
            node.relay_state.pool.expire(now);
            node.relay_state.check_leaving();
            last_told = node.repeat_limits(last_told);
        }
    }
}

impl GatewayNode {
    fn own_heartbeat(&self, now: Duration) -> GatewayHeartbeat {
        let directory = self.directory.borrow();
        let live = directory.live(now).map(|(instance, _)| instance);
        let mut loads = self.relay_state.table.borrow_mut().announce_loads();
        loads.sort_by_key(|(_, running)| std::cmp::Reverse(*running));
        loads.truncate(MAX_LOADS);
        GatewayHeartbeat {
            incarnation: self.incarnation,
            domain: name_id(&self.settings.borrow().failure_domain),
            storage: self.storage(),
            is_leaving: self.relay_state.is_stopping(),
            catalog: self.catalog_version(),
            leader: self.quorum().and_then(|quorum| quorum.leader()),
            known: match self.lists_peers() {
                true => live.take(MAX_KNOWN_GATEWAYS).collect(),
                false => Vec::new(),
            },
            loads,
            crashes: Vec::new(),
        }
    }

    /// Whether the next heartbeat names the live gateways: each of the first ones does, so that
    /// gateways find each other soon, and then one of [`HEARTBEATS_PER_PEER_LIST`].
    fn lists_peers(&self) -> bool {
        let sent = self.heartbeats_sent.get();
        sent <= 2 * HEARTBEATS_PER_PEER_LIST || sent.is_multiple_of(HEARTBEATS_PER_PEER_LIST)
    }

    fn storage(&self) -> StorageState {
        let Some(quorum) = self.quorum() else {
            // A folder that is being opened exists: its gateway counts as a founder.
            return match self.settings.borrow().data {
                Some(_) => StorageState::Joining,
                None => StorageState::None,
            };
        };
        if quorum.has_cluster() {
            StorageState::Formed
        } else if quorum.is_founding() {
            StorageState::Bootstrapping
        } else {
            StorageState::Joining
        }
    }

    /// Drops the loads announced by gateways that are no longer live, and updates the number of
    /// gateways that share the retry budget.
    fn drop_silent_loads(&self, since: Duration, now: Duration) {
        let silent = self.directory.borrow().newly_silent(since, now);
        for instance in silent {
            log::info!(peer = address_of(instance).to_string().as_str(); "gateway: peer is no longer live");
            self.relay_state
                .table
                .borrow_mut()
                .set_instance_loads(now, instance, Vec::new());
            let mut admission = self.relay_state.admission.borrow_mut();
            admission.shares.forget(instance);
        }
        let is_prober = self.directory.borrow().own_rank(now) == 0;
        self.relay_state.crashes.borrow_mut().set_prober(is_prober);
        let live = self.directory.borrow().live(now).count() + 1;
        self.relay_state.note_live_instances(live);
        let peak_live = self.directory.borrow().peak_live();
        self.relay_state.table.borrow_mut().keeper.instances = peak_live;
        self.relay_state
            .budget
            .borrow_mut()
            .set_instances(peak_live);
    }

    /// Repeats the limits and processes of endpoints to the live gateway that follows `last_told`. Returns the
    /// gateway that was told last.
    fn repeat_limits(&self, last_told: InstanceId) -> InstanceId {
        let next = self.directory.borrow().next_live(self.now(), last_told);
        if let Some(recipient) = next {
            self.relay_state.repeat_limits_to(recipient);
            self.relay_state.repeat_processes_to(recipient);
            self.send_recorded(recipient);
        }
        next.unwrap_or(last_told)
    }

    /// Passes to the quorum the gateways that may be members, those that are leaving, and whether
    /// this gateway may bootstrap a cluster.
    fn update_quorum_peers(&self, now: Duration) {
        let Some(quorum) = self.quorum() else {
            return;
        };
        let standing = QuorumStanding {
            own: self.own,
            seeds: self.seeds(),
            is_first_start: quorum.is_founding(),
            min_voters: self.min_voters(),
            has_cluster: quorum.has_cluster(),
        };
        quorum.set_peers(quorum_peers(&self.directory.borrow(), now, &standing));
    }
}
