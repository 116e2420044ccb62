//! Key tables of the settings tree. docs/SETTINGS.md is generated from them.

use wire::codec::MAX_MESSAGE_BYTES;

use crate::defaults as d;
use crate::schema::{BranchSpec, DefaultValue, KeySpec, ValueType};

/// Bytes of a message that are reserved for the parts of a request other than its body.
const REQUEST_OVERHEAD_BYTES: usize = 1024 * 1024;
const DAY_MS: u64 = 24 * 60 * 60 * 1000;
const YEAR_S: u64 = 366 * 24 * 60 * 60;
/// Upper limit of `max_recorded_bytes`: recorded answers are written to the control log, which
/// must not carry large bodies.
const MAX_RECORDABLE_BYTES: u64 = 1024 * 1024;

pub(crate) const fn key(
    name: &'static str,
    value_type: ValueType,
    default: DefaultValue,
    help: &'static str,
) -> KeySpec {
    KeySpec {
        name,
        value_type,
        default,
        is_inherited: false,
        help,
    }
}

const fn inherited(
    name: &'static str,
    value_type: ValueType,
    default: DefaultValue,
    help: &'static str,
) -> KeySpec {
    KeySpec {
        is_inherited: true,
        ..key(name, value_type, default, help)
    }
}

pub(crate) const fn integer(min: u64, max: u64) -> ValueType {
    ValueType::Integer { min, max }
}

const fn number(min: f64, max: f64) -> ValueType {
    ValueType::Number { min, max }
}

/// Inherited keys that control how a service is operated.
const SERVICE_POLICY: &[KeySpec] = &[
    inherited(
        "load_bound",
        number(1.0, 1_000.0),
        DefaultValue::Number(d::LOAD_BOUND),
        "Hard limit of an endpoint's load as a multiple of the service's mean.",
    ),
    inherited(
        "load_aim",
        number(1.0, 1_000.0),
        DefaultValue::Number(d::LOAD_AIM),
        "Load that routing aims to stay under, as a multiple of the mean. At most `load_bound`.",
    ),
    inherited(
        "queue_limit",
        integer(0, 1_000_000),
        DefaultValue::Integer(d::QUEUE_LIMIT as u64),
        "Requests that may wait at one endpoint.",
    ),
    inherited(
        "max_recorded_bytes",
        integer(0, MAX_RECORDABLE_BYTES),
        DefaultValue::Integer(d::MAX_RECORDED_BYTES),
        "Maximum answer body in bytes that is recorded for resends of a non-idempotent request.",
    ),
    inherited(
        "when_stale",
        ValueType::Choice(&["serve", "step-out"]),
        DefaultValue::Text("serve"),
        "What an instance does when its settings lease has lapsed: continue with the settings \
         that it has, or refuse new requests.",
    ),
];

/// Inherited keys that limit the requests of a client account.
const ACCOUNT_POLICY: &[KeySpec] = &[
    inherited(
        "rate_per_second",
        number(0.0, 1_000_000.0),
        DefaultValue::Number(d::RATE_PER_SECOND),
        "Requests that an account may start per second, over the whole service; 0 is unlimited.",
    ),
    inherited(
        "concurrency",
        integer(0, 1_000_000),
        DefaultValue::Integer(d::CONCURRENCY as u64),
        "Requests that an account may have in flight at one endpoint; 0 is unlimited.",
    ),
    inherited(
        "share",
        integer(1, 1_000),
        DefaultValue::Integer(d::SHARE as u64),
        "Weight of an account in the fair queue of an endpoint.",
    ),
    inherited(
        "class",
        ValueType::Choice(&["urgent", "interactive", "batch"]),
        DefaultValue::Text("interactive"),
        "Priority class of a request that sets none.",
    ),
    inherited(
        "deadline_ms",
        integer(1, DAY_MS),
        DefaultValue::Integer(d::DEADLINE_MS),
        "Deadline of a request that sets none, in milliseconds.",
    ),
    inherited(
        "max_body_bytes",
        integer(1, (MAX_MESSAGE_BYTES - REQUEST_OVERHEAD_BYTES) as u64),
        DefaultValue::Integer(d::MAX_BODY_BYTES),
        "Maximum accepted request body in bytes.",
    ),
    inherited(
        "retention_s",
        integer(1, YEAR_S),
        DefaultValue::Integer(d::RETENTION_S),
        "How long a recorded answer is kept after its request ended, in seconds. At least the \
         deadline.",
    ),
];

/// Inherited keys that describe an endpoint.
const ENDPOINT_POLICY: &[KeySpec] = &[
    inherited(
        "weight",
        integer(1, 1_000),
        DefaultValue::Integer(d::WEIGHT as u64),
        "Relative capacity of an endpoint.",
    ),
    inherited(
        "places",
        integer(1, 100_000),
        DefaultValue::Integer(d::PLACES as u64),
        "Requests that an endpoint runs concurrently.",
    ),
    inherited(
        "checks_fence",
        ValueType::Boolean,
        DefaultValue::Boolean(d::CHECKS_FENCE),
        "Whether the endpoint itself refuses orders with an outdated fencing token. Where it \
         does not, its agent does.",
    ),
];

/// The root.
pub static ROOT: BranchSpec = BranchSpec {
    label: "the root",
    help: "Values that every branch inherits, and the branches.",
    groups: &[SERVICE_POLICY, ACCOUNT_POLICY, ENDPOINT_POLICY, ROOT_KEYS],
};

