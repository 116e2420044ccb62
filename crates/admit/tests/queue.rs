//! Tests of admission, limits, fairness and draining.

use std::time::{Duration, Instant};

use admit::{AdmitAction, AdmitQueue, AdmitRequest, AdmitSettings, CancelOutcome};
use fault::{FaultKind, RunOutcome};
use googletest::prelude::*;
use wire::answer::{AttemptKey, PriorityClass};
use wire::member::{EndpointState, ServiceMean};

fn key(number: u128) -> AttemptKey {
    AttemptKey {
        request: number,
        attempt: 1,
    }
}

fn request(number: u128, account: u64, now: Instant) -> AdmitRequest {
    AdmitRequest {
        key: key(number),
        account,
        class: PriorityClass::Interactive,
        deadline: now + Duration::from_secs(60),
        hops: 0,
        is_warm: false,
        share: 1,
        rate_per_second: 0.0,
        concurrency: 0,
    }
}

fn queue(slots: u32, now: Instant) -> AdmitQueue {
    let settings = AdmitSettings {
        slots,
        join_delay: Duration::ZERO,
        ..AdmitSettings::default()
    };
    AdmitQueue::new(settings, now)
}

fn refusal(actions: &[AdmitAction]) -> Option<FaultKind> {
    actions.iter().find_map(|action| match action {
        AdmitAction::Refuse { fault, .. } => Some(fault.kind),
        AdmitAction::Queue(_) | AdmitAction::Start(_) => None,
    })
}

fn started(actions: &[AdmitAction]) -> Vec<u128> {
    let start = |action: &AdmitAction| match action {
        AdmitAction::Start(key) => Some(key.request),
        AdmitAction::Queue(_) | AdmitAction::Refuse { .. } => None,
    };
    actions.iter().filter_map(start).collect()
}

fn mean(load: u64, weight: u64) -> ServiceMean {
    ServiceMean {
        service: 1,
        load,
        weight,
        absent: 0,
    }
}

#[gtest]
fn load_stops_at_the_aim_and_redirected_requests_at_the_bound() {
    let now = Instant::now();
    let mut queue = queue(32, now);
    queue.observe_mean(&mean(180, 9), now);

    let mut admitted = 0;
    while refusal(&queue.offer(request(admitted, 1, now), now)).is_none() {
        admitted += 1;
        queue.verify();
    }
    let redirected = AdmitRequest {
        hops: 3,
        ..request(100, 1, now)
    };
    let limit = queue.load_limit(&redirected, now);
    let redirected = queue.offer(redirected, now);

    // The 26th request raises the known mean to (180 + 26) / 9; 1.1 times that is 25.2, rounded up
    // to 26. With the 27th it is 25.3, so the limit is still 26.
    expect_that!(admitted, eq(26));
    expect_that!(started(&redirected), elements_are![eq(&100)]);
    expect_that!(limit, some(eq(29)));
}

#[gtest]
fn falling_mean_is_extrapolated_and_a_rising_one_is_not() {
    let now = Instant::now();
    let second = Duration::from_secs(1);
    let limit_after = |first: u64, then: u64| {
        let mut queue = queue(32, now);
        queue.observe_mean(&mean(first, 9), now);
        queue.observe_mean(&mean(then, 9), now + second);
        queue.load_limit(&request(0, 1, now), now + 2 * second)
    };

    let steady = limit_after(180, 180);

    expect_that!(limit_after(200, 180), lt(steady));
    expect_that!(limit_after(160, 180), eq(steady));
}

#[gtest]
fn accounts_take_turns_regardless_of_queue_length() {
    let now = Instant::now();
    let mut queue = queue(1, now);
    queue.offer(request(0, 1, now), now);
    for number in 1..50 {
        queue.offer(request(number, 1, now), now);
    }
    queue.offer(request(100, 2, now), now);
    queue.offer(request(101, 2, now), now);

    let mut order = Vec::new();
    let mut running = 0;
    for _ in 0..4 {
        let actions = queue.finish(key(running), now);
        running = started(&actions)[0];
        order.push(running);
        queue.verify();
    }

    expect_that!(order, elements_are![eq(&1), eq(&100), eq(&2), eq(&101)]);
}

