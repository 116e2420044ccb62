//! An instance that misses messages for a while, and what it then knows of endpoints that restarted
//! meanwhile.

use std::time::Duration;

use googletest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use relay::fleet_watch::{FleetWatch, WatchChange, WatchSettings};
use relay::origin_coverage::{COVERAGE_TIME, OriginCoverage};
use relay::version_certainty::VersionCertainty;

const ENDPOINT: u64 = 7;
const LAG: Duration = Duration::from_millis(1400);
/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(20);
/// Longest delay of a message.
const MAX_DELAY: Duration = Duration::from_millis(60);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn watch() -> FleetWatch {
    FleetWatch::new(WatchSettings::default())
}

#[gtest]
fn instance_that_stood_still_has_a_gap() {
    let mut watch = watch();
    watch.note_running(ms(250));

    let change = watch.note_running(ms(1250));

    expect_that!(change, eq(WatchChange::Resumed));
    expect_that!(watch.since(), some(eq(ms(1250))));
    expect_that!(watch.is_settled(), eq(false));
    expect_that!(watch.note_running(ms(1500)), eq(WatchChange::None));
    expect_that!(watch.note_running(ms(1750)), eq(WatchChange::Settled));
}

#[gtest]
fn instance_that_hears_nobody_has_a_gap_until_it_hears_one() {
    let mut watch = watch();
    watch.note_heard(ms(200));
    watch.note_running(ms(500));

    let change = watch.note_running(ms(750));

    expect_that!(change, eq(WatchChange::Lost));
    expect_that!(watch.since(), none());
    expect_that!(watch.note_running(ms(1000)), eq(WatchChange::None));
    expect_that!(watch.note_heard(ms(1100)), eq(WatchChange::Resumed));
    expect_that!(watch.since(), some(eq(ms(1100))));
}

#[gtest]
fn instance_in_a_minority_has_a_gap_though_it_hears_some() {
    let mut watch = watch();
    watch.note_heard(ms(200));
    watch.note_minority(true);

    let change = watch.note_running(ms(250));

    expect_that!(change, eq(WatchChange::Lost));
    expect_that!(watch.note_heard(ms(300)), eq(WatchChange::None));
    watch.note_minority(false);
    expect_that!(watch.note_running(ms(500)), eq(WatchChange::Resumed));
}

/// The others have left for good: the one that is left serves on by what it sees itself.
#[gtest]
fn instance_that_hears_nobody_for_long_is_alone() {
    let mut watch = watch();
    watch.note_heard(ms(200));
    for at in (1..=121).map(|tick| ms(250 * tick)) {
        watch.note_running(at);
    }

    expect_that!(watch.since(), some(eq(ms(30_250))));
}

#[gtest]
fn single_instance_never_has_a_gap_for_want_of_others() {
    let mut watch = watch();
    let mut ticks = (1..200).map(|tick| watch.note_running(ms(250 * tick)));

    expect_that!(ticks.all(|change| change == WatchChange::None), eq(true));
}

#[gtest]
fn streams_that_were_told_within_a_gap_are_not_all() {
    let mut coverage = OriginCoverage::new(true);
    let before = coverage.is_complete(ms(10_000));

    coverage.restart(None);
    let within = coverage.is_complete(ms(11_000));
    coverage.restart(Some(ms(12_000)));
    let after = coverage.is_complete(ms(12_500));
    coverage.note_told(2, 2);

    expect_that!((before, within, after), eq((true, false, false)));
    expect_that!(coverage.is_complete(ms(12_500)), eq(true));
    coverage.restart(Some(ms(12_600)));
    expect_that!(coverage.is_complete(ms(12_600) + COVERAGE_TIME), eq(true));
}

/// One endpoint, an instance that sees each of its restarts, and one that is out of step for a while.
struct GapModel {
    random: StdRng,
    /// When the endpoint restarted, each time with the other version.
    restarts: Vec<Duration>,
    outage: std::ops::Range<Duration>,
    is_still: bool,
    /// Readings of the list: when they began, and the version that they state.
    next_reading: Duration,
    /// Messages to the instance: when they arrive.
    messages: Vec<(Duration, GapMessage)>,
    witness: VersionCertainty,
    versions: VersionCertainty,
    watch: FleetWatch,
    listed: usize,
}

#[derive(Clone, Debug)]
enum GapMessage {
    Heartbeat,
    Sign(Duration),
    Reading { began_at: Duration, version: usize },
    CaughtUp(wire::stream::RestartNotice),
}

impl GapModel {
    fn new(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let begin = ms(random.random_range(6000..7000));
        let length = ms(random.random_range(500..8000));
        let mut restarts: Vec<Duration> = (0..random.random_range(1..4))
            .map(|_| begin + length.mul_f64(random.random::<f64>() * 1.1))
            .collect();
        restarts.sort_unstable();
        let mut versions = VersionCertainty::new(LAG);
        versions.note_stated(ms(5000), ms(5000));
        Self {
            restarts,
            outage: begin..begin + length,
            is_still: random.random_bool(0.5),
            next_reading: ms(5500),
            messages: Vec::new(),
            witness: versions.clone(),
            versions,
            watch: watch(),
            listed: 0,
            random,
        }
    }

