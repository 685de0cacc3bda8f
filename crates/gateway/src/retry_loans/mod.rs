//! Hands the retries of a service to the streams that wait for one, and borrows retries
//! from other VMs.
//!
//! The decisions are [`RetryBudget`](skylarkshed_policy::RetryBudget) and [`RetryQueue`].

mod exchange;

pub(crate) use exchange::{receive_request, start_asking};

use crate::counters;
use crate::gateway_state::ServiceTraffic;
use skylarkshed_core::{ClockTime, MonotonicClock, VmName};
use skylarkshed_policy::{
    LenderState, LoanDemand, RetryClaim, RetryGrant, RetryQueue, SilentVms, WaiterId, WaitingStream,
};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{oneshot, watch, Notify};

/// What a VM knows of all others that lend retries.
pub(crate) struct LoanPeers {
    /// Identifies this process in the loans that it grants.
    process: u64,
    silent: Mutex<SilentVms>,
}

impl LoanPeers {
    pub(crate) fn new() -> Self {
        LoanPeers {
            process: rand::random(),
            silent: Mutex::default(),
        }
    }

    fn lock_silent(&self) -> MutexGuard<'_, SilentVms> {
        // The table is consistent between calls, so a poisoned lock is usable.
        self.silent.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The streams of one service that wait for a retry.
#[derive(Debug, Default)]
pub(crate) struct RetryDispatcher {
    table: Mutex<DispatcherTable>,
    begun_streams: AtomicU32,
    /// Wakes the task that asks other VMs, as there is a new demand.
    demand_added: Notify,
    /// The number of loans that have arrived.
    loans: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct DispatcherTable {
    queue: RetryQueue,
    grants: HashMap<WaiterId, oneshot::Sender<RetryGrant>>,
    /// Whether a task asks other VMs.
    is_asking: bool,
    /// The VMs that were asked last.
    asked: Vec<VmName>,
}

impl RetryDispatcher {
    fn lock(&self) -> MutexGuard<'_, DispatcherTable> {
        // The table is consistent between calls, so a poisoned lock is usable.
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn record_priority(&self, priority: u8) {
        self.lock().queue.record_priority(priority);
    }

    /// Returns the number of waiting streams, and the VMs that were asked last.
    pub(crate) fn describe(&self) -> (usize, String) {
        let table = self.lock();
        let asked: Vec<&str> = table.asked.iter().map(VmName::as_str).collect();
        (table.queue.len(), asked.join(","))
    }

    /// Returns the number of the next loan.
    pub(crate) fn next_loan(&self) -> u64 {
        *self.loans.borrow() + 1
    }

    /// Waits until the loan with a number has arrived; forever if there is none.
    pub(crate) async fn wait_for_loan(&self, number: Option<u64>) {
        let Some(number) = number else {
            return std::future::pending().await;
        };
        let mut loans = self.loans.subscribe();
        // The sender lives as long as the dispatcher.
        let _ = loans.wait_for(|loans| *loans >= number).await;
    }

    fn lender_state(&self, is_leaving: bool) -> LenderState {
        LenderState {
            first_waiting: self.lock().queue.first().map(|(_, stream)| stream),
            is_leaving,
        }
    }
}

/// Counts a begun stream of a service until it is dropped.
pub(crate) struct BegunStream(Arc<ServiceTraffic>);

impl BegunStream {
    pub(crate) fn start(traffic: &Arc<ServiceTraffic>) -> Self {
        traffic
            .dispatcher
            .begun_streams
            .fetch_add(1, Ordering::Relaxed);
        BegunStream(traffic.clone())
    }
}

impl Drop for BegunStream {
    fn drop(&mut self) {
        self.0
            .dispatcher
            .begun_streams
            .fetch_sub(1, Ordering::Relaxed);
    }
}

impl ServiceTraffic {
    /// Takes a retry for a stream, unless there is none or another stream goes first.
    pub(crate) fn take_retry(&self, stream: &WaitingStream, now: ClockTime) -> Option<RetryGrant> {
        let table = self.dispatcher.lock();
        match table.queue.goes_before(stream) {
            true => None,
            false => self.spend(&table, stream, now),
        }
    }

    /// Like [`Self::take_retry`], for a stream that stays with a silent engine; has a loan
    /// requested if there is no retry. `earlier` is the request that this one replaces.
    pub(crate) fn take_or_request(
        &self,
        stream: &WaitingStream,
        earlier: Option<WaiterId>,
        now: ClockTime,
    ) -> Result<RetryGrant, WaiterId> {
        let grant = self.take_retry(stream, now);
        let mut table = self.dispatcher.lock();
        if let Some(earlier) = earlier {
            table.queue.remove_loan_request(earlier);
        }
        grant.ok_or_else(|| table.queue.add_loan_request(stream, now))
    }

