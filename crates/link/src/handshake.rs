//! Mutual authentication and key derivation.
//!
//! Each side sends a hello with a random nonce, then a proof: an HMAC under a key derived from the
//! shared secret and both hellos. Each direction has its own key, so a frame can't be reflected to
//! its sender.

use std::fs;
use std::path::Path;

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::error::{LinkError, Result};
use wire::codec;

/// Protocol version: framing and message encoding.
pub const LINK_VERSION: u8 = 1;
/// Largest hello in bytes; bounds what is buffered for an unauthenticated peer.
pub const MAX_HELLO_BYTES: usize = 512;
/// Bytes of a key, a nonce and a proof.
const KEY_BYTES: usize = 32;

/// Bytes of version, length and proof, which each side sends in addition to its hello.
const HANDSHAKE_OVERHEAD_BYTES: usize = 1 + 2 + KEY_BYTES;

/// A key or a nonce.
pub type KeyBytes = [u8; KEY_BYTES];

/// The secret that all processes of the system share.
#[derive(Clone)]
pub struct LinkSecret(Vec<u8>);

impl LinkSecret {
    /// Uses the bytes as they are, without trimming.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self(bytes.into())
    }

    /// Reads the secret from a file, without leading and trailing white space.
    ///
    /// # Errors
    /// The file cannot be read.
    pub fn load(path: &Path) -> std::io::Result<Self> {
        Ok(Self(fs::read(path)?.trim_ascii().to_vec()))
    }
}

/// Role of a process in the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PeerRole {
    /// Accepts the requests of callers.
    Entry,
    /// Admits requests for one endpoint and runs them there.
    Agent,
    /// Member of the control quorum.
    Control,
}

/// Identity of a process at one end of a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkIdentity {
    /// Name of the instance.
    pub name: String,
    /// Role of the process.
    pub role: PeerRole,
}

/// First message of each side, sent without framing. Its contents are untrusted until the proofs
/// are verified.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HelloFrame {
    /// Random value, fresh for each connection.
    pub nonce: KeyBytes,
    /// Identity that the sender claims.
    pub identity: LinkIdentity,
}

impl HelloFrame {
    /// Encodes the hello.
    ///
    /// # Errors
    /// [`LinkError::NotAuthentic`] when the hello exceeds [`MAX_HELLO_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>> {
        let bytes = codec::encode(self)?;
        if bytes.len() > MAX_HELLO_BYTES {
            return Err(LinkError::NotAuthentic);
        }
        Ok(bytes)
    }

    /// Decodes a hello.
    ///
    /// # Errors
    /// The input exceeds [`MAX_HELLO_BYTES`] or does not decode to a hello.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        if bytes.len() > MAX_HELLO_BYTES {
            return Err(LinkError::NotAuthentic);
        }
        Ok(codec::decode_as(bytes)?)
    }
}

/// Result of a successful handshake.
pub struct HandshakeResult {
    /// The authenticated peer.
    pub peer: LinkIdentity,
    /// Key of the frames that this side sends.
    pub send_key: KeyBytes,
    /// Key of the frames that this side receives.
    pub receive_key: KeyBytes,
    /// Bytes sent during the handshake.
    pub sent_bytes: usize,
    /// Bytes received during the handshake.
    pub received_bytes: usize,
}

/// Role in the handshake, which decides the order of the hellos and the use of the keys.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum HandshakeSide {
    Connecting,
    Accepting,
}

/// Exchanges hellos and proofs on a new connection.
pub(crate) async fn perform_handshake(
    stream: &mut TcpStream,
    side: HandshakeSide,
    identity: &LinkIdentity,
    secret: &LinkSecret,
) -> Result<HandshakeResult> {
    let nonce: KeyBytes = rand::random();
    let hello = HelloFrame {
        nonce,
        identity: identity.clone(),
    };
    let own_hello = hello.encode()?;
    write_hello(stream, &own_hello).await?;
    let peer_hello = read_hello(stream).await?;
    let peer = HelloFrame::decode(&peer_hello)?.identity;
    let (first, second) = match side {
        HandshakeSide::Connecting => (&own_hello, &peer_hello),
        HandshakeSide::Accepting => (&peer_hello, &own_hello),
    };
    let derive = |purpose: &str| derive_key(secret, purpose, first, second);
    let keys = (derive("connecting"), derive("accepting"));
    let (send_key, receive_key) = match side {
        HandshakeSide::Connecting => keys,
        HandshakeSide::Accepting => (keys.1, keys.0),
    };
    exchange_proofs(stream, &send_key, &receive_key).await?;
    Ok(HandshakeResult {
        peer,
        send_key,
        receive_key,
        sent_bytes: own_hello.len() + HANDSHAKE_OVERHEAD_BYTES,
        received_bytes: peer_hello.len() + HANDSHAKE_OVERHEAD_BYTES,
    })
}

async fn exchange_proofs(
    stream: &mut TcpStream,
    send_key: &KeyBytes,
    receive_key: &KeyBytes,
) -> Result<()> {
    stream
        .write_all(&proof_of(send_key).finalize().into_bytes())
        .await?;
    let mut proof = [0; KEY_BYTES];
    stream.read_exact(&mut proof).await?;
    proof_of(receive_key)
        .verify_slice(&proof)
        .map_err(|_| LinkError::NotAuthentic)
}

fn proof_of(key: &KeyBytes) -> Hmac<Sha256> {
    keyed_mac(key).chain_update(b"proof")
}

/// Starts an HMAC-SHA256 computation under `key`.
pub(crate) fn keyed_mac(key: &[u8]) -> Hmac<Sha256> {
    Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length")
}

pub(crate) fn derive_key(
    secret: &LinkSecret,
    purpose: &str,
    first: &[u8],
    second: &[u8],
) -> KeyBytes {
    let mac = keyed_mac(&secret.0)
        .chain_update(purpose)
        .chain_update(first)
        .chain_update(second);
    mac.finalize().into_bytes().into()
}

async fn write_hello(stream: &mut TcpStream, hello: &[u8]) -> Result<()> {
    let length = u16::try_from(hello.len()).map_err(|_| LinkError::NotAuthentic)?;
    stream.write_u8(LINK_VERSION).await?;
    stream.write_u16(length).await?;
    stream.write_all(hello).await?;
    Ok(())
}

async fn read_hello(stream: &mut TcpStream) -> Result<Vec<u8>> {
    let version = stream.read_u8().await?;
    if version != LINK_VERSION {
        return Err(LinkError::Version { version });
    }
    let length = usize::from(stream.read_u16().await?);
    if length > MAX_HELLO_BYTES {
        return Err(LinkError::NotAuthentic);
    }
    let mut hello = vec![0; length];
    stream.read_exact(&mut hello).await?;
    Ok(hello)
}
