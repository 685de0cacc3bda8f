//! Idempotency keys that one VM mints and that only this VM can consume.

use crate::claim::StoredResponse;
use std::collections::{BTreeSet, HashMap};

/// The progress of the call of a consumed key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MintedState {
    /// The call may have run.
    Consumed,
    /// The call ran and got this response.
    Answered(StoredResponse),
}

/// The decision on a call that carries a minted key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MintedVerdict {
    /// Send it; this is returned at most once per key.
    Send,
    /// It was sent before and has no response yet.
    Unknown,
    /// It ran before and got this response.
    Replay(StoredResponse),
    /// The key was used for another request.
    Mismatch,
    /// The key was never minted here or has been dropped.
    NotMinted,
}

#[derive(Clone, Debug)]
struct ConsumedKey {
    request: String,
    state: MintedState,
}

/// The keys that this process has minted.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::{MintedKeys, MintedVerdict};
///
/// let mut keys = MintedKeys::new(1, 100);
/// let serial = keys.mint().unwrap();
/// assert_eq!(keys.consume(serial, "hash"), MintedVerdict::Send);
/// assert_eq!(keys.consume(serial, "hash"), MintedVerdict::Unknown);
/// assert_eq!(keys.consume(serial, "other"), MintedVerdict::Mismatch);
/// ```
#[derive(Clone, Debug)]
pub struct MintedKeys {
    next: u64,
    unused: BTreeSet<u64>,
    consumed: HashMap<u64, ConsumedKey>,
    max_keys: usize,
}

impl MintedKeys {
    /// Creates a set that holds at most `max_keys` keys, consumed and unused together.
    /// Their serials begin at `first_serial`.
    pub fn new(first_serial: u64, max_keys: usize) -> Self {
        MintedKeys {
            next: first_serial,
            unused: BTreeSet::new(),
            consumed: HashMap::new(),
            max_keys,
        }
    }

    /// Mints a key.
    ///
    /// If the limit is reached, the oldest unused key is dropped; returns `None` if
    /// all keys are consumed.
    pub fn mint(&mut self) -> Option<u64> {
        if self.unused.len() + self.consumed.len() >= self.max_keys {
            self.unused.pop_first()?;
        }
        let serial = self.next;
        self.next += 1;
        self.unused.insert(serial);
        Some(serial)
    }

    /// Consumes a key for a request, identified by the hash of its route and body.
    pub fn consume(&mut self, serial: u64, request: &str) -> MintedVerdict {
        if self.unused.remove(&serial) {
            let consumed = ConsumedKey {
                request: request.to_owned(),
                state: MintedState::Consumed,
            };
            self.consumed.insert(serial, consumed);
            return MintedVerdict::Send;
        }
        match self.consumed.get(&serial) {
            None => MintedVerdict::NotMinted,
            Some(consumed) if consumed.request != request => MintedVerdict::Mismatch,
            Some(consumed) => match &consumed.state {
                MintedState::Consumed => MintedVerdict::Unknown,
                MintedState::Answered(response) => MintedVerdict::Replay(response.clone()),
            },
        }
    }

    /// Makes a consumed key usable again after nothing was sent with it.
    pub fn release_key(&mut self, serial: u64) {
        if self.consumed.remove(&serial).is_some() {
            self.unused.insert(serial);
        }
    }

    /// Stores the response of a consumed key's call.
    pub fn store_response(&mut self, serial: u64, response: StoredResponse) {
        if let Some(consumed) = self.consumed.get_mut(&serial) {
            consumed.state = MintedState::Answered(response);
        }
    }

    /// Drops all unused keys and returns the consumed ones with their requests.
    pub fn close(&mut self) -> Vec<(u64, String, MintedState)> {
        self.unused.clear();
        let consumed = self.consumed.iter();
        consumed
            .map(|(&serial, key)| (serial, key.request.clone(), key.state.clone()))
            .collect()
    }
}
