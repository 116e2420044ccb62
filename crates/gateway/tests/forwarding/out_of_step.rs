//! An instance that was out of step for a while, cut off or standing still, while endpoints were
//! replaced by others of the other software version under their names.

use std::time::Duration;

use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::sleep;

use crate::fixture::call;
use crate::run;
use crate::version_fleet::{FleetLayout, ReceivedStream, TestFleet};

/// Seeds of the generated fleets.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=12;
/// Number of streams of one seed.
const STREAMS: u32 = 8;
/// Number of times that a caller returns to the instance that was out of step.
const MAX_RETURNS: u32 = 3;
/// Range of the time for which the instance is out of step, in milliseconds.
const OUTAGE_MS: std::ops::Range<u64> = 80..200;
/// Exclusive upper bound of the time from the end of the outage to a return, in milliseconds.
const RETURN_MS: u64 = 40;

/// Begins streams at the other instances. Those that are whole are left out.
async fn begin_streams(
    fleet: &TestFleet,
    random: &mut StdRng,
    period: &str,
) -> Vec<ReceivedStream> {
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let instance = random.random_range(1..fleet.instances.len());
        let mut stream = ReceivedStream {
            number,
            is_named: fleet.layout.is_named,
            ..ReceivedStream::default()
        };
        let id = format!("{period}-{number}");
        let answer = call(fleet.instances[instance].address, &stream.request(&id)).await;
        stream.add(&id, &answer);
        streams.push(stream);
    }
    streams.retain(|stream| !stream.is_whole && !stream.events.is_empty());
    streams
}

/// Streams that began before and during the outage of the first instance, and that were taken up
/// there.
async fn take_up(seed: u64, layout: FleetLayout) -> Vec<ReceivedStream> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut fleet = TestFleet::start(seed, layout).await;
    sleep(Duration::from_millis(30)).await;
    let mut streams = begin_streams(&fleet, &mut random, "before").await;
    fleet.begin_outage(0);
    fleet.swap_versions();
    sleep(Duration::from_millis(random.random_range(OUTAGE_MS))).await;
    streams.extend(begin_streams(&fleet, &mut random, "during").await);
    fleet.end_outage();
    for (index, stream) in streams.iter_mut().enumerate() {
        sleep(Duration::from_millis(random.random_range(0..RETURN_MS))).await;
        for number in 0..MAX_RETURNS {
            let id = format!("return-{index}-{number}");
            let answer = call(fleet.instances[0].address, &stream.request(&id)).await;
            stream.add(&id, &answer);
            if stream.is_whole {
                break;
            }
        }
    }
    streams
}

// An operator's report: streams that were taken up at an instance that had been out of step went on at
// another software version.
#[gtest]
fn stream_goes_on_at_another_version_at_an_instance_that_was_out_of_step() {
    for is_named in [true, false] {
        for seed in SEEDS {
            let layout = FleetLayout {
                is_named,
                ..FleetLayout::default()
            };

            let streams = run(take_up(seed, layout));

            let mixed = streams.iter().filter(|stream| !stream.is_sound());
            let mixed: Vec<&ReceivedStream> = mixed.collect();
            expect_that!(mixed, is_empty(), "seed {seed}, named {is_named}");
        }
    }
}
