//! Draining of caller connections before the process stops.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::state::{RelayState, ServingPhase};

/// Interval at which a drain checks whether all calls have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after the end of a drain in which callers are told how their calls ended.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(150);

/// Settings of a drain.
#[derive(Clone, Debug, PartialEq)]
pub struct DrainSettings {
    /// Time from the start of a drain until idle connections are closed. It lets callers reconnect
    /// elsewhere first, as each answer during a drain asks them to.
    pub reroute_time: Duration,
    /// Time after which calls that are still running are given up. The drain ends at most
    /// [`LAST_ANSWER_TIME`] later.
    pub time_limit: Duration,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            reroute_time: Duration::from_millis(2700),
            time_limit: Duration::from_millis(7600),
        }
    }
}

/// Asks callers to reconnect elsewhere and waits until their connections are closed. Returns the
/// number of calls that were given up at the time limit.
pub async fn drain_callers(state: &RelayState, settings: DrainSettings) -> usize {
    let started = Instant::now();
    let ends_at = started + settings.time_limit;
    state.set_exit_deadline(ends_at);
    state.enter_phase(ServingPhase::Draining);
    sleep(settings.reroute_time.min(settings.time_limit)).await;
    state.enter_phase(ServingPhase::Closing);
    wait_until(ends_at, || state.is_drained()).await;
    // A caller that connects from here on is refused by the operating system and goes elsewhere.
    state.enter_phase(ServingPhase::Closed);
    wait_until(ends_at + LAST_ANSWER_TIME, || state.is_closed()).await;
    state.given_up_calls.get() + state.active_calls.get()
}

/// Waits until a condition holds, at most until `ends_at`.
async fn wait_until(ends_at: Instant, condition: impl Fn() -> bool) {
    while !condition() && Instant::now() < ends_at {
        sleep(POLL_INTERVAL).await;
    }
}
