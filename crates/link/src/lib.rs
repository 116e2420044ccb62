//! Authenticated connections between processes of the system.
//!
//! * [`connection`]: a connection as a pair of sender and receiver.
//! * [`control_client`]: the connection of an entry or an agent to the control quorum.
//! * [`handshake`]: mutual authentication and the keys of a connection.
//! * [`frame`]: framing, authentication and replay protection of messages.
//! * [`error`]: why a connection ends.

pub mod connection;
pub mod control_client;
pub mod error;
pub mod frame;
pub mod handshake;

pub use connection::{Link, LinkReceiver, LinkSender, LinkSettings, accept, connect};
pub use error::{LinkError, Result};
pub use handshake::{LinkIdentity, LinkSecret, PeerRole};
