//! Collection of a body whose final size is not known.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};

/// A body larger than this is collected in segments of this size, in bytes. A single buffer that
/// grows would be copied each time, and the allocator would keep its former places.
const SEGMENT_BYTES: usize = 64 * 1024;

/// The parts of a body, while it is received.
#[derive(Debug, Default)]
pub struct BodySegments {
    full: VecDeque<Bytes>,
    last: BytesMut,
    length: usize,
}

impl BodySegments {
    /// Number of bytes so far.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Adds bytes.
    pub fn push(&mut self, mut bytes: &[u8]) {
        self.length += bytes.len();
        while !bytes.is_empty() {
            let fitting = bytes.len().min(SEGMENT_BYTES - self.last.len());
            self.last.extend_from_slice(&bytes[..fitting]);
            bytes = &bytes[fitting..];
            if self.last.len() == SEGMENT_BYTES {
                let full =
                    std::mem::replace(&mut self.last, BytesMut::with_capacity(SEGMENT_BYTES));
                self.full.push_back(full.freeze());
            }
        }
    }

    /// Joins the parts. Each is dropped once it is copied.
    pub fn join(mut self) -> Bytes {
        if self.full.is_empty() {
            return self.last.freeze();
        }
        let mut whole = BytesMut::with_capacity(self.length);
        while let Some(segment) = self.full.pop_front() {
            whole.extend_from_slice(&segment);
        }
        whole.extend_from_slice(&self.last);
        whole.freeze()
    }
}
