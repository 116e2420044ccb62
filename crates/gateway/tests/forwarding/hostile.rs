//! Callers that hold memory or connections: the byte budget and the connection limits.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use catalog::CatalogIndex;
use googletest::prelude::*;
use platform::PlatformDialect;
use relay::caller_limits::CallerLimits;
use relay::state::{RelaySettings, RelayState};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use watch::GatewayMetrics;
use watch::label::LabelSettings;

use crate::fixture::{ScriptedEndpoint, ScriptedReply, call, call_on, good_answer, request};
use crate::{RelayFixture, listed_at, run, serve, valid_catalog};

const MEGABYTE: usize = 1024 * 1024;

/// A relay with these limits in front of an endpoint.
async fn limited_relay(endpoint: &ScriptedEndpoint, limits: CallerLimits) -> RelayFixture {
    let settings = RelaySettings {
        callers: limits,
        ..RelaySettings::default()
    };
    let metrics = GatewayMetrics::new(LabelSettings::default()).expect("names are free");
    let state = Rc::new(RelayState::new(settings, Rc::new(PlatformDialect), metrics));
    state.set_catalog(CatalogIndex::new(valid_catalog()));
    state.set_endpoints(&[listed_at("e1", endpoint.address, 0)]);
    serve(state).await
}

fn budget_of(bytes: usize) -> CallerLimits {
    CallerLimits {
        budget_bytes: bytes,
        ..CallerLimits::default()
    }
}

/// Opens a connection and sends `text`.
async fn send(address: SocketAddrV4, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("loopback works");
    // The relay may refuse before it has received all.
    let _ = stream.write_all(text.as_bytes()).await;
    stream
}

async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[gtest]
fn bodies_that_stop_short_of_their_end_do_not_exceed_the_budget() {
    // Guards against the memory of many legal bodies that stay unfinished: 60 of 4 MB took 243 MB.
    let (peak, status) = run(async {
        let endpoint = ScriptedEndpoint::start("e1", vec![]).await;
        let relay = limited_relay(&endpoint, budget_of(8 * MEGABYTE)).await;
        let whole = request("/safe/x", &"x".repeat(MEGABYTE));
        let mut held = Vec::new();
        let mut peak = 0;
        for _ in 0..20 {
            held.push(send(relay.address, &whole[..whole.len() - 1]).await);
            peak = peak.max(relay.state.bytes.held());
        }
        let answer = call(relay.address, &request("/safe/x", "ordinary")).await;
        // 13 of 20 have no room. The last ones may still be on their way.
        until(|| relay.state.bytes.evictions() >= 13).await;
        (peak, answer.status())
    });

    expect_that!(peak, all![ge(4 * MEGABYTE), le(8 * MEGABYTE)]);
    expect_that!(status, eq(200));
}

#[gtest]
fn evicted_caller_is_told_that_its_request_has_not_run() {
    let (answer, runs) = run(async {
        let endpoint = ScriptedEndpoint::start("e1", vec![]).await;
        let relay = limited_relay(&endpoint, budget_of(4 * MEGABYTE)).await;
        let whole = request("/safe/x", &"x".repeat(2 * MEGABYTE));
        let mut first = send(relay.address, &whole[..whole.len() - 1]).await;
        until(|| relay.state.bytes.held() >= 2 * MEGABYTE).await;
        let _second = send(relay.address, &whole[..whole.len() - 1]).await;
        until(|| relay.state.bytes.evictions() > 0).await;
        let answer = call_on(&mut first, "").await;
        (answer, endpoint.runs())
    });

    expect_that!(answer.status(), eq(503));
    expect_that!(answer.text, contains_substring("not-run"));
    expect_that!(answer.text, contains_substring("retry-after"));
    expect_that!(runs, eq(0));
}

#[gtest]
fn body_of_the_largest_size_is_served_when_it_arrives_in_small_pieces() {
    let (status, received) = run(async {
        let endpoint = ScriptedEndpoint::start("e1", vec![]).await;
        let relay = limited_relay(&endpoint, budget_of(16 * MEGABYTE)).await;
        let whole = request("/safe/x", &"x".repeat(4 * MEGABYTE));
        let mut stream = TcpStream::connect(relay.address)
            .await
            .expect("loopback works");
        for piece in whole.as_bytes().chunks(8 * 1024) {
            stream.write_all(piece).await.expect("the relay reads on");
            tokio::task::yield_now().await;
        }
        let answer = call_on(&mut stream, "").await;
        let received = endpoint.received.borrow()[0].len();
        (answer.status(), received)
    });

    expect_that!(status, eq(200));
    expect_that!(received, gt(4 * MEGABYTE));
}