#[gtest]
fn turns_are_proportional_to_shares() {
    let now = Instant::now();
    let mut queue = queue(1, now);
    queue.offer(request(0, 9, now), now);
    for number in 0..60 {
        let share = if number % 2 == 0 { 3 } else { 1 };
        let account = u64::from(share);
        let request = AdmitRequest {
            share,
            ..request(1000 + number, account, now)
        };
        queue.offer(request, now);
    }

    let mut running = 0;
    let mut heavy = 0;
    for _ in 0..20 {
        running = started(&queue.finish(key(running), now))[0];
        heavy += u32::from(running % 2 == 0);
    }

    expect_that!(heavy, eq(15));
}

#[gtest]
fn urgent_work_goes_first_and_batch_work_is_not_starved() {
    let now = Instant::now();
    let mut queue = queue(1, now);
    queue.offer(request(0, 1, now), now);
    for number in 1..40 {
        queue.offer(request(number, 1, now), now);
    }
    let of_class = |number, class| AdmitRequest {
        class,
        ..request(number, 2, now)
    };
    queue.offer(of_class(100, PriorityClass::Batch), now);
    queue.offer(of_class(101, PriorityClass::Urgent), now);

    let mut running = 0;
    let mut order = Vec::new();
    for _ in 0..30 {
        running = started(&queue.finish(key(running), now))[0];
        order.push(running);
    }

    expect_that!(order[0], eq(101));
    expect_that!(order.iter().position(|number| *number == 100), some(le(20)));
}

#[gtest]
fn full_queue_refuses_the_surging_account_and_takes_the_other() {
    let now = Instant::now();
    let settings = AdmitSettings {
        slots: 2,
        queue_limit: 4,
        join_delay: Duration::ZERO,
        ..AdmitSettings::default()
    };
    let mut queue = AdmitQueue::new(settings, now);
    for number in 0..6 {
        queue.offer(request(number, 1, now), now);
    }

    let own = queue.offer(request(10, 1, now), now);
    let other = queue.offer(request(11, 2, now), now);
    queue.verify();

    expect_that!(refusal(&own), some(eq(FaultKind::Overloaded)));
    let fault = FaultKind::Overloaded;
    let is_newest = |action: &AdmitAction| matches!(action, AdmitAction::Refuse { key: found, fault: why } if *found == key(5) && why.kind == fault);
    expect_that!(other.iter().any(is_newest), eq(true));
    expect_that!(other.last(), some(eq(&AdmitAction::Queue(key(11)))));
}

#[gtest]
fn account_rate_is_enforced_with_retry_after() {
    let now = Instant::now();
    let mut queue = queue(32, now);
    queue.observe_mean(&mean(900, 9), now);
    let limited = |number| AdmitRequest {
        rate_per_second: 9.0,
        ..request(number, 1, now)
    };

    let mut admitted = 0;
    while refusal(&queue.offer(limited(admitted), now)).is_none() {
        admitted += 1;
    }
    let refused = queue.offer(limited(98), now);
    let later = queue.offer(limited(99), now + Duration::from_secs(1));

    expect_that!(admitted, eq(5));
    let AdmitAction::Refuse { fault, .. } = &refused[0] else {
        panic!("expected a refusal");
    };
    expect_that!(fault.kind, eq(FaultKind::RateLimited));
    expect_that!(fault.retry_after, some(eq(Duration::from_secs(1))));
    expect_that!(started(&later), elements_are![eq(&99)]);
}

#[gtest]
fn account_over_its_concurrency_waits_without_holding_others_up() {
    let now = Instant::now();
    let mut queue = queue(4, now);
    let limited = |number| AdmitRequest {
        concurrency: 2,
        ..request(number, 1, now)
    };
    for number in 0..4 {
        queue.offer(limited(number), now);
    }

    let over = queue.offer(limited(4), now);
    let other = queue.offer(request(10, 2, now), now);

    expect_that!(refusal(&over), some(eq(FaultKind::ConcurrencyLimited)));
    expect_that!(started(&other), elements_are![eq(&10)]);
    expect_that!(queue.load().queued, eq(2));
    expect_that!(started(&queue.finish(key(0), now)), elements_are![eq(&2)]);
}