    /// Number of restarts up to `at`, which tells the version.
    fn version_at(&self, at: Duration) -> usize {
        self.restarts.iter().filter(|one| **one <= at).count()
    }

    fn send(&mut self, now: Duration, message: GapMessage) {
        let delay = MAX_DELAY.mul_f64(self.random.random());
        self.messages.push((now + delay, message));
    }

    fn step(&mut self, now: Duration) {
        let is_restart = self
            .restarts
            .iter()
            .any(|at| (now..now + STEP).contains(at));
        if is_restart {
            self.witness.note_sign(ENDPOINT, now + STEP);
            self.send(now + STEP, GapMessage::Sign(now + STEP));
        }
        if now >= self.next_reading {
            let shown_at = now.saturating_sub(LAG.mul_f64(self.random.random()));
            let version = self.version_at(shown_at);
            self.witness.note_stated(now, now);
            self.send(
                now,
                GapMessage::Reading {
                    began_at: now,
                    version,
                },
            );
            self.next_reading = now + ms(self.random.random_range(200..1500));
        }
        if now.as_millis().is_multiple_of(100) {
            self.send(now, GapMessage::Heartbeat);
            // The witness has calls at the endpoint all the time.
            let since = self.restarts.iter().filter(|at| **at < now).max();
            let since = since.copied().unwrap_or_default();
            self.witness.note_answer(ENDPOINT, since, now);
        }
        let arrived = self.messages.extract_if(.., |(at, _)| *at <= now);
        let arrived: Vec<GapMessage> = arrived.map(|(_, message)| message).collect();
        if self.outage.contains(&now) {
            if !self.is_still && now.as_millis().is_multiple_of(200) {
                let change = self.watch.note_running(now);
                self.handle(now, change);
            }
            return;
        }
        if now.as_millis().is_multiple_of(200) {
            let change = self.watch.note_running(now);
            self.handle(now, change);
        }
        for message in arrived {
            self.receive(now, message);
        }
    }

    fn receive(&mut self, now: Duration, message: GapMessage) {
        let changes = [self.watch.check(now), self.watch.note_heard(now)];
        for change in changes {
            self.handle(now, change);
        }
        let is_settled = self.watch.is_settled();
        match message {
            GapMessage::Heartbeat => {}
            GapMessage::Sign(at) => {
                self.versions.note_sign(ENDPOINT, at);
            }
            GapMessage::Reading { began_at, version } => {
                self.listed = version;
                if is_settled {
                    self.versions.note_stated(now, began_at);
                }
            }
            GapMessage::CaughtUp(notice) => self.versions.note_notice(now, &notice, is_settled),
        }
    }

    fn handle(&mut self, now: Duration, change: WatchChange) {
        match change {
            WatchChange::None => {}
            WatchChange::Lost => self.versions.restart_watch(None),
            WatchChange::Resumed => self.versions.restart_watch(Some(now)),
            WatchChange::Settled => {
                let notice = self.witness.notice(now + MAX_DELAY).expect("it fits");
                self.send(now, GapMessage::CaughtUp(notice));
            }
        }
    }

    /// Whether what the instance believes is wrong: it takes the listed version for certain, and the
    /// endpoint has another one, of which a message has had the time to arrive.
    fn is_wrong(&self, now: Duration) -> bool {
        let is_certain = self.versions.is_certain(ENDPOINT);
        let told = self.version_at(now.saturating_sub(MAX_DELAY + STEP * 2));
        is_certain && self.listed != told && self.listed != self.version_at(now)
    }
}

/// For each moment after the outage, and for outages of half a second to eight seconds.
#[gtest]
fn listed_version_is_taken_for_certain_after_restarts_that_were_missed() {
    let mut runner = TestRunner::new(Config {
        cases: 1000,
        failure_persistence: None,
        ..Config::default()
    });
    let result = runner.run(&proptest::num::u64::ANY, |seed| {
        let mut model = GapModel::new(seed);
        let end = model.outage.end + ms(6000);
        let mut now = ms(5000);
        while now < end {
            model.step(now);
            let is_judged = now >= model.outage.end;
            if is_judged {
                // As each call does.
                let change = model.watch.check(now);
                model.handle(now, change);
            }
            proptest::prop_assert!(
                !is_judged || !model.is_wrong(now),
                "{now:?}, outage {:?}, restarts {:?}, listed {}",
                model.outage,
                model.restarts,
                model.listed
            );
            now += STEP;
        }
        Ok(())
    });

    expect_that!(result, ok(anything()));
}

/// Callers can go on again soon after an outage without restarts.
#[gtest]
fn version_is_certain_again_soon_after_an_outage_without_restarts() {
    for seed in 0..100 {
        let mut model = GapModel::new(seed);
        model.restarts.clear();
        let end = model.outage.end + ms(2500);
        let mut now = ms(5000);
        while now < end {
            model.step(now);
            now += STEP;
        }

        expect_that!(model.versions.is_certain(ENDPOINT), eq(true), "seed {seed}");
    }
}
