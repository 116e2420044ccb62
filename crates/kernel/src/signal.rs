//! What the kernel tells a service.

use actix::Message;

/// A step in the life of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceSignal {
    /// Start. An error stops the process.
    Start,
    /// Take no new work and answer when all work is finished.
    Drain,
    /// Release what is held; the process ends next.
    Stop,
}

impl Message for ServiceSignal {
    type Result = Result<(), String>;
}
