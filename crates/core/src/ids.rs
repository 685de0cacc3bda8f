//! Identifiers that several crates use.

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
            /// Generates a random identifier.
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
    /// Identifies a generation across all its attempts; formatted as 32 hexadecimal digits.
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
    /// Identifies one incarnation of a VM's process; a restarted process gets a new one.
    IncarnationId,
    u64,
    16
);

/// Numbers the attempts of a generation; a number is never reused.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct AttemptNumber(pub u32);

impl AttemptNumber {
    /// Returns the next number.
    pub const fn next(self) -> Self {
        AttemptNumber(self.0 + 1)
    }
}

impl fmt::Display for AttemptNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Numbers the revisions of the configuration; it only increases.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RevisionNumber(pub u64);

impl RevisionNumber {
    /// Returns the next number.
    pub const fn next(self) -> Self {
        RevisionNumber(self.0 + 1)
    }
}

impl fmt::Display for RevisionNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
