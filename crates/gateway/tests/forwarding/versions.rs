//! Streams whose endpoints have two software versions, through several instances. What the versions
//! send does not fit together, so a stream may go on only at the version that began it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use catalog::{CatalogIndex, RouteCatalog, ServiceShare};
use googletest::prelude::*;
use platform::PlatformDialect;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use relay::origin_lookup::StreamPeers;
use relay::state::{RelaySettings, RelayState};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use watch::GatewayMetrics;
use watch::label::LabelSettings;
use wire::gateway::ListedEndpoint;
use wire::id::InstanceId;
use wire::stream::StreamMessage;

use crate::fixture::{
    CallerAnswer, LAST_CHUNK, ScriptedEndpoint, ScriptedReply, call, chunk, read_head, request,
    stream_head,
};
use crate::{RelayFixture, SERVICE, relay_before, run, serve, stream_of, valid_catalog};

/// Seeds of the generated streams.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=12;
const INSTANCES: u64 = 4;
/// Software version of each endpoint.
const VERSIONS: [&str; 4] = ["v1", "v2", "v1", "v2"];
/// Number of events of a whole stream.
const EVENTS: u32 = 8;
/// Number of streams of one seed.
const STREAMS: u32 = 12;
/// Number of attempts after which a caller gives a stream up.
const MAX_ATTEMPTS: u32 = 12;
const CUT_PROBABILITY: f64 = 0.6;
const RESTART_PROBABILITY: f64 = 0.3;
/// Share of the messages between instances that are lost.
const LOSS: f64 = 0.1;
/// Exclusive upper bound of the delay of a message, in milliseconds.
const MAX_DELAY_MS: u64 = 12;

/// Endpoint that sends event streams and breaks some of them off.
struct VersionedEndpoint {
    version: &'static str,
    random: RefCell<StdRng>,
}

impl VersionedEndpoint {
    /// Starts an endpoint and returns its entry of the endpoint list.
    async fn start(number: usize, seed: u64) -> ListedEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("loopback works");
        let address = listener.local_addr().expect("loopback works").to_string();
        let endpoint = Rc::new(Self {
            version: VERSIONS[number],
            random: RefCell::new(StdRng::seed_from_u64(seed * 100 + number as u64)),
        });
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(Rc::clone(&endpoint).serve(stream));
            }
        });
        ListedEndpoint {
            name: format!("e{number}"),
            service: SERVICE.to_owned(),
            address: address.parse().expect("an IPv4 address"),
            domain: 0,
            slots: 4,
            is_draining: false,
            version: VERSIONS[number].to_owned(),
        }
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        while let Some(head) = read_head(&mut stream).await {
            let attempt = field(&head, "x-attempt-id").unwrap_or_default();
            let last: Option<u32> = field(&head, "last-event-id").and_then(|id| id.parse().ok());
            let first = last.unwrap_or(0) + 1;
            let cut_at = self.draw_cut(first);
            let events = (first..=cut_at.unwrap_or(EVENTS)).map(|id| self.event(id));
            let events: String = events.map(|event| chunk(&event)).collect();
            let answer = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Stamp: s1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n{events}"
            );
            let _ = stream.write_all(answer.as_bytes()).await;
            if cut_at.is_some() {
                return;
            }
            let _ = stream.write_all(LAST_CHUNK.as_bytes()).await;
        }
    }

    fn event(&self, id: u32) -> String {
        format!("id: {id}\ndata: {} {id}\n\n", self.version)
    }

    /// The event after which the stream breaks off; `None` for a whole one.
    fn draw_cut(&self, first: u32) -> Option<u32> {
        let mut random = self.random.borrow_mut();
        let is_cut = first < EVENTS && random.random_bool(CUT_PROBABILITY);
        is_cut.then(|| random.random_range(first..EVENTS))
    }
}

fn field(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    let (_, value) = lines.find(|(field, _)| field.eq_ignore_ascii_case(name))?;
    Some(value.to_owned())
}

/// Network between the instances, which loses and delays messages.
struct TestNetwork {
    /// The process that runs at present, by instance.
    states: RefCell<BTreeMap<InstanceId, Rc<RelayState>>>,
    random: RefCell<StdRng>,
}

/// The other instances, as one of them sees them.
struct TestPeers {
    own: InstanceId,
    network: Rc<TestNetwork>,
}

impl StreamPeers for TestPeers {
    fn instances(&self) -> Vec<InstanceId> {
        let states = self.network.states.borrow();
        let others = states.keys().filter(|instance| **instance != self.own);
        others.copied().collect()
    }

    fn send(&self, to: InstanceId, message: &StreamMessage) {
        let (own, message) = (self.own, message.clone());
        let network = Rc::clone(&self.network);
        let (is_lost, delay) = {
            let mut random = network.random.borrow_mut();
            (
                random.random_bool(LOSS),
                random.random_range(0..MAX_DELAY_MS),
            )
        };
        if is_lost {
            return;
        }
        actix_rt::spawn(async move {
            sleep(Duration::from_millis(delay)).await;
            let receiver = network.states.borrow().get(&to).cloned();
            if let Some(receiver) = receiver {
                receiver.handle_stream_message(own, message);
            }
        });
    }
}

