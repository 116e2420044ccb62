//! The agent's replay buffer of an answer and the entry's reassembly.

use std::time::Duration;

use bytes::Bytes;
use claim::replay::CHUNK_BYTES;
use claim::{AnswerAssembly, AssemblyVerdict, ReplayBuffer, ResumeFault};
use fault::RunOutcome;
use googletest::prelude::*;
use wire::LinkMessage;
use wire::answer::{AnswerChunk, AnswerEnd, AnswerHead, AttemptKey, EndpointLoad, ResumeRequest};

const KEY: AttemptKey = AttemptKey {
    request: 1,
    attempt: 2,
};
const WINDOW: usize = 16;

fn head(key: AttemptKey) -> AnswerHead {
    AnswerHead {
        key,
        status: 200,
        headers: Vec::new(),
        cached_tokens: 0,
        queue_wait: Duration::ZERO,
    }
}

fn chunk(key: AttemptKey, offset: u64, bytes: &'static [u8]) -> AnswerChunk {
    AnswerChunk {
        key,
        offset,
        bytes: Bytes::from_static(bytes),
    }
}

/// A buffer that holds `kenavo` and its end.
fn whole_buffer() -> ReplayBuffer {
    let mut buffer = ReplayBuffer::new(KEY, WINDOW);
    buffer.set_head(head(KEY));
    buffer.push(Bytes::from_static(b"ken"));
    buffer.push(Bytes::from_static(b"avo"));
    buffer.finish(RunOutcome::Ran);
    buffer
}

fn drain(buffer: &mut ReplayBuffer) -> Vec<LinkMessage> {
    std::iter::from_fn(|| buffer.next_message(EndpointLoad::default())).collect()
}

fn end_of(buffer: &mut ReplayBuffer) -> Option<AnswerEnd> {
    drain(buffer).into_iter().find_map(|message| match message {
        LinkMessage::End(end) => Some(end),
        _ => None,
    })
}

/// An assembly that has received the head and `ken`.
fn started() -> AnswerAssembly {
    let mut assembly = AnswerAssembly::new(KEY);
    assembly.accept_head(head(KEY));
    assembly.accept_chunk(chunk(KEY, 0, b"ken"));
    assembly
}

#[gtest]
fn a_buffer_sends_head_bytes_and_end_once() {
    let mut buffer = whole_buffer();

    let sent = drain(&mut buffer);
    let again = drain(&mut buffer);

    expect_that!(sent.len(), eq(3));
    expect_that!(sent[1], eq(&LinkMessage::Chunk(chunk(KEY, 0, b"kenavo"))));
    expect_that!(again, is_empty());
    expect_that!(buffer.verify(), ok(anything()));
}

#[gtest]
fn a_buffer_continues_from_any_byte_it_keeps() {
    let resume = |offset| ResumeRequest {
        key: KEY,
        has_head: true,
        offset,
    };
    let mut buffer = whole_buffer();
    drain(&mut buffer);
    buffer.ack(2);

    let too_early = buffer.resume(&resume(1));
    let too_late = buffer.resume(&resume(7));
    let resumed = buffer.resume(&resume(2));
    let sent = drain(&mut buffer);

    expect_that!(
        too_early,
        err(eq(ResumeFault::Dropped { offset: 1, base: 2 }))
    );
    expect_that!(
        too_late,
        err(eq(ResumeFault::Beyond {
            offset: 7,
            length: 6
        }))
    );
    expect_that!(resumed, ok(anything()));
    expect_that!(sent[0], eq(&LinkMessage::Chunk(chunk(KEY, 2, b"navo"))));
    expect_that!(sent.len(), eq(2));
}

#[gtest]
fn a_reader_that_keeps_up_gets_each_part_by_itself() {
    let mut buffer = ReplayBuffer::new(KEY, WINDOW);
    buffer.set_head(head(KEY));
    drain(&mut buffer);

    buffer.push(Bytes::from_static(b"ken"));
    let first = drain(&mut buffer);
    buffer.push(Bytes::from_static(b"avo"));
    let second = drain(&mut buffer);

    expect_that!(
        first,
        elements_are![eq(&LinkMessage::Chunk(chunk(KEY, 0, b"ken")))]
    );
    expect_that!(
        second,
        elements_are![eq(&LinkMessage::Chunk(chunk(KEY, 3, b"avo")))]
    );
}

#[gtest]
fn a_full_window_opens_on_resume_when_its_acknowledgement_was_lost() {
    let mut buffer = ReplayBuffer::new(KEY, WINDOW);
    buffer.set_head(head(KEY));
    buffer.push(Bytes::from(vec![1; WINDOW]));
    let mut assembly = AnswerAssembly::new(KEY);
    for message in drain(&mut buffer) {
        match message {
            LinkMessage::Head(head) => drop(assembly.accept_head(head)),
            LinkMessage::Chunk(chunk) => drop(assembly.accept_chunk(chunk)),
            _ => {}
        }
    }
    assembly.consume(WINDOW);

    let resumed = buffer.resume(&assembly.resume_request());
    buffer.ack(assembly.repeat_ack().offset);

    expect_that!(resumed, ok(anything()));
    expect_that!(buffer.room(), eq(WINDOW));
}

