//! Requests whose callers have left.

use super::totals::total;
use super::World;
use crate::bounds::{ABANDON_SLACK, LATE_ARRIVALS};
use crate::records::{CallKind, Outcome, RequestStory, Violation};
use skylarkshed_core::ClockTime;

/// Half a second after a caller has closed its connection to a VM in touch, its request
/// reaches no upstream any more, a few excepted. No more than a quarter of the safe
/// requests and streams that would have lasted longer are still worked on.
pub(super) fn check(
    stories: &[&RequestStory],
    world: &World,
    now: ClockTime,
    found: &mut Vec<Violation>,
) {
    let mut late = Vec::new();
    let mut lasting = 0;
    let mut working = Vec::new();
    for story in stories {
        let request = &story.request;
        let Some((left_at, Outcome::Left | Outcome::TimedOut)) = story.outcome else {
            continue;
        };
        let bound = left_at + ABANDON_SLACK;
        let timeline = &world.timeline;
        if bound > now || !timeline.is_in_touch(request.vm, request.sent_at, bound) {
            continue;
        }
        let id = request.id.as_str();
        let late_runs = story.runs.iter().filter(|run| run.at > bound);
        late.extend(late_runs.map(|_| id));
        let mut lasting_runs = story
            .executions()
            .filter(|run| run.due_at > bound && !run.is_broken_off)
            .peekable();
        if request.kind == CallKind::Unsafe || lasting_runs.peek().is_none() {
            continue;
        }
        lasting += 1;
        if lasting_runs.any(|run| run.ended_at > bound) {
            working.push(id);
        }
    }
    if late.len() > LATE_ARRIVALS {
        let detail = format!("arrived after their callers had left: {}", late.join(", "));
        found.push(total("abandoned requests", detail));
    }
    if working.len() * 4 > lasting {
        let ids = working.join(", ");
        let detail = format!("{} of {lasting} still worked on: {ids}", working.len());
        found.push(total("abandoned requests", detail));
    }
}
