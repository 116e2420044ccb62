//! Messages between the processes, and their encoding.
//!
//! * [`id`]: identifiers, and their derivation from names.
//! * [`answer`]: requests and answer streams between entry and agent.
//! * [`gateway`]: membership, endpoint lists and catalogs between gateways.
//! * [`statement`]: what endpoints state about themselves.
//! * [`stream`]: origins of streams between gateways.
//! * [`member`]: membership and load between agents, entries and control.
//! * [`command`]: commands to the control quorum, and its replies.
//! * [`message`]: the enum of all messages that a link carries.
//! * [`codec`]: postcard encoding with size limits.

pub mod answer;
mod chunk;
pub mod codec;
pub mod command;
pub mod gateway;
pub mod id;
pub mod member;
pub mod message;
pub mod process;
pub mod statement;
pub mod stream;
pub mod version_record;

pub use message::LinkMessage;
