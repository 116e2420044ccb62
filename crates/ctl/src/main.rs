//! The `sapphirectl` program.

fn main() {}
