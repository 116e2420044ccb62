//! Connections to agents and the streams on them.
//!
//! Request handlers run on the threads of the HTTP workers, connections on the main thread. A
//! stream is a channel from the reader of a connection to a handler. The channel is unbounded, as
//! the agent sends no more than its window beyond the last acknowledgement.

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

/// Capacity of the queue of dial requests to the main thread.
const DIAL_QUEUE_CAPACITY: usize = 1024;
/// Longest wait for the agents' decision records of a request.
const DECISION_TIMEOUT: Duration = Duration::from_secs(1);

/// An item of a stream.
#[derive(Debug)]
pub enum StreamEvent {
    /// A message that belongs to the stream's attempt.
    Message(Box<LinkMessage>),
    /// The connection that carried the stream ended.
    LinkLost,
}

/// Receiving end of a stream.
pub type StreamReceiver = mpsc::UnboundedReceiver<StreamEvent>;

/// A request to the main thread for a connection to an agent.
pub struct DialRequest {
    address: SocketAddr,
    opened: oneshot::Sender<link::Result<LinkSender>>,
}

/// Number of a connection, in the order in which an entry opened them, from 1.
type LinkNumber = u64;

/// The sending end of a stream and the connection that carries it.
struct OpenStream {
    address: SocketAddr,
    /// The connection to which the stream was last attached.
    link: LinkNumber,
    events: mpsc::UnboundedSender<StreamEvent>,
}

#[derive(Default)]
struct PoolState {
    /// Open connections by agent address, at most one per address.
    senders: HashMap<SocketAddr, (LinkNumber, LinkSender)>,
    /// Number of the connection that was opened last.
    last_link: LinkNumber,
    /// Requesters waiting for a connection that is being opened, by agent address.
    dialing: HashMap<SocketAddr, Vec<oneshot::Sender<link::Result<LinkSender>>>>,
    /// Open streams by attempt.
    streams: HashMap<AttemptKey, OpenStream>,
    /// Operators' requests waiting for the agents' decision records of a call.
    decision_waiters: HashMap<RequestId, mpsc::UnboundedSender<DecisionReply>>,
}

impl PoolState {
    /// Number of the connection to `address`; 0 when there is none.
    fn link_number(&self, address: SocketAddr) -> LinkNumber {
        self.senders.get(&address).map_or(0, |(number, _)| *number)
    }
}

/// Connections to agents, shared by the threads of the entry.
#[derive(Clone)]
pub struct LinkPool {
    state: Arc<Mutex<PoolState>>,
    dials: mpsc::Sender<DialRequest>,
}

impl LinkPool {
    /// A pool, and the queue of dial requests that [`serve_dials`] processes.
    pub fn new() -> (Self, mpsc::Receiver<DialRequest>) {
        let (dials, requests) = mpsc::channel(DIAL_QUEUE_CAPACITY);
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
    /// `Closed` when it cannot be opened.
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
        let mut state = self.lock();
        let link = state.link_number(address);
        state.streams.insert(
            key,
            OpenStream {
                address,
                link,
                events,
            },
        );
        receiver
    }

    /// Attaches the stream of an attempt to the current connection to its agent.
    pub fn attach_stream(&self, key: AttemptKey) {
        let mut state = self.lock();
        let Some(address) = state.streams.get(&key).map(|stream| stream.address) else {
            return;
        };
        let link = state.link_number(address);
        if let Some(stream) = state.streams.get_mut(&key) {
            stream.link = link;
        }
    }

    /// Closes the stream of an attempt. Later messages of the attempt are dropped.
    pub fn close_stream(&self, key: AttemptKey) {
        self.lock().streams.remove(&key);
    }

