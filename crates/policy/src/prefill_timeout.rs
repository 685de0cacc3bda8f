//! Decides whether a stream waits on for an engine that has not sent its first event.
//!
//! Load pattern: prompts arrive together, after a zone has failed, all VMs were
//! restarted or a burst began. Engines then prefill several prompts beside each other
//! and first events come late. Giving such an engine up sends the same prompt to
//! another one, which delays the prompts there as well. A silent engine is therefore
//! asked what it is doing; only one that does not answer, has lost the request or would
//! take far too long is given up.

use skylarkshed_core::ClockTime;
use std::sync::atomic::{AtomicU64, Ordering};

/// The assumed rate of prefills before the first sample, in tokens per second.
const INITIAL_TOKENS_PER_S: u64 = 8_000;
/// The assumed length of other prompts before the first sample.
const INITIAL_PROMPT_TOKENS: u64 = 8_000;
/// A new sample has a weight of one in this many in the moving averages.
const MEAN_SAMPLES: u64 = 16;
/// A sample counts at most this many times the average and at least its inverse: a
/// prompt found in the engine's cache, or one behind a queue, says little of the rate.
const MAX_SAMPLE_FACTOR: u64 = 3;
/// Prompts below this length take about as long as the steps around them.
const MIN_SAMPLE_TOKENS: u64 = 1_000;

/// A prompt that has taken this many times its usual time, and the time of the others
/// beside it, has been lost by the engine.
const MAX_PREFILL_FACTOR: u64 = 4;
/// The time that another engine needs in addition to the prefill.
const RESTART_OVERHEAD: ClockTime = ClockTime::from_millis(300);
/// An engine is left for another one if its first event is this many times further
/// away than the other one's.
const MAX_RESTART_FACTOR: u64 = 2;
/// The bounds of the time until an engine is asked again. Reports are a few hundred
/// milliseconds old.
const MIN_RECHECK: ClockTime = ClockTime::from_millis(400);
const MAX_RECHECK: ClockTime = ClockTime::from_millis(1_200);

/// The rate at which a service's engines prefill, as seen by callers, and the length of
/// the prompts.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::PrefillEstimator;
///
/// let estimator = PrefillEstimator::default();
/// assert_eq!(estimator.duration(8_000).as_millis(), 1_000);
/// assert_eq!(estimator.tokens_per_s(), 8_000);
/// for _ in 0..100 {
///     estimator.record_first_event(8_000, ClockTime::from_millis(2_000));
/// }
/// assert!(estimator.duration(8_000).as_millis() > 1_900);
/// ```
#[derive(Debug)]
pub struct PrefillEstimator {
    tokens_per_s: AtomicU64,
    prompt_tokens: AtomicU64,
}

impl Default for PrefillEstimator {
    fn default() -> Self {
        PrefillEstimator {
            tokens_per_s: AtomicU64::new(INITIAL_TOKENS_PER_S),
            prompt_tokens: AtomicU64::new(INITIAL_PROMPT_TOKENS),
        }
    }
}

impl PrefillEstimator {
    /// Records the length of a prompt.
    pub fn record_prompt(&self, tokens: u64) {
        if tokens > 0 {
            update_mean(&self.prompt_tokens, tokens);
        }
    }

    /// Records the time from sending a whole prompt to its first event.
    pub fn record_first_event(&self, tokens: u64, elapsed: ClockTime) {
        if tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let mean = self.tokens_per_s.load(Ordering::Relaxed);
        let sample = tokens * 1_000 / elapsed.as_millis().max(1);
        let sample = sample.clamp(mean / MAX_SAMPLE_FACTOR, mean * MAX_SAMPLE_FACTOR);
        update_mean(&self.tokens_per_s, sample);
    }

    /// Returns the usual length of a prompt, in tokens.
    pub fn usual_prompt(&self) -> u64 {
        self.prompt_tokens.load(Ordering::Relaxed)
    }

    /// Returns the usual speed of prefills, in tokens per second.
    pub fn tokens_per_s(&self) -> u64 {
        self.tokens_per_s.load(Ordering::Relaxed).max(1)
    }

