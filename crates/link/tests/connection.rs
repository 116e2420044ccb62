//! Connections over loopback. Tests wait for conditions; timeouts only bound a failing run.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use link::{
    FrameDirection, Link, LinkError, LinkIdentity, LinkSecret, LinkSettings, MessageKind, PeerRole,
    accept, connect,
};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use wire::LinkMessage;
use wire::answer::{AckNotice, AttemptKey, ResumeRequest};
use wire::codec::MAX_MESSAGE_BYTES;

const KEY: AttemptKey = AttemptKey {
    request: 1,
    attempt: 1,
};
/// Bounds a failing run; no assertion depends on it.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

fn settings(name: &str, role: PeerRole) -> LinkSettings {
    let identity = LinkIdentity {
        name: name.to_owned(),
        role,
    };
    LinkSettings {
        probe_after: Duration::from_millis(40),
        silence_limit: Duration::from_millis(200),
        ..LinkSettings::new(identity, LinkSecret::new("secret"))
    }
}

fn run<T>(test: impl Future<Output = T>) -> T {
    actix_rt::System::new()
        .block_on(async { timeout(TEST_TIMEOUT, test).await.expect("loopback works") })
}

async fn open_pair(entry: &LinkSettings, agent: &LinkSettings) -> (Link, Link) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback works");
    let address = listener.local_addr().expect("loopback works");
    let accepted = async {
        accept(listener.accept().await.expect("a connection").0, agent)
            .await
            .expect("loopback works")
    };
    let (ours, theirs) = tokio::join!(connect(address, entry), accepted);
    (ours.expect("loopback works"), theirs)
}

fn ack(offset: u64) -> LinkMessage {
    LinkMessage::Ack(AckNotice { key: KEY, offset })
}

fn resume() -> LinkMessage {
    LinkMessage::Resume(ResumeRequest {
        key: KEY,
        has_head: true,
        offset: 0,
    })
}

#[gtest]
fn peers_authenticate_and_count_the_frames_they_exchange() {
    let entry = settings("entry-1", PeerRole::Entry);
    let agent = settings("agent-1", PeerRole::Agent);

    let (peer, received) = run(async {
        let (ours, mut theirs) = open_pair(&entry, &agent).await;
        ours.sender.send(ack(5)).await.unwrap();
        (ours.peer, theirs.receiver.next().await.unwrap())
    });

    let sent = entry.counters.get(FrameDirection::Sent, MessageKind::Ack);
    expect_that!(peer, eq(&agent.identity));
    expect_that!(received, eq(&ack(5)));
    expect_that!(sent.frames, eq(1));
    expect_that!(
        agent
            .counters
            .get(FrameDirection::Received, MessageKind::Ack),
        eq(sent)
    );
    expect_that!(entry.counters.control_bytes(), gt(0));
}

#[gtest]
fn a_peer_with_another_secret_is_refused_by_both() {
    let entry = LinkSettings {
        secret: LinkSecret::new("guess"),
        ..settings("entry-1", PeerRole::Entry)
    };
    let agent = settings("agent-1", PeerRole::Agent);

    let (ours, theirs) = run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let accepted = async { accept(listener.accept().await.unwrap().0, &agent).await };
        tokio::join!(connect(address, &entry), accepted)
    });

    expect_that!(ours.is_err(), eq(true));
    expect_that!(theirs.is_err(), eq(true));
}

#[gtest]
fn malformed_hellos_fail_the_handshake() {
    let agent = settings("agent-1", PeerRole::Agent);
    let forged: [&[u8]; 3] = [b"\xff", b"\x01\xff\xff", b"\x01\x00\x02\x00\x00"];
    for bytes in forged {
        let accepted = run(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(bytes).await.unwrap();
            accept(listener.accept().await.unwrap().0, &agent).await
        });

        expect_that!(accepted.is_err(), eq(true), "{bytes:?}");
    }
}

#[gtest]
fn an_unresponsive_peer_times_out_while_an_answer_is_pending() {
    let entry = settings("entry-1", PeerRole::Entry);
    let agent = settings("agent-1", PeerRole::Agent);

    let (error, is_closed) = run(async {
        // The peer never calls next(): its socket accepts bytes, but probes are not answered.
        let (mut ours, _theirs) = open_pair(&entry, &agent).await;
        ours.sender.send(resume()).await.unwrap();
        let error = ours.receiver.next().await.unwrap_err();
        (error, ours.sender.is_closed())
    });

    expect_that!(error, matches_pattern!(LinkError::TimedOut));
    expect_that!(is_closed, eq(true));
}

