//! The key tables of the programs' files. docs/SETTINGS.md is generated from them.

use crate::defaults as d;
use crate::keys::{key, whole};
use crate::schema::{BranchSpec, DefaultValue, KeySpec, ValueForm};

/// The file of each program, in the order of the page.
pub static FILES: &[&BranchSpec] = &[&ENTRY, &AGENT, &CONTROL, &PEER, &INSTANCE];

pub(crate) static ENTRY: BranchSpec = BranchSpec {
    place: "file of sapphire-entry",
    help: "One entry instance.",
    groups: &[INSTANCE_SECTION, CONTROL_ADDRESSES],
};

pub(crate) static AGENT: BranchSpec = BranchSpec {
    place: "file of sapphire-agent",
    help: "One agent, beside its endpoint.",
    groups: &[INSTANCE_SECTION, CONTROL_ADDRESSES, AGENT_KEYS],
};

pub(crate) static CONTROL: BranchSpec = BranchSpec {
    place: "file of sapphire-control",
    help: "One control instance.",
    groups: &[INSTANCE_SECTION, CONTROL_KEYS],
};

static INSTANCE: BranchSpec = BranchSpec {
    place: "instance",
    help: "The instance itself, in the file of every program.",
    groups: &[INSTANCE_KEYS],
};

static PEER: BranchSpec = BranchSpec {
    place: "peers",
    help: "One of the control instances, in the file of `sapphire-control`.",
    groups: &[PEER_KEYS],
};

const INSTANCE_SECTION: &[KeySpec] = &[required(
    "instance",
    ValueForm::Section(&INSTANCE),
    "The instance itself.",
)];

const INSTANCE_KEYS: &[KeySpec] = &[
    required("name", ValueForm::Name, "Unique name of this instance."),
    required(
        "failure_domain",
        ValueForm::Name,
        "Failure domain that it runs in.",
    ),
    required(
        "secret_file",
        ValueForm::File,
        "File with the secret that authenticates the processes to each other.",
    ),
    required(
        "http",
        ValueForm::Address,
        "Address of the HTTP server: callers and operators, `/healthz`, `/readyz`, `/metrics`.",
    ),
    key(
        "account_labels",
        whole(0, 10_000),
        DefaultValue::Whole(d::ACCOUNT_LABELS as u64),
        "Client accounts with a label of their own in the metrics; all others share `other`. Each \
         costs about 15 kB.",
    ),
];

const CONTROL_ADDRESSES: &[KeySpec] = &[required(
    "control",
    ValueForm::Addresses,
    "Link addresses of the control instances, at most 7.",
)];

const AGENT_KEYS: &[KeySpec] = &[
    required(
        "link",
        ValueForm::Address,
        "Address on which entries reach this agent.",
    ),
    required(
        "endpoint",
        ValueForm::Name,
        "Name of the endpoint in the settings tree.",
    ),
    required(
        "endpoint_http",
        ValueForm::Address,
        "Address of the endpoint's HTTP server.",
    ),
];

const CONTROL_KEYS: &[KeySpec] = &[
    required(
        "link",
        ValueForm::Address,
        "Address on which the other processes reach this one.",
    ),
    required(
        "peers",
        ValueForm::List(&PEER),
        "All control instances, this one included: 1, 3, 5 or 7.",
    ),
    required("data", ValueForm::File, "Data folder."),
    key(
        "first_tree",
        ValueForm::File,
        DefaultValue::Absent,
        "Settings tree of the first start, as a TOML file. Ignored once a tree was accepted.",
    ),
    key(
        "platform_list",
        ValueForm::Address,
        DefaultValue::Absent,
        "Address of the platform's list of instances.",
    ),
];

const PEER_KEYS: &[KeySpec] = &[
    required("name", ValueForm::Name, "Its name."),
    required("link", ValueForm::Address, "Its link address."),
];

const fn required(name: &'static str, form: ValueForm, help: &'static str) -> KeySpec {
    key(name, form, DefaultValue::Required, help)
}
