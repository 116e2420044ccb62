//! The errors that end a connection.

use std::io;

use derive_more::{Display, Error, From};
use wire::codec::CodecError;

/// Why a connection ends.
#[derive(Debug, Display, Error, From)]
pub enum LinkError {
    /// The socket failed, or the peer closed it during the handshake.
    #[display("socket failed: {_0}")]
    Socket(io::Error),
    /// The peer failed to prove knowledge of the shared secret, a frame failed authentication, a
    /// hello is too large, or a payload has an unknown type.
    #[display("peer is not authentic")]
    NotAuthentic,
    /// The peer uses another protocol version.
    #[display("peer speaks version {version}")]
    #[from(skip)]
    Version {
        /// The version in the peer's hello.
        #[error(not(source))]
        version: u8,
    },
    /// A message or a frame exceeds the size limit, or a payload or a hello does not decode.
    #[display("frame is unreadable: {_0}")]
    Codec(CodecError),
    /// Connecting or the handshake timed out, or nothing arrived within the silence limit while a
    /// reply was pending.
    #[display("connection is silent")]
    TimedOut,
    /// The connection was closed, by this side or by an end of stream from the peer. Also returned
    /// when the send queue is full.
    #[display("connection is closed")]
    Closed,
}

/// Result of operations on a connection.
pub type Result<T> = std::result::Result<T, LinkError>;
