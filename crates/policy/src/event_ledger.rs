//! The events of one answer, each once and in order.

/// What becomes of an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventVerdict {
    /// It is the next one.
    Accepted,
    /// The caller has it already.
    Duplicate,
    /// Events before it are missing.
    Gap,
}

/// Counts the events that the caller holds.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::{EventLedger, EventVerdict};
///
/// let mut ledger = EventLedger::resume_after(None);
/// assert_eq!(ledger.offer(1), EventVerdict::Accepted);
/// assert_eq!(ledger.offer(1), EventVerdict::Duplicate);
/// assert_eq!(ledger.offer(3), EventVerdict::Gap);
/// assert_eq!(ledger.last(), Some(1));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct EventLedger {
    last: Option<u64>,
    accepted: u64,
}

impl EventLedger {
    /// Starts after the last event that the caller holds.
    pub fn resume_after(last: Option<u64>) -> Self {
        EventLedger { last, accepted: 0 }
    }

    /// Offers the next event of an upstream's answer.
    ///
    /// The first event of a new answer sets where the count begins.
    pub fn offer(&mut self, id: u64) -> EventVerdict {
        let verdict = match self.last {
            None => EventVerdict::Accepted,
            Some(last) if id <= last => EventVerdict::Duplicate,
            Some(last) if id == last + 1 => EventVerdict::Accepted,
            Some(_) => EventVerdict::Gap,
        };
        if verdict == EventVerdict::Accepted {
            self.last = Some(id);
            self.accepted += 1;
        }
        verdict
    }

    /// Returns the last event that the caller holds.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns how many events were accepted here.
    pub fn accepted(&self) -> u64 {
        self.accepted
    }
}
