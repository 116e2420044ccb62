//! Postcard encoding with limits.

use bytes::Bytes;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::message::LinkMessage;

/// Largest encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Why a message cannot be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum CodecError {
    /// The message is larger than [`MAX_MESSAGE_BYTES`].
    #[display("message of {size} bytes exceeds the limit")]
    Oversized {
        /// Encoded size in bytes.
        size: usize,
    },
    /// The bytes are no message of this version.
    #[display("bytes are no message: {reason}")]
    Malformed {
        /// What the decoder found.
        reason: String,
    },
}

/// Result of encoding and decoding.
pub type Result<T> = std::result::Result<T, CodecError>;

/// Encodes `message`.
///
/// # Errors
/// [`CodecError::Oversized`] when it exceeds the limit.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    let bytes = postcard::to_stdvec(message).map_err(malformed)?;
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(CodecError::Oversized { size: bytes.len() });
    }
    Ok(bytes)
}

/// Encodes a value of any size, for a file or for sending in parts.
///
/// # Errors
/// [`CodecError::Malformed`] for a value that has no encoding.
pub fn encode_state<T: Serialize>(state: &T) -> Result<Vec<u8>> {
    postcard::to_stdvec(state).map_err(malformed)
}

/// Decodes a value of any size that fills `bytes`.
///
/// # Errors
/// [`CodecError::Malformed`] when the bytes are malformed or have a rest.
pub fn decode_state<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T> {
    let (state, rest) = postcard::take_from_bytes(bytes).map_err(malformed)?;
    if !rest.is_empty() {
        return Err(CodecError::Malformed {
            reason: format!("{} bytes too many", rest.len()),
        });
    }
    Ok(state)
}

/// Decodes one link message that fills `bytes`.
///
/// # Errors
/// [`CodecError`] when the bytes exceed the limit, are malformed, or have a rest.
pub fn decode(bytes: &Bytes) -> Result<LinkMessage> {
    decode_as(bytes)
}

/// Decodes one value that fills `bytes`.
///
/// # Errors
/// [`CodecError`] when the bytes exceed the limit, are malformed, or have a rest.
pub fn decode_as<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(CodecError::Oversized { size: bytes.len() });
    }
    decode_state(bytes)
}

fn malformed(error: postcard::Error) -> CodecError {
    CodecError::Malformed {
        reason: error.to_string(),
    }
}
