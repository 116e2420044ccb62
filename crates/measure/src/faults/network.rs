//! Frames on their way. A frame is bound to a connection between two lives.

use std::time::{Duration, Instant};

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use wire::LinkMessage;

/// Longest time for which a frame is on its way.
const MAX_FRAME_AGE: Duration = Duration::from_secs(60);
/// Share of deliveries that overtake earlier frames.
const REORDER_SHARE: f64 = 0.3;
/// Share of deliveries that leave a duplicate.
const DUPLICATE_SHARE: f64 = 0.1;
/// Share of frames that are dropped.
const DROP_SHARE: f64 = 0.05;

/// A connection between one life of an entry and one life of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionEnds {
    /// Index of the entry.
    pub entry: usize,
    /// Its life.
    pub entry_life: u64,
    /// Index of the agent.
    pub agent: usize,
    /// Its life.
    pub agent_life: u64,
}

/// Which end a frame goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameTarget {
    /// The entry.
    Entry,
    /// The agent.
    Agent,
}

/// A frame on its way.
#[derive(Clone, Debug)]
pub struct FrameFlight {
    /// Its connection.
    pub ends: ConnectionEnds,
    /// Where it goes.
    pub target: FrameTarget,
    /// What it carries.
    pub message: LinkMessage,
    sent: Instant,
}

/// All frames on their way.
#[derive(Default)]
pub struct FrameNetwork {
    flights: Vec<FrameFlight>,
}

impl FrameNetwork {
    /// Sends a frame.
    pub fn send(
        &mut self,
        now: Instant,
        ends: ConnectionEnds,
        target: FrameTarget,
        message: LinkMessage,
    ) {
        self.flights.push(FrameFlight {
            ends,
            target,
            message,
            sent: now,
        });
    }

    /// Takes the oldest frame, or any, which delays the others. It may get lost or stay behind as a
    /// duplicate unless the network is calm.
    pub fn take(&mut self, now: Instant, rng: &mut Pcg64Mcg, is_calm: bool) -> Option<FrameFlight> {
        if self.flights.is_empty() {
            return None;
        }
        let is_first = is_calm || !rng.random_bool(REORDER_SHARE);
        let index = match is_first {
            true => 0,
            false => rng.random_range(0..self.flights.len()),
        };
        if !is_calm && rng.random_bool(DUPLICATE_SHARE) {
            return self.fresh(now, self.flights[index].clone());
        }
        let flight = self.flights.remove(index);
        if !is_calm && rng.random_bool(DROP_SHARE) {
            return None;
        }
        self.fresh(now, flight)
    }

    /// Whether nothing is on its way.
    pub fn is_empty(&self) -> bool {
        self.flights.is_empty()
    }

    /// Loses every frame.
    pub fn clear(&mut self) {
        self.flights.clear();
    }

    fn fresh(&self, now: Instant, flight: FrameFlight) -> Option<FrameFlight> {
        let age = now.saturating_duration_since(flight.sent);
        (age < MAX_FRAME_AGE).then_some(flight)
    }
}
