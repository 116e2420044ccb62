//! Golden encodings of the messages between entry, agent and control, and decoding of arbitrary
//! input.

use std::time::Duration;

use bytes::Bytes;
use fault::{FaultKind, RunOutcome};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wire::LinkMessage;
use wire::answer::{
    AckNotice, AdmitNotice, AnswerChunk, AnswerEnd, AnswerHead, AttemptKey, CancelRequest,
    EndpointLoad, HeaderField, PriorityClass, RefuseNotice, ResumeRequest, SubmitRequest,
};
use wire::codec::{CodecError, MAX_MESSAGE_BYTES, decode, decode_as, encode};
use wire::command::{
    ClaimKey, ClaimRequest, ControlCommand, ControlReply, RecordedAnswer, SettingEdit,
    SettingsChange,
};
use wire::member::{
    AgentHeartbeat, EndpointRecord, EndpointState, EntryHeartbeat, LoadSample, MemberDigest,
    ServiceMean, WarmDigest,
};
use wire::message::{ControlDecision, ControlProposal, SettingsUpdate};

/// Seed of the property tests.
const SEED: u64 = 5;
const KEY: AttemptKey = AttemptKey {
    request: 0x0123_4567_89ab_cdef,
    attempt: 2,
};
const LOAD: EndpointLoad = EndpointLoad {
    running: 3,
    queued: 1,
};

fn headers() -> Vec<HeaderField> {
    vec![HeaderField {
        name: "content-type".to_owned(),
        value: "text/plain".to_owned(),
    }]
}

fn submit() -> LinkMessage {
    LinkMessage::Submit(Box::new(SubmitRequest {
        key: KEY,
        account: 1,
        service: 2,
        model: Some(3),
        class: PriorityClass::Urgent,
        idempotent: false,
        claim: Some("order-17".to_owned()),
        fingerprint: 4,
        prefixes: vec![5, 6],
        prompt_tokens: 7,
        deadline: Duration::from_millis(1500),
        hops: 1,
        method: "POST".to_owned(),
        path: "/orders".to_owned(),
        headers: headers(),
        body: Bytes::from_static(b"two stamps"),
    }))
}

/// Messages between entry and agent.
fn stream_messages() -> Vec<LinkMessage> {
    let head = AnswerHead {
        key: KEY,
        status: 200,
        headers: headers(),
        cached_tokens: 9,
        queue_wait: Duration::from_millis(4),
    };
    vec![
        submit(),
        LinkMessage::Ack(AckNotice {
            key: KEY,
            offset: 300,
        }),
        LinkMessage::Cancel(CancelRequest { key: KEY }),
        LinkMessage::Resume(ResumeRequest {
            key: KEY,
            has_head: true,
            offset: 300,
        }),
        LinkMessage::Admitted(AdmitNotice {
            key: KEY,
            load: LOAD,
            incarnation: 11,
        }),
        LinkMessage::Refused(RefuseNotice {
            key: KEY,
            fault: FaultKind::Overloaded.because("full"),
            load: LOAD,
        }),
        LinkMessage::Head(head),
        LinkMessage::Chunk(AnswerChunk {
            key: KEY,
            offset: 300,
            bytes: Bytes::from_static(b"kenavo"),
        }),
        LinkMessage::End(AnswerEnd {
            key: KEY,
            length: 306,
            checksum: 0xdead_beef,
            outcome: RunOutcome::Ran,
            load: LOAD,
        }),
    ]
}

/// Messages between the control quorum and the other processes.
fn control_messages() -> Vec<LinkMessage> {
    let record = EndpointRecord {
        endpoint: 1,
        name: "runner-1".to_owned(),
        incarnation: 2,
        cache_epoch: 3,
        service: 4,
        domain: 5,
        domain_name: String::new(),
        address: "127.0.0.1:7001".parse().expect("an address"),
        weight: 1,
    };
    let sample = LoadSample {
        endpoint: 1,
        incarnation: 2,
        state: EndpointState::Draining,
        load: LOAD,
    };
    let edits = vec![SettingEdit {
        path: "load_bound".to_owned(),
        value: Some("1.5".to_owned()),
    }];
    vec![
        LinkMessage::AgentHeartbeat(AgentHeartbeat {
            record: Some(record.clone()),
            endpoint: 1,
            incarnation: 2,
            sequence: 3,
            state: EndpointState::Serving,
            load: LOAD,
            settings: 4,
        }),
        LinkMessage::EntryHeartbeat(EntryHeartbeat {
            instance: 1,
            name: "entry-1".to_owned(),
            domain_name: String::new(),
            incarnation: 2,
            settings: 3,
        }),
        LinkMessage::Members(MemberDigest {
            records: vec![record],
            gone: vec![9],
            loads: vec![sample],
            means: vec![ServiceMean {
                service: 4,
                load: 12,
                weight: 3,
                absent: 1,
            }],
        }),
        LinkMessage::Warm(WarmDigest {
            endpoint: 1,
            cache_epoch: 2,
            prefixes: vec![3],
        }),
        LinkMessage::Settings(SettingsUpdate::Full {
            version: 1,
            text: "load_bound = 1.25".to_owned(),
        }),
        LinkMessage::Settings(SettingsUpdate::Delta {
            from: 1,
            version: 2,
            edits,
        }),
        LinkMessage::Settings(SettingsUpdate::Confirmed { version: 2 }),
        LinkMessage::Quarantine(vec![1, 2]),
        LinkMessage::Replica(vec![1, 2, 3]),
        LinkMessage::Suspects(vec![3]),
    ]
}

