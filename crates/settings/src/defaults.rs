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
/// Default of `limits.connections`.
pub const CONNECTIONS: usize = 2500;
/// Default of `limits.connections_per_address`; 0 is unlimited, as callers may share the address of
/// a load balancer.
pub const CONNECTIONS_PER_ADDRESS: usize = 0;
/// Default of `limits.pipelined_requests`.
pub const PIPELINED_REQUESTS: usize = 64;
/// Default of `limits.body_pause_ms`.
pub const BODY_PAUSE_MS: u64 = 10_000;
/// Default of `limits.body_time_s`.
pub const BODY_TIME_S: f64 = 300.0;
/// Default of `limits.min_bytes_per_s`.
pub const MIN_BYTES_PER_S: u64 = 1024;
/// Default of `limits.grace_s`.
pub const LIMITS_GRACE_S: f64 = 10.0;
/// Byte budget in MB if neither `limits.budget_mb` nor `limits.memory_mb` is set: that of a machine
/// with 160 MB.
pub const BUDGET_MB: u64 = 48;
/// Share of `limits.memory_mb` that is the default of `limits.budget_mb`. The rest is for the
/// process itself (10 to 30 MB), its calls, and what the allocator and the kernel hold in addition.
pub const BUDGET_SHARE: f64 = 0.3;
/// Part of that default which programs with several threads use. Each thread's allocator keeps what
/// was freed in it: an entry with two threads peaked at 129 MB with a budget of 48 MB.
pub const THREADED_BUDGET_PART: f64 = 0.6;
/// Largest part of `limits.memory_mb` that `limits.budget_mb` may be.
pub const MAX_BUDGET_SHARE: f64 = 0.5;
/// Smallest `limits.budget_mb`: two requests of the largest size, with their answers.
pub const MIN_BUDGET_MB: u64 = 16;
