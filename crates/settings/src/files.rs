//! Key tables of the programs' configuration files. docs/SETTINGS.md is generated from them.

use crate::defaults as d;
use crate::keys::{integer, key};
use crate::schema::{BranchSpec, DefaultValue, KeySpec, ValueType};

/// The tables of all configuration files, in the order of the settings reference.
pub static FILES: &[&BranchSpec] = &[
    &ENTRY, &AGENT, &CONTROL, &GATEWAY, &PEER, &INSTANCE, &LIST, &RETRIES, &LIMITS,
];

pub(crate) static ENTRY: BranchSpec = BranchSpec {
    label: "file of sapphire-entry",
    help: "One entry instance.",
    groups: &[INSTANCE_SECTION, CONTROL_ADDRESSES, LIMITS_GROUP],
};

pub(crate) static AGENT: BranchSpec = BranchSpec {
    label: "file of sapphire-agent",
    help: "One agent, beside its endpoint.",
    groups: &[
        INSTANCE_SECTION,
        CONTROL_ADDRESSES,
        AGENT_KEYS,
        LIMITS_GROUP,
    ],
};

pub(crate) static CONTROL: BranchSpec = BranchSpec {
    label: "file of sapphire-control",
    help: "One control instance.",
    groups: &[INSTANCE_SECTION, CONTROL_KEYS, LIMITS_GROUP],
};

pub(crate) static GATEWAY: BranchSpec = BranchSpec {
    label: "file of sapphire-gateway",
    help: "One gateway, which accepts calls on routes and forwards them directly to endpoints.",
    groups: &[GATEWAY_KEYS, LIMITS_GROUP],
};

static LIST: BranchSpec = BranchSpec {
    label: "list",
    help: "The platform's list of endpoints, in the file of `sapphire-gateway`.",
    groups: &[LIST_KEYS],
};

static RETRIES: BranchSpec = BranchSpec {
    label: "retries",
    help: "The retry budget of a service, in the file of `sapphire-gateway`.",
    groups: &[RETRY_KEYS],
};

static LIMITS: BranchSpec = BranchSpec {
    label: "limits",
    help: "Limits on clients that hold memory or connections, in the file of every program.",
    groups: &[LIMIT_KEYS],
};

static INSTANCE: BranchSpec = BranchSpec {
    label: "instance",
    help: "The instance itself, in the file of every program but `sapphire-gateway`.",
    groups: &[INSTANCE_KEYS],
};

static PEER: BranchSpec = BranchSpec {
    label: "peers",
    help: "One of the control instances, in the file of `sapphire-control`.",
    groups: &[PEER_KEYS],
};

const INSTANCE_SECTION: &[KeySpec] = &[required(
    "instance",
    ValueType::Section(&INSTANCE),
    "The instance itself.",
)];

const INSTANCE_KEYS: &[KeySpec] = &[
    required("name", ValueType::Name, "Unique name of this instance."),
    required(
        "failure_domain",
        ValueType::Name,
        "Failure domain that it runs in.",
    ),
    required(
        "secret_file",
        ValueType::File,
        "File with the secret that authenticates the processes to each other.",
    ),
    required(
        "http",
        ValueType::Address,
        "Address of the HTTP server: callers and operators, `/healthz`, `/readyz`, `/metrics`.",
    ),
    key(
        "account_labels",
        integer(0, 10_000),
        DefaultValue::Integer(d::ACCOUNT_LABELS as u64),
        "Client accounts with a label of their own in the metrics; all others share `other`. Each \
         costs about 15 kB.",
    ),
];

const CONTROL_ADDRESSES: &[KeySpec] = &[required(
    "control",
    ValueType::Addresses,
    "Link addresses of the control instances, at most 7.",
)];

const AGENT_KEYS: &[KeySpec] = &[
    required(
        "link",
        ValueType::Address,
        "Address on which entries reach this agent.",
    ),
    required(
        "endpoint",
        ValueType::Name,
        "Name of the endpoint in the settings tree.",
    ),
    required(
        "endpoint_http",
        ValueType::Address,
        "Address of the endpoint's HTTP server.",
    ),
];

