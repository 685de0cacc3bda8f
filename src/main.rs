//! skylarkshed.
fn main() {}
