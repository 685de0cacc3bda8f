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
    Once {
        /// When it was made.
        made: ClockTime,
    },
}

/// What is known of a running answer's copy.
#[derive(Clone, Copy, Debug)]
pub struct CopyState {
    /// How it is kept up to date, if there is one.
    pub kind: Option<CopyKind>,
    /// Whether its holder may still be used.
    pub is_holder_present: bool,
    /// How long a copy made by a call is kept.
    pub kept_for: ClockTime,
}

/// What is done about a copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopyStep {
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
/// use skylarkshed_policy::{plan_copy, CopyKind, CopyState, CopyStep};
///
/// let state = CopyState {
///     kind: Some(CopyKind::Continuous),
///     is_holder_present: true,
///     kept_for: ClockTime::from_millis(4_000),
/// };
/// assert_eq!(plan_copy(&state, ClockTime::ZERO), CopyStep::Keep);
/// let lost = CopyState { is_holder_present: false, ..state };
/// assert_eq!(plan_copy(&lost, ClockTime::ZERO), CopyStep::Replace);
/// ```
pub fn plan_copy(state: &CopyState, now: ClockTime) -> CopyStep {
    let Some(kind) = state.kind.filter(|_| state.is_holder_present) else {
        return CopyStep::Replace;
    };
    match kind {
        CopyKind::Continuous => CopyStep::Keep,
        CopyKind::Once { made } => {
            let renewal_ms = state.kept_for.as_millis() * RENEWAL_PERCENT / 100;
            match now.since(made) >= ClockTime::from_millis(renewal_ms) {
                true => CopyStep::Renew,
                false => CopyStep::Keep,
            }
        }
    }
}
