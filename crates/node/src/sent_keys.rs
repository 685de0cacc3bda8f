//! The keys of calls that this VM has sent a short time ago.
//!
//! While the platform is out a key can't be looked up. A key that this VM sent
//! itself must not be told as `not_run` then: the earlier call may have run.

use std::collections::{HashSet, VecDeque};
use std::sync::Mutex;

const MOST_KEYS: usize = 20_000;

/// The last keys sent, oldest first.
#[derive(Default)]
pub(crate) struct SentKeys {
    kept: Mutex<KeptKeys>,
}

#[derive(Default)]
struct KeptKeys {
    order: VecDeque<String>,
    known: HashSet<String>,
}

impl SentKeys {
    /// Notes that a call with this key may have been sent.
    pub(crate) fn note(&self, key: &str) {
        let mut kept = self.kept.lock().expect("not poisoned");
        if !kept.known.insert(key.to_owned()) {
            return;
        }
        kept.order.push_back(key.to_owned());
        if kept.order.len() > MOST_KEYS {
            let oldest = kept.order.pop_front().unwrap_or_default();
            kept.known.remove(&oldest);
        }
    }

    /// Forgets a key whose call was not sent after all.
    pub(crate) fn forget(&self, key: &str) {
        let mut kept = self.kept.lock().expect("not poisoned");
        if kept.known.remove(key) {
            kept.order.retain(|known| known != key);
        }
    }

    /// Tells whether a call with this key may have been sent.
    pub(crate) fn contains(&self, key: &str) -> bool {
        self.kept.lock().expect("not poisoned").known.contains(key)
    }
}
