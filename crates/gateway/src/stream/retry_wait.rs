//! Takes a stream's further attempts from the retry budget, and waits for a retry if the
//! VM has none left.

use super::StreamForwarder;
use crate::counters;
use crate::platform_api::WireProtocol;
use crate::retry_loans::{start_asking, RetryWaiter};
use skylarkshed_core::ClockTime;
use skylarkshed_policy::{wait_limit, RemainingTime, RetryGrant, WaiterId, WaitingStream};
use std::sync::{MutexGuard, PoisonError};

/// What a stream has of the retry budget.
#[derive(Debug, Default)]
pub(super) struct StreamRetries {
    /// The retry for the next attempt, if it has been taken already.
    reserved: Option<RetryGrant>,
    /// The retry of the current attempt, until the attempt is known to be sent.
    current: Option<RetryGrant>,
    /// The number of the loan that the stream needs to leave a silent upstream.
    requested_loan: Option<u64>,
    /// The request for a loan that was made for the stream.
    loan_request: Option<WaiterId>,
    /// Since when the stream waits for an own retry, where VMs lend none.
    waiting_since: Option<ClockTime>,
}

impl<P: WireProtocol> StreamForwarder<P> {
    /// Takes the next attempt from the retry budget, unless that was already done. Has a
    /// loan requested if there is no retry.
    ///
    /// `sends` counts the attempts that were made, with the current one.
    pub(super) fn reserve_send(&self, sends: u32) -> bool {
        if sends == 0 {
            return true;
        }
        let now = self.state.clock.now();
        self.drop_expired(now);
        let mut retries = self.retries();
        if retries.reserved.is_some() {
            return true;
        }
        let stream = self.waiting_stream(now);
        if !self.traffic.budget.uses_loans() {
            retries.reserved = self.traffic.take_retry(&stream, now);
            return retries.reserved.is_some();
        }
        let earlier = retries.loan_request.take();
        // A loan that arrives from now on has this number.
        let next_loan = self.traffic.dispatcher.next_loan();
        match self.traffic.take_or_request(&stream, earlier, now) {
            Ok(grant) => retries.reserved = Some(grant),
            Err(loan_request) => {
                retries.requested_loan = Some(next_loan);
                retries.loan_request = Some(loan_request);
                start_asking(&self.state, &self.traffic, &self.request.service);
            }
        }
        retries.reserved.is_some()
    }

    /// Waits for the loan that [`Self::reserve_send`] has requested; forever if it has not,
    /// or if the loan has arrived before.
    pub(super) async fn wait_for_loan(&self) {
        let number = self.retries().requested_loan;
        self.traffic.dispatcher.wait_for_loan(number).await;
        self.retries().requested_loan = None;
    }

    /// Reports whether an attempt may be made. Once the request has been sent, each
    /// further attempt takes a retry from the budget.
    pub(super) fn may_send(&self) -> bool {
        let now = self.state.clock.now();
        self.drop_expired(now);
        let mut retries = self.retries();
        retries.requested_loan = None;
        if let Some(loan_request) = retries.loan_request.take() {
            self.traffic.remove_loan_request(loan_request);
        }
        let reserved = retries.reserved.take();
        if self.sends == 0 {
            retries.current = reserved;
            return true;
        }
        retries.current =
            reserved.or_else(|| self.traffic.take_retry(&self.waiting_stream(now), now));
        let Some(grant) = retries.current else {
            return false;
        };
        if let Some(since) = retries.waiting_since.take() {
            self.log_end_of_wait(grant, now.since(since));
        }
        true
    }

    /// Reports whether the retry that [`Self::may_send`] took may still be made.
    pub(super) fn is_retry_usable(&self) -> bool {
        let now = self.state.clock.now();
        let current = self.retries().current;
        current.is_none_or(|grant| grant.is_usable(now))
    }

    /// Refunds the retry that [`Self::may_send`] took from the budget.
    pub(super) fn refund_send(&self) {
        let current = self.retries().current.take();
        if let Some(grant) = current {
            self.traffic.refund_retry(grant, self.state.clock.now());
        }
    }

    /// Waits until there is a retry for the stream, which it reserves; false if the stream
    /// ends instead. `has_copy` tells whether it can resume from a copy.
    pub(super) async fn wait_for_retry(&mut self, has_copy: bool) -> bool {
        if !self.traffic.budget.uses_loans() {
            self.note_own_wait();
            return self.pause_before_retry().await;
        }
        let Some(limit) = self.wait_limit(has_copy) else {
            self.give_up(ClockTime::ZERO);
            return false;
        };
        let clock = self.state.clock;
        let since = clock.now();
        let stream = self.waiting_stream(since);
        let mut waiter = RetryWaiter::join(&self.traffic, clock, stream);
        start_asking(&self.state, &self.traffic, &self.request.service);
        self.log_wait(&stream);
        let waiting = tokio::time::timeout(limit.to_duration(), waiter.wait());
        let grant = waiting.await;
        drop(waiter);
        let waited = clock.now().since(since);
        let Ok(grant) = grant else {
            if self.wait_limit(has_copy).is_none() {
                self.has_given_up = true;
            }
            self.give_up(waited);
            return false;
        };
        self.log_end_of_wait(grant, waited);
        self.retries().reserved = Some(grant);
        true
    }

