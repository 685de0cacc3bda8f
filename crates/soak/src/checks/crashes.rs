//! Parts of prompts that end upstreams are not sent any more.

use super::totals::total;
use super::World;
use crate::bounds::SETTLE_WINDOW;
use crate::records::{RequestStory, UpstreamRun, Violation};
use std::collections::BTreeMap;

/// The number of ends under a part after which all VMs in touch have to know it.
const KNOWN_AFTER_ENDS: usize = 5;
/// The number of requests that may reach upstreams after that, probes included.
const MAX_LATE_RUNS: usize = 3;

/// Few requests with a part reach upstreams once enough have ended under it.
pub(super) fn check(stories: &[&RequestStory], world: &World, found: &mut Vec<Violation>) {
    let mut parts: BTreeMap<&str, Vec<(usize, &UpstreamRun)>> = BTreeMap::new();
    for story in stories {
        if let Some(part) = &story.request.crashing_part {
            let runs = story.runs.iter().map(|run| (story.request.vm, run));
            parts.entry(part).or_default().extend(runs);
        }
    }
    for (part, runs) in parts {
        let ends = runs.iter().filter(|(_, run)| run.ends_upstream);
        let mut ends: Vec<_> = ends.map(|(_, run)| run.ended_at).collect();
        ends.sort_unstable();
        let Some(fifth) = ends.get(KNOWN_AFTER_ENDS - 1) else {
            continue;
        };
        let is_late = |vm: usize, run: &UpstreamRun| {
            run.at > *fifth + SETTLE_WINDOW && world.timeline.is_in_touch(vm, run.at, run.at)
        };
        let late = runs.iter().filter(|(vm, run)| is_late(*vm, run)).count();
        if late > MAX_LATE_RUNS {
            let detail = format!("{late} with {part}, {} ended in all", ends.len());
            found.push(total("requests that end upstreams", detail));
        }
    }
}
