//! The `sapphire-control` program.

fn main() {}
