//! Messages between the processes and their encoding.
//!
//! * [`id`]: ids and how they derive from names.
//! * [`answer`]: entry and agent: a request and its answer stream.
//! * [`gateway`]: gateways: who is there, what they list and share.
//! * [`member`]: agents, entries and control: who is there and how loaded.
//! * [`command`]: what goes through the control quorum.
//! * [`message`]: the one envelope that a link carries.
//! * [`codec`]: postcard encoding with limits.

pub mod answer;
mod chunk;
pub mod codec;
pub mod command;
pub mod gateway;
pub mod id;
pub mod member;
pub mod message;

pub use message::LinkMessage;
