//! Authentication of client accounts and operators by the `authorization` header.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use fault::FaultKind;

use crate::fleet::{AccountSettings, FleetSettings, OperatorRole, OperatorSettings};

/// Result of authenticating a client account or an operator.
pub type Result<T> = fault::Result<T>;

impl FleetSettings {
    /// The client account whose key is the bearer token of the header.
    ///
    /// # Errors
    /// `MissingKey` or `UnknownKey`.
    pub fn authorize_account(&self, header: Option<&str>) -> Result<(&str, &AccountSettings)> {
        let key = header.and_then(|header| header.strip_prefix("Bearer "));
        let key = key.ok_or_else(|| FaultKind::MissingKey.because("an account key is needed"))?;
        let found = self.account_of_key(key);
        found.ok_or_else(|| FaultKind::UnknownKey.because("no client account has this key"))
    }

    /// The operator whose key is the bearer token of the header, or the password of basic
    /// authentication, which lets a browser prompt for the key.
    ///
    /// # Errors
    /// `MissingKey`, `UnknownKey`, or `Forbidden` when the operator's role is below `role`.
    pub fn authorize_operator(
        &self,
        header: Option<&str>,
        role: OperatorRole,
    ) -> Result<(&str, &OperatorSettings)> {
        let key = header.and_then(operator_key);
        let key = key.ok_or_else(|| FaultKind::MissingKey.because("an operator key is needed"))?;
        let found = self.operator_of_key(&key);
        let (name, operator) =
            found.ok_or_else(|| FaultKind::UnknownKey.because("no operator has this key"))?;
        if operator.role < role {
            return Err(FaultKind::Forbidden.because("this operator may only read"));
        }
        Ok((name, operator))
    }
}

fn operator_key(header: &str) -> Option<String> {
    if let Some(key) = header.strip_prefix("Bearer ") {
        return Some(key.to_owned());
    }
    let encoded = header.strip_prefix("Basic ")?;
    let decoded = BASE64_STANDARD.decode(encoded).ok()?;
    let text = String::from_utf8(decoded).ok()?;
    let (_, password) = text.split_once(':')?;
    Some(password.to_owned())
}
