//! When a move takes its next step.
//!
//! The plan runs backwards from the time set: the steps share most of the time
//! evenly, and the rest is kept for a platform that is slow to take a row.

use crate::evidence::{compare_versions, VersionCounts, VersionVerdict};
use skylarkshed_core::{ClockTime, MoveEntry, MoveState};

/// The shares of the new version, in parts of a million; then all traffic.
const STEPS_PPM: [u32; 4] = [50_000, 100_000, 250_000, 500_000];
/// The part of a move's time that its steps take, in hundredths.
const STEP_TIME_PERCENT: u64 = 80;
/// A step waits for this many requests of the new version, while there is time.
const STEP_REQUESTS: u64 = 40;
/// From this part of the time on, steps wait for nothing, in hundredths.
const PRESSING_PERCENT: u64 = 70;

/// What a move does now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MoveDecision {
    /// Nothing.
    Wait,
    /// Raise the new version's share.
    Step {
        /// The share, in parts of a million.
        share_ppm: u32,
    },
    /// Give all traffic to the new version.
    Finish,
    /// Give all traffic back to the old version.
    Reverse {
        /// Why.
        verdict: VersionVerdict,
    },
}

/// Returns the first share of a move, in parts of a million.
///
/// One new replica gets about the load of one old replica, so that faults
/// under load show, but never more than a small share of the traffic.
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
    const WHOLE_PPM: u32 = 1_000_000;
    let replicas = u32::try_from(replicas.max(1)).unwrap_or(u32::MAX);
    (WHOLE_PPM / replicas).min(STEPS_PPM[0])
}

/// Decides what a running move does now.
///
/// `old` and `new` are the counts since the move started, and `since_step` the
/// requests of the new version since its last step.
pub fn decide_move(
    entry: &MoveEntry,
    old: &VersionCounts,
    new: &VersionCounts,
    since_step: u64,
    now: ClockTime,
) -> MoveDecision {
    if entry.state != MoveState::Running {
        return MoveDecision::Wait;
    }
    let verdict = compare_versions(old, new);
    if verdict != VersionVerdict::NoFault {
        return MoveDecision::Reverse { verdict };
    }
    let time = entry.deadline.since(entry.started).as_millis().max(1);
    let passed = now.since(entry.started).as_millis();
    let taken = STEPS_PPM
        .iter()
        .filter(|&&step| step <= entry.share_ppm)
        .count()
        .max(1);
    let due = time * STEP_TIME_PERCENT / 100 * taken as u64 / STEPS_PPM.len() as u64;
    let is_pressing = passed * 100 >= time * PRESSING_PERCENT;
    if passed < due || (since_step < STEP_REQUESTS && !is_pressing) {
        return MoveDecision::Wait;
    }
    match STEPS_PPM.iter().find(|&&step| step > entry.share_ppm) {
        Some(&share_ppm) => MoveDecision::Step { share_ppm },
        None => MoveDecision::Finish,
    }
}
