//! Authenticated datagrams.
//!
//! A datagram is a truncated HMAC tag and a payload. There is no replay protection: receivers must
//! tolerate lost, duplicated and reordered datagrams.

use hmac::Mac;
use subtle::ConstantTimeEq;

use crate::frame::TAG_BYTES;
use crate::handshake::{KeyBytes, LinkSecret, derive_key, keyed_mac};

/// Authenticates and verifies the datagrams between the processes of one fleet.
#[derive(Clone)]
pub struct DatagramSeal {
    key: KeyBytes,
}

impl DatagramSeal {
    /// Derives the datagram key from the shared secret. Connections use other keys.
    pub fn new(secret: &LinkSecret) -> Self {
        Self {
            key: derive_key(secret, "datagram", &[], &[]),
        }
    }

    /// Returns a datagram that carries `payload`.
    pub fn seal(&self, payload: &[u8]) -> Vec<u8> {
        let mut datagram = Vec::with_capacity(TAG_BYTES + payload.len());
        datagram.extend_from_slice(&self.tag(payload));
        datagram.extend_from_slice(payload);
        datagram
    }

    /// Returns the payload, or `None` if the tag does not match.
    pub fn open<'a>(&self, datagram: &'a [u8]) -> Option<&'a [u8]> {
        let (tag, payload) = datagram.split_at_checked(TAG_BYTES)?;
        let is_authentic: bool = tag.ct_eq(&self.tag(payload)).into();
        is_authentic.then_some(payload)
    }

    fn tag(&self, payload: &[u8]) -> [u8; TAG_BYTES] {
        let mut mac = keyed_mac(&self.key);
        mac.update(payload);
        let whole = mac.finalize().into_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&whole[..TAG_BYTES]);
        tag
    }
}
