//! Evacuation of failure domains: the replicated state, its encoding in the log and in snapshots,
//! and the parsing of operators' orders.

use percent_encoding::percent_decode_str;
use platform::paths::EVACUATIONS;
use replica::id::LogIndex;
use replica::{EntryPayload, LogEntry};
use wire::codec;
use wire::gateway::{
    CatalogText, EvacuatedDomain, EvacuationAction, EvacuationNotice, EvacuationOrder,
    EvacuationState,
};

/// Longest name of a failure domain in an order, in bytes. Names of the settings are shorter.
const MAX_DOMAIN_BYTES: usize = 256;

/// Applies an order. Returns whether it changed anything; an order that is repeated does not.
pub fn apply_order(state: &mut EvacuationState, order: &EvacuationOrder) -> bool {
    let domains = &mut state.domains;
    let position = domains.binary_search_by(|held| held.name.as_str().cmp(&order.domain));
    match (order.action, position) {
        (EvacuationAction::Begin, Err(position)) => {
            let domain = EvacuatedDomain {
                name: order.domain.clone(),
                since_ms: order.at_ms,
            };
            domains.insert(position, domain);
        }
        (EvacuationAction::Finish, Ok(position)) => {
            domains.remove(position);
        }
        (EvacuationAction::Begin, Ok(_)) | (EvacuationAction::Finish, Err(_)) => return false,
    }
    state.revision += 1;
    true
}

/// Whether a domain is evacuated.
pub fn is_evacuated(state: &EvacuationState, domain: &str) -> bool {
    state.domains.iter().any(|held| held.name == domain)
}

/// The notice of a state, with its domains.
pub fn whole_notice(state: &EvacuationState) -> EvacuationNotice {
    EvacuationNotice {
        revision: state.revision,
        domains: Some(state.domains.clone()),
    }
}

/// A command of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogCommand {
    /// Replace the catalog.
    Catalog(CatalogText),
    /// Carry out an order.
    Evacuate(EvacuationOrder),
}

/// Encodes a command. An order is encoded as a catalog of version 0, which no operator's catalog
/// has, with the order in place of the text: builds that know no orders read a catalog that is not
/// newer than theirs and ignore it.
///
/// # Errors
/// A command that is too large.
pub fn encode_command(command: &LogCommand) -> codec::Result<Vec<u8>> {
    match command {
        LogCommand::Catalog(text) => codec::encode(text),
        LogCommand::Evacuate(order) => codec::encode(&CatalogText {
            version: 0,
            compressed: codec::encode(order)?,
        }),
    }
}

/// Decodes a command of this build or an older one.
///
/// # Errors
/// Bytes that are no command.
pub fn decode_command(bytes: &[u8]) -> codec::Result<LogCommand> {
    let text: CatalogText = codec::decode_as(bytes)?;
    if text.version > 0 {
        return Ok(LogCommand::Catalog(text));
    }
    Ok(LogCommand::Evacuate(codec::decode_as(&text.compressed)?))
}

/// Encodes a snapshot: the catalog, followed by the evacuations if there were any orders. Without
/// orders it is the snapshot of builds that know none.
///
/// # Errors
/// The encoder's error.
pub fn encode_snapshot(
    catalog: &CatalogText,
    evacuations: &EvacuationState,
) -> codec::Result<Vec<u8>> {
    match evacuations.revision {
        0 => codec::encode_state(catalog),
        _ => codec::encode_state(&(catalog, evacuations)),
    }
}

/// Decodes a snapshot of this build or an older one.
///
/// # Errors
/// Bytes that are no snapshot.
pub fn decode_snapshot(bytes: &[u8]) -> codec::Result<(CatalogText, EvacuationState)> {
    match codec::decode_state::<CatalogText>(bytes) {
        Ok(catalog) => Ok((catalog, EvacuationState::default())),
        Err(_) => codec::decode_state(bytes),
    }
}

/// The evacuations by a snapshot and all entries after it, whether or not they are committed. `None`
/// if no entry after the snapshot is an order. What can't be decoded is skipped here; applying it
/// logs the error.
pub fn recovered_evacuations(
    snapshot: Option<(LogIndex, &[u8])>,
    entries: &[LogEntry],
) -> Option<EvacuationState> {
    let (start, bytes) = snapshot.unwrap_or_default();
    let of_snapshot = decode_snapshot(bytes).map(|(_, state)| state);
    let mut state = of_snapshot.unwrap_or_default();
    let mut is_changed = false;
    for entry in entries.iter().filter(|entry| entry.index > start) {
        if let EntryPayload::Command(bytes) = &entry.payload
            && let Ok(LogCommand::Evacuate(order)) = decode_command(bytes)
        {
            is_changed |= apply_order(&mut state, &order);
        }
    }
    is_changed.then_some(state)
}

/// Result of reading the path of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderPath {
    /// The path is not one of an order.
    Other,
    /// The path is one of an order, but the name of the failure domain is malformed.
    Malformed(&'static str),
    /// An order for a failure domain.
    Order(String, EvacuationAction),
}

/// Reads the path of a POST request, `EVACUATIONS/DOMAIN/begin` or `EVACUATIONS/DOMAIN/finish`. The
/// name of the domain is percent-encoded.
pub fn read_order_path(path: &str) -> OrderPath {
    let rest = path.strip_prefix(EVACUATIONS);
    let Some(rest) = rest.and_then(|rest| rest.strip_prefix('/')) else {
        return OrderPath::Other;
    };
    let Some((domain, action)) = rest.rsplit_once('/') else {
        return OrderPath::Malformed("no failure domain or no action is given");
    };
    let action = match action {
        "begin" => EvacuationAction::Begin,
        "finish" => EvacuationAction::Finish,
        _ => return OrderPath::Malformed("the action is neither `begin` nor `finish`"),
    };
    if domain.contains('/') {
        return OrderPath::Malformed("a slash in the name of a failure domain must be encoded");
    }
    let Ok(domain) = percent_decode_str(domain).decode_utf8() else {
        return OrderPath::Malformed("the name of the failure domain is not UTF-8");
    };
    if domain.is_empty() || domain.len() > MAX_DOMAIN_BYTES {
        return OrderPath::Malformed("the name of the failure domain must have 1 to 256 bytes");
    }
    if domain.chars().any(char::is_control) {
        return OrderPath::Malformed("the name of the failure domain has control characters");
    }
    OrderPath::Order(domain.into_owned(), action)
}