const CONTROL_KEYS: &[KeySpec] = &[
    required(
        "link",
        ValueType::Address,
        "Address on which the other processes reach this one.",
    ),
    required(
        "peers",
        ValueType::List(&PEER),
        "All control instances, this one included: 1, 3, 5 or 7.",
    ),
    required("data", ValueType::File, "Data folder."),
    key(
        "first_tree",
        ValueType::File,
        DefaultValue::Absent,
        "Settings tree of the first start, as a TOML file. Ignored once a tree was accepted.",
    ),
    key(
        "platform_list",
        ValueType::Address,
        DefaultValue::Absent,
        "Address of the platform's list of instances.",
    ),
];

const GATEWAY_KEYS: &[KeySpec] = &[
    required("name", ValueType::Name, "Unique name of this instance."),
    required(
        "failure_domain",
        ValueType::Name,
        "Failure domain that it runs in.",
    ),
    key(
        "domains",
        ValueType::NameMap,
        DefaultValue::Absent,
        "Region of each failure domain, by name. May also be a JSON object in a text. Operators can \
         evacuate these domains, and those in which an endpoint is listed.",
    ),
    required(
        "callers",
        ValueType::Address,
        "Address that serves callers.",
    ),
    required(
        "readiness",
        ValueType::Address,
        "Address that serves the load balancer's readiness checks.",
    ),
    required(
        "operators",
        ValueType::Address,
        "Address that serves operators.",
    ),
    key(
        "metrics",
        ValueType::Address,
        DefaultValue::Absent,
        "Address that serves `/metrics` in addition to the operators' address.",
    ),
    required(
        "link",
        ValueType::Address,
        "Address on which the other gateways reach it, by TCP and UDP. IPv4.",
    ),
    required(
        "seeds",
        ValueType::Addresses,
        "Seed gateways, from which this one learns about the others. It may be one of them.",
    ),
    key(
        "seed_link_port",
        integer(1, 65_535),
        DefaultValue::Absent,
        "Link port of every seed, if `seeds` lists addresses with another port.",
    ),
    key(
        "data",
        ValueType::File,
        DefaultValue::Absent,
        "Data folder. A gateway that has one stores the catalog and can vote.",
    ),
    key(
        "tolerated_losses",
        integer(0, 3),
        DefaultValue::Integer(d::TOLERATED_LOSSES),
        "Number of data folders that may be lost at the same time. Removals leave more than twice \
         as many voters.",
    ),
    key(
        "first_start",
        ValueType::Boolean,
        DefaultValue::Boolean(false),
        "Whether the fleet as a whole is starting for the first time, so that a cluster may be \
         bootstrapped, and no stream has begun before. Must be false at every later start.",
    ),
    key(
        "share_accounts",
        ValueType::Boolean,
        DefaultValue::Boolean(false),
        "Whether client accounts share the slots of a service over all gateways while it is short \
         of slots. Fleets of more than 33 gateways do not.",
    ),
    key(
        "secret_file",
        ValueType::File,
        DefaultValue::Absent,
        "File with the secret that authenticates the gateways to each other. Without one, any \
         process that reaches the link may join.",
    ),
    key(
        "grace_s",
        ValueType::Number {
            min: 0.0,
            max: 600.0,
        },
        DefaultValue::Number(d::GRACE_S),
        "Time between SIGTERM and SIGKILL, in seconds. Calls that are still running end before \
         SIGKILL.",
    ),
    required(
        "list",
        ValueType::Section(&LIST),
        "The platform's list of endpoints.",
    ),
    required("retries", ValueType::Section(&RETRIES), "The retry budget."),
];

const LIMITS_GROUP: &[KeySpec] = &[key(
    "limits",
    ValueType::Section(&LIMITS),
    DefaultValue::Absent,
    "Limits on clients.",
)];

