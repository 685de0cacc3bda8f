//! No input makes the settings parser panic.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use skylarkshed_core::NodeSettings;

const VALID_SETTINGS: &str = r#"{
    "name": "vm-a1", "zone": "scot-east-a", "region": "scot-east",
    "listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0"},
    "platform": {"address": "127.0.0.1:7000"},
    "peer_key": "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
}"#;

fn seeded_config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(seeded_config())]

    #[test]
    fn random_text_is_rejected(text in ".{0,200}") {
        prop_assert!(NodeSettings::parse("random", &text).is_err());
    }

    #[test]
    fn changed_settings_never_panic(
        position in any::<prop::sample::Index>(),
        replacement in any::<char>(),
    ) {
        let mut chars: Vec<char> = VALID_SETTINGS.chars().collect();
        let index = position.index(chars.len());
        chars[index] = replacement;
        let text: String = chars.into_iter().collect();
        // Both results are fine; formatting an error must not panic either.
        if let Err(error) = NodeSettings::parse("changed", &text) {
            prop_assert!(error.to_string().contains("changed:"));
        }
    }
}