#[gtest]
fn parts_that_wait_are_joined_up_to_the_limit_of_a_chunk() {
    let mut buffer = ReplayBuffer::new(KEY, 4 * CHUNK_BYTES);
    buffer.set_head(head(KEY));
    let bytes: Vec<u8> = (0..2 * CHUNK_BYTES + 7).map(|index| index as u8).collect();
    for part in bytes.chunks(CHUNK_BYTES / 2 + 1) {
        buffer.push(Bytes::copy_from_slice(part));
    }

    let sent = drain(&mut buffer);

    let chunks: Vec<&[u8]> = sent
        .iter()
        .filter_map(|message| match message {
            LinkMessage::Chunk(chunk) => Some(chunk.bytes.as_ref()),
            _ => None,
        })
        .collect();
    expect_that!(
        chunks.iter().map(|bytes| bytes.len()).max(),
        some(eq(CHUNK_BYTES))
    );
    expect_that!(chunks, len(eq(3)));
    expect_that!(chunks.concat(), eq(&bytes));
}

#[gtest]
fn a_reader_that_acknowledges_nothing_holds_its_endpoint_back() {
    let mut buffer = ReplayBuffer::new(KEY, WINDOW);
    buffer.set_head(head(KEY));
    buffer.push(Bytes::from(vec![1; WINDOW]));

    let full = buffer.room();
    buffer.ack(5);
    let after = buffer.room();

    expect_that!((full, after), eq((0, 5)));
}

#[gtest]
fn a_detached_buffer_keeps_nothing_and_holds_nothing_back() {
    let mut buffer = whole_buffer();
    buffer.detach();

    expect_that!(buffer.buffered(), eq(0));
    expect_that!(buffer.room(), eq(WINDOW));
    expect_that!(buffer.verify(), ok(anything()));
}

#[gtest]
fn an_acknowledgement_beyond_the_answer_changes_nothing() {
    let mut buffer = whole_buffer();

    buffer.ack(u64::MAX);

    expect_that!(buffer.buffered(), eq(6));
    expect_that!(buffer.is_acknowledged(), eq(false));
}

#[gtest]
fn an_answer_arrives_whole() {
    let mut assembly = started();

    let bytes = assembly.accept_chunk(chunk(KEY, 3, b"avo"));
    let end = assembly.accept_end(&end_of(&mut whole_buffer()).unwrap());

    expect_that!(
        bytes,
        eq(&AssemblyVerdict::Deliver(Bytes::from_static(b"avo")))
    );
    expect_that!(end, eq(&AssemblyVerdict::Complete(RunOutcome::Ran)));
}

#[gtest]
fn frames_of_another_attempt_or_request_are_dropped() {
    let earlier = AttemptKey { attempt: 1, ..KEY };
    let other = AttemptKey { request: 2, ..KEY };
    let mut assembly = started();

    for key in [earlier, other] {
        expect_that!(
            assembly.accept_chunk(chunk(key, 3, b"???")),
            eq(&AssemblyVerdict::Stale)
        );
        expect_that!(assembly.accept_head(head(key)), eq(&AssemblyVerdict::Stale));
    }
    expect_that!(assembly.resume_request().offset, eq(3));
}

#[gtest]
fn duplicates_and_overlaps_are_delivered_once() {
    let mut assembly = started();

    let duplicate = assembly.accept_chunk(chunk(KEY, 0, b"ken"));
    let overlap = assembly.accept_chunk(chunk(KEY, 1, b"enav"));

    expect_that!(duplicate, eq(&AssemblyVerdict::Stale));
    expect_that!(
        overlap,
        eq(&AssemblyVerdict::Deliver(Bytes::from_static(b"av")))
    );
}

#[gtest]
fn a_gap_is_reported_once_and_closed_by_resuming() {
    let mut assembly = started();
    let end = end_of(&mut whole_buffer()).unwrap();

    let early_end = assembly.accept_end(&end);
    let early_chunk = assembly.accept_chunk(chunk(KEY, 5, b"o"));
    let resume = assembly.resume_request();
    assembly.accept_chunk(chunk(KEY, 3, b"avo"));

    expect_that!(early_end, eq(&AssemblyVerdict::Gap));
    expect_that!(early_chunk, eq(&AssemblyVerdict::Stale));
    expect_that!((resume.has_head, resume.offset), eq((true, 3)));
    expect_that!(
        assembly.accept_end(&end),
        eq(&AssemblyVerdict::Complete(RunOutcome::Ran))
    );
}

#[gtest]
fn a_wrong_length_or_checksum_is_never_called_whole() {
    let end = end_of(&mut whole_buffer()).unwrap();
    let wrong = [
        AnswerEnd {
            checksum: end.checksum ^ 1,
            ..end.clone()
        },
        AnswerEnd { length: 5, ..end },
    ];
    for end in wrong {
        let mut assembly = started();
        assembly.accept_chunk(chunk(KEY, 3, b"avo"));

        expect_that!(assembly.accept_end(&end), eq(&AssemblyVerdict::Corrupt));
    }
}

#[gtest]
fn parts_of_two_runs_never_mix() {
    let later = AttemptKey { attempt: 3, ..KEY };
    let mut empty = AnswerAssembly::new(KEY);
    let mut begun = started();

    expect_that!(empty.restart(later), eq(true));
    expect_that!(begun.restart(later), eq(false));
    expect_that!(begun.key(), eq(KEY));
}

#[gtest]
fn only_what_the_caller_took_is_acknowledged() {
    let mut assembly = started();
    let size = 40 * 1024;
    assembly.accept_chunk(AnswerChunk {
        key: KEY,
        offset: 3,
        bytes: Bytes::from(vec![0; size]),
    });

    let before = assembly.ack_due();
    assembly.consume(size);
    let after = assembly.ack_due().map(|ack| ack.offset);

    expect_that!(before, none());
    expect_that!(after, some(eq(size as u64)));
    expect_that!(assembly.verify(), ok(anything()));
}
