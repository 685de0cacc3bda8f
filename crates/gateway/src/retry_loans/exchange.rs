//! Asks other VMs for retries, and lends them some.

use crate::counters;
use crate::gateway_state::{GatewayState, ServiceTraffic};
use futures::stream::FuturesUnordered;
use futures::StreamExt;
use skylarkshed_core::{ClockTime, ServiceName};
use skylarkshed_peer::wire::{PeerBody, RetryLoan, RetryRequest};
use skylarkshed_policy::{LenderSearch, LoanDemand, VmEntry, LOAN_REPLY_TIMEOUT, LOAN_USE_TIME};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;

/// How long an answer is waited for that is late: its loan is usable until it expires.
const LATE_REPLY_TIMEOUT: ClockTime = ClockTime::from_millis(500);
/// A VM may need longer for its first answer, as the connection is made before.
const ROUND_TIMEOUT: ClockTime = ClockTime::from_millis(LOAN_REPLY_TIMEOUT.as_millis() + 5);

/// Asks other VMs for the retries that the streams of a service need, until they need none.
pub(crate) fn start_asking(
    state: &Arc<GatewayState>,
    traffic: &Arc<ServiceTraffic>,
    service: &ServiceName,
) {
    let mut table = traffic.dispatcher.lock();
    if std::mem::replace(&mut table.is_asking, true) {
        return traffic.dispatcher.demand_added.notify_one();
    }
    let mut asker = LoanAsker {
        state: state.clone(),
        traffic: traffic.clone(),
        service: service.clone(),
        search: LenderSearch::default(),
    };
    let lenders = asker.choose_lenders();
    table.asked = lenders.iter().map(|vm| vm.name.clone()).collect();
    drop(table);
    tokio::spawn(asker.run(lenders));
}

/// Borrows retries of a service while its streams need some.
struct LoanAsker {
    state: Arc<GatewayState>,
    traffic: Arc<ServiceTraffic>,
    service: ServiceName,
    search: LenderSearch,
}

impl LoanAsker {
    async fn run(mut self, mut lenders: Vec<VmEntry>) {
        while let Some(demand) = self.traffic.next_demand(self.state.clock.now()) {
            if let Some(got) = self.ask(&lenders, demand).await {
                let pause = self.search.next_pause(got);
                self.wait(pause).await;
            }
            lenders = self.choose_lenders();
            let mut table = self.traffic.dispatcher.lock();
            table.asked = lenders.iter().map(|vm| vm.name.clone()).collect();
        }
    }

    fn choose_lenders(&mut self) -> Vec<VmEntry> {
        let state = &self.state;
        let now = state.clock.now();
        let silent = state.loan_peers.lock_silent();
        let own = (&state.settings.name, &state.settings.zone);
        let is_avoided = |vm: &_| silent.contains(vm, now);
        let vms = state.roster.vms();
        self.search.choose(&vms, own, is_avoided, rand::random())
    }

    /// Asks VMs at the same moment and returns how many retries they lent in time; none if
    /// another stream began to wait meanwhile.
    async fn ask(&self, lenders: &[VmEntry], demand: LoanDemand) -> Option<u32> {
        let asking = lenders.iter().map(|vm| {
            let (state, traffic) = (self.state.clone(), self.traffic.clone());
            tokio::spawn(borrow(
                state,
                traffic,
                self.service.clone(),
                vm.clone(),
                demand,
            ))
        });
        let mut asking: FuturesUnordered<_> = asking.collect();
        let mut got = 0;
        let answers = async {
            while let Some(lent) = asking.next().await {
                // A task that panicked has logged it and borrowed nothing.
                got += lent.unwrap_or(0);
            }
        };
        // The tasks of late answers go on.
        tokio::select! {
            _ = tokio::time::timeout(ROUND_TIMEOUT.to_duration(), answers) => Some(got),
            () = self.traffic.dispatcher.demand_added.notified() => None,
        }
    }

    /// Waits for a time, at most until a stream begins to wait. Hands out own retries as
    /// soon as there are some.
    async fn wait(&self, pause: ClockTime) {
        let clock = self.state.clock;
        let end = clock.now() + pause;
        while clock.now() < end {
            let now = clock.now();
            let step = end.since(now);
            let step = step.min(self.traffic.budget.until_next_change(now));
            tokio::select! {
                () = self.traffic.dispatcher.demand_added.notified() => return,
                () = tokio::time::sleep(step.to_duration()) => {}
            }
            self.traffic.hand_out_retries(clock.now());
        }
    }
}

