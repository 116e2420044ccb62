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
pub enum AskError {
    /// The link ended or could not be made.
    #[display("{_0}")]
    Link(LinkError),
    /// No answer in time.
    #[display("no answer in time")]
    #[from(skip)]
    Late,
    /// The other gateway sent something else.
    #[display("unexpected answer")]
    #[from(skip)]
    Unexpected,
}

/// Result of a question.
pub type Result<T> = std::result::Result<T, AskError>;

impl GatewayNode {
    /// Asks another gateway. A link that was idle may have died without a sign, so a question that
    /// gets no answer on one is asked again on a new one.
    ///
    /// # Errors
    /// When no answer comes within twice `limit`.
    pub async fn ask(
        &self,
        to: InstanceId,
        ask: &GatewayAsk,
        limit: Duration,
    ) -> Result<GatewayReply> {
        if let Some(link) = self.take_idle_link(to) {
            match timeout(limit, self.ask_on(to, link, ask)).await {
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(error)) => log::debug!("gateway: an idle link ended: {error}"),
                Err(_) => log::debug!("gateway: an idle link is silent"),
            }
        }
        let fresh = async {
            let link = connect(address_of(to).into(), &self.links).await?;
            self.ask_on(to, link, ask).await
        };
        timeout(limit, fresh).await.map_err(|_| AskError::Late)?
    }

    async fn ask_on(
        &self,
        to: InstanceId,
        mut link: Link,
        ask: &GatewayAsk,
    ) -> Result<GatewayReply> {
        link.sender
            .send(LinkMessage::GatewayAsk(ask.clone()))
            .await?;
        match link.receiver.next().await? {
            LinkMessage::GatewayReply(reply) => {
                self.keep_idle_link(to, link);
                Ok(reply)
            }
            _ => Err(AskError::Unexpected),
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

    async fn answer(self: &Rc<Self>, ask: GatewayAsk) -> GatewayReply {
        match ask {
            GatewayAsk::Replace(text) => self.replace_here(text).await,
            GatewayAsk::ReadLatest => self.read_here().await,
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
                self.take_replica(&bytes);
                GatewayReply::Done
            }
        }
    }
}

/// Answers the questions of other gateways until the process ends.
pub async fn serve_asks(listener: TcpListener, node: Rc<GatewayNode>) {
    accept_each(listener, "gateway", |stream| {
        serve_link(stream, Rc::clone(&node))
    })
    .await;
}

async fn serve_link(stream: TcpStream, node: Rc<GatewayNode>) {
    if let Err(error) = serve_questions(stream, &node).await {
        log::debug!("gateway: a link ended: {error}");
    }
}

async fn serve_questions(stream: TcpStream, node: &Rc<GatewayNode>) -> Result<()> {
    let mut link = accept(stream, &node.links).await?;
    loop {
        let LinkMessage::GatewayAsk(ask) = link.receiver.next().await? else {
            return Err(AskError::Unexpected);
        };
        let reply = node.answer(ask).await;
        link.sender.send(LinkMessage::GatewayReply(reply)).await?;
    }
}
