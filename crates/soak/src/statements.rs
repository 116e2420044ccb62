//! What a stand-in endpoint states about itself, and the calls that it gets nevertheless.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use platform::headers::{SERVER_LEAVING, SERVER_LIMIT};

/// Length of the windows in which the calls of a limited endpoint are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Time from the first answer with a limit from which on calls count.
const LEARNING_TIME: Duration = Duration::from_secs(3);
/// Multiple of the limit, and number of calls beyond it, that a window may hold.
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_EXTRA: f64 = 5.0;
/// Time after an answer that asks for rest from which on calls count.
const REST_SLACK: Duration = Duration::from_millis(500);
/// Calls of a gateway that may count in a time of rest.
const REST_CALLS: u32 = 2;
/// Time after a gateway was told that the endpoint leaves from which on no call may come from it:
/// 3 s, and what a call may wait at the gateway.
const LEAVE_SLACK: Duration = Duration::from_secs(4);

/// What an endpoint states.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointTrouble {
    /// It takes this many calls a second.
    Limit(f64),
    /// It turns all calls away and asks for this rest.
    Rest(Duration),
    /// It leaves.
    Leave,
}

/// A time of rest that was asked of a gateway.
#[derive(Clone, Copy, Debug)]
struct AskedRest {
    from: Instant,
    until: Instant,
    calls: u32,
}

#[derive(Debug, Default)]
struct StatementState {
    trouble: Option<EndpointTrouble>,
    /// When an answer first named the limit.
    limited_at: Option<Instant>,
    arrivals: VecDeque<Instant>,
    rests: HashMap<SocketAddr, Vec<AskedRest>>,
    left: HashMap<SocketAddr, Instant>,
}

/// How the endpoint answers a call.
#[derive(Debug, Default)]
pub struct StatedAnswer {
    /// Headers of the answer.
    pub headers: String,
    /// Whether the call is turned away.
    pub is_turned_away: bool,
    /// What the call violates.
    pub breach: Option<String>,
}

/// The statements of one endpoint.
#[derive(Debug, Default)]
pub struct EndpointStatements {
    state: Mutex<StatementState>,
}

impl EndpointStatements {
    /// Begins to state something, or nothing, and forgets what was stated before.
    pub fn set(&self, trouble: Option<EndpointTrouble>) {
        *self.state() = StatementState {
            trouble,
            ..StatementState::default()
        };
    }

    /// Whether the endpoint says that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.state().trouble == Some(EndpointTrouble::Leave)
    }

    /// Takes a call from a gateway.
    pub fn take(&self, gateway: SocketAddr) -> StatedAnswer {
        let now = Instant::now();
        let mut state = self.state();
        match state.trouble {
            None => StatedAnswer::default(),
            Some(EndpointTrouble::Limit(limit)) => state.take_limited(now, limit),
            Some(EndpointTrouble::Rest(rest)) => state.take_resting(now, gateway, rest),
            Some(EndpointTrouble::Leave) => state.take_leaving(now, gateway),
        }
    }

    fn state(&self) -> MutexGuard<'_, StatementState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StatementState {
    fn take_limited(&mut self, now: Instant, limit: f64) -> StatedAnswer {
        let limited_at = *self.limited_at.get_or_insert(now);
        if now >= limited_at + LEARNING_TIME {
            self.arrivals.push_back(now);
        }
        while self
            .arrivals
            .front()
            .is_some_and(|at| *at + LIMIT_WINDOW < now)
        {
            self.arrivals.pop_front();
        }
        let count = self.arrivals.len();
        let allowed = LIMIT_FACTOR * limit * LIMIT_WINDOW.as_secs_f64() + LIMIT_EXTRA;
        let breach = format!("endpoint with a limit of {limit} a second got {count} calls in 4 s");
        StatedAnswer {
            headers: format!("{SERVER_LIMIT}: {limit}\r\n"),
            is_turned_away: false,
            breach: (count as f64 > allowed).then_some(breach),
        }
    }

    fn take_resting(&mut self, now: Instant, gateway: SocketAddr, rest: Duration) -> StatedAnswer {
        let rests = self.rests.entry(gateway).or_default();
        rests.retain(|rest| now < rest.until);
        let mut breach = None;
        for rest in rests.iter_mut().filter(|rest| now >= rest.from) {
            rest.calls += 1;
            if rest.calls > REST_CALLS {
                let calls = rest.calls;
                breach = Some(format!(
                    "endpoint got {calls} calls from {gateway} in its rest"
                ));
            }
        }
        rests.push(AskedRest {
            from: now + REST_SLACK,
            until: now + rest,
            calls: 0,
        });
        StatedAnswer {
            headers: format!("Retry-After: {}\r\n", rest.as_secs_f64()),
            is_turned_away: true,
            breach,
        }
    }

    fn take_leaving(&mut self, now: Instant, gateway: SocketAddr) -> StatedAnswer {
        let left = *self.left.entry(gateway).or_insert(now);
        let breach = format!("endpoint that leaves got a call from {gateway}");
        StatedAnswer {
            headers: format!("{SERVER_LEAVING}: 1\r\n"),
            is_turned_away: false,
            breach: (now >= left + LEAVE_SLACK).then_some(breach),
        }
    }
}
