//! Picks the engine of a long answer from what a few of them report.
//!
//! An engine that reads a long prompt makes events seven times slower, for all
//! its answers. Each VM sees only its own requests, so it asks a few engines
//! and takes the best (the power of two choices, Mitzenmacher 2001).

/// The prompt tokens of a request that waits or has begun to be read: the
/// users' sheets tell of 8,000.
const USUAL_PROMPT_TOKENS: u64 = 8_000;
/// What a running answer costs a new one, in prompt tokens: it makes steps
/// longer by a hundredth, and is itself slowed down for a second.
const RUNNING_COST: u64 = 800;

/// What an engine reported.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineLoad {
    /// Requests that wait for a place.
    pub waiting: u64,
    /// Requests that run.
    pub running: u64,
    /// The prompt tokens already read of each request without an event.
    pub prefill_progress: Vec<u64>,
    /// Prompts that this VM sent so short a time ago that no report has them.
    pub unreported: u64,
}

impl EngineLoad {
    /// Returns what a new request costs here, in prompt tokens.
    ///
    /// # Examples
    ///
    /// ```
    /// use skylarkshed_policy::EngineLoad;
    ///
    /// let idle = EngineLoad::default();
    /// let reading = EngineLoad { running: 1, prefill_progress: vec![2_000], ..idle.clone() };
    /// assert!(idle.cost() < reading.cost());
    /// ```
    pub fn cost(&self) -> u64 {
        let unread = self.prefill_progress.iter().map(|read| {
            // A longer prompt than usual is nearly read.
            USUAL_PROMPT_TOKENS.saturating_sub(*read).max(RUNNING_COST)
        });
        let waiting = (self.waiting + self.unreported) * USUAL_PROMPT_TOKENS;
        waiting + unread.sum::<u64>() + self.running * RUNNING_COST
    }
}

/// From this cost on engines of other zones are asked as well: most of another
/// prompt is to be read first.
const BUSY_COST: u64 = 6_000;

/// Tells whether the best of the reported engines is too busy to stay there.
///
/// This answers the load after a zone is lost, or after all VMs were restarted:
/// callers come back at once, and their zone's engines have prompts to read for
/// seconds while others are idle.
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

/// Returns the place of the engine to use among those that reported.
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
        .filter_map(|(place, report)| report.as_ref().map(|load| (place, load)));
    let best = reported.min_by_key(|(_, load)| load.cost());
    best.map(|(place, _)| place)
}
