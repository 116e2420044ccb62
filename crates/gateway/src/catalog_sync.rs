//! Replacing and reading the catalog through any gateway, and fetching newer versions.
//!
//! Only the leader of the quorum replaces and reads; other gateways forward to it.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};
use wire::gateway::{CatalogText, GatewayReply, GatewayRequest, address_of};
use wire::id::InstanceId;

use crate::node::GatewayNode;

/// Time after which an operator's replace or read is not retried any more. Operators' clients try
/// another gateway after 1 s.
const OPERATOR_CALL_TIMEOUT: Duration = Duration::from_millis(950);
/// Limit on one attempt to get the reply of another gateway to a replace or read, see
/// [`GatewayNode::send_request`].
const LEADER_TIMEOUT: Duration = Duration::from_millis(420);
/// Longest wait for the reply to a catalog fetch.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1200);
/// Delay before a failed replace or read is sent again, perhaps to another gateway.
const LEADER_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Why no leader answered a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaderSilence {
    /// No leader took it. It has no effect.
    Refused,
    /// No quorum confirmed it in time; it may still be committed later.
    Unconfirmed,
}

impl GatewayNode {
    /// Replaces the catalog and waits for a quorum to commit it. Succeeds at once if a version at least as
    /// new is known.
    ///
    /// # Errors
    /// Whether the catalog may still be committed.
    pub async fn replace_catalog(self: &Rc<Self>, text: CatalogText) -> Result<(), LeaderSilence> {
        if text.version <= self.catalog_version() {
            return Ok(());
        }
        let request = GatewayRequest::Replace(text);
        match self.request_from_leader(&request).await? {
            GatewayReply::Done => Ok(()),
            _ => Err(LeaderSilence::Unconfirmed),
        }
    }

    /// The newest catalog, read through the leader and confirmed by a quorum. `None` if there is
    /// none, or if no quorum confirmed it in time.
    pub async fn read_catalog(self: &Rc<Self>) -> Option<CatalogText> {
        let reply = self.request_from_leader(&GatewayRequest::ReadLatest).await;
        match reply.ok()? {
            GatewayReply::Catalog(text) if text.version > 0 => {
                self.install(text.clone(), "read");
                Some(text)
            }
            _ => None,
        }
    }

    /// Sends a request to the leader and retries until it succeeds or [`OPERATOR_CALL_TIMEOUT`]
    /// elapses.
    ///
    /// # Errors
    /// Whether one of the attempts may still be committed.
    pub(crate) async fn request_from_leader(
        self: &Rc<Self>,
        request: &GatewayRequest,
    ) -> Result<GatewayReply, LeaderSilence> {
        let mut silence = LeaderSilence::Refused;
        let deadline = Instant::now() + OPERATOR_CALL_TIMEOUT;
        let mut hint = None;
        let mut round = 0;
        while Instant::now() < deadline {
            let leader = self.leader_candidate(hint.take(), round);
            round += 1;
            if let Some(leader) = leader {
                match self.request_from(leader, request, deadline).await {
                    Some(GatewayReply::NotLeader(other)) => hint = other,
                    Some(GatewayReply::NoQuorum) | None => silence = LeaderSilence::Unconfirmed,
                    Some(reply) => return Ok(reply),
                }
            }
            sleep(LEADER_RETRY_DELAY).await;
        }
        Err(silence)
    }

    async fn request_from(
        self: &Rc<Self>,
        leader: InstanceId,
        request: &GatewayRequest,
        deadline: Instant,
    ) -> Option<GatewayReply> {
        if leader == self.own {
            return Some(match request.clone() {
                GatewayRequest::Replace(text) => self.replace_as_leader(text).await,
                GatewayRequest::Evacuate(order) => self.evacuate_as_leader(order).await,
                GatewayRequest::ReadVersions => self.read_versions_as_leader().await,
                _ => self.read_as_leader().await,
            });
        }
        let limit = LEADER_TIMEOUT.min(deadline.saturating_duration_since(Instant::now()));
        match self.send_request(leader, request, limit).await {
            Ok(reply) => Some(reply),
            Err(error) => {
                log::info!(peer = address_of(leader).to_string().as_str(); "gateway: no reply from the presumed leader: {error}");
                None
            }
        }
    }

    /// The gateway to try as leader: the one that the last reply named, else the leader that this
    /// gateway's member knows, else the one that heartbeats name. From the third attempt without a
    /// named leader, the gateways with a data folder in turn.
    fn leader_candidate(&self, hint: Option<InstanceId>, round: usize) -> Option<InstanceId> {
        let own = self.quorum().and_then(|quorum| quorum.leader());
        let own = own.map(|(_, leader)| leader);
        let reported = self.directory.borrow().leader(self.now());
        let known = hint.or(own).or(reported);
        if round < 2 || hint.is_some() {
            return known;
        }
        let with_storage = self.directory.borrow().with_storage();
        let any = with_storage.get(round % with_storage.len().max(1)).copied();
        any.or(known)
    }

    /// Fetches the newest catalog that a live gateway reports, unless this gateway has it or a
    /// fetch is running.
    pub fn fetch_newer_catalog(self: &Rc<Self>) {
        let version = self.catalog_version();
        let holders = self.directory.borrow().newest_holders(self.now(), version);
        if holders.is_empty() || self.is_fetching_catalog.get() {
            return;
        }
        // A random holder, so that the gateways that are behind do not all load the same one.
        let source = holders[rand::random_range(0..holders.len())];
        self.is_fetching_catalog.set(true);
        let node = Rc::clone(self);
        actix_rt::spawn(async move {
            let request = GatewayRequest::FetchAbove(version);
            match node.send_request(source, &request, FETCH_TIMEOUT).await {
                Ok(GatewayReply::Catalog(text)) => {
                    if version == 0 && text.version > 0 {
                        // This gateway sends calls once it has a catalog, so it learns of
                        // evacuations first.
                        node.fetch_evacuations(source).await;
                    }
                    node.install(text, "gateway");
                }
                Ok(_) => log::warn!(
                    "gateway: {} answered a catalog fetch with another reply",
                    address_of(source)
                ),
                Err(error) => log::debug!("gateway: catalog fetch failed: {error}"),
            }
            node.is_fetching_catalog.set(false);
        });
    }
}
