//! What a key table is made of. The tables are in [`crate::keys`].

/// Form and range of a value.
#[derive(Clone, Copy, Debug)]
pub enum ValueType {
    /// A whole number.
    Integer {
        /// Least accepted value.
        min: u64,
        /// Largest accepted value.
        max: u64,
    },
    /// A finite number.
    Number {
        /// Least accepted value.
        min: f64,
        /// Largest accepted value.
        max: f64,
    },
    /// `true` or `false`.
    Boolean,
    /// Text of at most [`MAX_TEXT_BYTES`], possibly empty.
    Text,
    /// A name; see [`is_name`].
    Name,
    /// One of these words.
    Choice(&'static [&'static str]),
    /// A list of distinct names.
    Names,
    /// A list of distinct HTTP methods in capitals.
    Methods,
    /// SHA-256 in 64 lower-case hexadecimal digits.
    KeyHash,
    /// IP number and port, for example `127.0.0.1:7000`.
    Address,
    /// A list of distinct addresses, at least one.
    Addresses,
    /// Path of a file or folder.
    File,
    /// Named branches of one kind.
    Branches(&'static BranchSpec),
    /// One table.
    Section(&'static BranchSpec),
    /// A list of tables, at least one.
    List(&'static BranchSpec),
}

/// Value of a key that is not set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DefaultValue {
    /// The key must be set.
    Required,
    /// Nothing.
    Absent,
    /// A whole number.
    Integer(u64),
    /// A number.
    Number(f64),
    /// `true` or `false`.
    Boolean(bool),
    /// Text.
    Text(&'static str),
    /// The empty list.
    EmptyList,
}

/// One key of a table.
#[derive(Clone, Copy, Debug)]
pub struct KeySpec {
    /// Name of the key.
    pub name: &'static str,
    /// Form and range of its value.
    pub value_type: ValueType,
    /// Value when neither this branch nor one that it inherits from sets it.
    pub default: DefaultValue,
    /// Whether a branch takes the value of its parent when it does not set its own.
    pub is_inherited: bool,
    /// What it does, in one or two sentences.
    pub help: &'static str,
}

/// One kind of branch or file.
#[derive(Debug)]
pub struct BranchSpec {
    /// Name of the table in messages and on the settings page, for example `services.NAME`.
    pub label: &'static str,
    /// What it describes and what it inherits from.
    pub help: &'static str,
    /// Its keys, in groups that several kinds share.
    pub groups: &'static [&'static [KeySpec]],
}

impl BranchSpec {
    /// Every key, in the order of the groups.
    pub fn keys(&self) -> impl Iterator<Item = &'static KeySpec> + use<> {
        self.groups.iter().flat_map(|group| group.iter())
    }

    /// The key called `name`.
    pub fn key(&self, name: &str) -> Option<&'static KeySpec> {
        self.keys().find(|key| key.name == name)
    }
}

/// Longest text in bytes.
pub const MAX_TEXT_BYTES: usize = 1_024;
/// Longest name in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Whether `text` may name a service, model, endpoint, account, operator or instance: 1 to 64
/// ASCII letters, digits and `-_.:/+@`, starting with a letter or digit.
pub fn is_name(text: &str) -> bool {
    let starts_well = text
        .bytes()
        .next()
        .is_some_and(|byte| byte.is_ascii_alphanumeric());
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:/+@".contains(&byte);
    starts_well && text.len() <= MAX_NAME_BYTES && text.bytes().all(is_allowed)
}
