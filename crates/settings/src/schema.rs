//! Types that describe the keys of settings. The key tables are in [`crate::keys`] and
//! [`crate::files`].

/// Type and range of a value.
#[derive(Clone, Copy, Debug)]
pub enum ValueType {
    /// An integer.
    Integer {
        /// Smallest accepted value.
        min: u64,
        /// Largest accepted value.
        max: u64,
    },
    /// A finite number, written as an integer or as a float.
    Number {
        /// Smallest accepted value.
        min: f64,
        /// Largest accepted value.
        max: f64,
    },
    /// `true` or `false`.
    Boolean,
    /// A string of at most [`MAX_TEXT_BYTES`], possibly empty.
    Text,
    /// A name; see [`is_name`].
    Name,
    /// One of these strings.
    Choice(&'static [&'static str]),
    /// A list of distinct names.
    Names,
    /// A table from names to names, or the same as a JSON object in a string, for templates that
    /// can't write TOML tables.
    NameMap,
    /// A list of distinct HTTP methods in upper case.
    Methods,
    /// A SHA-256 hash as 64 lower-case hexadecimal digits.
    KeyHash,
    /// An IP address and port, for example `127.0.0.1:7000`.
    Address,
    /// A non-empty list of distinct addresses.
    Addresses,
    /// Path of a file or folder.
    File,
    /// A table of named branches of one kind.
    Branches(&'static BranchSpec),
    /// A single table.
    Section(&'static BranchSpec),
    /// A non-empty list of tables.
    List(&'static BranchSpec),
}

/// Default value of a key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DefaultValue {
    /// No default: the key must be set.
    Required,
    /// The key may be left out and then has no value.
    Absent,
    /// An integer.
    Integer(u64),
    /// A floating-point number.
    Number(f64),
    /// `true` or `false`.
    Boolean(bool),
    /// A string.
    Text(&'static str),
    /// The empty list.
    EmptyList,
}

/// One key of a table.
#[derive(Clone, Copy, Debug)]
pub struct KeySpec {
    /// Name of the key.
    pub name: &'static str,
    /// Type and range of its value.
    pub value_type: ValueType,
    /// Value if neither this branch nor one that it inherits from sets the key.
    pub default: DefaultValue,
    /// Whether a branch that does not set the key inherits the value of its parent.
    pub is_inherited: bool,
    /// Description for the settings reference, in one or two sentences.
    pub help: &'static str,
}

/// One kind of table: a branch of the settings tree, a configuration file or a table in one.
#[derive(Debug)]
pub struct BranchSpec {
    /// Name of the table in messages and in the settings reference, for example `services.NAME`.
    pub label: &'static str,
    /// Description for the settings reference: the meaning of the table and what it inherits from.
    pub help: &'static str,
    /// Its keys, as groups that can be shared between kinds of tables.
    pub groups: &'static [&'static [KeySpec]],
}

impl BranchSpec {
    /// Every key, in the order of the groups.
    pub fn keys(&self) -> impl Iterator<Item = &'static KeySpec> + use<> {
        self.groups.iter().flat_map(|group| group.iter())
    }

    /// The key with this name.
    pub fn key(&self, name: &str) -> Option<&'static KeySpec> {
        self.keys().find(|key| key.name == name)
    }
}

/// Maximum length of a string in bytes.
pub const MAX_TEXT_BYTES: usize = 1_024;
/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Whether `text` is a valid name of a service, model, endpoint, account, operator or instance:
/// 1 to 64 ASCII letters, digits and `-_.:/+@`, starting with a letter or digit.
pub fn is_name(text: &str) -> bool {
    let starts_well = text
        .bytes()
        .next()
        .is_some_and(|byte| byte.is_ascii_alphanumeric());
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:/+@".contains(&byte);
    starts_well && text.len() <= MAX_NAME_BYTES && text.bytes().all(is_allowed)
}
