//! When a running answer needs a new copy of its memory.
//!
//! The engine that holds the copy may die while the answer runs: on a day on
//! which a zone's engines fail every few seconds, a second loss finds no copy.

use skylarkshed_core::ClockTime;

/// A copy made by one call is made again after this part of the time for which
/// it is kept, in hundredths, so that one failed call does not lose it.
const RENEWAL_PERCENT: u64 = 60;

/// How a copy is kept up to date.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopyKind {
    /// The engine sends its memory as it grows.
    Continuous,
    /// It was made by a call at a time, and is kept for a while.
    Snapshot {
        /// When it was made.
        copied_at: ClockTime,
    },
}

/// What is known of a running answer's copy.
#[derive(Clone, Copy, Debug)]
pub struct CopyState {
    /// How it is kept up to date, if there is one.
    pub kind: Option<CopyKind>,
    /// Whether its holder may still be used.
    pub is_holder_available: bool,
    /// How long a copy made by a call is kept.
    pub retention: ClockTime,
}

/// What is done about a copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopyDecision {
    /// Nothing.
    Keep,
    /// Copy again to the same holder, which gets what is new.
    Renew,
    /// Copy to another holder.
    Replace,
}

/// Decides what is done about a running answer's copy.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::{decide_copy, CopyKind, CopyState, CopyDecision};
///
/// let state = CopyState {
///     kind: Some(CopyKind::Continuous),
///     is_holder_available: true,
///     retention: ClockTime::from_millis(4_000),
/// };
/// assert_eq!(decide_copy(&state, ClockTime::ZERO), CopyDecision::Keep);
/// let lost = CopyState { is_holder_available: false, ..state };
/// assert_eq!(decide_copy(&lost, ClockTime::ZERO), CopyDecision::Replace);
/// ```
pub fn decide_copy(state: &CopyState, now: ClockTime) -> CopyDecision {
    let Some(kind) = state.kind.filter(|_| state.is_holder_available) else {
        return CopyDecision::Replace;
    };
    match kind {
        CopyKind::Continuous => CopyDecision::Keep,
        CopyKind::Snapshot { copied_at: made } => {
            let renewal_ms = state.retention.as_millis() * RENEWAL_PERCENT / 100;
            match now.since(made) >= ClockTime::from_millis(renewal_ms) {
                true => CopyDecision::Renew,
                false => CopyDecision::Keep,
            }
        }
    }
}
