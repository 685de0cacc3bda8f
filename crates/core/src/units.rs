//! Serialization of settings values with units.

use crate::clock::ClockTime;
use serde::{de, Deserialize, Deserializer, Serializer};
use serde_with::{DeserializeAs, SerializeAs};

const MS_PER_S: u64 = 1_000;
const MS_PER_MIN: u64 = 60_000;

/// Reads a [`ClockTime`] from text with a unit, such as `250ms`, `4s` or `2min`, and
/// writes it in milliseconds.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::{ClockTime, DurationText};
/// use serde::Deserialize;
///
/// #[serde_with::serde_as]
/// #[derive(Deserialize)]
/// struct Wait {
///     #[serde_as(as = "DurationText")]
///     time: ClockTime,
/// }
///
/// let wait: Wait = serde_json::from_str(r#"{"time": "4s"}"#).unwrap();
/// assert_eq!(wait.time.as_millis(), 4_000);
/// assert!(serde_json::from_str::<Wait>(r#"{"time": "4 parsecs"}"#).is_err());
/// ```
pub struct DurationText;

impl<'de> DeserializeAs<'de, ClockTime> for DurationText {
    fn deserialize_as<D>(deserializer: D) -> Result<ClockTime, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        let split = text
            .find(|c: char| !c.is_ascii_digit())
            .unwrap_or(text.len());
        let (number, unit) = text.split_at(split);
        let factor = millis_per_unit(unit);
        let millis = number
            .parse::<u64>()
            .ok()
            .zip(factor)
            .and_then(|(count, factor)| count.checked_mul(factor));
        millis.map(ClockTime::from_millis).ok_or_else(|| {
            de::Error::custom(format!(
                "`{text}` is not a valid duration; write a whole number with its unit, such as \
                 `250ms`, `4s` or `2min`"
            ))
        })
    }
}

impl SerializeAs<ClockTime> for DurationText {
    fn serialize_as<S>(time: &ClockTime, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(&format_args!("{}ms", time.as_millis()))
    }
}

fn millis_per_unit(unit: &str) -> Option<u64> {
    match unit {
        "ms" => Some(1),
        "s" => Some(MS_PER_S),
        "min" => Some(MS_PER_MIN),
        _ => None,
    }
}
