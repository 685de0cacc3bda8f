//! Admission of requests: limits per customer and a queue that all customers share.

use skylarkshed_core::{ClockTime, CustomerEntry, CustomerName, MonotonicClock};
use skylarkshed_policy::{
    AdmissionQueue, AdmissionRefusal, AdmissionVerdict, RateLimiter, TicketNumber,
};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use tokio::sync::oneshot;

struct AdmissionState {
    queue: AdmissionQueue,
    rate_limiters: HashMap<CustomerName, RateLimiter>,
    waiting: HashMap<TicketNumber, oneshot::Sender<()>>,
    vm_count: u32,
}

/// Why a request was not admitted, and how long to wait before a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AdmissionError {
    RateLimit(ClockTime),
    Concurrency(ClockTime),
    QueueTooLong(ClockTime),
    QueueTimeout(ClockTime),
}

/// Admits requests and issues their permits.
#[derive(Clone)]
pub(crate) struct AdmissionController {
    state: Arc<Mutex<AdmissionState>>,
    clock: MonotonicClock,
    queue_time: ClockTime,
}

/// The permit of a request in progress; dropping it admits the next request.
pub(crate) struct AdmissionPermit {
    controller: AdmissionController,
    customer: CustomerName,
    admitted_at: ClockTime,
}

/// A wait in the queue; dropping it before a permit was received cancels it.
struct TicketGuard<'a> {
    controller: &'a AdmissionController,
    customer: &'a CustomerName,
    ticket: TicketNumber,
    is_admitted: bool,
}

impl AdmissionController {
    pub(crate) fn new(
        max_in_progress: usize,
        clock: MonotonicClock,
        queue_time: ClockTime,
    ) -> Self {
        let state = AdmissionState {
            queue: AdmissionQueue::new(max_in_progress),
            rate_limiters: HashMap::new(),
            waiting: HashMap::new(),
            vm_count: 1,
        };
        AdmissionController {
            state: Arc::new(Mutex::new(state)),
            clock,
            queue_time,
        }
    }

    /// Sets the number of VMs that share the customers' limits.
    pub(crate) fn set_vm_count(&self, vm_count: usize) {
        self.lock().vm_count = vm_count.max(1) as u32;
    }

    pub(crate) fn in_progress(&self) -> usize {
        self.lock().queue.in_progress()
    }

    /// Waits for a permit.
    pub(crate) async fn acquire(
        &self,
        customer: &CustomerEntry,
    ) -> Result<AdmissionPermit, AdmissionError> {
        let (ticket, admitted) = match self.submit(customer)? {
            Submission::Admitted => return Ok(self.issue_permit(&customer.name)),
            Submission::Queued(ticket, admitted) => (ticket, admitted),
        };
        let mut ticket_guard = TicketGuard {
            controller: self,
            customer: &customer.name,
            ticket,
            is_admitted: false,
        };
        match tokio::time::timeout(self.queue_time.to_duration(), admitted).await {
            Ok(Ok(())) => {
                ticket_guard.is_admitted = true;
                Ok(self.issue_permit(&customer.name))
            }
            _ => Err(AdmissionError::QueueTimeout(self.queue_time)),
        }
    }

    fn submit(&self, customer: &CustomerEntry) -> Result<Submission, AdmissionError> {
        let now = self.clock.now();
        let mut state = self.lock();
        let vm_count = state.vm_count;
        if customer.requests_per_s > 0 {
            let per_s = f64::from(customer.requests_per_s) / f64::from(vm_count);
            let limiter = state.rate_limiters.entry(customer.name.clone());
            let limiter = limiter.or_insert_with(|| RateLimiter::new(per_s));
            limiter.set_rate(per_s);
            limiter.take(now).map_err(AdmissionError::RateLimit)?;
        }
        let concurrency = customer.concurrency.div_ceil(vm_count);
        let deadline = now + self.queue_time;
        let verdict =
            state
                .queue
                .submit(&customer.name, customer.weight, concurrency, now, deadline);
        match verdict {
            AdmissionVerdict::Admitted => Ok(Submission::Admitted),
            AdmissionVerdict::Queued(ticket) => {
                let (admitted_tx, admitted) = oneshot::channel();
                state.waiting.insert(ticket, admitted_tx);
                Ok(Submission::Queued(ticket, admitted))
            }
            AdmissionVerdict::Refused(AdmissionRefusal::QueueTooLong { retry_after }) => {
                Err(AdmissionError::QueueTooLong(retry_after))
            }
            AdmissionVerdict::Refused(AdmissionRefusal::CustomerConcurrency { retry_after }) => {
                Err(AdmissionError::Concurrency(retry_after))
            }
        }
    }

    fn issue_permit(&self, customer: &CustomerName) -> AdmissionPermit {
        AdmissionPermit {
            controller: self.clone(),
            customer: customer.clone(),
            admitted_at: self.clock.now(),
        }
    }

    fn release(&self, customer: &CustomerName, duration: ClockTime) {
        let mut state = self.lock();
        let next = state.queue.finish(customer, duration);
        let admitted_tx = next.and_then(|ticket| state.waiting.remove(&ticket));
        drop(state);
        // If the wait was cancelled, its guard releases the permit.
        if let Some(admitted_tx) = admitted_tx {
            let _ = admitted_tx.send(());
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, AdmissionState> {
        self.state.lock().expect("not poisoned")
    }
}

enum Submission {
    Admitted,
    Queued(TicketNumber, oneshot::Receiver<()>),
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let duration = self.controller.clock.now().since(self.admitted_at);
        self.controller.release(&self.customer, duration);
    }
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        if self.is_admitted {
            return;
        }
        let was_waiting = {
            let mut state = self.controller.lock();
            state.waiting.remove(&self.ticket);
            state.queue.cancel(self.customer, self.ticket)
        };
        // The request was admitted before the wait could be cancelled.
        if !was_waiting {
            self.controller.release(self.customer, ClockTime::ZERO);
        }
    }
}