    /// Returns the time that prompts of this total length take.
    pub fn duration(&self, tokens: u64) -> ClockTime {
        ClockTime::from_millis(tokens * 1_000 / self.tokens_per_s())
    }
}

/// Concurrent updates may lose a sample, which the mean tolerates.
fn update_mean(mean: &AtomicU64, sample: u64) {
    let previous = mean.load(Ordering::Relaxed);
    let updated = (previous * (MEAN_SAMPLES - 1) + sample) / MEAN_SAMPLES;
    mean.store(updated.max(1), Ordering::Relaxed);
}

/// An engine's report of a request without an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PrefillStatus {
    /// It probably prefills the prompt.
    Running,
    /// It has sent an event, which is on its way.
    Started,
    /// It may be among the waiting requests.
    Queued,
    /// It is neither running nor waiting.
    Unknown,
}

/// A request that waits for its first event.
#[derive(Clone, Copy, Debug)]
pub struct WaitingPrefill {
    /// The length of its prompt.
    pub prompt_tokens: u64,
    /// The tokens of other prompts that the engine has to prefill.
    pub other_tokens: u64,
    /// The engine's report of it.
    pub status: PrefillStatus,
    /// The time since it was sent.
    pub waited: ClockTime,
    /// The time since it was last known to wait behind other prompts; the time since it was
    /// sent if it never did.
    pub prefilling_for: ClockTime,
    /// The time left in which the first event still meets its target latency.
    pub target_time_left: ClockTime,
}

/// Whether to wait for an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PrefillVerdict {
    /// Wait for this time, then ask again.
    Wait(ClockTime),
    /// Give the engine up.
    Abandon,
}

/// Decides whether a request waits on for an engine that answers.
///
/// # Examples
///
/// ```
/// use skylarkshed_core::ClockTime;
/// use skylarkshed_policy::{
///     judge_prefill, PrefillEstimator, PrefillStatus, PrefillVerdict, WaitingPrefill,
/// };
///
/// let estimator = PrefillEstimator::default();
/// let waiting = WaitingPrefill {
///     prompt_tokens: 8_000,
///     other_tokens: 0,
///     status: PrefillStatus::Running,
///     waited: ClockTime::from_millis(2_300),
///     prefilling_for: ClockTime::from_millis(2_300),
///     target_time_left: ClockTime::from_millis(1_000),
/// };
/// assert!(matches!(judge_prefill(&waiting, &estimator), PrefillVerdict::Wait(_)));
/// let lost = WaitingPrefill { status: PrefillStatus::Unknown, ..waiting };
/// assert_eq!(judge_prefill(&lost, &estimator), PrefillVerdict::Abandon);
/// ```
pub fn judge_prefill(waiting: &WaitingPrefill, estimator: &PrefillEstimator) -> PrefillVerdict {
    let own = estimator.duration(waiting.prompt_tokens);
    let others = estimator.duration(waiting.other_tokens);
    let expected = match waiting.status {
        PrefillStatus::Unknown => return PrefillVerdict::Abandon,
        PrefillStatus::Started => ClockTime::ZERO,
        // The prompt is half done on average.
        PrefillStatus::Running => ClockTime::from_millis(own.as_millis() / 2) + others,
        PrefillStatus::Queued => own + others,
    };
    // The time in the queue is not the engine's fault, and giving up a prompt that is
    // being prefilled wastes the part that is done.
    let (elapsed, limit) = match waiting.status {
        PrefillStatus::Queued => (waiting.waited, own + others),
        _ => (waiting.prefilling_for, own),
    };
    let longest_wait = ClockTime::from_millis(limit.as_millis() * MAX_PREFILL_FACTOR);
    if elapsed > longest_wait + others {
        return PrefillVerdict::Abandon;
    }
    let restart = own + RESTART_OVERHEAD;
    let longest = ClockTime::from_millis(restart.as_millis() * MAX_RESTART_FACTOR);
    // If no engine can meet the target, another one would only cost more.
    let can_meet_target_elsewhere = waiting.target_time_left > restart;
    match expected > longest && can_meet_target_elsewhere {
        true => PrefillVerdict::Abandon,
        false => PrefillVerdict::Wait(expected.clamp(MIN_RECHECK, MAX_RECHECK)),
    }
}