/// Asks a VM for retries and returns how many it lent.
async fn borrow(
    state: Arc<GatewayState>,
    traffic: Arc<ServiceTraffic>,
    service: ServiceName,
    vm: VmEntry,
    demand: LoanDemand,
) -> u32 {
    let body = PeerBody::RequestRetries(RetryRequest {
        service: service.to_string(),
        wanted: demand.wanted,
        is_begun: demand.is_begun,
        priority: demand.priority.into(),
        returned: None,
        listed_vms: state.roster.listed_vms(),
    });
    let clock = state.clock;
    let expires_at = clock.now() + LOAN_USE_TIME;
    let mut request = pin!(state.peers.request(vm.address, body, LATE_REPLY_TIMEOUT));
    let in_time = tokio::time::timeout(LOAN_REPLY_TIMEOUT.to_duration(), &mut request).await;
    let is_late = in_time.is_err();
    if is_late {
        let mut silent = state.loan_peers.lock_silent();
        silent.record(vm.name.clone(), clock.now());
    }
    let reply = match in_time {
        Ok(reply) => reply,
        Err(_) => request.await,
    };
    let loan = match reply {
        Ok(PeerBody::LendRetries(loan)) => loan,
        // An older build, or one that does not know the service.
        Ok(_) => return 0,
        Err(error) => {
            let mut silent = state.loan_peers.lock_silent();
            silent.record(vm.name.clone(), clock.now());
            log::debug!(vm:% = vm.name; "can't ask a VM for retries: {error}");
            return 0;
        }
    };
    state.roster.record_other_list(loan.listed_vms, clock.now());
    // No VM lends more than it is asked for.
    let count = loan.count.min(demand.wanted);
    let accepted = traffic.accept_loan(count, expires_at, clock.now());
    counters::count_retry_loans("borrowed", accepted);
    if accepted > 0 {
        tokio::spawn(count_expiry(state.clone(), traffic, expires_at));
    }
    if accepted < count {
        let returned = RetryLoan {
            count: count - accepted,
            ..loan
        };
        return_loan(&state, &service, vm.address, returned).await;
    }
    count
}

/// Counts the part of a loan that has expired.
async fn count_expiry(
    state: Arc<GatewayState>,
    traffic: Arc<ServiceTraffic>,
    expires_at: ClockTime,
) {
    let remaining = expires_at.since(state.clock.now()) + ClockTime::from_millis(1);
    tokio::time::sleep(remaining.to_duration()).await;
    traffic.hand_out_retries(state.clock.now());
}

/// Returns retries that no stream needs. If the message is lost, the lender counts them as
/// spent.
async fn return_loan(
    state: &GatewayState,
    service: &ServiceName,
    lender: SocketAddr,
    returned: RetryLoan,
) {
    let body = PeerBody::RequestRetries(RetryRequest {
        service: service.to_string(),
        returned: Some(returned),
        ..RetryRequest::default()
    });
    let reply = state.peers.request(lender, body, LATE_REPLY_TIMEOUT).await;
    if let Err(error) = reply {
        log::debug!(vm:% = lender; "can't return retries: {error}");
    }
}

/// Handles the request of another VM.
pub(crate) fn receive_request(state: &GatewayState, request: &RetryRequest) -> PeerBody {
    let service = ServiceName::from(request.service.as_str());
    let Some(traffic) = state.known_traffic(&service) else {
        return PeerBody::Done(false);
    };
    let now = state.clock.now();
    let process = state.loan_peers.process;
    if let Some(returned) = request.returned.as_ref() {
        // An earlier process of this VM may have lent them.
        if returned.process == process {
            let lent_at = ClockTime::from_millis(returned.lent_at_ms);
            traffic.budget.take_back(returned.count, lent_at, now);
            traffic.hand_out_retries(now);
        }
        return PeerBody::Done(true);
    }
    state.roster.record_other_list(request.listed_vms, now);
    let demand = LoanDemand {
        wanted: request.wanted,
        is_begun: request.is_begun,
        priority: u8::try_from(request.priority).unwrap_or(u8::MAX),
    };
    let lender = traffic
        .dispatcher
        .lender_state(state.leaving_for().is_some());
    let count = traffic.budget.lend(demand, lender, now);
    counters::count_retry_loans("lent", count);
    PeerBody::LendRetries(RetryLoan {
        count,
        process,
        lent_at_ms: now.as_millis(),
        listed_vms: state.roster.listed_vms(),
    })
}
