//! Decides when a running stream needs a new copy of its KV cache.
//!
//! The engine that holds the copy may itself fail while the stream runs. When a
//! zone's engines fail every few seconds, the copy would otherwise be missing at
//! the second failure.

use skylarkshed_core::ClockTime;

/// A snapshot is renewed after this percentage of its retention time, so that a
/// single failed renewal does not lose it.
const RENEWAL_PERCENT: u64 = 60;

/// The way in which a KV cache copy is kept up to date.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopyKind {
    /// The engine streams its KV cache to the holder as it grows.
    Continuous,
    /// The cache was copied once, and the holder retains the copy for a limited time.
    Snapshot {
        /// When the copy was made.
        copied_at: ClockTime,
    },
}

/// The state of the KV cache copy of a running stream, as far as it is known.
#[derive(Clone, Copy, Debug)]
pub struct CopyState {
    /// The kind of the copy, if there is one.
    pub kind: Option<CopyKind>,
    /// Whether the engine that holds the copy can still be used.
    pub is_holder_available: bool,
    /// How long a holder retains a snapshot.
    pub retention: ClockTime,
}

/// The next step for the copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopyDecision {
    /// Do nothing.
    Keep,
    /// Copy to the same holder again, which adds what is new.
    Renew,
    /// Copy to another holder.
    Replace,
}

/// Decides whether the KV cache copy of a running stream is renewed or replaced.
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
        CopyKind::Snapshot { copied_at } => {
            let renewal_ms = state.retention.as_millis() * RENEWAL_PERCENT / 100;
            match now.since(copied_at) >= ClockTime::from_millis(renewal_ms) {
                true => CopyDecision::Renew,
                false => CopyDecision::Keep,
            }
        }
    }
}
