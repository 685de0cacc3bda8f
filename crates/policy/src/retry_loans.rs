//! Decides which retries VMs lend each other, and in which order waiting streams get them.
//!
//! Load pattern: the engines of a zone fail, and the streams that ran there are spread
//! unevenly over many VMs. One VM has three begun streams to continue and one retry left,
//! while others have retries that they do not need. A copy of a stream's KV cache lives
//! for seconds, so the VM asks others at once instead of waiting for its own window.

use crate::feed_route::VmEntry;
use crate::rendezvous::hash_rank;
use crate::retry_budget::RetryLimits;
use skylarkshed_core::{ClockTime, VmName, ZoneName};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

/// How long after the request for it a retry of a loan may arrive at an upstream.
pub const LOAN_LIFETIME: ClockTime = ClockTime::from_millis(1_500);
/// How long after the request for it a loan may be spent: the send may take another 100 ms
/// for its connection.
pub const LOAN_USE_TIME: ClockTime = ClockTime::from_millis(1_400);
/// How long a VM may take to answer a request for a loan before others are asked.
pub const LOAN_REPLY_TIMEOUT: ClockTime = ClockTime::from_millis(40);
/// VMs lend each other retries where the share of the reserve is smaller: a VM runs two
/// long streams, and each may lose its engine twice in a short time.
const SUFFICIENT_SHARE: usize = 4;
/// The most retries that one message requests.
const MAX_WANTED: usize = 8;
/// How many VMs are asked at the same moment.
const ASKED_VMS: usize = 3;
/// How long a VM that did not answer is not asked again.
const SILENT_VM_PERIOD: ClockTime = ClockTime::from_millis(1_000);
/// The pause after the first request that brought nothing; it doubles up to the last one.
const FIRST_PAUSE: ClockTime = ClockTime::from_millis(100);
const LAST_PAUSE: ClockTime = ClockTime::from_millis(400);
/// How long a new stream waits for a retry: the first three requests. Its caller can
/// come back at another VM.
const NEW_STREAM_WAIT: ClockTime = ClockTime::from_millis(350);
/// How long a loan is requested for a stream that stays with a silent engine meanwhile.
const LOAN_REQUEST_PERIOD: ClockTime = ClockTime::from_millis(600);

/// Reports whether VMs lend each other retries in a fleet of this size.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::{uses_loans, RetryLimits};
///
/// let window = ClockTime::from_millis(10_000);
/// let limits = RetryLimits { percent: 64, reserve: 105, window };
/// assert!(uses_loans(limits, 86) && !uses_loans(limits, 26) && !uses_loans(limits, 1));
/// ```
pub fn uses_loans(limits: RetryLimits, vms: usize) -> bool {
    vms > 1 && (limits.reserve as usize) < SUFFICIENT_SHARE * vms
}

/// What a VM asks others for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoanDemand {
    /// The number of retries.
    pub wanted: u32,
    /// Whether the first stream that waits for one has begun.
    pub is_begun: bool,
    /// The priority of that stream; 0 is the highest.
    pub priority: u8,
}

/// What a lender needs itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LenderState {
    /// Its first stream that waits for a retry, if one does.
    pub first_waiting: Option<WaitingStream>,
    /// Whether it is draining.
    pub is_leaving: bool,
}

/// Returns how many of its spare retries a VM lends.
///
/// It lends at most half of them, rounded up: in a large fleet the share of the reserve is a
/// single retry. None is kept for streams that may lose their engine later, because a VM of a
/// busy fleet has more of these than retries, and none would be lent. A draining VM gets no
/// new streams and lends all.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::{lendable_retries, LenderState, LoanDemand};
///
/// let demand = LoanDemand { wanted: 8, is_begun: true, priority: 0 };
/// let lender = LenderState::default();
/// assert_eq!(lendable_retries(6, demand, lender), 3);
/// assert_eq!(lendable_retries(1, demand, lender), 1);
/// let lender = LenderState { is_leaving: true, ..lender };
/// assert_eq!(lendable_retries(6, demand, lender), 6);
/// ```
pub fn lendable_retries(spare: u32, demand: LoanDemand, lender: LenderState) -> u32 {
    let goes_first = |own: WaitingStream| {
        (own.is_begun, Reverse(own.priority)) >= (demand.is_begun, Reverse(demand.priority))
    };
    if lender.first_waiting.is_some_and(goes_first) {
        return 0;
    }
    let part = match lender.is_leaving {
        true => spare,
        false => spare.div_ceil(2),
    };
    demand.wanted.min(part)
}

