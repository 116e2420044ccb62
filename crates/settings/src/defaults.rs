//! The default values of all settings.
//!
//! Both the `Default` impls of the resolved settings and the key tables use these constants, so
//! that the settings reference always states the defaults of the programs.

/// Default of `load_bound`, a multiple of the mean load.
pub const LOAD_BOUND: f64 = 1.25;
/// Default of `load_aim`, a multiple of the mean load.
pub const LOAD_AIM: f64 = 1.15;
/// Default of `rate_per_second`, in requests per second; 0 is unlimited.
pub const RATE_PER_SECOND: f64 = 0.0;
/// Default of `concurrency`, in requests; 0 is unlimited.
pub const CONCURRENCY: u32 = 0;
/// Default of `share`.
pub const SHARE: u32 = 1;
/// Default of `queue_limit`, in requests.
pub const QUEUE_LIMIT: u32 = 256;
/// Default of `deadline_ms`.
pub const DEADLINE_MS: u64 = 120_000;
/// Default of `max_body_bytes`.
pub const MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;
/// Default of `retention_s`.
pub const RETENTION_S: u64 = 24 * 60 * 60;
/// Default of `max_recorded_bytes`.
pub const MAX_RECORDED_BYTES: u64 = 64 * 1024;
/// Default of `settings_lease_ms`.
pub const SETTINGS_LEASE_MS: u64 = 30_000;
/// Default of an endpoint's `weight`.
pub const WEIGHT: u32 = 1;
/// Default of an endpoint's `places`, in requests.
pub const PLACES: u32 = 32;
/// Default of `checks_fence`.
pub const CHECKS_FENCE: bool = false;
/// Default of `account_labels`.
pub const ACCOUNT_LABELS: usize = 100;
/// Default of a gateway's `grace_s`.
pub const GRACE_S: f64 = 8.0;
/// Default of `list.interval_ms`.
pub const LIST_INTERVAL_MS: u64 = 500;
/// Default of `list.lag_ms`.
pub const LIST_LAG_MS: u64 = 800;
/// Default of `retries.ratio`.
pub const RETRY_RATIO: f64 = 0.2;
/// Default of `retries.extra`.
pub const RETRY_EXTRA: f64 = 60.0;
/// Default of `retries.window_s`.
pub const RETRY_WINDOW_S: f64 = 10.0;
/// Default of `tolerated_losses`.
pub const TOLERATED_LOSSES: u64 = 1;
