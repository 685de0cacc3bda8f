//! Identifiers that cross layers.

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

macro_rules! hex_id {
    ($(#[$doc:meta])* $name:ident, $repr:ty, $width:literal) => {
        $(#[$doc])*
        #[derive(
            Clone,
            Copy,
            Debug,
            Default,
            Eq,
            Hash,
            Ord,
            PartialEq,
            PartialOrd,
            SerializeDisplay,
            DeserializeFromStr,
        )]
        pub struct $name(pub $repr);

        impl $name {
            /// Draws a random identifier.
            pub fn random() -> Self {
                $name(rand::random())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{:0", $width, "x}"), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                <$repr>::from_str_radix(text, 16).map($name)
            }
        }
    };
}

hex_id!(
    /// Identifies one generation over all its attempts; written as 32 hexadecimal digits.
    ///
    /// # Examples
    ///
    /// ```
    /// use skylarkshed_core::GenerationId;
    ///
    /// let id = GenerationId::random();
    /// assert_eq!(id.to_string().parse(), Ok(id));
    /// ```
    GenerationId,
    u128,
    32
);
hex_id!(
    /// Identifies one run of a VM's process; a restarted process draws a new one.
    IncarnationId,
    u64,
    16
);

/// Counts the attempts of one generation; an attempt's number is never used again.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct AttemptNumber(pub u32);

impl AttemptNumber {
    /// Returns the number that follows.
    pub const fn next(self) -> Self {
        AttemptNumber(self.0 + 1)
    }
}

impl fmt::Display for AttemptNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Counts the changes of the configuration; it only grows.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RevisionNumber(pub u64);

impl RevisionNumber {
    /// Returns the number that follows.
    pub const fn next(self) -> Self {
        RevisionNumber(self.0 + 1)
    }
}

impl fmt::Display for RevisionNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
