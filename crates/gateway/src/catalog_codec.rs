//! Catalogs in the compressed form in which they are stored and sent.

use std::io::{self, Read, Write};

use catalog::RouteCatalog;
use derive_more::{Display, Error, From};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use platform::catalog_body::{BodyError, read_catalog};
use wire::gateway::CatalogText;

/// Largest decompressed catalog in bytes. Anything beyond is cut off.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Why a compressed catalog can't be decoded.
#[derive(Debug, Display, Error, From)]
pub enum DecodeError {
    /// The bytes can't be decompressed.
    #[display("{_0}")]
    Inflate(io::Error),
    /// The decompressed bytes are not a valid catalog.
    #[display("{_0}")]
    Body(BodyError),
}

/// Result of decoding a compressed catalog.
pub type Result<T> = std::result::Result<T, DecodeError>;

/// Compresses a catalog as the operator sent it.
///
/// # Errors
/// The encoder's error.
pub fn compress(version: u64, body: &[u8]) -> io::Result<CatalogText> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(body)?;
    Ok(CatalogText {
        version,
        compressed: encoder.finish()?,
    })
}

/// Decompresses a catalog into the bytes that the operator sent.
///
/// # Errors
/// Bytes that can't be decompressed.
pub fn decompress(text: &CatalogText) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    let decoder = DeflateDecoder::new(&text.compressed[..]);
    decoder.take(MAX_BODY_BYTES).read_to_end(&mut body)?;
    Ok(body)
}

/// Decompresses and parses a catalog.
///
/// # Errors
/// Bytes that can't be decompressed, or are not a valid catalog.
pub fn decode_catalog(text: &CatalogText) -> Result<RouteCatalog> {
    Ok(read_catalog(&decompress(text)?)?)
}
