//! Hand-written serialization of answer chunks, the most frequent message.
//!
//! A chunk is a tuple of four fields: request, attempt, offset and bytes. The visitor reads the
//! bytes in one step instead of one element at a time.

use std::fmt;

use bytes::Bytes;
use serde::de::{Error, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::answer::{AnswerChunk, AttemptKey};

/// Number of fields of an encoded chunk.
const FIELD_COUNT: usize = 4;

impl Serialize for AnswerChunk {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(FIELD_COUNT)?;
        tuple.serialize_element(&self.key.request)?;
        tuple.serialize_element(&self.key.attempt)?;
        tuple.serialize_element(&self.offset)?;
        tuple.serialize_element(&self.bytes)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for AnswerChunk {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(FIELD_COUNT, ChunkVisitor)
    }
}

struct ChunkVisitor;

impl<'de> Visitor<'de> for ChunkVisitor {
    type Value = AnswerChunk;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("an answer chunk")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut fields: A) -> Result<AnswerChunk, A::Error> {
        let request = fields.next_element()?.ok_or_else(|| missing("request"))?;
        let attempt = fields.next_element()?.ok_or_else(|| missing("attempt"))?;
        let offset = fields.next_element()?.ok_or_else(|| missing("offset"))?;
        let bytes: Bytes = fields.next_element()?.ok_or_else(|| missing("bytes"))?;
        Ok(AnswerChunk {
            key: AttemptKey { request, attempt },
            offset,
            bytes,
        })
    }
}

fn missing<E: Error>(field: &'static str) -> E {
    E::missing_field(field)
}