/// A stream that waits for a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitingStream {
    /// Whether its caller has received the head of the response.
    pub is_begun: bool,
    /// Whether it can resume at another upstream.
    pub is_resumable: bool,
    /// Its priority; 0 is the highest.
    pub priority: u8,
    /// The number of events that its caller has received.
    pub events: u64,
    /// When it began to wait.
    pub since: ClockTime,
}

/// What is known about whether a waiting stream can still be served.
#[derive(Clone, Copy, Debug)]
pub struct RemainingTime {
    /// The time until its deadline.
    pub deadline: ClockTime,
    /// The usual time from its continuation to its end; zero if unknown.
    pub usual: ClockTime,
    /// The usual time from its continuation to its next event.
    pub first_event: ClockTime,
    /// The time in which the first event is due; zero once the stream has begun.
    pub target: ClockTime,
}

/// Returns how long a stream goes on waiting for a retry; none if it ends at once, because
/// it can be neither on time nor finished any more.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::{wait_limit, RemainingTime};
///
/// let ms = ClockTime::from_millis;
/// let time = RemainingTime { deadline: ms(5_000), usual: ms(3_000), first_event: ms(0), target: ms(0) };
/// assert_eq!(wait_limit(true, time), Some(ms(2_000)));
/// assert_eq!(wait_limit(true, RemainingTime { deadline: ms(2_500), ..time }), None);
/// ```
pub fn wait_limit(is_begun: bool, time: RemainingTime) -> Option<ClockTime> {
    let limit = match is_begun {
        true => time.deadline.since(time.usual),
        false => {
            let until_late = time.target.since(time.first_event);
            let limit = time.deadline.since(time.usual).max(until_late);
            limit.min(NEW_STREAM_WAIT).min(time.deadline)
        }
    };
    (limit > ClockTime::ZERO).then_some(limit)
}

/// Identifies a waiting stream.
pub type WaiterId = u64;

/// The position of a waiting stream: begun ones before new ones, more urgent ones first,
/// then those with the fewest events left, then those that have waited longest.
type WaitRank = (bool, u8, Reverse<u64>, ClockTime, WaiterId);

/// A stream that stays with a silent engine until there is a retry.
#[derive(Clone, Copy, Debug)]
struct LoanRequest {
    id: WaiterId,
    is_begun: bool,
    priority: u8,
    /// Until when a loan is requested for it.
    until: ClockTime,
}

/// The streams of one VM that wait for a retry of one service, in their order.
#[derive(Debug, Default)]
pub struct RetryQueue {
    waiting: BTreeMap<WaitRank, WaitingStream>,
    ranks: HashMap<WaiterId, WaitRank>,
    next_id: WaiterId,
    /// The streams that stay with a silent engine for lack of a retry.
    loan_requests: Vec<LoanRequest>,
    /// The lowest and the highest priority number of the service's streams.
    priorities: Option<(u8, u8)>,
}

impl RetryQueue {
    /// Records the priority of a stream of the service.
    pub fn record_priority(&mut self, priority: u8) {
        let (low, high) = self.priorities.unwrap_or((priority, priority));
        self.priorities = Some((low.min(priority), high.max(priority)));
    }

    /// Reports whether a priority is the least urgent one of several.
    pub fn is_least_urgent(&self, priority: u8) -> bool {
        let is_least = |(low, high): (u8, u8)| low < high && priority >= high;
        self.priorities.is_some_and(is_least)
    }

    /// Adds a stream.
    pub fn join(&mut self, stream: WaitingStream) -> WaiterId {
        self.next_id += 1;
        let id = self.next_id;
        let rank = rank(&stream, id);
        self.waiting.insert(rank, stream);
        self.ranks.insert(id, rank);
        id
    }

    /// Removes a stream, if it still waits.
    pub fn leave(&mut self, id: WaiterId) {
        if let Some(rank) = self.ranks.remove(&id) {
            self.waiting.remove(&rank);
        }
    }

    /// Returns the stream that gets the next retry.
    pub fn first(&self) -> Option<(WaiterId, WaitingStream)> {
        let (rank, stream) = self.waiting.first_key_value()?;
        Some((rank.4, *stream))
    }

    /// Reports whether a waiting stream goes before one that does not wait yet.
    pub fn goes_before(&self, stream: &WaitingStream) -> bool {
        let first = self.waiting.first_key_value();
        first.is_some_and(|(first, _)| *first < rank(stream, WaiterId::MAX))
    }

