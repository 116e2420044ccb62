//! Carrying out operators' orders through any gateway, and spreading the evacuations to all
//! gateways.
//!
//! The leader of the quorum commits an order. A gateway that learns of a newer revision, from the
//! log or from another gateway, obeys it and announces it to some others at once. Each gateway also
//! announces its revision to some others in turn, so that one that missed an announcement learns of
//! it soon.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use wire::gateway::{
    EvacuationAction, EvacuationNotice, EvacuationOrder, EvacuationState, GatewayDatagram,
    GatewayReply, GatewayRequest, address_of,
};
use wire::id::{InstanceId, name_id};

use crate::catalog_sync::LeaderSilence;
use crate::evacuation::{is_evacuated, whole_notice};
use crate::evacuation_spread::{EvacuationSpread, NoticeReaction};
use crate::node::GatewayNode;

/// Time after the start for which a catalog may be withheld. Electing a leader takes about a second;
/// without a majority, gateways that restart are to serve all the same.
const WITHHOLD_LIMIT: Duration = Duration::from_secs(4);
/// Longest wait for the reply to a fetch. Gateways of earlier builds end the link instead.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// A quorum has committed the order.
    Committed,
    /// The failure domain is unknown, and the order is not in force.
    UnknownDomain,
    /// No leader took the order, and it is not in force.
    Refused,
    /// No quorum confirmed the order in time; it may still be committed later.
    Unconfirmed,
}

impl GatewayNode {
    /// Carries out an order and waits for a quorum to commit it.
    pub async fn order_evacuation(
        self: &Rc<Self>,
        domain: String,
        action: EvacuationAction,
    ) -> OrderOutcome {
        if !self.knows_domain(&domain) {
            // A gateway without list can't tell that a domain is unknown.
            return match self.relay_state.list_age() {
                Some(_) => OrderOutcome::UnknownDomain,
                None => OrderOutcome::Refused,
            };
        }
        let order = EvacuationOrder {
            domain,
            action,
            at_ms: unix_millis(),
        };
        let request = GatewayRequest::Evacuate(order);
        match self.request_from_leader(&request).await {
            Ok(GatewayReply::Done) => OrderOutcome::Committed,
            Err(LeaderSilence::Refused) => OrderOutcome::Refused,
            Ok(_) | Err(LeaderSilence::Unconfirmed) => OrderOutcome::Unconfirmed,
        }
    }

    /// Whether a failure domain is named in the settings, contains a listed endpoint or is
    /// evacuated.
    fn knows_domain(&self, domain: &str) -> bool {
        self.settings.borrow().domains.contains_key(domain)
            || self.relay_state.table.borrow().has_domain(name_id(domain))
            || is_evacuated(self.evacuations.borrow().state(), domain)
    }

    /// Obeys evacuations that a quorum has committed, if they are newer than those in force, and
    /// announces them.
    pub fn install_evacuations(&self, state: EvacuationState, source: &str) {
        let Some(held) = self.evacuations.borrow_mut().take_over(state) else {
            return;
        };
        let spread = self.evacuations.borrow();
        let state = spread.state();
        log_changes(&held, state, source);
        self.exclude_domains(&spread);
        let domains = state.domains.iter();
        let domains = domains.map(|domain| (domain.name.as_str(), domain.since_ms));
        let metrics = &self.relay_state.metrics;
        metrics.set_evacuations(state.revision, domains);
        for instance in self.directory.borrow().notice_recipients(self.now()) {
            self.send_evacuations(instance);
        }
    }

    /// Spares the domains that orders in the recovered log evacuate, until it is known whether these
    /// orders are committed.
    pub fn recover_evacuations(&self, recovered: EvacuationState) {
        let mut spread = self.evacuations.borrow_mut();
        spread.recover(recovered);
        let domains: Vec<&str> = spread.excluded_domains().collect();
        log::info!(domains = domains.join(",").as_str(); "gateway: evacuations recovered, not known to be committed yet");
        self.exclude_domains(&spread);
    }

    /// Records that all recovered orders that are committed were applied.
    pub fn settle_evacuations(&self) {
        let mut spread = self.evacuations.borrow_mut();
        if spread.settle() {
            self.exclude_domains(&spread);
        }
    }

    fn exclude_domains(&self, spread: &EvacuationSpread) {
        let domains: BTreeSet<_> = spread.excluded_domains().map(name_id).collect();
        self.relay_state.set_evacuated(&domains);
    }

    /// Whether a catalog is withheld from gateways without one: they could not exclude the domains of
    /// recovered orders, and would send calls there.
    pub fn withholds_catalog(&self) -> bool {
        self.now() < WITHHOLD_LIMIT && self.evacuations.borrow().is_unsettled()
    }

    /// Announces the evacuations in force to another gateway, unless there never were any.
    pub fn send_evacuations(&self, to: InstanceId) {
        let spread = self.evacuations.borrow();
        let state = spread.state();
        if state.revision == 0 {
            return;
        }
        let notice = GatewayDatagram::Evacuations(whole_notice(state));
        if !self.send_datagram(to, &notice) {
            let short = EvacuationNotice {
                revision: state.revision,
                domains: None,
            };
            self.send_datagram(to, &GatewayDatagram::Evacuations(short));
        }
    }

    /// Announces the evacuations in force to some other gateways, if a round is due.
    pub fn announce_evacuations(&self) {
        let mut spread = self.evacuations.borrow_mut();
        let told = spread.next_round(self.now(), &self.directory.borrow());
        drop(spread);
        for instance in told {
            self.send_evacuations(instance);
        }
    }

    /// Handles an announcement: obeys newer evacuations, or answers with them if the sender's are
    /// older.
    pub fn handle_evacuations(self: &Rc<Self>, from: InstanceId, notice: EvacuationNotice) {
        let mut directory = self.directory.borrow_mut();
        directory.record_evacuation_revision(from, notice.revision);
        drop(directory);
        let reaction = self.evacuations.borrow().react(notice);
        match reaction {
            NoticeReaction::None => {}
            NoticeReaction::Obey(state) => self.install_evacuations(state, "gateway"),
            NoticeReaction::Answer => self.send_evacuations(from),
            NoticeReaction::Fetch => {
                let node = Rc::clone(self);
                actix_rt::spawn(async move { node.fetch_evacuations(from).await });
            }
        }
    }

    /// Fetches the evacuations from another gateway, if it has newer ones.
    pub async fn fetch_evacuations(&self, source: InstanceId) {
        let request = GatewayRequest::FetchEvacuations(self.evacuations.borrow().state().revision);
        match self.send_request(source, &request, FETCH_TIMEOUT).await {
            Ok(GatewayReply::Evacuations(state)) => self.install_evacuations(state, "gateway"),
            Ok(_) => log::warn!(
                "gateway: {} answered a fetch of evacuations with another reply",
                address_of(source)
            ),
            Err(error) => log::debug!("gateway: fetch of evacuations failed: {error}"),
        }
    }
}

fn log_changes(held: &EvacuationState, state: &EvacuationState, source: &str) {
    let revision = state.revision;
    for domain in &state.domains {
        if !held.domains.contains(domain) {
            log::info!(domain = domain.name.as_str(), revision = revision, source = source; "gateway: evacuation of a failure domain began");
        }
    }
    for domain in &held.domains {
        if !is_evacuated(state, &domain.name) {
            log::info!(domain = domain.name.as_str(), revision = revision, source = source; "gateway: evacuation of a failure domain ended");
        }
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