#[gtest]
fn body_whose_stated_length_is_over_the_limit_is_refused_before_it_is_sent() {
    let answer = run(async {
        let endpoint = ScriptedEndpoint::start("e1", vec![]).await;
        let relay = limited_relay(&endpoint, CallerLimits::default()).await;
        let head = request("/safe/x", "").replace("Content-Length: 0", "Content-Length: 90000000");
        call(relay.address, &head).await
    });

    expect_that!(answer.status(), eq(413));
    expect_that!(answer.text, contains_substring("connection: close"));
}

#[gtest]
fn caller_that_pipelines_without_end_is_closed_and_others_are_served() {
    // Guards against a connection whose buffered requests are served in one go.
    let (answers, status) = run(async {
        let endpoint = ScriptedEndpoint::start("e1", vec![]).await;
        let limits = CallerLimits {
            pipelined_requests: 8,
            ..CallerLimits::default()
        };
        let relay = limited_relay(&endpoint, limits).await;
        let one = "GET /nowhere HTTP/1.1\r\nHost: a.example\r\n\r\n";
        let mut stream = send(relay.address, &one.repeat(200)).await;
        let status = call(relay.address, &request("/safe/x", "ordinary"))
            .await
            .status();
        let mut answers = String::new();
        let _ = stream.read_to_string(&mut answers).await;
        (answers.matches("HTTP/1.1 404").count(), status)
    });

    expect_that!(answers, eq(9));
    expect_that!(status, eq(200));
}

#[gtest]
fn new_caller_takes_the_place_of_a_connection_without_progress() {
    // Guards against connections that are held open until no other caller is accepted.
    let (status, open) = run(async {
        let endpoint = ScriptedEndpoint::start("e1", vec![]).await;
        let mut limits = CallerLimits::default();
        limits.connections.connections = 4;
        let relay = limited_relay(&endpoint, limits).await;
        let mut held = Vec::new();
        for _ in 0..4 {
            held.push(send(relay.address, "POST /safe/x HTTP/1.1\r\n").await);
        }
        until(|| relay.state.open_connections.get() == 4).await;
        // Longer than a connection is left alone.
        tokio::time::sleep(Duration::from_millis(100)).await;
        let status = call(relay.address, &request("/safe/x", "ordinary"))
            .await
            .status();
        (status, relay.state.open_connections.get())
    });

    expect_that!(status, eq(200));
    expect_that!(open, le(4));
}

#[gtest]
fn answers_that_callers_do_not_read_do_not_exceed_the_budget() {
    // Guards against the memory of whole answers for callers that never read them.
    let (peak, status) = run(async {
        let replies = vec![ScriptedReply::Keep(good_answer(&"y".repeat(3 * MEGABYTE))); 12];
        let endpoint = ScriptedEndpoint::start("e1", replies).await;
        let relay = limited_relay(&endpoint, budget_of(12 * MEGABYTE)).await;
        let mut held = Vec::new();
        let mut peak = 0;
        for count in 1..=12 {
            held.push(send(relay.address, &request("/safe/x", "b")).await);
            until(|| endpoint.runs() >= count).await;
            tokio::time::sleep(Duration::from_millis(30)).await;
            peak = peak.max(relay.state.bytes.held());
        }
        let answer = call(relay.address, &request("/safe/x", "ordinary")).await;
        (peak, answer.status())
    });

    expect_that!(peak, all![gt(3 * MEGABYTE), le(12 * MEGABYTE)]);
    expect_that!(status, eq(200));
}

#[gtest]
fn memory_is_released_when_calls_have_ended() {
    let held = run(async {
        let endpoint = ScriptedEndpoint::start("e1", vec![]).await;
        let relay = limited_relay(&endpoint, budget_of(16 * MEGABYTE)).await;
        let mut stream = TcpStream::connect(relay.address)
            .await
            .expect("loopback works");
        for _ in 0..3 {
            call_on(&mut stream, &request("/safe/x", &"x".repeat(MEGABYTE))).await;
        }
        until(|| relay.state.bytes.held() == 0).await;
        relay.state.bytes.held()
    });

    expect_that!(held, eq(0));
}
