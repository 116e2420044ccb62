//! The `sapphire-agent` program.

fn main() {}
