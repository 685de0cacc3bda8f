//! Shares a VM's places between customers.
//!
//! A free place goes to the waiting customer with the least use of its
//! weighted share; among one customer's requests the earliest deadline goes
//! first. What can't get a place in time is refused at once.

use skylarkshed_core::{ClockTime, CustomerName};
use std::collections::HashMap;

const MEAN_SHARE: f64 = 1.0 / 16.0;
const START_SERVICE_MS: f64 = 50.0;

/// Names a waiting request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TicketNumber(pub u64);

/// Why a request got no place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionRefusal {
    /// The wait would be longer than the request's deadline.
    QueueTooLong {
        /// When to come back.
        retry_after: ClockTime,
    },
    /// The customer has as many requests in progress as it may.
    CustomerConcurrency {
        /// When to come back.
        retry_after: ClockTime,
    },
}

/// What became of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionVerdict {
    /// It has a place.
    Admitted,
    /// It waits for a place.
    Queued(TicketNumber),
    /// It gets no place.
    Refused(AdmissionRefusal),
}

#[derive(Clone, Debug, Default)]
struct CustomerUse {
    weight: u32,
    in_progress: u32,
    waiting: Vec<(ClockTime, TicketNumber)>,
}

/// The places of one VM and who waits for them.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::{ClockTime, CustomerName};
/// use skylarkshed_policy::{AdmissionQueue, AdmissionVerdict};
///
/// let mut queue = AdmissionQueue::new(1);
/// let depot = CustomerName::from("depot");
/// let (now, deadline) = (ClockTime::ZERO, ClockTime::from_millis(200));
/// assert_eq!(queue.submit(&depot, 1, 0, now, deadline), AdmissionVerdict::Admitted);
/// let AdmissionVerdict::Queued(ticket) = queue.submit(&depot, 1, 0, now, deadline) else {
///     panic!("the only place is taken");
/// };
/// assert_eq!(queue.finish(&depot, ClockTime::from_millis(10)), Some(ticket));
/// ```
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    places: usize,
    in_progress: usize,
    waiting: usize,
    customers: HashMap<CustomerName, CustomerUse>,
    next_ticket: u64,
    service_ms: f64,
}

impl AdmissionQueue {
    /// Makes a queue with this many places.
    pub fn new(places: usize) -> Self {
        AdmissionQueue {
            places,
            in_progress: 0,
            waiting: 0,
            customers: HashMap::new(),
            next_ticket: 0,
            service_ms: START_SERVICE_MS,
        }
    }

    /// Takes a request; `concurrency` is the customer's limit here, 0 for none.
    pub fn submit(
        &mut self,
        customer: &CustomerName,
        weight: u32,
        concurrency: u32,
        now: ClockTime,
        deadline: ClockTime,
    ) -> AdmissionVerdict {
        let wait = self.expected_wait(customer, weight);
        let usage = self.customers.entry(customer.clone()).or_default();
        usage.weight = weight.max(1);
        if concurrency > 0 && usage.in_progress >= concurrency {
            let retry_after = ClockTime::from_millis(self.service_ms.ceil() as u64);
            return AdmissionVerdict::Refused(AdmissionRefusal::CustomerConcurrency {
                retry_after,
            });
        }
        if self.in_progress < self.places {
            self.in_progress += 1;
            usage.in_progress += 1;
            return AdmissionVerdict::Admitted;
        }
        if now + wait > deadline {
            let refusal = AdmissionRefusal::QueueTooLong { retry_after: wait };
            return AdmissionVerdict::Refused(refusal);
        }
        let ticket = TicketNumber(self.next_ticket);
        self.next_ticket += 1;
        let place = usage
            .waiting
            .partition_point(|(other, _)| *other <= deadline);
        usage.waiting.insert(place, (deadline, ticket));
        self.waiting += 1;
        AdmissionVerdict::Queued(ticket)
    }

    /// Ends a request and returns the ticket that gets its place.
    pub fn finish(&mut self, customer: &CustomerName, lasted: ClockTime) -> Option<TicketNumber> {
        let lasted_ms = lasted.as_millis() as f64;
        self.service_ms += MEAN_SHARE * (lasted_ms - self.service_ms);
        self.in_progress = self.in_progress.saturating_sub(1);
        if let Some(usage) = self.customers.get_mut(customer) {
            usage.in_progress = usage.in_progress.saturating_sub(1);
        }
        let next = self.admit_next();
        let is_idle = |usage: &CustomerUse| usage.in_progress == 0 && usage.waiting.is_empty();
        if self.customers.get(customer).is_some_and(is_idle) {
            self.customers.remove(customer);
        }
        next
    }

    /// Forgets a waiting request; tells whether it was still waiting.
    pub fn cancel(&mut self, customer: &CustomerName, ticket: TicketNumber) -> bool {
        let Some(usage) = self.customers.get_mut(customer) else {
            return false;
        };
        let before = usage.waiting.len();
        usage.waiting.retain(|(_, other)| *other != ticket);
        let is_found = usage.waiting.len() < before;
        self.waiting -= usize::from(is_found);
        is_found
    }

    /// Returns the requests that have a place.
    pub fn in_progress(&self) -> usize {
        self.in_progress
    }

    fn admit_next(&mut self) -> Option<TicketNumber> {
        if self.in_progress >= self.places {
            return None;
        }
        let waiting = self
            .customers
            .values_mut()
            .filter(|usage| !usage.waiting.is_empty());
        let usage = waiting.min_by_key(|usage| {
            let used_ppm = u64::from(usage.in_progress) * 1_000_000 / u64::from(usage.weight);
            (used_ppm, usage.waiting[0])
        })?;
        let (_, ticket) = usage.waiting.remove(0);
        usage.in_progress += 1;
        self.in_progress += 1;
        self.waiting -= 1;
        Some(ticket)
    }

    /// The wait of a new request: its customer's queue, served at its share.
    fn expected_wait(&self, customer: &CustomerName, weight: u32) -> ClockTime {
        let usage = self.customers.get(customer);
        let ahead = usage.map_or(0, |usage| usage.waiting.len()) + 1;
        let others = self.customers.iter().filter(|(name, usage)| {
            *name != customer && (usage.in_progress > 0 || !usage.waiting.is_empty())
        });
        let weights: u32 = others.map(|(_, usage)| usage.weight).sum::<u32>() + weight.max(1);
        let share = f64::from(weight.max(1)) / f64::from(weights) * self.places as f64;
        let wait_ms = ahead as f64 * self.service_ms / share.max(f64::MIN_POSITIVE);
        ClockTime::from_millis(wait_ms.ceil() as u64)
    }
}
