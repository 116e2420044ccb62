//! The entry program: requests from callers, choice of endpoint, answer streams.
//!
//! * [`core`]: what the parts of the entry share.
//! * [`control`]: the connection to the control quorum.
//! * [`pool`]: connections to agents and the streams on them.
//! * [`caller`]: the callers' HTTP interface.
//! * [`chat`]: what the entry reads from a chat completion request.
//! * [`dispatch`]: attempts to run a request until an endpoint answers.
//! * [`answer`]: the answer of an endpoint on its way to the caller.

pub mod answer;
pub mod caller;
pub mod chat;
pub mod control;
pub mod core;
pub mod dispatch;
pub mod pool;
