//! Errors and exit codes.

use derive_more::{Display, Error, From};
use fault::FaultKind;
use settings::operator::FaultBody;

/// Result of a command.
pub type Result<T> = std::result::Result<T, CtlError>;

/// Exit code of the program. In JSON errors, the lower-case name of the variant is the kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitKind {
    /// Success.
    Done = 0,
    /// Unexpected error: a malformed response, an I/O error, or a fault kind without a code.
    Internal = 1,
    /// The command line is invalid, or a key or address is missing.
    Usage = 2,
    /// The fleet refused the request, because the settings are invalid or the request is malformed.
    Refused = 3,
    /// The same branches changed in the meantime, or the change id belongs to another change.
    Conflict = 4,
    /// The operator key is unknown or lacks the permission.
    Forbidden = 5,
    /// The setting, endpoint, version or request does not exist.
    NotFound = 6,
    /// No instance answered in time.
    Unreachable = 7,
    /// The change was accepted, but did not come into force everywhere, or the endpoints did not
    /// reach the wanted state, in time.
    Incomplete = 8,
}

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum CtlError {
    /// The command line is invalid.
    #[display("{_0}")]
    #[from(skip)]
    Usage(#[error(not(source))] String),
    /// The fleet refused the request.
    #[display("{}: {}", _0.kind, _0.message)]
    Refused(#[error(not(source))] FaultBody),
    /// The setting, endpoint, version or request does not exist.
    #[display("{_0}")]
    #[from(skip)]
    NotFound(#[error(not(source))] String),
    /// No instance answered in time.
    #[display("{_0}")]
    #[from(skip)]
    Unreachable(#[error(not(source))] String),
    /// The change was accepted, but its effect was not complete in time.
    #[display("{_0}")]
    #[from(skip)]
    Incomplete(#[error(not(source))] String),
    /// The response cannot be parsed.
    #[display("{_0}")]
    #[from(skip)]
    Malformed(#[error(not(source))] String),
    /// Reading a file or writing the output failed.
    #[display("{_0}")]
    Io(std::io::Error),
}

impl CtlError {
    /// The exit code for this error.
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

    /// The error in the form of a fault, for JSON output.
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

/// The fault kind named in an error body; `None` if this program does not know it.
pub fn fault_kind(body: &FaultBody) -> Option<FaultKind> {
    let mut kinds = FaultKind::ALL.into_iter();
    kinds.find(|kind| kind.to_string() == body.kind)
}

/// The exit code for a refusal with this fault kind.
pub fn refusal_exit(kind: Option<FaultKind>) -> ExitKind {
    use FaultKind as K;
    match kind {
        Some(K::VersionConflict | K::KeyConflict) => ExitKind::Conflict,
        Some(K::MissingKey | K::UnknownKey | K::Forbidden) => ExitKind::Forbidden,
        Some(K::UnknownService | K::UnknownModel) => ExitKind::NotFound,
        Some(K::ControlUnreachable | K::ChangeUnconfirmed | K::Draining | K::SettingsStale) => {
            ExitKind::Unreachable
        }
        Some(
            K::InvalidSettings
            | K::MalformedRequest
            | K::OversizedBody
            | K::OversizedHead
            | K::StoreFull,
        ) => ExitKind::Refused,
        _ => ExitKind::Internal,
    }
}
