//! The compared policies for choosing an endpoint.

use std::str::FromStr;

use derive_more::Display;

/// A policy for choosing an endpoint.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub(crate) enum PolicyKind {
    /// A random serving endpoint.
    #[display("random")]
    Random,
    /// The least loaded endpoint in the entry's view.
    #[display("least")]
    Least,
    /// The first endpoint of the preference order; an endpoint at the load bound refuses.
    #[display("rendezvous")]
    Rendezvous,
    /// The policy of crate `route`.
    #[default]
    #[display("warm")]
    Warm,
    /// A choice by an exact view of all endpoints.
    #[display("ideal")]
    Ideal,
}

impl PolicyKind {
    /// Every policy, the simplest first.
    pub(crate) const ALL: [Self; 5] = [
        Self::Random,
        Self::Least,
        Self::Rendezvous,
        Self::Warm,
        Self::Ideal,
    ];
}

impl FromStr for PolicyKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.to_string() == text)
            .ok_or_else(|| "expected random, least, rendezvous, warm or ideal".to_owned())
    }
}
