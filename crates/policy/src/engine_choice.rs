//! Selects the engine of a long generation from the loads that a few engines report.
//!
//! While an engine prefills a long prompt, the events of all its generations are
//! seven times slower. Each VM sees only its own requests, so it queries a few
//! engines and uses the best one (the power of two choices, Mitzenmacher 2001).
//!
//! Load pattern: VMs lose power or are restarted while streams run, and all callers
//! come back at other VMs. A prompt that is prefilled again elsewhere costs a second of
//! an engine; at the engine that has it in its cache it costs almost nothing.

use crate::prefill_timeout::PrefillStatus;
use faststr::FastStr;
use skylarkshed_core::ClockTime;

/// The cost of placing a new request beside a running generation, as a percentage of
/// the usual prompt. The running generation lengthens each step by one percent, and the
/// prefill of the new prompt slows it down.
const RUNNING_COST_PERCENT: u64 = 10;
/// The cost, as a percentage of the usual prompt, of an engine whose KV cache has no room
/// for another prompt: it waits until a running generation ends, which takes seconds.
const NO_ROOM_COST_PERCENT: u64 = 300;
/// The room that a prompt and its answer take, as a percentage of the prompt. Without room
/// for the answer, the engine preempts a running request.
const ROOM_PERCENT: u64 = 110;
/// From this cost on, as a percentage of the usual prompt, engines of other zones are
/// queried as well: another prompt has to be prefilled first.
const BUSY_COST_PERCENT: u64 = 40;
/// The additional cost, as a percentage of the usual prompt, at which an engine is
/// preferred because a caller that returns would find its prompt there.
const AFFINITY_PERCENT: u64 = 25;

/// A prompt is among those that are being prefilled if they are at least this
/// percentage as long: parts of it may have been in the cache before.
const MIN_ROOM_PERCENT: u64 = 80;

/// A request at an engine that has produced events.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineRun {
    /// The request's identifier.
    pub request: FastStr,
    /// The tokens in the KV cache.
    pub tokens: u64,
}

/// The load that an engine reports.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineLoad {
    /// When the engine that made the report started, by its own wall clock; zero if unknown.
    pub started: ClockTime,
    /// Requests that wait for a slot.
    pub waiting: u64,
    /// Running requests, with those whose prompt is being prefilled.
    pub running: u64,
    /// The running requests that have produced events.
    pub runs: Vec<EngineRun>,
    /// The tokens of running requests in the KV cache. The room for a whole prompt is
    /// taken when its prefill begins.
    pub used_tokens: u64,
    /// The tokens of the KV cache that new requests can use; unknown if the report does not
    /// tell the capacity.
    pub free_tokens: Option<u64>,
    /// Prompts that this VM sent too recently to be included in the report.
    pub unreported: u64,
    /// Whether a request of this VM has just failed at the engine.
    pub is_suspect: bool,
}

impl EngineLoad {
    /// Returns the cost of placing a new request on this engine, in prompt tokens;
    /// `usual_prompt` is the usual length of prompts. A suspect engine costs another
    /// prompt: the request probably has to be sent again.
    ///
    /// # Examples
    ///
    /// ```
    /// use skylarkshed_policy::EngineLoad;
    ///
    /// let idle = EngineLoad::default();
    /// let prefilling = EngineLoad { running: 1, used_tokens: 9_000, ..idle.clone() };
    /// assert!(idle.cost(8_000) < prefilling.cost(8_000));
    /// ```
    pub fn cost(&self, usual_prompt: u64) -> u64 {
        let queued = (self.waiting + self.unreported) * usual_prompt;
        let running = self.running * (usual_prompt * RUNNING_COST_PERCENT / 100);
        let suspicion = match self.is_suspect {
            true => usual_prompt,
            false => 0,
        };
        let shortage = match self.has_room(usual_prompt) {
            true => 0,
            false => usual_prompt * NO_ROOM_COST_PERCENT / 100,
        };
        // A prefill of unknown progress is half done on average.
        queued + self.prefilling_tokens() / 2 + running + suspicion + shortage
    }

    /// Reports whether a prompt of the usual length fits in the KV cache, beside those that
    /// wait for room. An engine that does not tell its capacity counts as having room.
    pub fn has_room(&self, usual_prompt: u64) -> bool {
        let prompts = self.waiting + self.unreported + 1;
        let needed = prompts * usual_prompt * ROOM_PERCENT / 100;
        self.free_tokens.is_none_or(|free| free >= needed)
    }

