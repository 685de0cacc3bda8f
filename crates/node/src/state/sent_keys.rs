//! The idempotency keys of the calls that this VM sent last.
//!
//! While the platform is unavailable, a key can't be looked up. A call with a key
//! that this VM has sent must not be refused as `not_run` then: the earlier call
//! may have run.

use std::collections::{HashSet, VecDeque};
use std::sync::Mutex;

const MAX_KEYS: usize = 20_000;

/// The row keys of the last claims whose calls may have been sent, oldest first.
#[derive(Default)]
pub(crate) struct SentKeys {
    recent: Mutex<RecentKeys>,
}

#[derive(Default)]
struct RecentKeys {
    order: VecDeque<String>,
    keys: HashSet<String>,
}

impl SentKeys {
    /// Records that a call with this key may have been sent.
    pub(crate) fn record(&self, key: &str) {
        let mut recent = self.recent.lock().expect("not poisoned");
        if !recent.keys.insert(key.to_owned()) {
            return;
        }
        recent.order.push_back(key.to_owned());
        if recent.order.len() > MAX_KEYS {
            let oldest = recent.order.pop_front().unwrap_or_default();
            recent.keys.remove(&oldest);
        }
    }

    /// Removes a key whose call was not sent after all.
    pub(crate) fn forget(&self, key: &str) {
        let mut recent = self.recent.lock().expect("not poisoned");
        if recent.keys.remove(key) {
            recent.order.retain(|recorded| recorded != key);
        }
    }

    /// Reports whether a call with this key may have been sent.
    pub(crate) fn contains(&self, key: &str) -> bool {
        self.recent.lock().expect("not poisoned").keys.contains(key)
    }
}
