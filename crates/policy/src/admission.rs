//! Weighted fair admission of requests to a VM's slots.
//!
//! A free slot goes to the waiting customer that uses the least of its weighted
//! share; among the requests of one customer the earliest deadline goes first.
//! A request that cannot get a slot before its deadline is refused at once.

use skylarkshed_core::{ClockTime, CustomerName};
use std::collections::HashMap;

/// The weight of a new sample in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 1.0 / 16.0;
const INITIAL_SERVICE_MS: f64 = 50.0;

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TicketNumber(pub u64);

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionRefusal {
    /// The expected wait exceeds the request's deadline.
    QueueTooLong {
        /// The time after which the caller should retry.
        retry_after: ClockTime,
    },
    /// The customer has reached its limit of concurrent requests.
    CustomerConcurrency {
        /// The time after which the caller should retry.
        retry_after: ClockTime,
    },
}

/// The outcome of submitting a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionVerdict {
    /// The request has a slot.
    Admitted,
    /// The request waits for a slot.
    Queued(TicketNumber),
    /// The request is refused.
    Refused(AdmissionRefusal),
}

#[derive(Clone, Debug, Default)]
struct CustomerUsage {
    weight: u32,
    /// The limit of concurrent requests; 0 means no limit.
    max_concurrency: u32,
    in_progress: u32,
    waiting: Vec<(ClockTime, TicketNumber)>,
}

impl CustomerUsage {
    /// Reports whether a waiting request may start. The limit may have been lowered
    /// since it was submitted.
    fn is_below_limit(&self) -> bool {
        self.max_concurrency == 0 || self.in_progress < self.max_concurrency
    }
}

/// The slots of one VM and the requests that wait for them.
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
///     panic!("the only slot is taken");
/// };
/// assert_eq!(queue.finish(&depot, ClockTime::from_millis(10)), Some(ticket));
/// ```
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    slots: usize,
    in_progress: usize,
    customers: HashMap<CustomerName, CustomerUsage>,
    next_ticket: u64,
    service_ms: f64,
}

impl AdmissionQueue {
    /// Creates a queue with this many slots.
    pub fn new(slots: usize) -> Self {
        AdmissionQueue {
            slots,
            in_progress: 0,
            customers: HashMap::new(),
            next_ticket: 0,
            service_ms: INITIAL_SERVICE_MS,
        }
    }

    /// Submits a request. `max_concurrency` is the customer's limit of requests on this
    /// VM, in progress and waiting together; 0 means no limit.
    pub fn submit(
        &mut self,
        customer: &CustomerName,
        weight: u32,
        max_concurrency: u32,
        now: ClockTime,
        deadline: ClockTime,
    ) -> AdmissionVerdict {
        let wait = self.expected_wait(customer, weight);
        let usage = self.customers.entry(customer.clone()).or_default();
        usage.weight = weight.max(1);
        usage.max_concurrency = max_concurrency;
        let concurrent = usage.in_progress as usize + usage.waiting.len();
        if max_concurrency > 0 && concurrent >= max_concurrency as usize {
            let retry_after = ClockTime::from_millis(self.service_ms.ceil() as u64);
            return AdmissionVerdict::Refused(AdmissionRefusal::CustomerConcurrency {
                retry_after,
            });
        }
        if self.in_progress < self.slots {
            self.in_progress += 1;
            usage.in_progress += 1;
            return AdmissionVerdict::Admitted;
        }
        if now + wait > deadline {
            self.remove_if_idle(customer);
            let refusal = AdmissionRefusal::QueueTooLong { retry_after: wait };
            return AdmissionVerdict::Refused(refusal);
        }
        let ticket = TicketNumber(self.next_ticket);
        self.next_ticket += 1;
        let index = usage
            .waiting
            .partition_point(|(other, _)| *other <= deadline);
        usage.waiting.insert(index, (deadline, ticket));
        AdmissionVerdict::Queued(ticket)
    }

    /// Finishes a request and returns the ticket that gets its slot.
    pub fn finish(&mut self, customer: &CustomerName, duration: ClockTime) -> Option<TicketNumber> {
        let duration_ms = duration.as_millis() as f64;
        self.service_ms += SERVICE_TIME_WEIGHT * (duration_ms - self.service_ms);
        self.in_progress = self.in_progress.saturating_sub(1);
        if let Some(usage) = self.customers.get_mut(customer) {
            usage.in_progress = usage.in_progress.saturating_sub(1);
        }
        let next = self.admit_next();
        self.remove_if_idle(customer);
        next
    }

    /// Cancels a waiting request and reports whether it was still waiting.
    pub fn cancel(&mut self, customer: &CustomerName, ticket: TicketNumber) -> bool {
        let Some(usage) = self.customers.get_mut(customer) else {
            return false;
        };
        let before = usage.waiting.len();
        usage.waiting.retain(|(_, other)| *other != ticket);
        let was_waiting = usage.waiting.len() < before;
        self.remove_if_idle(customer);
        was_waiting
    }

    /// Returns the number of requests that hold a slot.
    pub fn in_progress(&self) -> usize {
        self.in_progress
    }

    /// Returns the number of customers whose requests hold a slot or wait for one.
    pub fn customer_count(&self) -> usize {
        self.customers.len()
    }

    fn remove_if_idle(&mut self, customer: &CustomerName) {
        let is_idle = |usage: &CustomerUsage| usage.in_progress == 0 && usage.waiting.is_empty();
        if self.customers.get(customer).is_some_and(is_idle) {
            self.customers.remove(customer);
        }
    }

    fn admit_next(&mut self) -> Option<TicketNumber> {
        if self.in_progress >= self.slots {
            return None;
        }
        let waiting = self
            .customers
            .values_mut()
            .filter(|usage| !usage.waiting.is_empty() && usage.is_below_limit());
        let usage = waiting.min_by_key(|usage| {
            let used_ppm = u64::from(usage.in_progress) * 1_000_000 / u64::from(usage.weight);
            (used_ppm, usage.waiting[0])
        })?;
        let (_, ticket) = usage.waiting.remove(0);
        usage.in_progress += 1;
        self.in_progress += 1;
        Some(ticket)
    }

    /// Estimates the wait of a new request: the customer's queue, served at the
    /// rate of the customer's weighted share.
    fn expected_wait(&self, customer: &CustomerName, weight: u32) -> ClockTime {
        let usage = self.customers.get(customer);
        let ahead = usage.map_or(0, |usage| usage.waiting.len()) + 1;
        let others = self.customers.iter().filter(|(name, usage)| {
            *name != customer && (usage.in_progress > 0 || !usage.waiting.is_empty())
        });
        let weights: u32 = others.map(|(_, usage)| usage.weight).sum::<u32>() + weight.max(1);
        let share = f64::from(weight.max(1)) / f64::from(weights) * self.slots as f64;
        let wait_ms = ahead as f64 * self.service_ms / share.max(f64::MIN_POSITIVE);
        ClockTime::from_millis(wait_ms.ceil() as u64)
    }
}
