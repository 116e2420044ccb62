//! The entry program: requests from callers, choice of endpoint, answer streams.
//!
//! * [`core`]: what the parts of the entry share.
//! * [`control`]: the connection to the control quorum.
//! * [`selector`]: choice of endpoints and the retry budget.
//! * [`pool`]: connections to agents and the streams on them.
//! * [`server`]: the HTTP server and its routes.
//! * [`intake`]: from an HTTP request to a checked call.
//! * [`chat`]: what the entry reads from a chat completion request.
//! * [`dispatch`]: attempts to run a call until an endpoint answers.
//! * [`attempt`]: one attempt and its frames, across connections.
//! * [`claims`]: claims of non-idempotent calls at the control quorum.
//! * [`answer`]: from the answer of an endpoint to the HTTP response.
//! * [`status`]: what this entry knows of the fleet, for its status page.
//! * [`trace`]: what a call leaves behind: its decision record and metrics.
//! * [`operator`]: decisions, status and metrics over HTTP.

pub mod answer;
pub mod attempt;
pub mod chat;
pub mod claims;
pub mod control;
pub mod core;
pub mod dispatch;
pub mod intake;
pub mod operator;
pub mod pool;
pub mod selector;
pub mod server;
pub mod status;
pub mod trace;
