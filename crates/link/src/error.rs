//! Why a connection ends.

use std::io;

use derive_more::{Display, Error, From};
use wire::codec::CodecError;

/// Why a connection ends.
#[derive(Debug, Display, Error, From)]
pub enum LinkError {
    /// The socket failed or the peer closed it.
    #[display("socket failed: {_0}")]
    Socket(io::Error),
    /// The peer did not prove that it knows the secret, or a frame is forged or replayed.
    #[display("peer is not authentic")]
    NotAuthentic,
    /// The peer speaks another version.
    #[display("peer speaks version {version}")]
    #[from(skip)]
    Version {
        /// The peer's version.
        #[error(not(source))]
        version: u8,
    },
    /// A frame exceeds the limit, or holds no message.
    #[display("frame is unreadable: {_0}")]
    Codec(CodecError),
    /// Nothing arrived for longer than the silence limit although an answer was due.
    #[display("connection is silent")]
    Silent,
    /// The connection was closed on this side.
    #[display("connection is closed")]
    Closed,
}

/// Result of operations on a connection.
pub type Result<T> = std::result::Result<T, LinkError>;
