//! The `sapphire-measure` program.

fn main() {}
