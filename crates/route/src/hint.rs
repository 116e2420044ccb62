//! The warm hint that callers carry from answer to request.
//!
//! A hint only steers the choice of endpoint. It grants nothing: a forged one costs its sender a
//! cold cache.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use wire::id::EndpointId;

/// Places that a hint remembers.
pub const MAX_WARM_PLACES: usize = 2;
/// Longest accepted text of a hint in bytes.
const MAX_HINT_BYTES: usize = 160;
/// Separates places in the text.
const PLACE_SEPARATOR: char = '-';
/// Separates the fields of a place in the text.
const FIELD_SEPARATOR: char = '.';

/// The text is no hint.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not a warm hint")]
pub struct HintError;

/// Result of parsing a hint.
pub type Result<T> = std::result::Result<T, HintError>;

/// One endpoint that holds a prefix of the chat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WarmPlace {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Life of the endpoint's cache; in another life the place is cold.
    pub cache_epoch: u64,
    /// Tokens of the chat that the endpoint has processed.
    pub tokens: u32,
}

/// Where a chat is warm, latest place first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WarmHint {
    /// At most [`MAX_WARM_PLACES`], no endpoint twice.
    places: Vec<WarmPlace>,
}

impl WarmHint {
    /// The places, latest first.
    pub fn places(&self) -> &[WarmPlace] {
        &self.places
    }

    /// Whether the hint names no place.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// The hint after an answer from `place`.
    #[must_use]
    pub fn moved_to(&self, place: WarmPlace) -> Self {
        let older = self
            .places
            .iter()
            .filter(|known| known.endpoint != place.endpoint);
        let places = std::iter::once(&place)
            .chain(older)
            .take(MAX_WARM_PLACES)
            .copied()
            .collect();
        Self { places }
    }
}

impl fmt::Display for WarmHint {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        for (index, place) in self.places.iter().enumerate() {
            if index > 0 {
                write!(formatter, "{PLACE_SEPARATOR}")?;
            }
            write!(
                formatter,
                "{:x}{FIELD_SEPARATOR}{:x}{FIELD_SEPARATOR}{:x}",
                place.endpoint, place.cache_epoch, place.tokens
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
        let places = text
            .split(PLACE_SEPARATOR)
            .map(parse_place)
            .collect::<Result<Vec<_>>>()?;
        let hint = places
            .iter()
            .rev()
            .fold(Self::default(), |hint, place| hint.moved_to(*place));
        if hint.places.len() == places.len() {
            Ok(hint)
        } else {
            Err(HintError)
        }
    }
}

fn parse_place(text: &str) -> Result<WarmPlace> {
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
    Ok(WarmPlace {
        endpoint,
        cache_epoch,
        tokens,
    })
}
