//! Authenticated connections between processes of the system.
//!
//! * [`connection`]: a connection as a pair of sender and receiver.
//! * [`handshake`]: mutual authentication and the keys of a connection.
//! * [`frame`]: framing, authentication and replay protection of messages.
//! * [`error`]: why a connection ends.

pub mod connection;
pub mod error;
pub mod frame;
pub mod handshake;

pub use connection::{Link, LinkReceiver, LinkSender, LinkSettings, accept, connect};
pub use error::{LinkError, Result};
pub use handshake::{LinkIdentity, LinkSecret, PeerRole};
