//! Frame encoding: golden bytes, forged, replayed and reordered frames, arbitrary input.

use bytes::{Bytes, BytesMut};
use googletest::prelude::*;
use link::frame::{FRAME_OVERHEAD_BYTES, FrameOpener, FrameSealer, PayloadType};
use link::handshake::{HelloFrame, MAX_HELLO_BYTES};
use link::{LinkError, LinkIdentity, PeerRole};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wire::codec::MAX_MESSAGE_BYTES;

/// Seed of the property tests.
const SEED: u64 = 5;
const KEY: [u8; 32] = [7; 32];

fn sealed(payloads: &[&[u8]]) -> BytesMut {
    let mut out = BytesMut::new();
    let mut sealer = FrameSealer::new(KEY);
    for payload in payloads {
        sealer.seal(payload, &mut out);
    }
    out
}

fn hello() -> HelloFrame {
    HelloFrame {
        nonce: [9; 32],
        identity: LinkIdentity {
            name: "vannes-1".to_owned(),
            role: PeerRole::Agent,
        },
    }
}

#[gtest]
fn frames_keep_their_bytes() {
    let out = sealed(&[b"first", b"second", &[PayloadType::Probe as u8]]);

    insta::assert_snapshot!(hex::encode(out));
}

#[gtest]
fn hellos_keep_their_bytes() {
    insta::assert_snapshot!(hex::encode(hello().encode().unwrap()));
}

#[gtest]
fn frames_arrive_in_order_and_in_parts() {
    let whole = sealed(&[b"first", b"second"]);
    let mut opener = FrameOpener::new(KEY);
    let mut buffer = BytesMut::new();
    let mut opened = Vec::new();

    for byte in whole {
        buffer.extend_from_slice(&[byte]);
        opened.extend(opener.open(&mut buffer).unwrap());
    }

    expect_that!(
        opened,
        elements_are![
            eq(&Bytes::from_static(b"first")),
            eq(&Bytes::from_static(b"second"))
        ]
    );
}

#[gtest]
fn a_frame_with_any_bit_flipped_is_refused() {
    let whole = sealed(&[b"a postage order"]);
    for bit in 0..whole.len() * 8 {
        let mut buffer = whole.clone();
        buffer[bit / 8] ^= 1 << (bit % 8);

        let opened = FrameOpener::new(KEY).open(&mut buffer);

        // A flipped bit in the length may only make the frame look incomplete.
        expect_that!(
            opened.is_err() || opened.unwrap().is_none(),
            eq(true),
            "{bit}"
        );
    }
}

#[gtest]
fn a_replayed_frame_is_refused() {
    let frame = sealed(&[b"order"]);
    let mut opener = FrameOpener::new(KEY);
    let mut first = frame.clone();
    let mut again = frame;

    opener.open(&mut first).unwrap();

    expect_that!(
        opener.open(&mut again),
        err(matches_pattern!(LinkError::NotAuthentic))
    );
}

#[gtest]
fn reordered_frames_are_refused() {
    let mut both = sealed(&[b"one", b"two"]);
    let mut second = both.split_off(FRAME_OVERHEAD_BYTES + 3);

    let opened = FrameOpener::new(KEY).open(&mut second);

    expect_that!(opened, err(matches_pattern!(LinkError::NotAuthentic)));
}

#[gtest]
fn a_frame_beyond_the_limit_is_refused_by_its_length_alone() {
    let length = u32::try_from(MAX_MESSAGE_BYTES + 1).unwrap();
    let mut buffer = BytesMut::from(&length.to_be_bytes()[..]);

    let opened = FrameOpener::new(KEY).open(&mut buffer);

    expect_that!(opened, err(matches_pattern!(LinkError::Codec(anything()))));
}

#[gtest]
fn a_hello_beyond_the_limit_is_refused_on_both_sides() {
    let mut large = hello();
    large.identity.name = "x".repeat(MAX_HELLO_BYTES);

    expect_that!(large.encode(), err(anything()));
    expect_that!(
        HelloFrame::decode(&[0; MAX_HELLO_BYTES + 1]),
        err(anything())
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(SEED), ..ProptestConfig::with_cases(512) })]

    #[test]
    fn arbitrary_bytes_are_no_frame(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut buffer = BytesMut::from(&bytes[..]);

        let opened = FrameOpener::new(KEY).open(&mut buffer);

        prop_assert!(opened.is_err() || opened.unwrap().is_none());
    }

    #[test]
    fn arbitrary_bytes_never_panic_the_hello(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        if let Ok(hello) = HelloFrame::decode(&bytes) {
            prop_assert!(hello.identity.name.len() <= MAX_HELLO_BYTES);
        }
    }
}
