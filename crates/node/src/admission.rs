//! Places for requests in progress, shared between customers.

use skylarkshed_core::{ClockTime, CustomerEntry, CustomerName, MonotonicClock};
use skylarkshed_policy::{
    AdmissionQueue, AdmissionRefusal, AdmissionVerdict, RateLimiter, TicketNumber,
};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use tokio::sync::oneshot;

struct PlaceState {
    queue: AdmissionQueue,
    rates: HashMap<CustomerName, RateLimiter>,
    waiting: HashMap<TicketNumber, oneshot::Sender<()>>,
    vms: u32,
}

/// Why a request got no place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AdmissionError {
    RateLimit(ClockTime),
    Concurrency(ClockTime),
    TooLong(ClockTime),
    Timeout(ClockTime),
}

/// Hands out places.
#[derive(Clone)]
pub(crate) struct AdmissionController {
    state: Arc<Mutex<PlaceState>>,
    clock: MonotonicClock,
    queue_time: ClockTime,
}

/// A place; dropping it gives it to the next request.
pub(crate) struct AdmissionPermit {
    keeper: AdmissionController,
    customer: CustomerName,
    since: ClockTime,
}

/// A wait for a place; dropping it gives the wait up.
struct TicketGuard<'a> {
    keeper: &'a AdmissionController,
    customer: &'a CustomerName,
    ticket: TicketNumber,
    is_served: bool,
}

impl AdmissionController {
    pub(crate) fn new(places: usize, clock: MonotonicClock, queue_time: ClockTime) -> Self {
        let state = PlaceState {
            queue: AdmissionQueue::new(places),
            rates: HashMap::new(),
            waiting: HashMap::new(),
            vms: 1,
        };
        AdmissionController {
            state: Arc::new(Mutex::new(state)),
            clock,
            queue_time,
        }
    }

    /// Notes over how many VMs the customers' limits are divided.
    pub(crate) fn set_vms(&self, vms: usize) {
        self.lock().vms = vms.max(1) as u32;
    }

    pub(crate) fn in_progress(&self) -> usize {
        self.lock().queue.in_progress()
    }

    /// Waits for a place.
    pub(crate) async fn take(
        &self,
        customer: &CustomerEntry,
    ) -> Result<AdmissionPermit, AdmissionError> {
        let (ticket, place) = match self.arrive(customer)? {
            Arrival::Admitted => return Ok(self.guard(&customer.name)),
            Arrival::Queued(ticket, place) => (ticket, place),
        };
        let mut wait = TicketGuard {
            keeper: self,
            customer: &customer.name,
            ticket,
            is_served: false,
        };
        match tokio::time::timeout(self.queue_time.to_duration(), place).await {
            Ok(Ok(())) => {
                wait.is_served = true;
                Ok(self.guard(&customer.name))
            }
            _ => Err(AdmissionError::Timeout(self.queue_time)),
        }
    }

    fn arrive(&self, customer: &CustomerEntry) -> Result<Arrival, AdmissionError> {
        let now = self.clock.now();
        let mut state = self.lock();
        let vms = state.vms;
        if customer.requests_per_s > 0 {
            let per_s = f64::from(customer.requests_per_s) / f64::from(vms);
            let rate = state.rates.entry(customer.name.clone());
            let rate = rate.or_insert_with(|| RateLimiter::new(per_s));
            rate.set_rate(per_s);
            rate.take(now).map_err(AdmissionError::RateLimit)?;
        }
        let concurrency = customer.concurrency.div_ceil(vms);
        let deadline = now + self.queue_time;
        let verdict =
            state
                .queue
                .submit(&customer.name, customer.weight, concurrency, now, deadline);
        match verdict {
            AdmissionVerdict::Admitted => Ok(Arrival::Admitted),
            AdmissionVerdict::Queued(ticket) => {
                let (sender, place) = oneshot::channel();
                state.waiting.insert(ticket, sender);
                Ok(Arrival::Queued(ticket, place))
            }
            AdmissionVerdict::Refused(AdmissionRefusal::QueueTooLong { retry_after }) => {
                Err(AdmissionError::TooLong(retry_after))
            }
            AdmissionVerdict::Refused(AdmissionRefusal::CustomerConcurrency { retry_after }) => {
                Err(AdmissionError::Concurrency(retry_after))
            }
        }
    }

    fn guard(&self, customer: &CustomerName) -> AdmissionPermit {
        AdmissionPermit {
            keeper: self.clone(),
            customer: customer.clone(),
            since: self.clock.now(),
        }
    }

    fn release(&self, customer: &CustomerName, lasted: ClockTime) {
        let mut state = self.lock();
        let next = state.queue.finish(customer, lasted);
        let sender = next.and_then(|ticket| state.waiting.remove(&ticket));
        drop(state);
        // A wait that was given up returns the place by its guard.
        if let Some(sender) = sender {
            let _ = sender.send(());
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, PlaceState> {
        self.state.lock().expect("not poisoned")
    }
}

enum Arrival {
    Admitted,
    Queued(TicketNumber, oneshot::Receiver<()>),
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let lasted = self.keeper.clock.now().since(self.since);
        self.keeper.release(&self.customer, lasted);
    }
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        if self.is_served {
            return;
        }
        let was_waiting = {
            let mut state = self.keeper.lock();
            state.waiting.remove(&self.ticket);
            state.queue.cancel(self.customer, self.ticket)
        };
        if !was_waiting {
            self.keeper.release(self.customer, ClockTime::ZERO);
        }
    }
}
