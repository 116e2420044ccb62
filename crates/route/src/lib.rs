//! Choice of an endpoint for a request.
//!
//! * [`table`]: the endpoints that an entry knows, with their load as it was last seen.
//! * [`choice`]: the choice itself.
//! * [`decision`]: the record of a choice.
//! * [`preference`]: weighted rendezvous hashing, the order of endpoints for one chat.
//! * [`hint`]: the warm hint that callers carry from answer to request.
//! * [`prefix`]: which endpoints hold long prefixes that many chats share.
//! * [`retry`]: retry budget and back-off.
//! * [`export`]: which cached prefixes move where when an endpoint leaves.
//!
//! Nothing here reads a clock or a global random source.

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