const LIMIT_KEYS: &[KeySpec] = &[
    key(
        "memory_mb",
        integer(64, 1024 * 1024),
        DefaultValue::Absent,
        "Memory of the machine in MB, from which the default of `budget_mb` follows.",
    ),
    key(
        "budget_mb",
        integer(d::MIN_BUDGET_MB, 1024 * 1024),
        DefaultValue::Absent,
        "Byte budget in MB: what all clients together can make the process hold. Default: 0.3 of \
         `memory_mb`, or 48 without that, and 0.6 of this in programs with several threads (all but \
         `sapphire-gateway`); at most half of `memory_mb`.",
    ),
    key(
        "connections",
        integer(16, 1_000_000),
        DefaultValue::Integer(d::CONNECTIONS as u64),
        "Maximum number of connections of callers. Beyond it, the connection that has been without \
         progress for the longest is closed.",
    ),
    key(
        "connections_per_address",
        integer(0, 1_000_000),
        DefaultValue::Integer(d::CONNECTIONS_PER_ADDRESS as u64),
        "Maximum number of connections from one peer address; 0 is unlimited.",
    ),
    key(
        "pipelined_requests",
        integer(1, 1_000_000),
        DefaultValue::Integer(d::PIPELINED_REQUESTS as u64),
        "Requests in a row that a caller may send on one connection without waiting for the answer \
         before.",
    ),
    key(
        "body_pause_ms",
        integer(100, 600_000),
        DefaultValue::Integer(d::BODY_PAUSE_MS),
        "Maximum time between two parts of a body, in milliseconds.",
    ),
    key(
        "body_time_s",
        ValueType::Number {
            min: 1.0,
            max: 86_400.0,
        },
        DefaultValue::Number(d::BODY_TIME_S),
        "Maximum time for a body, in seconds.",
    ),
    key(
        "min_bytes_per_s",
        integer(0, 1_000_000_000),
        DefaultValue::Integer(d::MIN_BYTES_PER_S),
        "Minimum rate at which a body is sent and an answer is taken, in bytes a second; 0 is none.",
    ),
    key(
        "grace_s",
        ValueType::Number {
            min: 0.1,
            max: 3600.0,
        },
        DefaultValue::Number(d::LIMITS_GRACE_S),
        "Time by which a body or an answer may be late at that rate, in seconds.",
    ),
];

const LIST_KEYS: &[KeySpec] = &[
    required("address", ValueType::Address, "Address of the list."),
    key(
        "interval_ms",
        integer(100, 60_000),
        DefaultValue::Integer(d::LIST_INTERVAL_MS),
        "Polling interval in milliseconds. One gateway polls for all.",
    ),
    key(
        "lag_ms",
        integer(0, 60_000),
        DefaultValue::Integer(d::LIST_LAG_MS),
        "Longest time in milliseconds by which the list is behind when it is read. An endpoint that \
         may have restarted takes no resumed stream until a later reading shows its version.",
    ),
];

const RETRY_KEYS: &[KeySpec] = &[
    key(
        "ratio",
        ValueType::Number {
            min: 0.0,
            max: 10.0,
        },
        DefaultValue::Number(d::RETRY_RATIO),
        "Retries allowed for each request of a service within the window.",
    ),
    key(
        "extra",
        ValueType::Number {
            min: 0.0,
            max: 1_000_000.0,
        },
        DefaultValue::Number(d::RETRY_EXTRA),
        "Retries allowed within the window in addition, over all gateways together.",
    ),
    key(
        "window_s",
        ValueType::Number {
            min: 0.1,
            max: 600.0,
        },
        DefaultValue::Number(d::RETRY_WINDOW_S),
        "Length of the sliding window in seconds.",
    ),
];

const PEER_KEYS: &[KeySpec] = &[
    required("name", ValueType::Name, "Its name."),
    required("link", ValueType::Address, "Its link address."),
];

const fn required(name: &'static str, value_type: ValueType, help: &'static str) -> KeySpec {
    key(name, value_type, DefaultValue::Required, help)
}
