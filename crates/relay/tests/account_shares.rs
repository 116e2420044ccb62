//! Tests of the shares of client accounts over all instances.

use std::time::Duration;

use googletest::prelude::*;
use relay::account_shares::{AccountShares, AccountStanding, SharedService, max_min_share};
use relay::accounts::AccountLoads;
use wire::gateway::{AccountCount, AccountNotice, MAX_NOTICE_ACCOUNTS};
use wire::id::name_id;

const SERVICE: u64 = 1;
const NOW: Duration = Duration::from_secs(10);
const SHARED: SharedService = SharedService {
    service: SERVICE,
    slots: 100.0,
    holding_time: Duration::from_millis(500),
    less_urgent_share: 0.0,
};

/// The notice of another instance, with account, running and refused calls.
fn notice(counts: &[(&str, u16, u16)]) -> AccountNotice {
    let counts = counts
        .iter()
        .map(|(account, running, refused)| AccountCount {
            account: name_id(account),
            running: *running,
            refused: *refused,
        });
    AccountNotice {
        service: SERVICE,
        is_short: true,
        accounts: counts.collect(),
    }
}

/// Running calls of this instance.
fn loads_of(counts: &[(&str, u32)]) -> AccountLoads {
    let mut loads = AccountLoads::default();
    for (account, running) in counts {
        for _ in 0..*running {
            loads.start(SERVICE, account);
        }
    }
    loads
}

/// Shares of an instance that knows of a surge at three others.
fn shares_in_surge() -> AccountShares {
    let mut shares = AccountShares::default();
    for instance in 1..4 {
        let counts = notice(&[("surge", 30, 40), ("quiet", 5, 0)]);
        shares.note_heard(NOW, instance, counts);
    }
    shares
}

#[gtest]
fn max_min_share_meets_small_demands_first() {
    expect_that!(
        max_min_share(vec![10.0, 80.0, 30.0], 90.0),
        near(50.0, 1e-9)
    );
    expect_that!(
        max_min_share(vec![40.0, 40.0, 40.0], 90.0),
        near(30.0, 1e-9)
    );
    expect_that!(max_min_share(vec![10.0, 20.0], 30.0), eq(f64::INFINITY));
    expect_that!(max_min_share(Vec::new(), 30.0), eq(f64::INFINITY));
}

// By its own counts, this instance can't tell the surge from the other account.
#[gtest]
fn surge_at_other_instances_is_limited_here() {
    let loads = loads_of(&[("surge", 30), ("quiet", 5)]);
    let mut shares = shares_in_surge();

    let surge = shares.standing(NOW, SHARED, &loads, "surge");
    let quiet = shares.standing(NOW, SHARED, &loads, "quiet");

    expect_that!(surge.is_used_up(), eq(true));
    expect_that!(quiet, eq(AccountStanding::Modest));
}

// A surge that runs fewer calls than its share must not be held back.
#[gtest]
fn account_below_its_share_is_not_used_up() {
    let mut shares = AccountShares::default();
    for instance in 1..4 {
        shares.note_heard(NOW, instance, notice(&[("surge", 10, 80), ("quiet", 5, 0)]));
    }
    for _ in 0..80 {
        shares.note_refused(NOW, SERVICE, "surge");
    }
    let loads = loads_of(&[("surge", 10), ("quiet", 5)]);

    let surge = shares.standing(NOW, SHARED, &loads, "surge");

    expect_that!(surge, matches_pattern!(AccountStanding::Limited { .. }));
    expect_that!(surge.is_used_up(), eq(false));
}

// Retries that are refused again and again must not make an account look idle.
#[gtest]
fn refused_calls_count_as_demand() {
    let loads = loads_of(&[("surge", 45), ("other", 45)]);
    let mut shares = AccountShares::default();

    let before = shares.standing(NOW, SHARED, &loads, "surge");
    for _ in 0..200 {
        shares.note_refused(NOW, SERVICE, "surge");
    }
    let later = NOW + Duration::from_millis(30);
    let after = shares.standing(later, SHARED, &loads, "surge");

    expect_that!(before, eq(AccountStanding::Unlimited));
    expect_that!(after, matches_pattern!(AccountStanding::Limited { .. }));
}

// With headroom, and for callers without an account, nothing is limited.
#[gtest]
fn nothing_is_limited_with_headroom_or_without_an_account() {
    let mut shares = AccountShares::default();
    shares.note_heard(NOW, 1, notice(&[("surge", 60, 0), ("quiet", 5, 0)]));
    let loads = loads_of(&[("surge", 20), ("", 10)]);

    let with_headroom = shares.standing(NOW, SHARED, &loads, "surge");
    let mut shares = shares_in_surge();
    let without_account = shares.standing(NOW, SHARED, &loads, "");

    expect_that!(with_headroom, eq(AccountStanding::Unlimited));
    expect_that!(without_account, eq(AccountStanding::Unlimited));
}

// Counts of a lost instance would hold the share of an account down for good.
#[gtest]
fn counts_of_a_lost_instance_expire() {
    let loads = loads_of(&[("surge", 30)]);
    let mut silent = shares_in_surge();
    let mut forgotten = shares_in_surge();

    for instance in 1..4 {
        forgotten.forget(instance);
    }

    let later = NOW + Duration::from_millis(1300);
    let after_silence = silent.standing(later, SHARED, &loads, "surge");
    let after_loss = forgotten.standing(NOW, SHARED, &loads, "surge");
    expect_that!(after_silence, eq(AccountStanding::Unlimited));
    expect_that!(after_loss, eq(AccountStanding::Unlimited));
}

#[gtest]
fn notices_are_due_during_contention_only() {
    let loads = loads_of(&[("one", 3)]);
    let mut calm = AccountShares::default();
    let mut short = AccountShares::default();
    let mut told = AccountShares::default();

    short.note_shortage(NOW, SERVICE);
    told.note_heard(NOW, 1, notice(&[]));

    expect_that!(calm.notices(NOW, &loads), is_empty());
    expect_that!(short.notices(NOW, &loads)[0].is_short, eq(true));
    expect_that!(told.notices(NOW, &loads)[0].is_short, eq(false));
    let later = NOW + Duration::from_millis(1500);
    expect_that!(short.notices(later, &loads), is_empty());
    expect_that!(told.notices(later, &loads), is_empty());
}

// Two instances that keep each other's notices alive would never stop.
#[gtest]
fn notice_of_an_instance_with_free_slots_calls_for_none() {
    let loads = loads_of(&[("one", 3)]);
    let mut shares = AccountShares::default();
    let heard = AccountNotice {
        is_short: false,
        ..notice(&[("one", 1, 0)])
    };

    shares.note_heard(NOW, 1, heard);

    expect_that!(shares.notices(NOW, &loads), is_empty());
}

#[gtest]
fn notice_names_the_largest_accounts() {
    let names: Vec<String> = (1..=40).map(|number| format!("a{number}")).collect();
    let counts = names.iter().map(String::as_str).zip(1..);
    let loads = loads_of(&counts.collect::<Vec<(&str, u32)>>());
    let mut shares = AccountShares::default();
    shares.note_shortage(NOW, SERVICE);

    let notices = shares.notices(NOW, &loads);

    let running = notices[0].accounts.iter().map(|count| count.running);
    let running: Vec<u16> = running.collect();
    expect_that!(running.len(), eq(MAX_NOTICE_ACCOUNTS));
    expect_that!(running.first(), some(eq(&40)));
    expect_that!(running.last(), some(eq(&17)));
}
