//! Decides when an upstream that refused a request gets requests again, and when
//! callers return if all upstreams refuse.
//!
//! Load pattern: more requests than the upstreams have places for. Upstreams refuse
//! and state when they want to be asked again; asking earlier costs them a refusal
//! each, and callers that are told the same time return together.

use skylarkshed_core::ClockTime;

/// An upstream is asked again after this time even if it stated a longer one: a VM
/// must not lose an upstream for good by one absurd value.
const MAX_DEFERRAL: ClockTime = ClockTime::from_millis(600_000);
/// The part of its remaining time that a caller waits at most before it returns.
const CALLER_WAIT_PART: u64 = 3;
/// The returns of callers are spread over this percentage of the wait.
const SPREAD_PERCENT: u64 = 25;
/// The minimum time over which returns are spread.
const MIN_SPREAD_MS: u64 = 50;

/// The minimum wait in an outage, which is longer than most target latencies of calls.
const MIN_OUTAGE_WAIT: ClockTime = ClockTime::from_millis(300);
/// Waits in an outage are spread from this percentage of the longest one.
const MIN_OUTAGE_PERCENT: u64 = 80;

/// Returns when a caller should return that no VM can serve now, because the store is
/// away for all of them or no upstream of the service can be reached.
///
/// Load pattern: an outage of seconds, in which every caller is refused. Callers return
/// a few times at most, so one that returns at once is refused for good. The wait is as
/// long as it leaves time to meet the target latency afterwards.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::outage_delay;
///
/// let (target_latency, time_left) = (ClockTime::from_millis(4_500), ClockTime::from_millis(25_000));
/// let delay = outage_delay(target_latency, time_left, 7_919);
/// assert!((1_800..=2_250).contains(&delay.as_millis()));
/// ```
pub fn outage_delay(target_latency: ClockTime, time_left: ClockTime, random: u64) -> ClockTime {
    let in_time = ClockTime::from_millis(target_latency.as_millis() / 2).max(MIN_OUTAGE_WAIT);
    let longest_wait = ClockTime::from_millis(time_left.as_millis() / CALLER_WAIT_PART);
    let longest_ms = in_time.min(longest_wait).as_millis();
    let shortest_ms = longest_ms * MIN_OUTAGE_PERCENT / 100;
    ClockTime::from_millis(shortest_ms + random % (longest_ms - shortest_ms + 1))
}

/// Returns until when an upstream gets no requests, if it stated `retry_after`.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::deferred_until;
///
/// let now = ClockTime::from_millis(1_000);
/// assert_eq!(deferred_until(now, ClockTime::from_millis(500)).as_millis(), 1_500);
/// assert!(deferred_until(now, ClockTime::NEVER) < ClockTime::NEVER);
/// ```
pub fn deferred_until(now: ClockTime, retry_after: ClockTime) -> ClockTime {
    now + retry_after.min(MAX_DEFERRAL)
}

/// Returns when a caller should return that no upstream accepts now.
///
/// `earliest` is the time until the first upstream accepts requests again, and
/// `time_left` the caller's remaining time. The returns are spread after `earliest`,
/// but not beyond the time that a caller waits. A caller that can't wait for
/// `earliest` gets it all the same: it shortens its wait itself, and it may rather
/// give up at once.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::return_delay;
///
/// let (earliest, time_left) = (ClockTime::from_millis(900), ClockTime::from_millis(3_000));
/// let delay = return_delay(earliest, time_left, 7_919);
/// assert!((900..=1_000).contains(&delay.as_millis()));
/// ```
pub fn return_delay(earliest: ClockTime, time_left: ClockTime, random: u64) -> ClockTime {
    let spread_ms = (earliest.as_millis() * SPREAD_PERCENT / 100).max(MIN_SPREAD_MS);
    let longest_wait = ClockTime::from_millis(time_left.as_millis() / CALLER_WAIT_PART);
    let spread_ms = match earliest < longest_wait {
        true => spread_ms.min(longest_wait.since(earliest).as_millis()),
        false => spread_ms,
    };
    earliest + ClockTime::from_millis(random % (spread_ms + 1))
}
