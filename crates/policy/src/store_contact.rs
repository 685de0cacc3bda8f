//! Judges whether the store was away, or only out of this VM's reach.
//!
//! Entries of upstreams expire while the store is away, because their heartbeats are lost.
//! A VM that could not reach the store for a while sees the same entries vanish, but they
//! were removed because their upstreams left.

use skylarkshed_core::ClockTime;

/// When the store answered this VM, or one that it heard of. All times are on a clock that
/// also counts while the VM is suspended.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::StoreContact;
///
/// let at = ClockTime::from_millis;
/// let mut contact = StoreContact::new(at(2_400));
/// contact.record_answer(at(1_000));
/// contact.record_answer(at(3_000));
/// assert_eq!(contact.returned_at(), None);
/// contact.record_failure();
/// contact.record_answer(at(9_000));
/// assert_eq!(contact.returned_at(), Some(at(9_000)));
/// // Another VM had answers all the time.
/// contact.record_steady(at(2_000));
/// assert_eq!(contact.returned_at(), None);
/// ```
#[derive(Clone, Debug)]
pub struct StoreContact {
    /// The shortest time without answers in which entries can expire.
    min_outage: ClockTime,
    answered_at: Option<ClockTime>,
    /// Whether a read has failed since then. A VM that was frozen has a gap as well.
    has_failed: bool,
    /// Since when there was no outage.
    steady_since: ClockTime,
    /// The last outage: the last answer before it and the first one after it.
    outage: Option<(ClockTime, ClockTime)>,
}

impl StoreContact {
    /// Creates the contact of a VM that starts; an outage lasts for `min_outage` or longer.
    pub fn new(min_outage: ClockTime) -> Self {
        StoreContact {
            min_outage,
            answered_at: None,
            has_failed: false,
            steady_since: ClockTime::NEVER,
            outage: None,
        }
    }

    /// Records that the store was answering at a time.
    pub fn record_answer(&mut self, at: ClockTime) {
        let Some(known) = self.answered_at else {
            self.answered_at = Some(at);
            self.steady_since = at;
            return;
        };
        if at <= known {
            return;
        }
        if self.has_failed && at.since(known) >= self.min_outage {
            self.outage = Some((known, at));
            self.steady_since = at;
        }
        self.answered_at = Some(at);
        self.has_failed = false;
    }

    /// Records that neither the store nor another VM had an answer.
    pub fn record_failure(&mut self) {
        self.has_failed = true;
    }

    /// Records that another VM has known of no outage since a time.
    pub fn record_steady(&mut self, since: ClockTime) {
        self.steady_since = self.steady_since.min(since);
        if self.outage.is_some_and(|(began, _)| since <= began) {
            self.outage = None;
        }
    }

    /// Returns since when this VM knows of no outage of the store; `None` before its first
    /// answer.
    pub fn steady_since(&self) -> Option<ClockTime> {
        self.answered_at.map(|_| self.steady_since)
    }

    /// Returns when the store returned from its last outage.
    pub fn returned_at(&self) -> Option<ClockTime> {
        self.outage.map(|(_, returned)| returned)
    }
}
