//! Membership of endpoints: incarnations, heartbeats, leases, the platform's instance list and
//! draining.
//!
//! * [`table`]: the members that one control instance knows.
//! * [`row`]: the record and the state of one member.
//! * [`flap`]: damping of endpoints that fail and return repeatedly.
//! * [`list`]: entries of the platform's instance list.
//! * [`pacer`]: when an agent sends a heartbeat.
//! * [`digest`]: the digests for entries and agents, within a byte budget.
//!
//! No code in this crate reads a clock; the caller passes the time to each call.

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
