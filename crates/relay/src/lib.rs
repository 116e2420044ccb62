//! Relays calls from a caller's connection to an endpoint, and the answers back.
//!
//! Decision logic, free of I/O:
//!
//! * [`table`]: the endpoints of the list.
//! * [`row`]: load and health of one endpoint.
//! * [`load_report`]: load that an endpoint reports of itself.
//! * [`speed`]: current speed of the machine that an endpoint runs on.
//! * [`health`]: health of an endpoint, derived from the calls of this instance.
//! * [`endpoint_limit`]: the limit of one endpoint, and this instance's share of it.
//! * [`endpoint_leave`]: whether an endpoint has said that it leaves.
//! * [`rate_keeper`]: the one instance that hands out the rates which endpoints name.
//! * [`placement`]: choice of the endpoint that runs a call.
//! * [`admission`]: admission control for services with few or no free slots.
//! * [`accounts`]: number of running calls by client account.
//! * [`account_shares`]: shares of client accounts in the slots of a service, over all instances.
//! * [`backlog`]: detection of sustained backlogs.
//! * [`wait_correction`]: correction of expected waits by those that calls met.
//! * [`ranks`]: admission statistics by rank.
//! * [`retry_schedule`]: retry times that are handed out to refused callers.
//! * [`budget`]: retry budget of a service.
//! * [`fleet_watch`]: whether this instance has followed the fleet without a gap.
//! * [`origin`]: which software version began a stream.
//! * [`origin_coverage`]: whether the records of streams are complete.
//! * [`unconfirmed_origins`]: notices of origins that their keepers have not confirmed.
//! * [`unsettled_origins`]: streams whose origin is settled after they began.
//! * [`known_processes`]: processes of endpoints whose software version is known.
//! * [`report_schedule`]: which endpoints are asked for the reports by which their processes become known.
//! * [`version_certainty`]: whether the list states the version of an endpoint's present process.
//! * [`version_census`]: why no endpoint of a software version goes on with a stream.
//! * [`crash`]: detection of requests that crash the endpoints that run them.
//! * [`retry`]: whether a failed attempt is followed by another.
//! * [`region`]: regions in which calls must stay.
//! * [`refusal`]: refused calls and their `Retry-After` time.
//!
//! Serving of calls, with I/O:
//!
//! * [`rules`]: catalog rules that apply to a call.
//! * [`call`]: metadata of calls and answers, and the trait that reads and writes it.
//! * [`session`]: server side of one caller connection.
//! * [`relay_call`]: a call together with its rules.
//! * [`attempt`]: one attempt of a call at one endpoint.
//! * `attempt_process`: which process of an endpoint an attempt reaches.
//! * `answer`: forwarding of an endpoint's answer to the caller.
//! * `stream_answer`: forwarding of an endpoint's event stream to the caller.
//! * [`reply`]: answers that are sent in one piece, refusals included.
//! * [`forward`]: the sequence of attempts of one call.
//! * [`record`]: metrics and log line of a call.
//! * [`crash_check`]: lost runs, and checks whether their endpoints are down.
//! * [`crash_log`]: log lines and metrics of crash detection.
//! * [`reach_check`]: detection of unreachable endpoints while calls wait for their bytes.
//! * [`leave_check`]: health checks of endpoints that have said that they leave.
//! * [`limit_sharing`]: messages by which instances share the limits of endpoints.
//! * [`statement_change`]: changes of what an endpoint states.
//! * [`statement_log`]: log lines and metrics of what endpoints state.
//! * [`peers`]: the other instances.
//! * [`sole_version`]: the origin of a stream that nobody knows, where it can have only one.
//! * [`restart_signs`]: signs of restarts of endpoints, and what other instances are told of them.
//! * [`process_keeper`]: which instances find, keep and tell the versions of processes.
//! * [`origin_lookup`]: which version a stream of a returning caller goes on at.
//! * [`origin_confirmation`]: telling keepers of origins until they confirm.
//! * [`gap`]: what an instance forgets after a gap, and asks of the others.
//! * [`state`]: state that all calls of one instance share.
//! * [`slot`]: slots that calls occupy at endpoints.
//! * [`server`]: serving of caller connections.
//! * [`accept`]: accept loop of a listener.
//! * [`drain`]: draining of caller connections before the process stops.

pub mod accept;
pub mod account_shares;
pub mod accounts;
pub mod admission;
mod answer;
pub mod attempt;
mod attempt_process;
pub mod backlog;
pub mod budget;
pub mod call;
pub mod caller_limits;
pub mod cold_sharing;
pub mod crash;
pub mod crash_check;
pub mod crash_log;
pub mod drain;
pub mod endpoint_leave;
pub mod endpoint_limit;
pub mod fleet_contact;
pub mod fleet_watch;
pub mod forward;
pub mod gap;
pub mod health;
pub mod known_processes;
pub mod leave_check;
pub mod limit_sharing;
pub mod load_report;
pub mod origin;
pub mod origin_confirmation;
pub mod origin_coverage;
pub mod origin_lookup;
pub mod peers;
pub mod placement;
pub mod process_keeper;
pub mod ranks;
pub mod rate_keeper;
pub mod reach_check;
pub mod record;
pub mod refusal;
pub mod region;
pub mod relay_call;
pub mod reply;
pub mod report_schedule;
pub mod restart_signs;
pub mod retry;
pub mod retry_schedule;
pub mod row;
pub mod rules;
pub mod server;
pub mod session;
pub mod slot;
pub mod sole_version;
pub mod speed;
pub mod state;
pub mod statement_change;
pub mod statement_log;
mod stream_answer;
pub mod table;
pub mod unconfirmed_origins;
pub mod unsettled_origins;
pub mod version_census;
pub mod version_certainty;
pub mod wait_correction;
