//! Small files of the data folder that are replaced as a whole.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

use serde::Serialize;
use serde::de::DeserializeOwned;
use wire::codec;

/// Result of operations on a file.
pub(crate) type Result<T> = io::Result<T>;

/// Reads a file; the default if there is none.
///
/// # Errors
/// The error of the file system, or an invalid content.
pub(crate) fn read<T: DeserializeOwned + Default>(data: &Path, name: &str) -> Result<T> {
    match fs::read(data.join(name)) {
        Ok(bytes) => codec::decode_state(&bytes).map_err(io::Error::other),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(T::default()),
        Err(error) => Err(error),
    }
}

/// Writes a file anew. It is replaced only once the new one is durable.
///
/// # Errors
/// The error of the file system; the file is the earlier one then.
pub(crate) fn write<T: Serialize>(data: &Path, name: &str, content: &T) -> Result<()> {
    let bytes = codec::encode_state(content).map_err(io::Error::other)?;
    let new = data.join(format!("{name}.new"));
    let mut file = File::create(&new)?;
    file.write_all(&bytes)?;
    file.sync_all()?;
    fs::rename(&new, data.join(name))?;
    File::open(data)?.sync_all()
}
