//! Requests and replies between gateways, over links.

use std::rc::Rc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use link::{Link, LinkError, accept, connect};
use quota::connections::{ConnectionLimits, ConnectionUse};
use quota::gate::{ConnectionGate, ConnectionPass};
use relay::accept::accept_each;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use wire::LinkMessage;
use wire::gateway::{GatewayReply, GatewayRequest, address_of};
use wire::id::InstanceId;

use crate::node::GatewayNode;

/// Idle links that are kept to one gateway at most.
const MAX_IDLE_LINKS: usize = 4;
/// Maximum number of links from other gateways. Each of 105 gateways keeps at most
/// [`MAX_IDLE_LINKS`] to one other; beyond it, the link that was idle for the longest is closed.
const MAX_LINKS: usize = 512;

/// Why a request has no reply.
#[derive(Debug, Display, Error, From)]
pub enum RequestError {
    /// The link ended or could not be established.
    #[display("{_0}")]
    Link(LinkError),
    /// No reply within the timeout.
    #[display("no reply within the timeout")]
    #[from(skip)]
    TimedOut,
    /// The other gateway sent a message of another kind.
    #[display("unexpected kind of message")]
    #[from(skip)]
    Unexpected,
}

/// Result of a request.
pub type Result<T> = std::result::Result<T, RequestError>;

impl GatewayNode {
    /// Sends a request to another gateway and waits for the reply. The other side of an idle link
    /// may be gone without the link having been closed, so a request that fails on an idle link, or
    /// gets no reply within `limit`, is sent again on a new one.
    ///
    /// # Errors
    /// A new link that can't be established, breaks, or carries no reply within `limit`. In the
    /// worst case this takes twice `limit`.
    pub async fn send_request(
        &self,
        to: InstanceId,
        request: &GatewayRequest,
        limit: Duration,
    ) -> Result<GatewayReply> {
        if let Some(link) = self.take_idle_link(to) {
            match timeout(limit, self.send_on(to, link, request)).await {
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(error)) => log::debug!(
                    "gateway: request on an idle link to another gateway failed: {error}"
                ),
                Err(_) => log::debug!("gateway: no reply on an idle link to another gateway"),
            }
        }
        let fresh = async {
            let link = connect(address_of(to).into(), &self.link_settings).await?;
            self.send_on(to, link, request).await
        };
        timeout(limit, fresh)
            .await
            .map_err(|_| RequestError::TimedOut)?
    }

    async fn send_on(
        &self,
        to: InstanceId,
        mut link: Link,
        request: &GatewayRequest,
    ) -> Result<GatewayReply> {
        link.sender
            .send(LinkMessage::GatewayRequest(request.clone()))
            .await?;
        match link.receiver.next().await? {
            LinkMessage::GatewayReply(reply) => {
                self.keep_idle_link(to, link);
                Ok(reply)
            }
            _ => Err(RequestError::Unexpected),
        }
    }

    fn take_idle_link(&self, to: InstanceId) -> Option<Link> {
        let mut idle = self.idle_links.borrow_mut();
        let links = idle.get_mut(&to)?;
        links.retain(|link| !link.sender.is_closed());
        links.pop()
    }

    fn keep_idle_link(&self, to: InstanceId, link: Link) {
        let mut idle = self.idle_links.borrow_mut();
        let links = idle.entry(to).or_default();
        if links.len() < MAX_IDLE_LINKS {
            links.push(link);
        }
    }

    async fn answer(self: &Rc<Self>, request: GatewayRequest) -> GatewayReply {
        match request {
            GatewayRequest::Replace(text) => self.replace_as_leader(text).await,
            GatewayRequest::ReadVersions => self.read_versions_as_leader().await,
            GatewayRequest::ReadLatest => self.read_as_leader().await,
            GatewayRequest::FetchAbove(version) => {
                let newest = self.newest_catalog();
                let is_withheld = version == 0 && self.withholds_catalog();
                let is_newer = newest.version > version && !is_withheld;
                GatewayReply::Catalog(if is_newer { newest } else { Default::default() })
            }
            GatewayRequest::FetchList => GatewayReply::List(self.readings.borrow().list()),
            GatewayRequest::Install(text) => {
                self.install(text, "leader");
                GatewayReply::Done
            }
            GatewayRequest::Replica(bytes) => {
                self.receive_replica_bytes(&bytes);
                GatewayReply::Done
            }
            GatewayRequest::Evacuate(order) => self.evacuate_as_leader(order).await,
            GatewayRequest::FetchEvacuations(revision) => {
                let evacuations = self.evacuations.borrow().state().clone();
                let is_newer = evacuations.revision > revision;
                GatewayReply::Evacuations(if is_newer {
                    evacuations
                } else {
                    Default::default()
                })
            }
        }
    }
}

/// Answers requests of other gateways until the process ends.
pub async fn serve_peers(listener: TcpListener, node: Rc<GatewayNode>) {
    let gate = ConnectionGate::new(ConnectionLimits {
        connections: MAX_LINKS,
        per_address: 0,
        waiting: 0,
        closing: 0,
    });
    accept_each(listener, "gateway", gate, |stream, pass| {
        serve_link(stream, pass, Rc::clone(&node))
    })
    .await;
}

async fn serve_link(stream: TcpStream, pass: ConnectionPass, node: Rc<GatewayNode>) {
    let ended = tokio::select! {
        biased;
        ended = answer_requests(stream, &pass, &node) => ended,
        () = pass.evicted() => return,
    };
    if let Err(error) = ended {
        log::debug!("gateway: link from another gateway ended: {error}");
    }
}

async fn answer_requests(
    stream: TcpStream,
    pass: &ConnectionPass,
    node: &Rc<GatewayNode>,
) -> Result<()> {
    let mut link = accept(stream, &node.link_settings).await?;
    loop {
        pass.note_use(ConnectionUse::Idle);
        let LinkMessage::GatewayRequest(request) = link.receiver.next().await? else {
            return Err(RequestError::Unexpected);
        };
        pass.note_use(ConnectionUse::Serving);
        let reply = node.answer(request).await;
        link.sender.send(LinkMessage::GatewayReply(reply)).await?;
    }
}
