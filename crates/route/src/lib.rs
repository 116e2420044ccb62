//! Choice of an endpoint for a request.
//!
//! * [`table`]: the endpoints that an entry knows, with their load as it was last seen.
//! * [`choice`]: the choice itself and its record.
//! * [`preference`]: weighted rendezvous hashing, the order of endpoints for one chat.
//! * [`hint`]: the warm hint that callers carry from answer to request.
//! * [`prefix`]: which endpoints hold long prefixes that many chats share.
//! * [`retry`]: retry budget and back-off.
//!
//! Nothing here reads a clock or a global random source.

pub mod choice;
pub mod hint;
pub mod preference;
pub mod prefix;
pub mod retry;
pub mod table;

pub use choice::{CandidateRecord, ChoiceReason, Exclusion, RouteDecision, RouteRequest};
pub use hint::{WarmHint, WarmPlace};
pub use retry::{RetryBudget, RetrySettings};
pub use table::{RouteSettings, RouteTable};
