//! Selects the engine of a long generation from the loads that a few engines report.
//!
//! While an engine prefills a long prompt, the events of all its generations are
//! seven times slower. Each VM sees only its own requests, so it queries a few
//! engines and uses the best one (the power of two choices, Mitzenmacher 2001).

/// The assumed prompt length of a request that waits or is being prefilled.
/// Deployments report 8,000 tokens as the usual length.
const USUAL_PROMPT_TOKENS: u64 = 8_000;
/// The cost of placing a new request beside a running generation, in prompt tokens.
/// The running generation lengthens each step by one percent, and the prefill of the
/// new prompt slows it down for a second.
const RUNNING_COST: u64 = 800;

/// The load that an engine reports.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineLoad {
    /// Requests that wait for a slot.
    pub waiting: u64,
    /// Running requests.
    pub running: u64,
    /// The prompt tokens already prefilled, for each request without an event.
    pub prefill_progress: Vec<u64>,
    /// Prompts that this VM sent too recently to be included in the report.
    pub unreported: u64,
}

impl EngineLoad {
    /// Returns the cost of placing a new request on this engine, in prompt tokens.
    ///
    /// # Examples
    ///
    /// ```
    /// use skylarkshed_policy::EngineLoad;
    ///
    /// let idle = EngineLoad::default();
    /// let prefilling = EngineLoad { running: 1, prefill_progress: vec![2_000], ..idle.clone() };
    /// assert!(idle.cost() < prefilling.cost());
    /// ```
    pub fn cost(&self) -> u64 {
        let remaining = self.prefill_progress.iter().map(|prefilled| {
            // A prompt that is longer than usual is assumed to be almost finished.
            USUAL_PROMPT_TOKENS
                .saturating_sub(*prefilled)
                .max(RUNNING_COST)
        });
        let waiting = (self.waiting + self.unreported) * USUAL_PROMPT_TOKENS;
        waiting + remaining.sum::<u64>() + self.running * RUNNING_COST
    }
}

/// From this cost on, engines of other zones are queried as well: most of
/// another prompt has to be prefilled first.
const BUSY_COST: u64 = 6_000;

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
/// assert!(are_all_busy(&[Some(busy.clone()), None]));
/// assert!(!are_all_busy(&[Some(busy), Some(EngineLoad::default())]));
/// ```
pub fn are_all_busy(reports: &[Option<EngineLoad>]) -> bool {
    let mut costs = reports.iter().flatten().map(EngineLoad::cost);
    costs.all(|cost| cost >= BUSY_COST)
}

/// Returns the index of the engine to use among those that reported.
///
/// # Examples
///
/// ```
/// use skylarkshed_policy::{choose_engine, EngineLoad};
///
/// let busy = EngineLoad { running: 3, ..EngineLoad::default() };
/// assert_eq!(choose_engine(&[Some(busy), None, Some(EngineLoad::default())]), Some(2));
/// assert_eq!(choose_engine(&[None]), None);
/// ```
pub fn choose_engine(reports: &[Option<EngineLoad>]) -> Option<usize> {
    let reported = reports
        .iter()
        .enumerate()
        .filter_map(|(index, report)| report.as_ref().map(|load| (index, load)));
    let best = reported.min_by_key(|(_, load)| load.cost());
    best.map(|(index, _)| index)
}
