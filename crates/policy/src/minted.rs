//! Idempotency keys that one VM minted and only that VM may spend.

use crate::claim::StoredResponse;
use std::collections::{BTreeSet, HashMap};

/// How far a spent key's call has come.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MintedState {
    /// The call may have run.
    Consumed,
    /// It ran and this is its answer.
    Answered(StoredResponse),
}

/// What to do with a call that names a minted key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MintedVerdict {
    /// Send it; this is returned once at most for each key.
    Send,
    /// It was sent before and there is no answer yet.
    Unknown,
    /// It ran before and this is its answer.
    Replay(StoredResponse),
    /// The key was used for another request.
    Mismatch,
    /// The key was never minted here or has been dropped.
    NotMinted,
}

#[derive(Clone, Debug)]
struct SpentKey {
    request: String,
    state: MintedState,
}

/// The keys that this process minted.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::{MintedKeys, MintedVerdict};
///
/// let mut keys = MintedKeys::new(100);
/// let serial = keys.mint().unwrap();
/// assert_eq!(keys.consume(serial, "hash"), MintedVerdict::Send);
/// assert_eq!(keys.consume(serial, "hash"), MintedVerdict::Unknown);
/// assert_eq!(keys.consume(serial, "other"), MintedVerdict::Mismatch);
/// ```
#[derive(Clone, Debug)]
pub struct MintedKeys {
    next: u64,
    unspent: BTreeSet<u64>,
    spent: HashMap<u64, SpentKey>,
    most: usize,
}

impl MintedKeys {
    /// Keeps at most `most` keys, spent and unspent.
    pub fn new(most: usize) -> Self {
        MintedKeys {
            next: 1,
            unspent: BTreeSet::new(),
            spent: HashMap::new(),
            most,
        }
    }

    /// Mints a key, or none if too many are kept.
    pub fn mint(&mut self) -> Option<u64> {
        if self.unspent.len() + self.spent.len() >= self.most {
            self.unspent.pop_first()?;
        }
        let serial = self.next;
        self.next += 1;
        self.unspent.insert(serial);
        Some(serial)
    }

    /// Spends a key on a request, named by the hash of route and body.
    pub fn consume(&mut self, serial: u64, request: &str) -> MintedVerdict {
        if self.unspent.remove(&serial) {
            let spent = SpentKey {
                request: request.to_owned(),
                state: MintedState::Consumed,
            };
            self.spent.insert(serial, spent);
            return MintedVerdict::Send;
        }
        match self.spent.get(&serial) {
            None => MintedVerdict::NotMinted,
            Some(spent) if spent.request != request => MintedVerdict::Mismatch,
            Some(spent) => match &spent.state {
                MintedState::Consumed => MintedVerdict::Unknown,
                MintedState::Answered(answer) => MintedVerdict::Replay(answer.clone()),
            },
        }
    }

    /// Gives a key back of which nothing was sent.
    pub fn release_key(&mut self, serial: u64) {
        if self.spent.remove(&serial).is_some() {
            self.unspent.insert(serial);
        }
    }

    /// Keeps the answer of a spent key.
    pub fn store_response(&mut self, serial: u64, answer: StoredResponse) {
        if let Some(spent) = self.spent.get_mut(&serial) {
            spent.state = MintedState::Answered(answer);
        }
    }

    /// Drops all unspent keys and returns the spent ones with their requests.
    pub fn close(&mut self) -> Vec<(u64, String, MintedState)> {
        self.unspent.clear();
        let spent = self.spent.iter();
        spent
            .map(|(&serial, key)| (serial, key.request.clone(), key.state.clone()))
            .collect()
    }
}