    /// Requests no more loan for a stream that does not need it.
    pub(crate) fn remove_loan_request(&self, id: WaiterId) {
        self.dispatcher.lock().queue.remove_loan_request(id);
    }

    /// Refunds a retry that was not made; a waiting stream may have it.
    pub(crate) fn refund_retry(&self, grant: RetryGrant, now: ClockTime) {
        self.budget.refund_grant(grant, now);
        self.hand_out_retries(now);
    }

    /// Hands retries to the waiting streams, in their order, as long as there are some.
    pub(crate) fn hand_out_retries(&self, now: ClockTime) {
        self.hand_out(&mut self.dispatcher.lock(), now);
    }

    fn hand_out(&self, table: &mut DispatcherTable, now: ClockTime) {
        while let Some((id, stream)) = table.queue.first() {
            let Some(grant) = self.spend(table, &stream, now) else {
                break;
            };
            table.queue.leave(id);
            let sent = table.grants.remove(&id).map(|waiter| waiter.send(grant));
            if !matches!(sent, Some(Ok(()))) {
                // The stream has just stopped waiting.
                self.budget.refund_grant(grant, now);
            }
        }
        let expired = self.budget.drain_expired(now);
        counters::count_retry_loans("expired", expired);
    }

    fn spend(
        &self,
        table: &DispatcherTable,
        stream: &WaitingStream,
        now: ClockTime,
    ) -> Option<RetryGrant> {
        let has_begun_streams = self.dispatcher.begun_streams.load(Ordering::Relaxed) > 0;
        let is_least_urgent = !stream.is_begun && table.queue.is_least_urgent(stream.priority);
        let claim = RetryClaim {
            is_resumable: stream.is_resumable,
            leaves_quarter: is_least_urgent && has_begun_streams,
        };
        self.budget.try_spend(claim, now)
    }

    /// Adds as much of a loan as the streams need, hands it out and returns its size.
    fn accept_loan(&self, count: u32, expires_at: ClockTime, now: ClockTime) -> u32 {
        let mut table = self.dispatcher.lock();
        let borrowed = self.budget.borrowed(now);
        let needed = table.queue.demand(borrowed, now);
        let needed = needed.map_or(0, |demand| demand.wanted);
        let accepted = match now < expires_at {
            true => count.min(needed),
            false => 0,
        };
        self.budget.add_loan(accepted, expires_at);
        self.hand_out(&mut table, now);
        drop(table);
        if accepted > 0 {
            self.dispatcher.loans.send_modify(|loans| *loans += 1);
        }
        accepted
    }

    /// Returns what to ask other VMs for; without a demand, the asking ends.
    fn next_demand(&self, now: ClockTime) -> Option<LoanDemand> {
        let mut table = self.dispatcher.lock();
        self.hand_out(&mut table, now);
        let borrowed = self.budget.borrowed(now);
        let demand = table.queue.demand(borrowed, now);
        table.is_asking = demand.is_some();
        demand
    }
}

/// A stream that waits for a retry; it stops waiting when this is dropped.
pub(crate) struct RetryWaiter {
    traffic: Arc<ServiceTraffic>,
    clock: MonotonicClock,
    id: WaiterId,
    grant: oneshot::Receiver<RetryGrant>,
}

impl RetryWaiter {
    pub(crate) fn join(
        traffic: &Arc<ServiceTraffic>,
        clock: MonotonicClock,
        stream: WaitingStream,
    ) -> Self {
        let (sender, grant) = oneshot::channel();
        let mut table = traffic.dispatcher.lock();
        let id = table.queue.join(stream);
        table.grants.insert(id, sender);
        drop(table);
        RetryWaiter {
            traffic: traffic.clone(),
            clock,
            id,
            grant,
        }
    }

    /// Waits for the retry.
    pub(crate) async fn wait(&mut self) -> RetryGrant {
        match (&mut self.grant).await {
            Ok(grant) => grant,
            // The dispatcher keeps the sender until the retry is there.
            Err(_) => std::future::pending().await,
        }
    }
}

impl Drop for RetryWaiter {
    fn drop(&mut self) {
        let mut table = self.traffic.dispatcher.lock();
        table.queue.leave(self.id);
        table.grants.remove(&self.id);
        drop(table);
        if let Ok(grant) = self.grant.try_recv() {
            self.traffic.refund_retry(grant, self.clock.now());
        }
    }
}
