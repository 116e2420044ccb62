//! The warm hint: the endpoints that hold a chat in their cache. The caller gets it with an answer
//! and sends it with its next request.
//!
//! A hint only influences the choice of endpoint and grants no access, so it is not authenticated:
//! a forged hint costs its sender a cold cache.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use wire::id::EndpointId;

/// Largest number of locations in a hint.
pub const MAX_WARM_LOCATIONS: usize = 2;
/// Largest accepted length of a hint's text in bytes.
const MAX_HINT_BYTES: usize = 160;
/// Separates locations in the text form.
const LOCATION_SEPARATOR: char = '-';
/// Separates the fields of a location in the text form.
const FIELD_SEPARATOR: char = '.';

/// The text is not a valid warm hint.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not a warm hint")]
pub struct HintError;

/// Result of parsing a hint.
pub type Result<T> = std::result::Result<T, HintError>;

/// An endpoint that holds a prefix of the chat in its cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WarmLocation {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Epoch of the endpoint's cache; in any other epoch the location is cold.
    pub cache_epoch: u64,
    /// Number of tokens of the chat that the endpoint has processed.
    pub tokens: u32,
}

/// The locations where a chat is cached, most recent first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WarmHint {
    /// At most [`MAX_WARM_LOCATIONS`], without repeated endpoints.
    locations: Vec<WarmLocation>,
}

impl WarmHint {
    /// The locations, most recent first.
    pub fn locations(&self) -> &[WarmLocation] {
        &self.locations
    }

    /// Whether the hint contains no location.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// The hint with `location` as the most recent one, without the locations beyond the limit.
    #[must_use]
    pub fn moved_to(&self, location: WarmLocation) -> Self {
        let older = self
            .locations
            .iter()
            .filter(|known| known.endpoint != location.endpoint);
        let locations = std::iter::once(&location)
            .chain(older)
            .take(MAX_WARM_LOCATIONS)
            .copied()
            .collect();
        Self { locations }
    }
}

impl fmt::Display for WarmHint {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        for (index, location) in self.locations.iter().enumerate() {
            if index > 0 {
                write!(formatter, "{LOCATION_SEPARATOR}")?;
            }
            write!(
                formatter,
                "{:x}{FIELD_SEPARATOR}{:x}{FIELD_SEPARATOR}{:x}",
                location.endpoint, location.cache_epoch, location.tokens
            )?;
        }
        Ok(())
    }
}

impl FromStr for WarmHint {
    type Err = HintError;

    fn from_str(text: &str) -> Result<Self> {
        if text.len() > MAX_HINT_BYTES {
            return Err(HintError);
        }
        if text.is_empty() {
            return Ok(Self::default());
        }
        let locations = text
            .split(LOCATION_SEPARATOR)
            .map(parse_location)
            .collect::<Result<Vec<_>>>()?;
        let hint = locations
            .iter()
            .rev()
            .fold(Self::default(), |hint, location| hint.moved_to(*location));
        if hint.locations.len() == locations.len() {
            Ok(hint)
        } else {
            Err(HintError)
        }
    }
}

fn parse_location(text: &str) -> Result<WarmLocation> {
    let mut fields = text.split(FIELD_SEPARATOR);
    let mut next_field = || {
        let field = fields.next().ok_or(HintError)?;
        u64::from_str_radix(field, 16).map_err(|_| HintError)
    };
    let endpoint = next_field()?;
    let cache_epoch = next_field()?;
    let tokens = u32::try_from(next_field()?).map_err(|_| HintError)?;
    if fields.next().is_some() {
        return Err(HintError);
    }
    Ok(WarmLocation {
        endpoint,
        cache_epoch,
        tokens,
    })
}
