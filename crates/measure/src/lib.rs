//! Measurements of the decision crates.
