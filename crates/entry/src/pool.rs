//! Connections to agents and the streams on them.
//!
//! Handlers run on the HTTP workers' threads, connections on the main thread. A stream is a
//! channel from the connection's reader to the handler; it is unbounded because the agent sends
//! no more than its window beyond the last acknowledgement.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use link::{LinkReceiver, LinkSender, LinkSettings, connect};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout_at};
use wire::LinkMessage;
use wire::answer::AttemptKey;
use wire::id::RequestId;
use wire::message::DecisionReply;

/// Requests for connections that wait for the main thread.
const QUEUE_DIALS: usize = 1024;
/// Longest wait for the agents' records of a request.
const DECISION_LIMIT: Duration = Duration::from_secs(1);

/// What a stream yields.
#[derive(Debug)]
pub enum StreamEvent {
    /// A message of the stream's attempt.
    Message(Box<LinkMessage>),
    /// The connection that carried the stream ended.
    LinkLost,
}

/// Receiving end of a stream.
pub type StreamReceiver = mpsc::UnboundedReceiver<StreamEvent>;

/// Asks the main thread for a connection.
pub struct DialRequest {
    address: SocketAddr,
    opened: oneshot::Sender<link::Result<LinkSender>>,
}

/// A stream that is open on some connection.
struct OpenStream {
    address: SocketAddr,
    events: mpsc::UnboundedSender<StreamEvent>,
}

#[derive(Default)]
struct PoolState {
    /// Open connections by agent address.
    senders: HashMap<SocketAddr, LinkSender>,
    /// Open streams.
    streams: HashMap<AttemptKey, OpenStream>,
    /// Those who wait for the decision records of a request.
    askers: HashMap<RequestId, mpsc::UnboundedSender<DecisionReply>>,
}

/// Connections to agents, shared by the threads of the entry.
#[derive(Clone)]
pub struct LinkPool {
    state: Arc<Mutex<PoolState>>,
    dials: mpsc::Sender<DialRequest>,
}

impl LinkPool {
    /// A pool, and the queue that [`serve_dials`] works off.
    pub fn new() -> (Self, mpsc::Receiver<DialRequest>) {
        let (dials, requests) = mpsc::channel(QUEUE_DIALS);
        (
            Self {
                state: Arc::default(),
                dials,
            },
            requests,
        )
    }

    /// A connection to the agent at `address`, opened if there is none.
    ///
    /// # Errors
    /// Why it can't be opened.
    pub async fn sender(&self, address: SocketAddr) -> link::Result<LinkSender> {
        if let Some(sender) = self.open_sender(address) {
            return Ok(sender);
        }
        let (opened, answer) = oneshot::channel();
        let dial = DialRequest { address, opened };
        self.dials
            .send(dial)
            .await
            .map_err(|_| link::LinkError::Closed)?;
        answer.await.map_err(|_| link::LinkError::Closed)?
    }

    /// Opens the stream of an attempt that is sent to `address`.
    pub fn open_stream(&self, key: AttemptKey, address: SocketAddr) -> StreamReceiver {
        let (events, receiver) = mpsc::unbounded_channel();
        self.lock()
            .streams
            .insert(key, OpenStream { address, events });
        receiver
    }

    /// Closes the stream of an attempt; later messages of it are dropped.
    pub fn close_stream(&self, key: AttemptKey) {
        self.lock().streams.remove(&key);
    }

    /// Asks the agents at `addresses` for their records of a request. The records are encoded as
    /// JSON arrays; agents that don't answer in time are left out.
    pub async fn ask_decisions(&self, request: RequestId, addresses: &[SocketAddr]) -> Vec<String> {
        let (sender, mut replies) = mpsc::unbounded_channel();
        self.lock().askers.insert(request, sender);
        let mut asked = 0;
        for address in addresses {
            if let Ok(sender) = self.sender(*address).await {
                asked += usize::from(
                    sender
                        .send(LinkMessage::AskDecisions(request))
                        .await
                        .is_ok(),
                );
            }
        }
        let mut records = Vec::new();
        let deadline = Instant::now() + DECISION_LIMIT;
        while records.len() < asked {
            match timeout_at(deadline, replies.recv()).await {
                Ok(Some(reply)) => records.push(reply.records),
                _ => break,
            }
        }
        self.lock().askers.remove(&request);
        records
    }

    fn open_sender(&self, address: SocketAddr) -> Option<LinkSender> {
        let state = self.lock();
        state
            .senders
            .get(&address)
            .filter(|sender| !sender.is_closed())
            .cloned()
    }

    fn deliver(&self, message: LinkMessage) {
        if let LinkMessage::Decisions(reply) = message {
            if let Some(asker) = self.lock().askers.get(&reply.request) {
                let _ = asker.send(reply);
            }
            return;
        }
        let Some(key) = attempt_key(&message) else {
            return;
        };
        let state = self.lock();
        if let Some(stream) = state.streams.get(&key) {
            let _ = stream.events.send(StreamEvent::Message(Box::new(message)));
        }
    }

    fn drop_link(&self, address: SocketAddr) {
        let mut state = self.lock();
        state.senders.remove(&address);
        for stream in state
            .streams
            .values()
            .filter(|stream| stream.address == address)
        {
            let _ = stream.events.send(StreamEvent::LinkLost);
        }
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state
            .lock()
            .expect("no thread panics while it holds the pool")
    }
}

/// The attempt that a message from an agent belongs to.
fn attempt_key(message: &LinkMessage) -> Option<AttemptKey> {
    match message {
        LinkMessage::Admitted(notice) => Some(notice.key),
        LinkMessage::Refused(notice) => Some(notice.key),
        LinkMessage::Head(head) => Some(head.key),
        LinkMessage::Chunk(chunk) => Some(chunk.key),
        LinkMessage::End(end) => Some(end.key),
        _ => None,
    }
}

/// Opens connections until the process ends.
pub async fn serve_dials(
    pool: LinkPool,
    settings: LinkSettings,
    mut requests: mpsc::Receiver<DialRequest>,
) {
    while let Some(request) = requests.recv().await {
        actix_rt::spawn(dial(pool.clone(), settings.clone(), request));
    }
}

async fn dial(pool: LinkPool, settings: LinkSettings, request: DialRequest) {
    if let Some(sender) = pool.open_sender(request.address) {
        let _ = request.opened.send(Ok(sender));
        return;
    }
    match connect(request.address, &settings).await {
        Ok(link) => {
            pool.lock()
                .senders
                .insert(request.address, link.sender.clone());
            let _ = request.opened.send(Ok(link.sender));
            read_link(&pool, request.address, link.receiver).await;
        }
        Err(error) => {
            let _ = request.opened.send(Err(error));
        }
    }
}

async fn read_link(pool: &LinkPool, address: SocketAddr, mut receiver: LinkReceiver) {
    loop {
        match receiver.next().await {
            Ok(message) => pool.deliver(message),
            Err(error) => {
                log::info!("entry: connection to {address} ended: {error}");
                pool.drop_link(address);
                return;
            }
        }
    }
}
