//! The path of a call from a caller's connection to an endpoint and back.
//!
//! Decisions, without any input or output:
//!
//! * [`table`]: the endpoints of the list.
//! * [`row`]: one of them, with its load and health.
//! * [`health`]: what the own calls tell about an endpoint.
//! * [`placement`]: which endpoint runs a call.
//! * [`admission`]: whether a call is let in while its service is full.
//! * [`accounts`]: running calls by client account.
//! * [`backlog`]: whether a service has been behind its calls for a while.
//! * [`ranks`]: how calls of each rank fared.
//! * [`retry_schedule`]: when refused callers are to return.
//! * [`budget`]: how many repeats a service takes.
//! * [`crash`]: calls that crash the endpoints that run them.
//! * [`retry`]: what follows from the end of an attempt.
//! * [`refusal`]: when a refused caller is told to come back.
//! * [`events`]: the events of a stream.
//!
//! Input and output:
//!
//! * [`rules`]: which rules apply to a call.
//! * [`call`]: calls and answers as the dialect of a platform reads them.
//! * [`session`]: one connection of a caller.
//! * [`endpoint`]: one connection to an endpoint.
//! * [`pool`]: idle connections to endpoints.
//! * [`relay_call`]: a call under the rules that apply to it.
//! * [`attempt`]: one try of a call at one endpoint.
//! * [`answer`]: passing the answer of an endpoint on.
//! * [`reply`]: answers that are sent whole.
//! * [`forward`]: the tries of one call.
//! * [`record`]: what is measured and logged of a call.
//! * [`state`]: what the calls of one instance share.
//! * [`server`]: serving callers.
//! * [`accept`]: accepting connections.

pub mod accept;
pub mod accounts;
pub mod admission;
mod answer;
pub mod attempt;
pub mod backlog;
pub mod budget;
pub mod call;
pub mod crash;
pub mod endpoint;
pub mod events;
pub mod forward;
pub mod health;
pub mod placement;
pub mod pool;
pub mod ranks;
pub mod record;
pub mod refusal;
pub mod relay_call;
pub mod reply;
pub mod retry;
pub mod retry_schedule;
pub mod row;
pub mod rules;
pub mod server;
pub mod session;
pub mod state;
pub mod table;
