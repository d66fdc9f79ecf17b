//! The `mustardpin` command.
fn main() {}
