//! The rules, checked against what callers and upstreams saw.
//!
//! Each check states the cases that the platform's rules allow; no other case is left out.

mod abandoned;
mod answers;
mod crashes;
mod handling;
mod recovery;
mod retries;
mod rollouts;
mod runs;
mod totals;

use crate::bounds::RetryBound;
use crate::configs::ConfigHistory;
use crate::records::{RequestStory, Violation};
use crate::timeline::Timeline;
use skylarkshed_core::ClockTime;
use std::collections::BTreeMap;

pub(crate) use answers::excuse_cut;
pub use recovery::{FailedTries, PowerLoss};
pub(crate) use retries::find_peaks;
pub(crate) use rollouts::is_end_judged;
pub use rollouts::{RolloutEnd, RolloutRecord, VersionQuality};
pub use totals::check_totals;

/// A termination signal to a VM that went on running.
#[derive(Clone, Copy, Debug)]
pub struct ReadinessRecord {
    /// The VM.
    pub vm: usize,
    /// When it got the signal.
    pub signal_at: ClockTime,
    /// The last time that it reported to be ready, if it did after the signal.
    pub last_ready_at: ClockTime,
}

/// What the checks know besides the requests.
#[derive(Clone, Debug, Default)]
pub struct World {
    /// The disturbances.
    pub timeline: Timeline,
    /// The configurations.
    pub configs: ConfigHistory,
    /// When the store accepted that an upstream leaves.
    pub leavings: BTreeMap<String, ClockTime>,
    /// The termination signals.
    pub terminations: Vec<ReadinessRecord>,
    /// The rollouts.
    pub rollouts: Vec<RolloutRecord>,
    /// The losses of power of all VMs.
    pub power_losses: Vec<PowerLoss>,
    /// The tries of callers that reached no VM.
    pub failed_tries: FailedTries,
    /// The bound on repeated sends in the VMs' settings.
    pub retry_bound: RetryBound,
    /// When callers were told to stop, if they were.
    pub load_until: Option<ClockTime>,
}

/// Checks one request as far as it is known at `now`.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_soak::{check_request, CallKind, CallerRequest, RequestStory, World};
///
/// let request = CallerRequest {
///     id: "1".into(),
///     vm: 0,
///     boot: 1,
///     kind: CallKind::Unsafe,
///     method: "POST".into(),
///     path: "/book/1".into(),
///     body: String::new(),
///     key: None,
///     crashing_part: None,
///     events: 0,
///     last_event: 0,
///     sent_at: ClockTime::ZERO,
///     time_limit: ClockTime::from_millis(3_000),
///     timeout: ClockTime::from_millis(1_000),
///     attempts: 1,
/// };
/// let story = RequestStory { request, outcome: None, arrivals: Vec::new(), runs: Vec::new() };
/// assert!(check_request(&story, &World::default(), ClockTime::ZERO).is_empty());
/// ```
pub fn check_request(story: &RequestStory, world: &World, now: ClockTime) -> Vec<Violation> {
    let mut found = Vec::new();
    runs::check(story, world, &mut found);
    handling::check(story, world, now, &mut found);
    answers::check(story, world, &mut found);
    let id = Some(story.request.id.clone());
    let to_violation = |(rule, detail)| Violation {
        rule,
        request: id.clone(),
        detail,
    };
    found.into_iter().map(to_violation).collect()
}

/// The rules that are broken, each with what was seen.
type Findings = Vec<(&'static str, String)>;
