//! The entry program: accepts requests from callers, selects an endpoint and streams its answer.
//!
//! * [`core`]: state shared by the threads of the entry.
//! * [`control`]: the connection to the control quorum.
//! * [`selector`]: the endpoint table and the retry budget, shared by all threads.
//! * [`pool`]: connections to agents and the streams on them.
//! * [`server`]: the HTTP server and its routes.
//! * [`intake`]: parses and checks HTTP requests and builds calls from them.
//! * [`chat`]: the parts of a chat completion request that routing needs.
//! * [`dispatch`]: attempts to run a call until an endpoint answers.
//! * [`attempt`]: one attempt and the stream of its answer, across connections.
//! * [`caller`]: connection of a caller, as far as the framing of answers depends on it.
//! * [`claims`]: claims of non-idempotent calls at the control quorum.
//! * [`loss`]: reports of requests that were lost together with their agent.
//! * [`answer`]: builds the HTTP response from the answer of an endpoint.
//! * [`status`]: the state of the fleet as known to this entry, for its status page.
//! * [`trace`]: the decision record and the metrics of a call.
//! * [`operator`]: HTTP routes for decision records, status and metrics.

pub mod answer;
pub mod attempt;
pub mod caller;
pub mod chat;
pub mod claims;
pub mod control;
pub mod core;
pub mod dispatch;
pub mod intake;
pub mod loss;
pub mod operator;
pub mod pool;
pub mod selector;
pub mod server;
pub mod status;
pub mod trace;
