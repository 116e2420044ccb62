//! Bounds on what the clients of a process may hold: bytes and connections.
//!
//! * [`ledger`]: who holds how many bytes of the budget, and who is evicted. Pure.
//! * [`connections`]: the connections of a listener, and which one gives way to a new one. Pure.
//! * [`segments`]: collection of a body.
//! * [`progress`]: minimum rate of progress of a transfer. Pure.
//! * [`budget`]: the byte budget of a process, shared by its connections.
//! * [`gate`]: the connection limit of a listener.

pub mod budget;
pub mod connections;
pub mod gate;
pub mod ledger;
pub mod progress;
pub mod segments;
