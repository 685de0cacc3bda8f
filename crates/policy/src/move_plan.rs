//! Decides when a traffic move between versions takes its next step.
//!
//! The steps are planned backwards from the move's deadline: they share most of
//! the time evenly, and the rest is kept for a platform that is slow to store a
//! step.

use crate::evidence::{compare_versions, VersionCounts, VersionVerdict};
use skylarkshed_core::{ClockTime, MoveEntry, MoveState};

/// The shares of the new version, in parts per million, before it gets all traffic.
const STEPS_PPM: [u32; 4] = [50_000, 100_000, 250_000, 500_000];
const WHOLE_PPM: u32 = 1_000_000;
/// The percentage of a move's time that its steps take.
const STEP_TIME_PERCENT: u64 = 80;
/// The number of requests to the new version that a step waits for while there is
/// enough time.
const MIN_STEP_REQUESTS: u64 = 40;
/// After this percentage of a move's time, steps no longer wait for requests.
const NO_WAIT_PERCENT: u64 = 70;

/// With fewer requests expected at the new version, it may receive none by chance.
const MIN_EXPECTED_REQUESTS: u64 = 8;

/// The next step of a move.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MoveDecision {
    /// Do nothing.
    Wait,
    /// Raise the new version's share.
    Step {
        /// The new share, in parts per million.
        share_ppm: u32,
    },
    /// Give all traffic to the new version.
    Finish,
    /// Give all traffic back to the old version.
    Reverse {
        /// The fault that was found.
        verdict: VersionVerdict,
    },
}

/// Returns the first share of a move, in parts per million.
///
/// One new replica gets about the load of one old replica, so that faults under
/// load become visible, but never more than a small share of the traffic.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::first_share_ppm;
///
/// assert_eq!(first_share_ppm(3), 50_000);
/// assert_eq!(first_share_ppm(100), 10_000);
/// ```
pub fn first_share_ppm(replicas: usize) -> u32 {
    let replicas = u32::try_from(replicas.max(1)).unwrap_or(u32::MAX);
    (WHOLE_PPM / replicas).min(STEPS_PPM[0])
}

/// Decides the next step of a running move.
///
/// `old` and `new` are the counts since the move started; `requests_since_step` is
/// the number of requests to the new version since its last step.
pub fn decide_move(
    entry: &MoveEntry,
    old: &VersionCounts,
    new: &VersionCounts,
    requests_since_step: u64,
    now: ClockTime,
) -> MoveDecision {
    if entry.state != MoveState::Running {
        return MoveDecision::Wait;
    }
    let verdict = compare_versions(old, new);
    if verdict != VersionVerdict::NoFault {
        return MoveDecision::Reverse { verdict };
    }
    let duration_ms = entry.deadline.since(entry.started).as_millis().max(1);
    let elapsed_ms = now.since(entry.started).as_millis();
    let steps_taken = STEPS_PPM
        .iter()
        .filter(|&&step| step <= entry.share_ppm)
        .count()
        .max(1);
    let due_ms =
        duration_ms * STEP_TIME_PERCENT / 100 * steps_taken as u64 / STEPS_PPM.len() as u64;
    let is_late = elapsed_ms * 100 >= duration_ms * NO_WAIT_PERCENT;
    if is_late && is_untested(entry, old, new) {
        let verdict = VersionVerdict::Untested;
        return MoveDecision::Reverse { verdict };
    }
    if elapsed_ms < due_ms || (requests_since_step < MIN_STEP_REQUESTS && !is_late) {
        return MoveDecision::Wait;
    }
    match STEPS_PPM.iter().find(|&&step| step > entry.share_ppm) {
        Some(&share_ppm) => MoveDecision::Step { share_ppm },
        None => MoveDecision::Finish,
    }
}

/// Reports whether the new version responded to nothing at its first share, although it
/// should have received some requests.
fn is_untested(entry: &MoveEntry, old: &VersionCounts, new: &VersionCounts) -> bool {
    let expected = old.total() * u64::from(entry.share_ppm) / u64::from(WHOLE_PPM);
    let is_first_share = entry.share_ppm <= STEPS_PPM[0];
    is_first_share && new.total() == 0 && expected >= MIN_EXPECTED_REQUESTS
}
