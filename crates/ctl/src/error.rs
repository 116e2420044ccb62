//! What can go wrong, and the exit codes.

use derive_more::{Display, Error, From};
use fault::FaultKind;
use settings::operator::FaultBody;

/// Result of a command.
pub type Result<T> = std::result::Result<T, CtlError>;

/// Exit code of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitKind {
    /// Done.
    Done = 0,
    /// Something unexpected.
    Internal = 1,
    /// The command line is wrong, or a key or address is missing.
    Usage = 2,
    /// The fleet refused: the settings are invalid or the request is malformed.
    Refused = 3,
    /// The same branches changed, or the change id is taken.
    Conflict = 4,
    /// The operator key is unknown or may not do this.
    Forbidden = 5,
    /// There is no such thing.
    NotFound = 6,
    /// Nobody answered in time.
    Unreachable = 7,
    /// Accepted, but not in force everywhere, or not idle, in time.
    Incomplete = 8,
}

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum CtlError {
    /// The command line is wrong.
    #[display("{_0}")]
    #[from(skip)]
    Usage(#[error(not(source))] String),
    /// The fleet refused.
    #[display("{}: {}", _0.kind, _0.message)]
    Refused(#[error(not(source))] FaultBody),
    /// There is no such thing.
    #[display("{_0}")]
    #[from(skip)]
    NotFound(#[error(not(source))] String),
    /// Nobody answered in time.
    #[display("{_0}")]
    #[from(skip)]
    Unreachable(#[error(not(source))] String),
    /// Accepted, but not complete in time.
    #[display("{_0}")]
    #[from(skip)]
    Incomplete(#[error(not(source))] String),
    /// The answer cannot be understood.
    #[display("{_0}")]
    #[from(skip)]
    Malformed(#[error(not(source))] String),
    /// A file or the output failed.
    #[display("{_0}")]
    Io(std::io::Error),
}

impl CtlError {
    /// The exit code that tells this.
    pub fn exit(&self) -> ExitKind {
        match self {
            Self::Usage(_) => ExitKind::Usage,
            Self::Refused(body) => refusal_exit(fault_kind(body)),
            Self::NotFound(_) => ExitKind::NotFound,
            Self::Unreachable(_) => ExitKind::Unreachable,
            Self::Incomplete(_) => ExitKind::Incomplete,
            Self::Malformed(_) | Self::Io(_) => ExitKind::Internal,
        }
    }

    /// The error as the JSON of a fault.
    pub fn body(&self) -> FaultBody {
        match self {
            Self::Refused(body) => body.clone(),
            other => FaultBody {
                kind: format!("{:?}", other.exit()).to_lowercase(),
                outcome: self.outcome().to_owned(),
                message: other.to_string(),
            },
        }
    }

    fn outcome(&self) -> &'static str {
        match self {
            Self::Usage(_) | Self::NotFound(_) => "not-run",
            Self::Incomplete(_) => "ran",
            _ => "unknown",
        }
    }
}

/// The kind that an error body names, when this program knows it.
pub fn fault_kind(body: &FaultBody) -> Option<FaultKind> {
    let mut kinds = FaultKind::ALL.into_iter();
    kinds.find(|kind| kind.to_string() == body.kind)
}

/// Exit code for a refusal of this kind.
pub fn refusal_exit(kind: Option<FaultKind>) -> ExitKind {
    use FaultKind as K;
    match kind {
        Some(K::VersionConflict | K::KeyConflict) => ExitKind::Conflict,
        Some(K::MissingKey | K::UnknownKey | K::Forbidden) => ExitKind::Forbidden,
        Some(K::UnknownService | K::UnknownModel) => ExitKind::NotFound,
        Some(K::ControlUnreachable | K::Draining | K::SettingsStale) => ExitKind::Unreachable,
        Some(K::InvalidSettings | K::MalformedRequest | K::OversizedBody | K::StoreFull) => {
            ExitKind::Refused
        }
        _ => ExitKind::Internal,
    }
}
