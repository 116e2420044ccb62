//! The `sapphire-fake` program.

fn main() {}
