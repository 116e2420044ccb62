//! A seeded replay of how an order spreads over a fleet, without a network: lost datagrams, and
//! gateways that miss the first announcement because they were frozen.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use gateway::directory::GatewayDirectory;
use gateway::evacuation::whole_notice;
use gateway::evacuation_spread::{EvacuationSpread, NoticeReaction};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use wire::gateway::{EvacuatedDomain, EvacuationNotice, EvacuationState, GatewayHeartbeat};
use wire::id::InstanceId;

const SEEDS: u64 = 20;
/// Time that a datagram takes, and length of a step.
const STEP: Duration = Duration::from_millis(5);
/// Time of the order.
const ORDERED_AT: Duration = Duration::from_millis(1000);
/// Longest time until all gateways obey: the design target of the order.
const OBEY_LIMIT: Duration = Duration::from_secs(1);
/// Datagrams that one gateway may send within that time, whatever the size of the fleet: 32 at once,
/// five rounds of 3, and answers to those that are behind.
const MAX_SENT: usize = 80;

/// The directories of gateways that all hear each other.
fn directories(size: usize) -> Vec<Rc<GatewayDirectory>> {
    let heartbeat = GatewayHeartbeat::default();
    let directory_of = |own: usize| {
        let mut directory = GatewayDirectory::new(own as InstanceId);
        for other in (0..size).filter(|other| *other != own) {
            directory.record_heartbeat(ORDERED_AT, other as InstanceId, heartbeat.clone());
        }
        Rc::new(directory)
    };
    (0..size).map(directory_of).collect()
}

struct FakeGateway {
    spread: EvacuationSpread,
    directory: Rc<GatewayDirectory>,
    /// Offset of its rounds.
    phase: Duration,
    frozen_until: Duration,
    sent: usize,
}

struct FakeFleet {
    gateways: Vec<FakeGateway>,
    /// Announcements that arrive in the next step: sender, receiver and content.
    arriving: Vec<(usize, usize, EvacuationNotice)>,
    loss: f64,
    rng: Pcg64,
}

impl FakeFleet {
    fn new(directories: &[Rc<GatewayDirectory>], loss: f64, seed: u64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let gateways = directories.iter().enumerate();
        let gateways = gateways.map(|(own, directory)| FakeGateway {
            spread: EvacuationSpread::new(own as InstanceId),
            directory: Rc::clone(directory),
            phase: Duration::from_millis(rng.random_range(0..250)),
            frozen_until: Duration::ZERO,
            sent: 0,
        });
        let gateways = gateways.collect();
        Self {
            gateways,
            arriving: Vec::new(),
            loss,
            rng,
        }
    }

    fn send(&mut self, from: usize, to: InstanceId) {
        let sender = &mut self.gateways[from];
        sender.sent += 1;
        let notice = whole_notice(sender.spread.state());
        if !self.rng.random_bool(self.loss) {
            self.arriving.push((from, to as usize, notice));
        }
    }

    fn obey(&mut self, now: Duration, place: usize, state: EvacuationState) {
        let gateway = &mut self.gateways[place];
        if gateway.spread.take_over(state).is_some() {
            for to in gateway.directory.notice_recipients(now) {
                self.send(place, to);
            }
        }
    }

    fn step(&mut self, now: Duration) {
        for (from, to, notice) in std::mem::take(&mut self.arriving) {
            if now < self.gateways[to].frozen_until {
                continue;
            }
            match self.gateways[to].spread.react(notice) {
                NoticeReaction::Obey(state) => self.obey(now, to, state),
                NoticeReaction::Answer => self.send(to, from as InstanceId),
                NoticeReaction::None => {}
                NoticeReaction::Fetch => panic!("a small state was not sent whole"),
            }
        }
        for place in 0..self.gateways.len() {
            let gateway = &mut self.gateways[place];
            if now < gateway.frozen_until || now < ORDERED_AT + gateway.phase {
                continue;
            }
            let told = gateway.spread.next_round(now, &gateway.directory);
            for to in told {
                self.send(place, to);
            }
        }
    }

    /// Time from the order until all gateways obey it, if this is below the limit.
    fn spread_order(&mut self) -> Option<Duration> {
        let domains = vec![EvacuatedDomain::default()];
        let state = EvacuationState {
            revision: 1,
            domains,
        };
        self.obey(ORDERED_AT, 0, state);
        let mut now = ORDERED_AT;
        while now <= ORDERED_AT + OBEY_LIMIT {
            now += STEP;
            self.step(now);
            let mut spreads = self.gateways.iter().map(|gateway| &gateway.spread);
            if spreads.all(|spread| spread.state().revision == 1) {
                return Some(now - ORDERED_AT);
            }
        }
        None
    }

    fn most_sent(&self) -> usize {
        let sent = self.gateways.iter().map(|gateway| gateway.sent);
        sent.max().unwrap_or(0)
    }
}

// Guards against an order that reaches a part of a large fleet late or never when datagrams are lost,
// and against a cost for one gateway that grows with the fleet.
#[gtest]
fn order_reaches_fleets_of_all_sizes_within_a_second_while_datagrams_are_lost() {
    for size in [7, 30, 105, 300] {
        let directories = directories(size);
        let mut slowest = BTreeMap::new();
        let mut most_sent = 0;
        for seed in 0..SEEDS {
            for loss in [0, 10, 50] {
                let mut fleet = FakeFleet::new(&directories, f64::from(loss) / 100.0, seed);

                let time = fleet.spread_order();

                expect_that!(
                    time,
                    some(anything()),
                    "size {size} loss {loss} seed {seed}"
                );
                let slowest = slowest.entry(loss).or_insert(Duration::ZERO);
                *slowest = (*slowest).max(time.unwrap_or_default());
                most_sent = most_sent.max(fleet.most_sent());
            }
        }
        println!(
            "RESULT evacuation-spread gateways={size} seeds={SEEDS} slowest_by_loss_percent={slowest:?} most_sent={most_sent}"
        );
        expect_that!(most_sent, le(MAX_SENT));
    }
}

// Guards against a gateway that was frozen during the order, for too short a time to be missed by
// the others, and that is told of it never or late.
#[gtest]
fn gateway_that_was_frozen_during_the_order_learns_of_it_soon_after() {
    for size in [7, 30, 105, 300] {
        let directories = directories(size);
        let mut slowest = Duration::ZERO;
        for seed in 0..SEEDS {
            let mut fleet = FakeFleet::new(&directories, 0.1, seed);
            let frozen = size / 2;
            let thawed_at = ORDERED_AT + Duration::from_millis(200);
            fleet.gateways[frozen].frozen_until = thawed_at;

            let time = fleet.spread_order();

            expect_that!(time, some(anything()), "size {size} seed {seed}");
            slowest = slowest.max(time.unwrap_or_default());
        }
        println!(
            "RESULT evacuation-spread gateways={size} frozen_ms=200 slowest_ms={}",
            slowest.as_millis()
        );
    }
}

#[gtest]
fn gateway_without_evacuations_announces_nothing() {
    let mut fleet = FakeFleet::new(&directories(7), 0.0, 1);

    for step in 0..400 {
        fleet.step(ORDERED_AT + STEP * step);
    }

    expect_that!(fleet.most_sent(), eq(0));
}