/// What differs between fleets.
#[derive(Clone, Copy, Debug)]
struct FleetLayout {
    /// Whether the endpoints have one version and belong to two services, not the other way round.
    has_services: bool,
    /// Whether callers that return name the stream.
    is_named: bool,
}

impl Default for FleetLayout {
    fn default() -> Self {
        Self {
            has_services: false,
            is_named: true,
        }
    }
}

/// Instances before the endpoints.
struct TestFleet {
    layout: FleetLayout,
    listed: Vec<ListedEndpoint>,
    instances: Vec<RelayFixture>,
    network: Rc<TestNetwork>,
}

impl TestFleet {
    async fn start(seed: u64, layout: FleetLayout) -> Self {
        let mut fleet = Self {
            layout,
            listed: Vec::new(),
            instances: Vec::new(),
            network: Rc::new(TestNetwork {
                states: RefCell::default(),
                random: RefCell::new(StdRng::seed_from_u64(seed)),
            }),
        };
        for number in 0..VERSIONS.len() {
            let mut listed = VersionedEndpoint::start(number, seed).await;
            if layout.has_services {
                let version = std::mem::replace(&mut listed.version, "v1".to_owned());
                listed.service = service_of(&version);
            }
            fleet.listed.push(listed);
        }
        for number in 0..INSTANCES {
            let instance = fleet.start_instance(number).await;
            fleet.instances.push(instance);
        }
        fleet
    }

    async fn start_instance(&self, number: u64) -> RelayFixture {
        let metrics = GatewayMetrics::new(LabelSettings::default()).expect("names are free");
        let settings = RelaySettings {
            instance: number,
            ..RelaySettings::default()
        };
        let state = Rc::new(RelayState::new(settings, Rc::new(PlatformDialect), metrics));
        state.set_catalog(CatalogIndex::new(self.catalog()));
        state.set_endpoints(&self.listed);
        let peers = TestPeers {
            own: number,
            network: Rc::clone(&self.network),
        };
        let _ = state.stream_peers.set(Rc::new(peers));
        let states = &self.network.states;
        states.borrow_mut().insert(number, Rc::clone(&state));
        serve(state).await
    }

    fn catalog(&self) -> RouteCatalog {
        let mut catalog = valid_catalog();
        if self.layout.has_services {
            let share = |version: &&str| ServiceShare {
                service: service_of(version),
                weight: 1,
            };
            for route in &mut catalog.routes {
                route.services = ["v1", "v2"].iter().map(share).collect();
            }
        }
        catalog
    }

    /// Replaces an instance by one that knows nothing of before. The others notice it.
    async fn restart(&mut self, number: usize) {
        let instance = number as InstanceId;
        self.instances[number] = self.start_instance(instance).await;
        for other in &self.instances {
            other.state.refresh_keeper(instance);
        }
    }
}

/// Service of the endpoints that send this version in their events.
fn service_of(version: &str) -> String {
    format!("service-{version}")
}

/// What one caller received of its stream.
#[derive(Debug, Default)]
struct ReceivedStream {
    /// Number of the stream, which its request holds.
    number: u32,
    /// Whether the caller names the stream when it returns.
    is_named: bool,
    /// Software version and id of each event.
    events: Vec<(String, u32)>,
    /// Id of the attempt that brought the first event.
    began_as: Option<String>,
    is_whole: bool,
    /// Number of attempts to take the stream up.
    returns: u32,
    /// Number of these that brought an answer of an endpoint.
    went_on: u32,
}

impl ReceivedStream {
    fn request(&self, attempt: &str) -> String {
        let resumes = match (&self.began_as, self.events.last()) {
            (Some(began_as), Some((_, id))) if self.is_named => {
                format!("Resumes: {began_as}\r\nLast-Event-Id: {id}\r\n")
            }
            (Some(_), Some((_, id))) => format!("Last-Event-Id: {id}\r\n"),
            _ => String::new(),
        };
        let number = self.number;
        format!(
            "POST /resumable/{number} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 5000\r\nApi-Key: k1\r\n{resumes}Content-Length: 0\r\n\r\n"
        )
    }

    fn add(&mut self, attempt: &str, answer: &CallerAnswer) {
        let is_return = self.began_as.is_some();
        self.returns += u32::from(is_return);
        self.went_on += u32::from(is_return && answer.status() == 200);
        for event in answer.events() {
            let (version, id) = event.split_once(' ').expect("a version and an id");
            self.events
                .push((version.to_owned(), id.parse().expect("an id")));
        }
        if !self.events.is_empty() {
            self.began_as.get_or_insert_with(|| attempt.to_owned());
        }
        self.is_whole = answer.status() == 200 && answer.is_whole;
    }

    /// Whether it holds the first events of one version, each once.
    fn is_sound(&self) -> bool {
        let version = self.events.first().map(|(version, _)| version);
        let mut expected = 1..;
        let is_next = |(event_version, id): &(String, u32)| {
            Some(event_version) == version && Some(*id) == expected.next()
        };
        self.events.iter().all(is_next)
    }
}

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
