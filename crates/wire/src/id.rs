//! Identifiers, and their derivation from names.

use xxhash_rust::xxh3::xxh3_64;

/// Identifies one request of a caller. Random, chosen by the entry.
pub type RequestId = u128;
/// Number of an attempt to run a request, from 1.
pub type AttemptNumber = u32;
/// Identifies an endpoint: [`name_id`] of its name.
pub type EndpointId = u64;
/// Identifies an instance that runs a program of the system: [`name_id`] of its name, or for a
/// gateway [`crate::gateway::instance_at`] of its link address.
pub type InstanceId = u64;
/// Identifies a service: [`name_id`] of its name.
pub type ServiceId = u64;
/// Identifies a version of endpoints' software: [`name_id`] of its name.
pub type VersionId = u64;
/// Identifies a stream of events: [`name_id`] of the id of the caller's attempt that brought its
/// first event.
pub type StreamId = u64;
/// Identifies a client account: [`name_id`] of its name.
pub type AccountId = u64;
/// Identifies a model: [`name_id`] of its name.
pub type ModelId = u64;
/// Identifies a failure domain: [`name_id`] of its name.
pub type DomainId = u64;
/// Incarnation of a process: a number that is larger after each restart.
pub type IncarnationNumber = u64;
/// Version of the settings tree, from 1.
pub type SettingsVersion = u64;
/// Fencing token of the orders to an endpoint: greater than every token that was issued before.
pub type FenceNumber = u64;
/// Hash of one block of a prompt, chained with the blocks before it.
pub type PrefixHash = u64;
/// Hash that identifies equal requests: account, service, method, path and body.
pub type FingerprintHash = u64;

/// Derives the id of `name`, which is the same in every process.
pub fn name_id(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
