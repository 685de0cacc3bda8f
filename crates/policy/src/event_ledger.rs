//! Passes the events of one stream on, each once and in order.

/// The outcome of offering an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventVerdict {
    /// It is the next event.
    Accepted,
    /// The caller already has it.
    Duplicate,
    /// Events before it are missing.
    Gap,
}

/// Tracks which events the caller has.
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
    /// Creates a ledger that continues after the last event that the caller has.
    pub fn resume_after(last: Option<u64>) -> Self {
        EventLedger { last, accepted: 0 }
    }

    /// Offers the next event of an upstream's response.
    ///
    /// The first event of a new stream may have any id; the ids that follow have to be
    /// consecutive.
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

    /// Returns the id of the last event that the caller has.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns the number of events accepted since the ledger was created.
    pub fn accepted(&self) -> u64 {
        self.accepted
    }
}