const ROOT_KEYS: &[KeySpec] = &[
    key(
        "settings_lease_ms",
        integer(1_000, DAY_MS),
        DefaultValue::Integer(d::SETTINGS_LEASE_MS),
        "How long settings remain current after a confirmation by a quorum, in milliseconds.",
    ),
    key(
        "services",
        ValueType::Branches(&SERVICE),
        DefaultValue::Absent,
        "Services by name.",
    ),
    key(
        "endpoints",
        ValueType::Branches(&ENDPOINT),
        DefaultValue::Absent,
        "Endpoints by name.",
    ),
    key(
        "accounts",
        ValueType::Branches(&ACCOUNT),
        DefaultValue::Absent,
        "Client accounts by name.",
    ),
    key(
        "operators",
        ValueType::Branches(&OPERATOR),
        DefaultValue::Absent,
        "Operators by name.",
    ),
];

/// A service.
pub static SERVICE: BranchSpec = BranchSpec {
    label: "services.NAME",
    help: "One service. Inherits from the root.",
    groups: &[
        SERVICE_KEYS,
        SERVICE_POLICY,
        ACCOUNT_POLICY,
        ENDPOINT_POLICY,
    ],
};

const SERVICE_KEYS: &[KeySpec] = &[
    key(
        "kind",
        ValueType::Choice(&["model", "plain"]),
        DefaultValue::Text("model"),
        "Kind of its endpoints: model engines, or plain HTTP servers.",
    ),
    key(
        "non_idempotent_methods",
        ValueType::Methods,
        DefaultValue::EmptyList,
        "HTTP methods whose requests must not be executed more than once.",
    ),
    key(
        "models",
        ValueType::Branches(&MODEL),
        DefaultValue::Absent,
        "Models by name. Only for the kind `model`.",
    ),
];

/// A model of a service.
pub static MODEL: BranchSpec = BranchSpec {
    label: "services.NAME.models.NAME",
    help: "One model and its placement. Inherits from its service.",
    groups: &[MODEL_KEYS, SERVICE_POLICY, ACCOUNT_POLICY],
};

const MODEL_KEYS: &[KeySpec] = &[
    key(
        "version",
        ValueType::Text,
        DefaultValue::Text(""),
        "Version of the weights.",
    ),
    key(
        "adapter",
        ValueType::Text,
        DefaultValue::Text(""),
        "Adapter that is loaded on top of the weights; empty for none.",
    ),
    key(
        "endpoints",
        ValueType::Names,
        DefaultValue::EmptyList,
        "Endpoints of the service that serve it; empty means all of them.",
    ),
];

/// An endpoint.
pub static ENDPOINT: BranchSpec = BranchSpec {
    label: "endpoints.NAME",
    help: "One endpoint. Inherits from its service, then from the root.",
    groups: &[ENDPOINT_KEYS, ENDPOINT_POLICY],
};

const ENDPOINT_KEYS: &[KeySpec] = &[
    key(
        "service",
        ValueType::Name,
        DefaultValue::Required,
        "Service that it belongs to.",
    ),
    key(
        "draining",
        ValueType::Boolean,
        DefaultValue::Boolean(false),
        "Whether it is draining: it finishes its requests and accepts no new ones.",
    ),
];

/// A client account.
pub static ACCOUNT: BranchSpec = BranchSpec {
    label: "accounts.NAME",
    help: "One client account. A value set here takes precedence over the service's; a value that \
           is not set is inherited from the service of the request, then from the root.",
    groups: &[ACCOUNT_KEYS, ACCOUNT_POLICY],
};

const ACCOUNT_KEYS: &[KeySpec] = &[
    key(
        "key_hash",
        ValueType::KeyHash,
        DefaultValue::Required,
        "SHA-256 of the account key, as `sapphirectl hash-key` prints it.",
    ),
    key(
        "services",
        ValueType::Names,
        DefaultValue::EmptyList,
        "Services that it may use; empty means all of them.",
    ),
    key(
        "per_service",
        ValueType::Branches(&ACCOUNT_SERVICE),
        DefaultValue::Absent,
        "Values for its requests to one service, by the service's name.",
    ),
];

/// An account's values for one service.
pub static ACCOUNT_SERVICE: BranchSpec = BranchSpec {
    label: "accounts.NAME.per_service.NAME",
    help: "An account's values for one service. Inherits from the account, then from the \
           service, then from the root.",
    groups: &[ACCOUNT_POLICY],
};

/// An operator.
pub static OPERATOR: BranchSpec = BranchSpec {
    label: "operators.NAME",
    help: "One operator. Inherits nothing.",
    groups: &[OPERATOR_KEYS],
};

const OPERATOR_KEYS: &[KeySpec] = &[
    key(
        "key_hash",
        ValueType::KeyHash,
        DefaultValue::Required,
        "SHA-256 of the operator key, as `sapphirectl hash-key` prints it.",
    ),
    key(
        "role",
        ValueType::Choice(&["read", "change"]),
        DefaultValue::Text("read"),
        "`read` may see settings, status and decisions; `change` may also change settings.",
    ),
];

/// All kinds of branches, in the order of the settings reference.
pub static BRANCHES: &[&BranchSpec] = &[
    &ROOT,
    &SERVICE,
    &MODEL,
    &ENDPOINT,
    &ACCOUNT,
    &ACCOUNT_SERVICE,
    &OPERATOR,
];
