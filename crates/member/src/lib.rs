//! Membership: incarnations, heartbeats, platform list, suspicion, leaving.
//!
//! * [`table`]: the members as one control instance knows them.
//! * [`row`]: what is known of one member, and the state that follows.
//! * [`flap`]: damping of endpoints that come and go.
//! * [`list`]: the platform's list of instances, which lags.
//! * [`pacer`]: when an agent sends a heartbeat.
//! * [`digest`]: what entries and agents are told, under a byte budget.
//!
//! Nothing here reads a clock; time comes in with each call.

pub mod digest;
pub mod flap;
pub mod list;
pub mod pacer;
pub mod row;
pub mod table;

pub use list::{ListEntry, ListState};
pub use pacer::{HeartbeatPacer, PacerSettings};
pub use row::{MemberRow, MemberState};
pub use table::{MemberSettings, MemberTable};