    /// Records a new stream of the service: it earns a part of a retry.
    pub(super) fn record_demand(&self) {
        self.traffic.dispatcher.record_priority(self.priority());
        self.traffic.hand_out_retries(self.state.clock.now());
    }

    /// Records how long the stream took, if it was not interrupted.
    pub(super) fn record_pace(&self) {
        if let Some(first) = self.timings.first.filter(|_| self.sends == 1) {
            let duration = self.timings.last.since(first);
            self.traffic.pace.record(self.ledger.accepted(), duration);
        }
    }

    fn give_up(&self, waited: ClockTime) {
        log::info!(
            request = self.request.id(),
            service:% = self.request.service,
            is_begun = self.is_begun,
            waited_ms = waited.as_millis(),
            remaining_ms = self.request.deadline.remaining().as_millis(),
            events = self.ledger.accepted();
            "stream ends without a retry"
        );
    }

    /// Logs that the stream waits for an own retry, once per wait.
    fn note_own_wait(&self) {
        let now = self.state.clock.now();
        let is_known = self.retries().waiting_since.is_some();
        if self.is_begun && !is_known {
            self.retries().waiting_since = Some(now);
            self.log_wait(&self.waiting_stream(now));
        }
    }

    fn log_end_of_wait(&self, grant: RetryGrant, waited: ClockTime) {
        log::info!(
            request = self.request.id(),
            waited_ms = waited.as_millis(),
            from = grant.label(),
            after_ms = self.request.deadline.elapsed().as_millis();
            "stream goes on after waiting for the retry budget"
        );
        counters::record_retry_wait(waited);
    }

    fn log_wait(&self, stream: &WaitingStream) {
        let (waiting, asked) = self.traffic.dispatcher.describe();
        log::info!(
            request = self.request.id(),
            service:% = self.request.service,
            is_begun = stream.is_begun,
            priority = stream.priority,
            waiting_streams = waiting,
            own_retries_left = self.traffic.budget.spare(self.state.clock.now()),
            asked_vms = asked.as_str(),
            after_ms = self.request.deadline.elapsed().as_millis();
            "stream waits for the retry budget"
        );
        counters::count_retry_wait();
    }

    /// Returns how long the stream may wait; none if it can't be served any more.
    fn wait_limit(&self, has_copy: bool) -> Option<ClockTime> {
        let prefill = match has_copy {
            true => ClockTime::ZERO,
            false => self
                .traffic
                .prefill
                .duration(self.request.head.prompt_tokens),
        };
        let time = RemainingTime {
            deadline: self.request.deadline.remaining(),
            usual: prefill + self.traffic.pace.remaining(self.ledger.accepted()),
            first_event: prefill,
            target: self.target_time_left(),
        };
        wait_limit(self.is_begun, time)
    }

    fn waiting_stream(&self, now: ClockTime) -> WaitingStream {
        WaitingStream {
            is_begun: self.is_begun,
            is_resumable: self.is_resumable,
            priority: self.priority(),
            events: self.ledger.accepted(),
            since: now,
        }
    }

    /// Returns the priority of the customer, or that of the route.
    fn priority(&self) -> u8 {
        let table = self.state.config.table();
        let key = self.request.head.key.as_ref();
        let customer = table.and_then(|table| table.customer(key?).cloned());
        let priority = customer.and_then(|customer| customer.priority);
        priority.unwrap_or(self.request.route.priority)
    }

    /// Refunds a reserved loan that has expired.
    fn drop_expired(&self, now: ClockTime) {
        let mut retries = self.retries();
        let expired = retries.reserved.filter(|grant| !grant.is_usable(now));
        if let Some(grant) = expired {
            retries.reserved = None;
            drop(retries);
            self.traffic.refund_retry(grant, now);
        }
    }
}

impl<P> StreamForwarder<P> {
    fn retries(&self) -> MutexGuard<'_, StreamRetries> {
        // The fields are consistent between calls, so a poisoned lock is usable.
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<P> Drop for StreamForwarder<P> {
    fn drop(&mut self) {
        let mut retries = self.retries();
        let (reserved, loan_request) = (retries.reserved.take(), retries.loan_request.take());
        drop(retries);
        if let Some(loan_request) = loan_request {
            self.traffic.remove_loan_request(loan_request);
        }
        if let Some(grant) = reserved {
            self.traffic.refund_retry(grant, self.state.clock.now());
        }
    }
}
