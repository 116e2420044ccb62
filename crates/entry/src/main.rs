//! The `sapphire-entry` program.

fn main() {}