fn commands() -> Vec<ControlCommand> {
    let claim = ClaimKey {
        account: 1,
        key: "order-17".to_owned(),
    };
    let answer = RecordedAnswer {
        status: 201,
        headers: headers(),
        body: Some(Bytes::from_static(b"done")),
    };
    vec![
        ControlCommand::ChangeSettings(SettingsChange {
            change_id: "c1".to_owned(),
            base: 1,
            operator: "maen".to_owned(),
            edits: Vec::new(),
        }),
        ControlCommand::ClaimRequest(ClaimRequest {
            claim: claim.clone(),
            fingerprint: 2,
            attempt: KEY,
            endpoint: 3,
            retention: Duration::from_secs(60),
        }),
        ControlCommand::FinishClaim {
            claim,
            attempt: KEY,
            outcome: RunOutcome::Ran,
            answer: Some(answer),
        },
        ControlCommand::TakeFence { endpoint: 1 },
        ControlCommand::ReportCrash {
            endpoint: 1,
            cache_epoch: 2,
            suspects: vec![3],
        },
        ControlCommand::ClearSuspect { fingerprint: 1 },
        ControlCommand::LiftQuarantine { fingerprint: 1 },
        ControlCommand::TrySuspect {
            fingerprint: 1,
            endpoint: 2,
            attempt: KEY,
        },
        ControlCommand::DropTrial {
            fingerprint: 1,
            attempt: KEY,
        },
        ControlCommand::AbandonClaims { endpoint: 1 },
    ]
}

fn replies() -> Vec<ControlReply> {
    vec![
        ControlReply::SettingsAccepted(2),
        ControlReply::ClaimGranted,
        ControlReply::ClaimAnswered(RecordedAnswer {
            status: 201,
            headers: Vec::new(),
            body: None,
        }),
        ControlReply::ClaimFinished,
        ControlReply::FenceTaken(4),
        ControlReply::Recorded,
        ControlReply::Refused(FaultKind::KeyConflict.because("another body")),
    ]
}

fn proposals() -> Vec<LinkMessage> {
    let proposal = |command| LinkMessage::Propose(ControlProposal { ticket: 5, command });
    let decision = |reply| LinkMessage::Decided(ControlDecision { ticket: 5, reply });
    let proposed = commands().into_iter().map(proposal);
    proposed
        .chain(replies().into_iter().map(decision))
        .collect()
}

fn messages() -> Vec<LinkMessage> {
    [stream_messages(), control_messages(), proposals()].concat()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[gtest]
fn messages_keep_their_bytes() {
    let lines: Vec<String> = messages()
        .iter()
        .map(|message| hex(&encode(message).unwrap()))
        .collect();

    insta::assert_snapshot!(lines.join("\n"));
}

#[gtest]
fn messages_round_trip() {
    for message in messages() {
        let bytes = Bytes::from(encode(&message).unwrap());

        let decoded = decode(&bytes);

        expect_that!(decoded, ok(eq(&message)));
    }
}

#[gtest]
fn trailing_bytes_are_refused() {
    let mut bytes = encode(&submit()).unwrap();
    bytes.push(0);

    let decoded = decode(&Bytes::from(bytes));

    expect_that!(decoded, err(matches_pattern!(CodecError::Malformed { .. })));
}

#[gtest]
fn a_message_beyond_the_limit_is_refused_both_ways() {
    let large = LinkMessage::Replica(vec![0; MAX_MESSAGE_BYTES]);
    let bytes = Bytes::from(vec![0; MAX_MESSAGE_BYTES + 1]);

    let encoded = encode(&large);
    let decoded = decode(&bytes);

    expect_that!(encoded, err(matches_pattern!(CodecError::Oversized { .. })));
    expect_that!(decoded, err(matches_pattern!(CodecError::Oversized { .. })));
}

#[gtest]
fn a_claimed_count_of_elements_beyond_the_bytes_is_refused() {
    // Variant 17 is `LinkMessage::Replica`; the claimed length that follows is `u64::MAX`.
    let mut bytes = vec![17];
    bytes.extend([0xff; 9]);
    bytes.push(1);

    let decoded: std::result::Result<LinkMessage, CodecError> = decode_as(&bytes);

    expect_that!(decoded, err(matches_pattern!(CodecError::Malformed { .. })));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(SEED), ..ProptestConfig::with_cases(2048) })]

    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(message) = decode(&Bytes::from(bytes)) {
            prop_assert!(encode(&message).is_ok());
        }
    }

    #[test]
    fn damaged_messages_never_panic(
        index in any::<prop::sample::Index>(),
        position in any::<prop::sample::Index>(),
        byte in any::<u8>(),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut bytes = encode(index.get(&messages())).unwrap();
        let position = position.index(bytes.len());
        bytes[position] = byte;
        bytes.truncate(cut.index(bytes.len() + 1));

        if let Ok(message) = decode(&Bytes::from(bytes)) {
            prop_assert!(encode(&message).is_ok());
        }
    }
}
