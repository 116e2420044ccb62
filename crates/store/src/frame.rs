//! Checksummed records, and the detection of torn writes and damage.
//!
//! A file consists of a header and frames. A frame consists of a length, a checksum of the length
//! and of the frame's position in the file, a checksum of the payload, the payload, and an end mark
//! that is not zero. A crash during the write of a frame leaves the frame short, or leaves zeros
//! where blocks were not written; such a torn tail is ignored. Any other mismatch means that
//! durable bytes were modified, and is an error.

use crate::error::{FORMAT_VERSION, Result, StoreError};
use crate::folder::FileName;

/// Magic number at the start of every file.
const MAGIC: [u8; 6] = *b"sapphi";
/// Bytes before the first frame.
pub const FILE_HEADER_BYTES: usize = MAGIC.len() + size_of::<u16>();
/// Bytes of a frame before its payload.
const FRAME_HEADER_BYTES: usize = 12;
/// Last byte of a frame.
const END_MARK: u8 = 0xA5;

/// Returns the header of a new file.
pub fn file_header() -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend(FORMAT_VERSION.to_le_bytes());
    bytes
}

/// Appends a frame to `out`. `position` is the frame's position in its file.
pub fn push_frame(out: &mut Vec<u8>, position: u64, payload: &[u8]) {
    let length = u32::try_from(payload.len()).expect("records are below 4 GiB");
    out.extend(length.to_le_bytes());
    out.extend(header_checksum(length, position).to_le_bytes());
    out.extend(crc32fast::hash(payload).to_le_bytes());
    out.extend(payload);
    out.push(END_MARK);
}

/// The valid frames at the start of a file.
#[derive(Debug, PartialEq, Eq)]
pub struct FrameScan<'a> {
    /// Payloads in order.
    pub payloads: Vec<&'a [u8]>,
    /// Number of bytes up to the end of the last valid frame.
    pub valid_bytes: u64,
}

/// Reads all frames of a file. The result excludes a tail of a torn write.
///
/// # Errors
/// [`StoreError::Damaged`] and [`StoreError::Version`].
pub fn scan(file: FileName, bytes: &[u8]) -> Result<FrameScan<'_>> {
    let prefix = scan_prefix(file, bytes);
    match prefix.damage {
        Some(error) => Err(error),
        None => Ok(FrameScan {
            payloads: prefix.payloads,
            valid_bytes: prefix.valid_bytes,
        }),
    }
}

/// The valid frames at the start of a file, whatever follows them.
#[derive(Debug)]
pub struct FramePrefix<'a> {
    /// Payloads in order.
    pub payloads: Vec<&'a [u8]>,
    /// Number of bytes up to the end of the last valid frame; 0 if the header is damaged.
    pub valid_bytes: u64,
    /// What is wrong with the bytes that follow; `None` if there are none, or a tail of a torn write.
    pub damage: Option<StoreError>,
}

/// Reads the frames of a file up to the first that is not valid.
pub fn scan_prefix(file: FileName, bytes: &[u8]) -> FramePrefix<'_> {
    let mut prefix = FramePrefix {
        payloads: Vec::new(),
        valid_bytes: 0,
        damage: check_header(file, bytes).err(),
    };
    if prefix.damage.is_some() {
        return prefix;
    }
    let mut position = FILE_HEADER_BYTES;
    loop {
        match next_frame(&bytes[position..], position as u64) {
            FrameState::Valid(payload) => {
                prefix.payloads.push(payload);
                position += FRAME_HEADER_BYTES + payload.len() + 1;
            }
            FrameState::Torn => break,
            FrameState::Damaged(reason) => {
                prefix.damage = Some(StoreError::Damaged {
                    file,
                    offset: position as u64,
                    reason,
                });
                break;
            }
        }
    }
    prefix.valid_bytes = position as u64;
    prefix
}

enum FrameState<'a> {
    Valid(&'a [u8]),
    /// The end of the file, or a frame whose write a crash interrupted.
    Torn,
    Damaged(&'static str),
}

fn check_header(file: FileName, bytes: &[u8]) -> Result<()> {
    let damaged = |reason| StoreError::Damaged {
        file,
        offset: 0,
        reason,
    };
    let rest = bytes
        .strip_prefix(&MAGIC)
        .ok_or_else(|| damaged("this is no data file"))?;
    let version = rest
        .first_chunk()
        .ok_or_else(|| damaged("the header is short"))?;
    match u16::from_le_bytes(*version) {
        FORMAT_VERSION => Ok(()),
        version => Err(StoreError::Version { file, version }),
    }
}

fn next_frame(rest: &[u8], position: u64) -> FrameState<'_> {
    let (Some(length), Some(header_sum), Some(payload_sum)) =
        (read_u32(rest, 0), read_u32(rest, 4), read_u32(rest, 8))
    else {
        return FrameState::Torn;
    };
    if header_sum != header_checksum(length, position) {
        return if is_zeroed(&rest[FRAME_HEADER_BYTES - 1..]) {
            FrameState::Torn
        } else {
            FrameState::Damaged("the head of a record does not match its checksum")
        };
    }
    let end = FRAME_HEADER_BYTES + length as usize;
    if rest.len() <= end {
        return FrameState::Torn;
    }
    let payload = &rest[FRAME_HEADER_BYTES..end];
    if rest[end] == END_MARK && crc32fast::hash(payload) == payload_sum {
        return FrameState::Valid(payload);
    }
    if is_zeroed(&rest[end..]) {
        FrameState::Torn
    } else {
        FrameState::Damaged("a record does not match its checksum")
    }
}

/// Whether all bytes are zero, as in blocks of a file that grew before its data was written.
fn is_zeroed(bytes: &[u8]) -> bool {
    bytes.iter().all(|byte| *byte == 0)
}

fn read_u32(bytes: &[u8], start: usize) -> Option<u32> {
    let chunk = bytes.get(start..)?.first_chunk()?;
    Some(u32::from_le_bytes(*chunk))
}

fn header_checksum(length: u32, position: u64) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(&position.to_le_bytes());
    hasher.finalize()
}