    /// Returns the number of waiting streams.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Reports whether no stream waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Records that a stream stays with a silent engine for lack of a retry.
    pub fn add_loan_request(&mut self, stream: &WaitingStream, now: ClockTime) -> WaiterId {
        self.next_id += 1;
        self.loan_requests.push(LoanRequest {
            id: self.next_id,
            is_begun: stream.is_begun,
            priority: stream.priority,
            until: now + LOAN_REQUEST_PERIOD,
        });
        self.next_id
    }

    /// Removes the request for a loan of a stream, if there still is one.
    pub fn remove_loan_request(&mut self, id: WaiterId) {
        self.loan_requests
            .retain(|loan_request| loan_request.id != id);
    }

    /// Returns what to ask other VMs for; none if no stream needs a retry. `borrowed` is the
    /// number of loans that are left.
    pub fn demand(&mut self, borrowed: u32, now: ClockTime) -> Option<LoanDemand> {
        self.loan_requests
            .retain(|loan_request| now < loan_request.until);
        let needed = self.waiting.len() + self.loan_requests.len();
        let wanted = needed.saturating_sub(borrowed as usize).min(MAX_WANTED);
        let waiting = self.waiting.values().next();
        let waiting = waiting.map(|stream| (!stream.is_begun, stream.priority));
        let loan_requests = self.loan_requests.iter();
        let loan_requests =
            loan_requests.map(|loan_request| (!loan_request.is_begun, loan_request.priority));
        let (is_new, priority) = loan_requests.chain(waiting).min()?;
        (wanted > 0).then_some(LoanDemand {
            wanted: wanted as u32,
            is_begun: !is_new,
            priority,
        })
    }
}

fn rank(stream: &WaitingStream, id: WaiterId) -> WaitRank {
    let events = Reverse(stream.events);
    (!stream.is_begun, stream.priority, events, stream.since, id)
}

/// Chooses which VMs are asked, and when.
#[derive(Debug, Default)]
pub struct LenderSearch {
    asked: Vec<VmName>,
    pause: Option<ClockTime>,
}

impl LenderSearch {
    /// Chooses the next VMs to ask, at random, those of the own zone first. All others are
    /// asked before one is asked again.
    pub fn choose(
        &mut self,
        vms: &[VmEntry],
        own: (&VmName, &ZoneName),
        is_avoided: impl Fn(&VmName) -> bool,
        random: u64,
    ) -> Vec<VmEntry> {
        let usable = vms.iter().filter(|vm| vm.name != *own.0);
        let usable: Vec<&VmEntry> = usable.filter(|vm| !is_avoided(&vm.name)).collect();
        if usable.iter().all(|vm| self.asked.contains(&vm.name)) {
            self.asked.clear();
        }
        let unasked = usable.iter().filter(|vm| !self.asked.contains(&vm.name));
        let mut chosen: Vec<&&VmEntry> = unasked.collect();
        chosen.sort_by_key(|vm| (vm.zone != *own.1, hash_rank((random, &vm.name))));
        chosen.truncate(ASKED_VMS);
        let chosen: Vec<VmEntry> = chosen.into_iter().map(|vm| (*vm).clone()).collect();
        let names = chosen.iter().map(|vm| vm.name.clone());
        self.asked.extend(names);
        chosen
    }

    /// Returns the pause before others are asked; none if this request brought something.
    pub fn next_pause(&mut self, got: u32) -> ClockTime {
        if got > 0 {
            self.pause = None;
            return ClockTime::ZERO;
        }
        let doubled = |pause: ClockTime| ClockTime::from_millis(pause.as_millis() * 2);
        let pause = self.pause.map_or(FIRST_PAUSE, doubled).min(LAST_PAUSE);
        self.pause = Some(pause);
        pause
    }
}

/// The VMs that did not answer and are not asked for a while.
#[derive(Debug, Default)]
pub struct SilentVms(HashMap<VmName, ClockTime>);

impl SilentVms {
    /// Records that a VM did not answer.
    pub fn record(&mut self, vm: VmName, now: ClockTime) {
        self.0.retain(|_, until| now < *until);
        self.0.insert(vm, now + SILENT_VM_PERIOD);
    }

    /// Reports whether a VM is not asked now.
    pub fn contains(&self, vm: &VmName, now: ClockTime) -> bool {
        self.0.get(vm).is_some_and(|until| now < *until)
    }
}