    /// Asks the agents at `addresses` for their decision records of a request. Returns one JSON
    /// array of records per agent; agents that don't reply in time are left out.
    pub async fn ask_decisions(&self, request: RequestId, addresses: &[SocketAddr]) -> Vec<String> {
        let (sender, mut replies) = mpsc::unbounded_channel();
        self.lock().decision_waiters.insert(request, sender);
        let mut asked = 0;
        for address in addresses {
            if let Ok(sender) = self.sender(*address).await {
                asked += usize::from(
                    sender
                        .send(LinkMessage::QueryDecisions(request))
                        .await
                        .is_ok(),
                );
            }
        }
        let mut records = Vec::new();
        let deadline = Instant::now() + DECISION_TIMEOUT;
        while records.len() < asked {
            match timeout_at(deadline, replies.recv()).await {
                Ok(Some(reply)) => records.push(reply.records),
                _ => break,
            }
        }
        self.lock().decision_waiters.remove(&request);
        records
    }

    fn open_sender(&self, address: SocketAddr) -> Option<LinkSender> {
        let state = self.lock();
        state
            .senders
            .get(&address)
            .map(|(_, sender)| sender)
            .filter(|sender| !sender.is_closed())
            .cloned()
    }

    fn deliver(&self, message: LinkMessage) {
        if let LinkMessage::Decisions(reply) = message {
            if let Some(waiter) = self.lock().decision_waiters.get(&reply.request) {
                let _ = waiter.send(reply);
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

    /// Answers a dial request from the open connection, or queues it. Returns the address when a
    /// dial has to start: at most one runs per agent, so that each agent has one connection.
    fn enqueue_dial(&self, request: DialRequest) -> Option<SocketAddr> {
        let address = request.address;
        if let Some(sender) = self.open_sender(address) {
            let _ = request.opened.send(Ok(sender));
            return None;
        }
        let mut state = self.lock();
        let waiting = state.dialing.entry(address).or_default();
        waiting.push(request.opened);
        (waiting.len() == 1).then_some(address)
    }

    fn install_link(&self, address: SocketAddr, sender: LinkSender) -> LinkNumber {
        let mut state = self.lock();
        state.last_link += 1;
        let number = state.last_link;
        for opened in state.dialing.remove(&address).unwrap_or_default() {
            let _ = opened.send(Ok(sender.clone()));
        }
        state.senders.insert(address, (number, sender));
        number
    }

    fn fail_dial(&self, address: SocketAddr) {
        let waiting = self.lock().dialing.remove(&address);
        for opened in waiting.unwrap_or_default() {
            let _ = opened.send(Err(link::LinkError::Closed));
        }
    }

    /// Removes a connection that ended and notifies the streams attached to it or an earlier one.
    /// Streams on a later connection continue.
    fn drop_link(&self, address: SocketAddr, number: LinkNumber) {
        let mut state = self.lock();
        if state
            .senders
            .get(&address)
            .is_some_and(|(current, _)| *current == number)
        {
            state.senders.remove(&address);
        }
        let streams = state.streams.values();
        for stream in streams.filter(|stream| stream.address == address && stream.link <= number) {
            let _ = stream.events.send(StreamEvent::LinkLost);
        }
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state
            .lock()
            .expect("no thread panics while it holds the pool")
    }
}

/// The attempt to which a message from an agent belongs.
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

/// Processes dial requests until the process ends.
pub async fn serve_dials(
    pool: LinkPool,
    settings: LinkSettings,
    mut requests: mpsc::Receiver<DialRequest>,
) {
    while let Some(request) = requests.recv().await {
        if let Some(address) = pool.enqueue_dial(request) {
            actix_rt::spawn(dial(pool.clone(), settings.clone(), address));
        }
    }
}

/// Opens the connection to `address`, then reads it until it ends.
async fn dial(pool: LinkPool, settings: LinkSettings, address: SocketAddr) {
    match connect(address, &settings).await {
        Ok(link) => {
            let number = pool.install_link(address, link.sender);
            read_link(&pool, address, number, link.receiver).await;
        }
        Err(error) => {
            log::info!("entry: cannot connect to agent {address}: {error}.");
            pool.fail_dial(address);
        }
    }
}

async fn read_link(
    pool: &LinkPool,
    address: SocketAddr,
    number: LinkNumber,
    mut receiver: LinkReceiver,
) {
    loop {
        match receiver.next().await {
            Ok(message) => pool.deliver(message),
            Err(error) => {
                log::info!("entry: connection to agent {address} ended: {error}.");
                pool.drop_link(address, number);
                return;
            }
        }
    }
}
