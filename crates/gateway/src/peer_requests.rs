//! Questions among gateways over links.

use std::rc::Rc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use link::{Link, LinkError, accept, connect};
use relay::accept::accept_each;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use wire::LinkMessage;
use wire::gateway::{GatewayAsk, GatewayReply, address_of};
use wire::id::InstanceId;

use crate::node::GatewayNode;

/// Idle links to one gateway at most.
const MAX_IDLE_LINKS: usize = 4;

/// Why a question has no answer.
#[derive(Debug, Display, Error, From)]
pub enum RequestError {
    /// The link ended or could not be made.
    #[display("{_0}")]
    Link(LinkError),
    /// No answer in time.
    #[display("no answer in time")]
    #[from(skip)]
    TimedOut,
    /// The other gateway sent something else.
    #[display("unexpected answer")]
    #[from(skip)]
    Unexpected,
}

/// Result of a question.
pub type Result<T> = std::result::Result<T, RequestError>;

impl GatewayNode {
    /// Asks another gateway. A link that was idle may have died without a sign, so a question that
    /// gets no answer on one is asked again on a new one.
    ///
    /// # Errors
    /// When no answer comes within twice `limit`.
    pub async fn send_request(
        &self,
        to: InstanceId,
        request: &GatewayAsk,
        limit: Duration,
    ) -> Result<GatewayReply> {
        if let Some(link) = self.take_idle_link(to) {
            match timeout(limit, self.send_on(to, link, request)).await {
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(error)) => log::debug!("gateway: an idle link ended: {error}"),
                Err(_) => log::debug!("gateway: an idle link is silent"),
            }
        }
        let fresh = async {
            let link = connect(address_of(to).into(), &self.links).await?;
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
        request: &GatewayAsk,
    ) -> Result<GatewayReply> {
        link.sender
            .send(LinkMessage::GatewayAsk(request.clone()))
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

    async fn answer(self: &Rc<Self>, request: GatewayAsk) -> GatewayReply {
        match request {
            GatewayAsk::Replace(text) => self.replace_as_leader(text).await,
            GatewayAsk::ReadLatest => self.read_as_leader().await,
            GatewayAsk::FetchAbove(version) => {
                let newest = self.newest();
                let is_newer = newest.version > version;
                GatewayReply::Catalog(if is_newer { newest } else { Default::default() })
            }
            GatewayAsk::FetchList => GatewayReply::List(self.readings.borrow().list()),
            GatewayAsk::Install(text) => {
                self.install(text, "leader");
                GatewayReply::Done
            }
            GatewayAsk::Replica(bytes) => {
                self.receive_replica_bytes(&bytes);
                GatewayReply::Done
            }
        }
    }
}

/// Answers the questions of other gateways until the process ends.
pub async fn serve_peers(listener: TcpListener, node: Rc<GatewayNode>) {
    accept_each(listener, "gateway", |stream| {
        serve_link(stream, Rc::clone(&node))
    })
    .await;
}

async fn serve_link(stream: TcpStream, node: Rc<GatewayNode>) {
    if let Err(error) = answer_requests(stream, &node).await {
        log::debug!("gateway: a link ended: {error}");
    }
}

async fn answer_requests(stream: TcpStream, node: &Rc<GatewayNode>) -> Result<()> {
    let mut link = accept(stream, &node.links).await?;
    loop {
        let LinkMessage::GatewayAsk(request) = link.receiver.next().await? else {
            return Err(RequestError::Unexpected);
        };
        let reply = node.answer(request).await;
        link.sender.send(LinkMessage::GatewayReply(reply)).await?;
    }
}
