//! Postcard encoding with size limits.

use bytes::Bytes;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::message::LinkMessage;

/// Largest encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Errors of encoding and decoding.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum CodecError {
    /// The message is larger than [`MAX_MESSAGE_BYTES`].
    #[display("message of {size} bytes exceeds the limit")]
    Oversized {
        /// Encoded size in bytes.
        size: usize,
    },
    /// The bytes do not decode to the expected type, or the value has no encoding.
    #[display("bytes are no message: {reason}")]
    Malformed {
        /// The error of postcard, or the number of trailing bytes.
        reason: String,
    },
}

/// Result of encoding and decoding.
pub type Result<T> = std::result::Result<T, CodecError>;

/// Encodes `message`.
///
/// # Errors
/// [`CodecError::Oversized`] when the encoding exceeds [`MAX_MESSAGE_BYTES`].
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    let bytes = postcard::to_stdvec(message).map_err(malformed)?;
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(CodecError::Oversized { size: bytes.len() });
    }
    Ok(bytes)
}

/// Encodes a value without a size limit, for a file or for sending in parts.
///
/// # Errors
/// [`CodecError::Malformed`] when the value has no encoding.
pub fn encode_state<T: Serialize>(state: &T) -> Result<Vec<u8>> {
    postcard::to_stdvec(state).map_err(malformed)
}

/// Decodes a value without a size limit.
///
/// # Errors
/// [`CodecError::Malformed`] when the bytes are malformed, or when bytes follow the value.
pub fn decode_state<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T> {
    let (state, rest) = postcard::take_from_bytes(bytes).map_err(malformed)?;
    if !rest.is_empty() {
        return Err(CodecError::Malformed {
            reason: format!("{} bytes too many", rest.len()),
        });
    }
    Ok(state)
}

/// Decodes a link message.
///
/// # Errors
/// The bytes exceed [`MAX_MESSAGE_BYTES`] or are malformed, or bytes follow the message.
pub fn decode(bytes: &Bytes) -> Result<LinkMessage> {
    decode_as(bytes)
}

/// Decodes a value.
///
/// # Errors
/// The bytes exceed [`MAX_MESSAGE_BYTES`] or are malformed, or bytes follow the value.
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
