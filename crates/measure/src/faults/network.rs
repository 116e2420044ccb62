//! Frames in flight. A frame belongs to a connection between two incarnations.

use std::time::{Duration, Instant};

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use wire::LinkMessage;

/// Longest time that a frame is in flight; older frames are dropped.
const MAX_FRAME_AGE: Duration = Duration::from_secs(60);
/// Probability that a delivery takes any frame instead of the oldest.
const REORDER_PROBABILITY: f64 = 0.3;
/// Probability that a delivery leaves a duplicate in flight.
const DUPLICATE_PROBABILITY: f64 = 0.1;
/// Probability that a frame is dropped instead of delivered.
const DROP_PROBABILITY: f64 = 0.05;

/// A connection between an incarnation of an entry and an incarnation of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionEnds {
    /// Index of the entry.
    pub entry: usize,
    /// Incarnation of the entry.
    pub entry_incarnation: u64,
    /// Index of the agent.
    pub agent: usize,
    /// Incarnation of the agent.
    pub agent_incarnation: u64,
}

/// The end of the connection that receives a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameTarget {
    /// The entry.
    Entry,
    /// The agent.
    Agent,
}

/// A frame in flight.
#[derive(Clone, Debug)]
pub struct FrameFlight {
    /// The connection that carries it.
    pub ends: ConnectionEnds,
    /// The end that receives it.
    pub target: FrameTarget,
    /// The message of the frame.
    pub message: LinkMessage,
    sent: Instant,
}

/// All frames in flight, oldest first.
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

    /// Takes the next frame to deliver: the oldest if `is_fault_free`. Otherwise it may also be any
    /// other frame, and the frame may be dropped or stay in flight as a duplicate. Returns `None`
    /// if there is no frame, or the frame was dropped or had expired.
    pub fn take(
        &mut self,
        now: Instant,
        rng: &mut Pcg64Mcg,
        is_fault_free: bool,
    ) -> Option<FrameFlight> {
        if self.flights.is_empty() {
            return None;
        }
        let is_oldest = is_fault_free || !rng.random_bool(REORDER_PROBABILITY);
        let index = match is_oldest {
            true => 0,
            false => rng.random_range(0..self.flights.len()),
        };
        if !is_fault_free && rng.random_bool(DUPLICATE_PROBABILITY) {
            return self.unless_expired(now, self.flights[index].clone());
        }
        let flight = self.flights.remove(index);
        if !is_fault_free && rng.random_bool(DROP_PROBABILITY) {
            return None;
        }
        self.unless_expired(now, flight)
    }

    /// Whether no frame is in flight.
    pub fn is_empty(&self) -> bool {
        self.flights.is_empty()
    }

    /// Drops all frames.
    pub fn clear(&mut self) {
        self.flights.clear();
    }

    fn unless_expired(&self, now: Instant, flight: FrameFlight) -> Option<FrameFlight> {
        let age = now.saturating_duration_since(flight.sent);
        (age < MAX_FRAME_AGE).then_some(flight)
    }
}
