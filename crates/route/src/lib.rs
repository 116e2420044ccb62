//! Selection of an endpoint for a request.
//!
//! * [`table`]: the endpoints known to an entry and their last reported load.
//! * [`choice`]: the selection algorithm.
//! * [`decision`]: the record of one selection.
//! * [`preference`]: weighted rendezvous hashing, which orders endpoints for one chat.
//! * [`hint`]: the warm hint, which a caller gets with an answer and sends with its next request.
//! * [`prefix`]: the endpoints that hold long prompt prefixes shared by many chats.
//! * [`retry`]: retry budget and back-off.
//! * [`export`]: plan for moving cached prefixes off an endpoint that leaves.
//!
//! No function here reads a clock or a global random source; callers pass both in.

pub mod choice;
pub mod decision;
pub mod export;
pub mod hint;
pub mod preference;
pub mod prefix;
pub mod retry;
pub mod table;

pub use choice::RouteRequest;
pub use decision::{CandidateRecord, ChoiceReason, Exclusion, RouteDecision};
pub use hint::{WarmHint, WarmLocation};
pub use retry::{RetryBudget, RetrySettings};
pub use table::{RouteSettings, RouteTable};
