//! The configuration of the fuzz tests: a fixed seed by default, others by
//! environment variables.

use proptest::test_runner::{Config, RngSeed};

const DEFAULT_CASES: u32 = 256;
const DEFAULT_SEED: u64 = 1;

/// Reads the number of cases and the seed from the environment.
pub fn fuzz_config() -> Config {
    let number = |name: &str| {
        std::env::var(name)
            .ok()
            .and_then(|text| text.parse::<u64>().ok())
    };
    let cases = number("SKYLARKSHED_FUZZ_CASES").and_then(|cases| u32::try_from(cases).ok());
    let seed = number("SKYLARKSHED_FUZZ_SEED").unwrap_or(DEFAULT_SEED);
    Config {
        cases: cases.unwrap_or(DEFAULT_CASES),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}
