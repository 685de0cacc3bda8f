//! Hashes of customers' bearer keys.

use serde_with::{DeserializeFromStr, SerializeDisplay};
use std::fmt;
use std::hash::{Hash, Hasher};
use std::str::FromStr;
use subtle::ConstantTimeEq;

/// The BLAKE3 hash of a bearer key, formatted as 64 hexadecimal digits.
///
/// Hashes are compared in constant time.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::KeyHash;
///
/// let hash = KeyHash::of("depot-key");
/// assert_eq!(hash.to_string().parse::<KeyHash>().unwrap(), hash);
/// assert_ne!(hash, KeyHash::of("other-key"));
/// ```
#[derive(Clone, Copy, SerializeDisplay, DeserializeFromStr)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a key.
    pub fn of(key: &str) -> Self {
        KeyHash(*blake3::hash(key.as_bytes()).as_bytes())
    }
}

impl PartialEq for KeyHash {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyHash {}

impl Hash for KeyHash {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl FromStr for KeyHash {
    type Err = blake3::HexError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        blake3::Hash::from_hex(text).map(|hash| KeyHash(*hash.as_bytes()))
    }
}
