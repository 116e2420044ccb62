//! Catalogs as they are stored and sent.

use std::io::{self, Read, Write};

use catalog::RouteCatalog;
use derive_more::{Display, Error, From};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use platform::catalog_body::{BodyError, read_catalog};
use wire::gateway::CatalogText;

/// Largest unpacked catalog in bytes.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Why a packed catalog is unreadable.
#[derive(Debug, Display, Error, From)]
pub enum DecodeError {
    /// The bytes can't be unpacked.
    #[display("{_0}")]
    Inflate(io::Error),
    /// What was unpacked is no catalog.
    #[display("{_0}")]
    Body(BodyError),
}

/// Result of reading a packed catalog.
pub type Result<T> = std::result::Result<T, DecodeError>;

/// Packs the operator's bytes.
///
/// # Errors
/// The encoder's error.
pub fn compress(version: u64, body: &[u8]) -> io::Result<CatalogText> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(body)?;
    Ok(CatalogText {
        version,
        packed: encoder.finish()?,
    })
}

/// The operator's bytes.
///
/// # Errors
/// Bytes that can't be unpacked, or exceed the limit.
pub fn decompress(text: &CatalogText) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    let decoder = DeflateDecoder::new(&text.packed[..]);
    decoder.take(MAX_BODY_BYTES).read_to_end(&mut body)?;
    Ok(body)
}

/// Unpacks and reads a catalog.
///
/// # Errors
/// Bytes that can't be unpacked, or are no catalog.
pub fn decode_catalog(text: &CatalogText) -> Result<RouteCatalog> {
    Ok(read_catalog(&decompress(text)?)?)
}