#[gtest]
fn request_that_cannot_start_in_time_is_refused_at_once_as_not_run() {
    let now = Instant::now();
    let mut queue = queue(1, now);
    queue.offer(request(0, 1, now), now);
    let later = now + Duration::from_secs(10);
    queue.finish(key(0), later);
    queue.offer(request(1, 1, later), later);
    let short_deadline = AdmitRequest {
        deadline: later + Duration::from_secs(5),
        ..request(2, 2, later)
    };

    let actions = queue.offer(short_deadline, later);

    let AdmitAction::Refuse { fault, .. } = &actions[0] else {
        panic!("expected a refusal");
    };
    expect_that!(fault.kind, eq(FaultKind::DeadlineUnmet));
    expect_that!(fault.outcome(), eq(RunOutcome::NotRun));
}

#[gtest]
fn deadline_in_the_queue_and_cancel_end_as_not_run() {
    let now = Instant::now();
    let mut queue = queue(1, now);
    queue.offer(request(0, 1, now), now);
    queue.offer(request(1, 1, now), now);
    queue.offer(request(2, 1, now), now);

    let cancelled = queue.cancel(key(1));
    let running = queue.cancel(key(0));
    let wake = queue.next_wake(now).expect("one request waits");
    let late = queue.tick(wake);
    queue.verify();

    expect_that!(cancelled, eq(CancelOutcome::NotRun));
    expect_that!(running, eq(CancelOutcome::Running));
    expect_that!(refusal(&late), some(eq(FaultKind::DeadlineUnmet)));
    expect_that!(queue.finish(key(0), wake), is_empty());
    expect_that!(queue.is_idle(), eq(true));
}

#[gtest]
fn drain_refuses_what_waits_and_finishes_what_runs() {
    let now = Instant::now();
    let mut queue = queue(1, now);
    queue.offer(request(0, 1, now), now);
    queue.offer(request(1, 1, now), now);

    let dropped = queue.set_state(EndpointState::Draining, now);
    let offered = queue.offer(request(2, 1, now), now);
    queue.verify();

    expect_that!(refusal(&dropped), some(eq(FaultKind::Draining)));
    expect_that!(refusal(&offered), some(eq(FaultKind::Draining)));
    expect_that!(queue.load().running, eq(1));
    queue.finish(key(0), now);
    expect_that!(queue.is_idle(), eq(true));
}

#[gtest]
fn joining_endpoint_refuses_until_the_join_delay_is_over() {
    let now = Instant::now();
    let settings = AdmitSettings::default();
    let delay = settings.join_delay;
    let mut queue = AdmitQueue::new(settings, now);

    let early = queue.offer(request(0, 1, now), now);
    let in_time = queue.offer(request(1, 1, now), now + delay);

    expect_that!(refusal(&early), some(eq(FaultKind::Overloaded)));
    expect_that!(started(&in_time), elements_are![eq(&1)]);
}

/// Guards against a lowest mean without a lower limit: every agent then refuses the requests that
/// would raise the mean, so load never rises.
#[gtest]
fn balanced_service_can_always_take_more() {
    let now = Instant::now();
    let second = Duration::from_secs(1);
    for load in 1..30 {
        let mut queue = queue(64, now);
        queue.offer(request(0, 1, now), now);
        queue.finish(key(0), now + 8 * second);
        let later = now + 9 * second;
        for number in 1..=load {
            queue.offer(request(number, 1, later), later);
        }
        queue.observe_mean(&mean(8 * load as u64, 8), later);
        queue.observe_mean(&mean(9 * load as u64, 9), later);

        let last_hop = AdmitRequest {
            hops: 4,
            ..request(100, 1, later)
        };
        let limit = queue.load_limit(&last_hop, later + 2 * second);

        expect_that!(limit, some(gt(load as u32)), "load {load}");
    }
}

#[gtest]
fn crash_frees_slots_and_records_no_duration() {
    let now = Instant::now();
    let mut queue = queue(1, now);
    queue.offer(request(0, 1, now), now);
    queue.offer(request(1, 1, now), now);

    let dropped = queue.set_state(EndpointState::Down, now);
    let failed = queue.fail_running(now + Duration::from_secs(1000));
    queue.verify();
    queue.set_state(EndpointState::Serving, now);
    queue.offer(request(2, 1, now), now);
    let short_deadline = AdmitRequest {
        deadline: now + Duration::from_secs(1),
        ..request(3, 1, now)
    };

    expect_that!(refusal(&dropped), some(eq(FaultKind::NoEndpoint)));
    expect_that!(failed, elements_are![eq(&key(0))]);
    expect_that!(
        queue.offer(short_deadline, now),
        elements_are![eq(&AdmitAction::Queue(key(3)))]
    );
}
