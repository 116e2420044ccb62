//! Authenticated connections between processes of the system.
//!
//! * [`connection`]: opening and accepting connections.
//! * [`sender`]: the sending half of a connection and its writer task.
//! * [`receiver`]: the receiving half of a connection.
//! * [`datagram`]: authenticated datagrams.
//! * [`liveness`]: when to probe a connection, and when to declare it dead.
//! * [`counters`]: counts of frames and bytes by kind of message.
//! * [`control_client`]: the connection of an entry or an agent to the control quorum.
//! * [`handshake`]: mutual authentication and key derivation.
//! * [`frame`]: framing, authentication and replay protection of messages.
//! * [`error`]: the errors that end a connection.

pub mod connection;
pub mod control_client;
pub mod counters;
pub mod datagram;
pub mod error;
pub mod frame;
pub mod handshake;
pub mod liveness;
pub mod receiver;
pub mod sender;
mod state;

pub use connection::{Link, LinkSettings, accept, connect};
pub use counters::{FrameCount, FrameDirection, LinkCounters, MessageKind};
pub use datagram::DatagramSeal;
pub use error::{LinkError, Result};
pub use handshake::{LinkIdentity, LinkSecret, PeerRole};
pub use receiver::LinkReceiver;
pub use sender::LinkSender;
