//! Framing, authentication and replay protection of messages.
//!
//! A frame is a length (4 bytes, big endian), a truncated HMAC tag and a payload. The tag covers
//! the payload and the frame's sequence number in its direction, so that a replayed, dropped or
//! reordered frame fails authentication.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use hmac::Mac;

use crate::error::{LinkError, Result};
use crate::handshake::{KeyBytes, keyed_mac};
use wire::codec::{CodecError, MAX_MESSAGE_BYTES};

/// Bytes of an authentication tag.
pub const TAG_BYTES: usize = 16;
/// Bytes of the length field.
const LENGTH_BYTES: usize = 4;
/// Bytes that a frame adds to its payload.
pub const FRAME_OVERHEAD_BYTES: usize = LENGTH_BYTES + TAG_BYTES;

/// First byte of a payload: the type of what follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum PayloadType {
    /// An encoded message.
    Message = 0,
    /// A liveness probe, without content; the peer replies with [`Self::ProbeReply`].
    Probe = 1,
    /// The reply to a probe, without content.
    ProbeReply = 2,
}

impl PayloadType {
    /// Parses the first byte of a payload; `None` for an unknown type.
    pub fn from_byte(byte: u8) -> Option<Self> {
        match byte {
            0 => Some(Self::Message),
            1 => Some(Self::Probe),
            2 => Some(Self::ProbeReply),
            _ => None,
        }
    }
}

/// Frames and authenticates the payloads of one direction of a connection.
pub struct FrameSealer {
    key: KeyBytes,
    /// Sequence number of the next frame.
    sequence: u64,
}

impl FrameSealer {
    /// Creates a sealer with sequence number 0.
    pub fn new(key: KeyBytes) -> Self {
        Self { key, sequence: 0 }
    }

    /// Appends a frame with `payload` to `out`.
    pub fn seal(&mut self, payload: &[u8], out: &mut BytesMut) {
        let length = u32::try_from(payload.len()).expect("payload is below the message limit");
        out.put_u32(length);
        out.put_slice(&frame_tag(&self.key, self.sequence, payload));
        out.put_slice(payload);
        self.sequence += 1;
    }
}

/// Verifies and unpacks the frames of one direction of a connection.
pub struct FrameOpener {
    key: KeyBytes,
    /// Sequence number of the next frame.
    sequence: u64,
}

impl FrameOpener {
    /// Creates an opener with sequence number 0.
    pub fn new(key: KeyBytes) -> Self {
        Self { key, sequence: 0 }
    }

    /// Removes the next frame from `buffer` and returns its payload, or `None` while the frame is
    /// incomplete.
    ///
    /// # Errors
    /// The frame is too large, or its tag does not match the key and the sequence number.
    pub fn open(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>> {
        let Some(length) = buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(CodecError::Oversized { size: length }.into());
        }
        if buffer.len() < FRAME_OVERHEAD_BYTES + length {
            return Ok(None);
        }
        buffer.advance(LENGTH_BYTES);
        let tag = buffer.split_to(TAG_BYTES);
        let payload = buffer.split_to(length).freeze();
        self.check(&tag, &payload)?;
        Ok(Some(payload))
    }

    /// Bytes still needed to complete the frame at the start of `buffer`, or its length field and
    /// tag while the length is unknown.
    pub fn missing(&self, buffer: &BytesMut) -> usize {
        let length = buffer.first_chunk::<LENGTH_BYTES>();
        let payload = length.map_or(0, |length| u32::from_be_bytes(*length) as usize);
        (FRAME_OVERHEAD_BYTES + payload).saturating_sub(buffer.len())
    }

    fn check(&mut self, tag: &[u8], payload: &[u8]) -> Result<()> {
        let mac = keyed_mac(&self.key).chain_update(self.sequence.to_be_bytes());
        let valid = mac.chain_update(payload).verify_truncated_left(tag);
        valid.map_err(|_| LinkError::NotAuthentic)?;
        self.sequence += 1;
        Ok(())
    }
}

fn frame_tag(key: &KeyBytes, sequence: u64, payload: &[u8]) -> [u8; TAG_BYTES] {
    let mac = keyed_mac(key)
        .chain_update(sequence.to_be_bytes())
        .chain_update(payload);
    let full = mac.finalize().into_bytes();
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&full[..TAG_BYTES]);
    tag
}