#[gtest]
fn an_idle_connection_stays_open_without_probes() {
    let entry = settings("entry-1", PeerRole::Entry);
    let agent = settings("agent-1", PeerRole::Agent);

    let received = run(async {
        let (mut ours, mut theirs) = open_pair(&entry, &agent).await;
        let idle = sleep(agent.silence_limit * 4);
        tokio::select! {
            _ = ours.receiver.next() => unreachable!("nothing was sent"),
            _ = theirs.receiver.next() => unreachable!("nothing was sent"),
            () = idle => {}
        }
        ours.sender.send(ack(1)).await.unwrap();
        theirs.receiver.next().await.unwrap()
    });

    expect_that!(received, eq(&ack(1)));
    for settings in [&entry, &agent] {
        let probes = settings
            .counters
            .get(FrameDirection::Sent, MessageKind::Probe);
        expect_that!(probes.frames, eq(0));
    }
}

#[gtest]
fn a_peer_that_answers_probes_stays_connected() {
    let entry = LinkSettings {
        silence_limit: TEST_TIMEOUT,
        ..settings("entry-1", PeerRole::Entry)
    };
    let agent = settings("agent-1", PeerRole::Agent);

    let received = run(async {
        let (mut ours, mut theirs) = open_pair(&entry, &agent).await;
        ours.sender.send(resume()).await.unwrap();
        theirs.receiver.next().await.unwrap();
        actix_rt::spawn(async move {
            let _ = theirs.receiver.next().await;
        });
        let replies = || {
            let kind = MessageKind::ProbeReply;
            entry.counters.get(FrameDirection::Received, kind).frames
        };
        let answered = async {
            while replies() < 3 {
                sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::select! {
            _ = ours.receiver.next() => false,
            () = answered => true,
        }
    });

    expect_that!(received, eq(true));
}

#[gtest]
fn a_peer_that_takes_no_bytes_closes_the_connection() {
    let entry = settings("entry-1", PeerRole::Entry);
    let agent = settings("agent-1", PeerRole::Agent);
    let large = || LinkMessage::Replica(vec![0; 1024 * 1024]);

    let sent = run(async {
        let (ours, _theirs) = open_pair(&entry, &agent).await;
        let mut sent = 0;
        while ours.sender.send(large()).await.is_ok() {
            sent += 1;
        }
        sent
    });

    // Sending fails once the socket's buffers and the bounded queue are full.
    expect_that!(sent, lt(64));
}

#[gtest]
fn a_full_queue_refuses_without_waiting() {
    let entry = LinkSettings {
        queue_bytes: 1024,
        silence_limit: TEST_TIMEOUT,
        ..settings("entry-1", PeerRole::Entry)
    };
    let agent = settings("agent-1", PeerRole::Agent);

    let refused = run(async {
        let (ours, _theirs) = open_pair(&entry, &agent).await;
        let large = || LinkMessage::Replica(vec![0; 1000]);
        // The writer does not run between these two calls.
        let first = ours.sender.try_send(large());
        (first.is_ok(), ours.sender.try_send(large()).is_err())
    });

    expect_that!(refused, eq((true, true)));
}

#[gtest]
fn a_message_beyond_the_limit_is_refused_to_its_sender() {
    let entry = settings("entry-1", PeerRole::Entry);
    let agent = settings("agent-1", PeerRole::Agent);

    let sent = run(async {
        let (ours, _theirs) = open_pair(&entry, &agent).await;
        let large = LinkMessage::Replica(vec![0; MAX_MESSAGE_BYTES + 1]);
        ours.sender.send(large).await
    });

    expect_that!(sent, err(matches_pattern!(LinkError::Codec(anything()))));
}

#[gtest]
fn counters_are_shared_by_the_connections_of_a_process() {
    let entry = settings("entry-1", PeerRole::Entry);
    let copy = entry.clone();

    expect_that!(Arc::ptr_eq(&entry.counters, &copy.counters), eq(true));
}
