//! Whatever text comes, the settings are checked without harm.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use skylarkshed_core::NodeSettings;

const GOOD: &str = r#"{
    "name": "vm-a1", "zone": "scot-east-a", "region": "scot-east",
    "listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0"},
    "platform": {"address": "127.0.0.1:7000"},
    "peer_key": "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
}"#;

fn fuzz_config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(fuzz_config())]

    #[test]
    fn random_text_is_refused(text in ".{0,200}") {
        prop_assert!(NodeSettings::parse("random", &text).is_err());
    }

    #[test]
    fn changed_settings_never_harm(place in any::<prop::sample::Index>(), new in any::<char>()) {
        let mut chars: Vec<char> = GOOD.chars().collect();
        let place = place.index(chars.len());
        chars[place] = new;
        let text: String = chars.into_iter().collect();
        // Accepted or refused, but never a panic, also for the error's text.
        if let Err(error) = NodeSettings::parse("changed", &text) {
            prop_assert!(error.to_string().contains("changed:"));
        }
    }
}
