//! The ways to choose an endpoint that are compared.

use std::str::FromStr;

use derive_more::Display;

/// One way to choose an endpoint.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub(crate) enum PolicyKind {
    /// Any serving endpoint.
    #[display("random")]
    Random,
    /// The least loaded endpoint as the entry sees it.
    #[display("least")]
    Least,
    /// The first endpoint of the preference order that is under the load bound.
    #[display("rendezvous")]
    Rendezvous,
    /// The product's choice.
    #[default]
    #[display("warm")]
    Warm,
    /// A choice that knows everything at once.
    #[display("ideal")]
    Ideal,
}

impl PolicyKind {
    /// Every policy, weakest first.
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