    /// Returns the number of requests whose prompt is being prefilled.
    pub fn prefills(&self) -> u64 {
        self.running.saturating_sub(self.runs.len() as u64)
    }

    /// Returns the total length of the prompts that are being prefilled.
    pub fn prefilling_tokens(&self) -> u64 {
        let decoding: u64 = self.runs.iter().map(|run| run.tokens).sum();
        match self.prefills() {
            0 => 0,
            _ => self.used_tokens.saturating_sub(decoding),
        }
    }

    /// Returns what the engine reports of a request without an event.
    pub fn prefill_status(&self, request: &str, prompt_tokens: u64) -> PrefillStatus {
        let has_room = self.prefilling_tokens() * 100 >= prompt_tokens * MIN_ROOM_PERCENT;
        if self.runs.iter().any(|run| run.request == request) {
            PrefillStatus::Started
        } else if self.prefills() > 0 && has_room {
            PrefillStatus::Running
        } else if self.waiting > 0 {
            PrefillStatus::Queued
        } else {
            PrefillStatus::Unknown
        }
    }

    /// Returns the tokens that the engine has to prefill besides a request's own prompt.
    pub fn other_tokens(&self, usual_prompt: u64, status: PrefillStatus, own_tokens: u64) -> u64 {
        match status {
            PrefillStatus::Started | PrefillStatus::Unknown => 0,
            PrefillStatus::Running => self.prefilling_tokens().saturating_sub(own_tokens),
            PrefillStatus::Queued => {
                self.prefilling_tokens() + self.waiting.saturating_sub(1) * usual_prompt
            }
        }
    }
}

/// Reports whether even the best of the reported engines is so busy that engines of
/// other zones should be queried as well.
///
/// This happens after a zone has failed or all VMs were restarted: callers
/// reconnect at the same moment, and the engines of their zone are busy with
/// prefills for seconds while engines of other zones are idle.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::{are_all_busy, EngineLoad};
///
/// let busy = EngineLoad { waiting: 1, ..EngineLoad::default() };
/// assert!(are_all_busy(&[Some(busy.clone()), None], 8_000));
/// assert!(!are_all_busy(&[Some(busy), Some(EngineLoad::default())], 8_000));
/// ```
pub fn are_all_busy(reports: &[Option<EngineLoad>], usual_prompt: u64) -> bool {
    let busy_cost = usual_prompt * BUSY_COST_PERCENT / 100;
    let mut costs = reports.iter().flatten().map(|load| load.cost(usual_prompt));
    costs.all(|cost| cost >= busy_cost)
}

/// Returns the index of the engine to use among those that reported.
///
/// The engines are in the order in which the prompt's last part ranks them, which is the
/// same on all VMs. The first one whose cost is close to the lowest is used, so that a
/// caller that returns at another VM after its own has failed probably finds its prompt
/// in the engine's cache. `cached` tells which engines are known to have the prompt, if
/// they were asked; that saves a prefill.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::{choose_engine, EngineLoad};
///
/// let busy = EngineLoad { running: 3, ..EngineLoad::default() };
/// assert_eq!(choose_engine(&[Some(busy), None, Some(EngineLoad::default())], &[], 8_000), Some(2));
/// assert_eq!(choose_engine(&[None], &[], 8_000), None);
/// ```
pub fn choose_engine(
    reports: &[Option<EngineLoad>],
    cached: &[bool],
    usual_prompt: u64,
) -> Option<usize> {
    let prefill = |index: usize| match cached.get(index) {
        Some(true) => 0,
        _ => usual_prompt,
    };
    let costs = reports.iter().enumerate();
    let costs = costs.filter_map(|(index, report)| {
        let load = report.as_ref()?;
        Some((index, load.cost(usual_prompt) + prefill(index)))
    });
    let costs: Vec<(usize, u64)> = costs.collect();
    let lowest = costs.iter().map(|(_, cost)| *cost).min()?;
    let limit = lowest + usual_prompt * AFFINITY_PERCENT / 100;
    let first = costs.iter().find(|(_, cost)| *cost <= limit);
    first.map(|(index, _)| *index)
}
