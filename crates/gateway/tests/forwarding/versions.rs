//! Streams whose endpoints have two software versions, through several instances. What the versions
//! send does not fit together, so a stream may go on only at the version that began it.

use std::net::SocketAddrV4;
use std::time::Duration;

use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::sleep;
use wire::gateway::ListedEndpoint;

use crate::fixture::{
    CallerAnswer, LAST_CHUNK, ScriptedEndpoint, ScriptedReply, call, good_answer, request,
    stream_head,
};
use crate::version_fleet::{FleetLayout, ReceivedStream, TestFleet};
use crate::{SERVICE, relay_before, run, stream_of};

/// Seeds of the generated streams.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=12;
/// Number of streams of one seed.
const STREAMS: u32 = 12;
/// Number of attempts after which a caller gives a stream up.
const MAX_ATTEMPTS: u32 = 12;
/// Time after which a caller comes back.
const RETURN_PAUSE: Duration = Duration::from_millis(30);
const RESTART_PROBABILITY: f64 = 0.3;

async fn receive_stream(fleet: &mut TestFleet, random: &mut StdRng, number: u32) -> ReceivedStream {
    let mut received = ReceivedStream {
        number,
        is_named: fleet.layout.is_named,
        ..ReceivedStream::default()
    };
    for attempt in 0..MAX_ATTEMPTS {
        let instance = random.random_range(0..fleet.instances.len());
        let attempt = format!("s{number}-{attempt}");
        let address: SocketAddrV4 = fleet.instances[instance].address;
        let answer = call(address, &received.request(&attempt)).await;
        received.add(&attempt, &answer);
        if received.is_whole {
            break;
        }
        if random.random_bool(RESTART_PROBABILITY) {
            fleet.restart(instance).await;
        }
        // Several readings of the list, which tell that the endpoints have not restarted.
        sleep(RETURN_PAUSE).await;
    }
    received
}

async fn receive_streams(seed: u64, layout: FleetLayout) -> Vec<ReceivedStream> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut fleet = TestFleet::start(seed, layout).await;
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        streams.push(receive_stream(&mut fleet, &mut random, number).await);
    }
    streams
}

// Issue 26, ORDER: inside one answer, and when its caller came back, any endpoint went on.
#[gtest]
fn stream_goes_on_at_another_software_version() {
    for seed in SEEDS {
        let streams = run(receive_streams(seed, FleetLayout::default()));

        let mixed = streams.iter().filter(|stream| !stream.is_sound());
        let mixed: Vec<&ReceivedStream> = mixed.collect();
        expect_that!(mixed, is_empty(), "seed {seed}");
    }
}

// Issue 26: a route with several services draws one for each call, also for one that resumes.
#[gtest]
fn stream_goes_on_at_another_service_of_its_route() {
    let layout = FleetLayout {
        has_services: true,
        ..FleetLayout::default()
    };
    for seed in SEEDS {
        let streams = run(receive_streams(seed, layout));

        let mixed = streams.iter().filter(|stream| !stream.is_sound());
        let mixed: Vec<&ReceivedStream> = mixed.collect();
        expect_that!(mixed, is_empty(), "seed {seed}");
    }
}

// Issue 26, LOST: both endpoints of each version serve all the time.
#[gtest]
fn streams_of_callers_that_come_back_go_on() {
    for is_named in [true, false] {
        let layout = FleetLayout {
            is_named,
            ..FleetLayout::default()
        };
        for seed in SEEDS {
            let streams = run(receive_streams(seed, layout));

            let returns: u32 = streams.iter().map(|stream| stream.returns).sum();
            let went_on: u32 = streams.iter().map(|stream| stream.went_on).sum();
            let whole = streams.iter().filter(|stream| stream.is_whole).count();
            let sound = streams.iter().filter(|stream| stream.is_sound()).count();
            expect_that!(returns, gt(0), "seed {seed}");
            expect_that!(went_on * 2, ge(returns), "seed {seed}");
            expect_that!(whole, eq(streams.len()), "seed {seed}");
            expect_that!(sound, eq(streams.len()), "seed {seed}");
        }
    }
}

#[gtest]
fn stream_of_unknown_origin_is_refused_as_not_run() {
    let stream = ReceivedStream {
        events: vec![("v1".to_owned(), 3)],
        began_as: Some("never-began".to_owned()),
        is_named: true,
        ..ReceivedStream::default()
    };
    let unknown = stream.request("a2");
    let unnamed = unknown.replace("Resumes: never-began\r\n", "");
    let not_resumable = unknown.replace("/resumable/", "/stream/");
    for request in [unknown, unnamed, not_resumable] {
        let answer = run(async {
            let fleet = TestFleet::start(1, FleetLayout::default()).await;
            call(fleet.instances[0].address, &request).await
        });

        expect_that!(answer.status(), eq(503), "{request}");
        expect_that!(answer.text.as_str(), contains_substring("origin-unknown"));
        expect_that!(answer.text.as_str(), contains_substring("not-run"));
        expect_that!(
            answer.text.to_ascii_lowercase(),
            contains_substring("retry-after: ")
        );
    }
}

#[gtest]
fn resumable_stream_of_a_caller_without_attempt_id_is_refused_on_its_return() {
    for seed in SEEDS {
        let received = run(async {
            let fleet = TestFleet::start(seed, FleetLayout::default()).await;
            let mut received = ReceivedStream {
                number: seed as u32,
                ..ReceivedStream::default()
            };
            for attempt in 0..MAX_ATTEMPTS {
                let request = received.request("none");
                let request = request.replace("X-Attempt-Id: none\r\n", "");
                let instance = attempt as usize % fleet.instances.len();
                let answer = call(fleet.instances[instance].address, &request).await;
                received.add("none", &answer);
                if received.is_whole {
                    break;
                }
            }
            received
        });

        expect_that!(received.is_whole, eq(true), "seed {seed}: {received:?}");
        expect_that!(received.is_sound(), eq(true), "seed {seed}: {received:?}");
    }
}

#[gtest]
fn stream_of_another_request_does_not_go_on() {
    let answer = run(async {
        let fleet = TestFleet::start(1, FleetLayout::default()).await;
        let stream = begin_stream(&fleet).await;
        let request = stream
            .request("a2")
            .replace("/resumable/", "/resumable/other/");
        call(fleet.instances[0].address, &request).await
    });

    expect_that!(answer.text.as_str(), contains_substring("origin-unknown"));
}

#[gtest]
fn stream_whose_version_has_left_is_refused_at_once() {
    let answer = run(async {
        let mut fleet = TestFleet::start(1, FleetLayout::default()).await;
        let stream = begin_stream(&fleet).await;
        let version = stream.events[0].0.clone();
        fleet.listed.retain(|listed| listed.version != version);
        fleet.instances[0].state.set_endpoints(&fleet.listed);
        call(fleet.instances[0].address, &stream.request("a2")).await
    });

    expect_that!(answer.status(), eq(503));
    expect_that!(answer.text.as_str(), contains_substring("no-endpoint"));
}

/// Begins streams until one breaks off after its first event.
async fn begin_stream(fleet: &TestFleet) -> ReceivedStream {
    for number in 0.. {
        let mut stream = ReceivedStream {
            is_named: true,
            number,
            ..ReceivedStream::default()
        };
        let attempt = format!("b{number}");
        let answer = call(fleet.instances[0].address, &stream.request(&attempt)).await;
        stream.add(&attempt, &answer);
        if !stream.is_whole && !stream.events.is_empty() {
            return stream;
        }
    }
    unreachable!("some streams break off")
}

/// Answer to a resumable call when the first endpoint pauses inside its stream. The second one has
/// the version `other_version`.
async fn call_of_slow_stream(other_version: &str) -> CallerAnswer {
    let slow = ScriptedReply::Slow(
        stream_head() + &stream_of(1..=2),
        stream_of(3..=4) + LAST_CHUNK,
    );
    let rest = ScriptedReply::Keep(stream_head() + &stream_of(3..=4) + LAST_CHUNK);
    let first = ScriptedEndpoint::start("e1", vec![slow]).await;
    let second = ScriptedEndpoint::start("e2", vec![rest]).await;
    let relay = relay_before(&[&first, &second]).await;
    let listed =
        [(&first, "v1"), (&second, other_version)].map(|(endpoint, version)| ListedEndpoint {
            name: endpoint.name.clone(),
            service: SERVICE.to_owned(),
            address: endpoint.address,
            domain: u64::from(endpoint.name != "e1"),
            slots: 4,
            is_draining: false,
            version: version.to_owned(),
        });
    relay.state.set_endpoints(&listed);
    let answer = call(relay.address, &request("/resumable/x", "b")).await;
    expect_that!(first.runs(), eq(1));
    expect_that!(second.runs(), eq(usize::from(other_version == "v1")));
    answer
}

// Silence is a reason to go on elsewhere, not to end a stream that can go on nowhere else.
#[gtest]
fn slow_stream_is_cut_though_no_other_endpoint_can_go_on() {
    for other_version in ["v2", "v1"] {
        let answer = run(call_of_slow_stream(other_version));

        expect_that!(answer.is_whole, eq(true), "{other_version}");
        expect_that!(answer.events().join(" ").as_str(), eq("d1 d2 d3 d4"));
    }
}

/// An endpoint that crashed takes calls again, as other software, before any list shows it. A stream
/// that breaks off elsewhere must not go on there.
#[gtest]
fn stream_goes_on_at_an_endpoint_that_has_restarted_under_its_id() {
    let (answer, received) = run(async {
        let second = format!("{}{}", stream_head(), stream_of(4..=6));
        let restarted = vec![
            ScriptedReply::Reset(String::new()),
            ScriptedReply::Close(second.clone()),
            ScriptedReply::Close(second),
        ];
        let first = format!("{}{}", stream_head(), stream_of(1..=3));
        let sound = vec![
            ScriptedReply::Keep(good_answer("whole")),
            ScriptedReply::Reset(first),
        ];
        let restarted = ScriptedEndpoint::start("e1", restarted).await;
        let sound = ScriptedEndpoint::start("e2", sound).await;
        let relay = relay_before(&[&restarted, &sound]).await;
        call(relay.address, &request("/safe/1", "")).await;
        let answer = call(relay.address, &request("/resumable/1", "")).await;
        let received = restarted.received.borrow().join("").to_ascii_lowercase();
        (answer, received)
    });

    expect_that!(answer.is_whole, eq(false));
    expect_that!(answer.events().len(), eq(3));
    expect_that!(received, not(contains_substring("last-event-id")));
}

/// The same when the stream itself began at the restarted endpoint: the list does not say which
/// version that was, so that its caller must not be sent to one that has the listed version.
#[gtest]
fn stream_that_began_at_a_restarted_endpoint_is_taken_for_one_of_the_listed_version() {
    let answer = run(async {
        let first = format!("{}{}", stream_head(), stream_of(1..=3));
        let rest = format!("{}{}{LAST_CHUNK}", stream_head(), stream_of(4..=6));
        let replies = vec![
            ScriptedReply::Reset(String::new()),
            ScriptedReply::Reset(first),
            ScriptedReply::Keep(rest),
        ];
        let endpoint = ScriptedEndpoint::start("e1", replies).await;
        let relay = relay_before(&[&endpoint]).await;
        call(relay.address, &request("/unsafe/1", "")).await;
        call(relay.address, &request("/resumable/1", "")).await;
        let returned = request("/resumable/1", "")
            .replace("Host: ", "Last-Event-Id: 3\r\nResumes: a1\r\nHost: ");
        call(relay.address, &returned).await
    });

    expect_that!(answer.status(), eq(503));
    expect_that!(answer.text.as_str(), contains_substring("not-run"));
}
