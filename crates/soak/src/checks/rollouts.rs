//! Rollouts: what a bad version gets, and how a rollout ends.

use super::totals::total;
use super::World;
use crate::bounds::{
    BAD_RESPONSES, EXPOSURE_SHARE, EXPOSURE_SLACK, MAX_STRETCH, ROLLBACK, SETTLE_WINDOW,
};
use crate::records::{RequestStory, UpstreamRun, Violation};
use crate::timeline::Part;
use skylarkshed_core::ClockTime;

/// Whether a version works.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VersionQuality {
    /// It works.
    Good,
    /// Some of its responses are bad.
    Bad,
    /// It works for its first requests only.
    BadLater,
}

/// How a rollout ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RolloutEnd {
    /// The new version is in use.
    Done,
    /// The old version is in use.
    RolledBack,
}

/// A rollout of a new version.
#[derive(Clone, Debug)]
pub struct RolloutRecord {
    /// The service.
    pub service: String,
    /// The new version.
    pub version: String,
    /// Whether the new version works.
    pub quality: VersionQuality,
    /// When it was ordered.
    pub ordered_at: ClockTime,
    /// Its time limit.
    pub due_at: ClockTime,
    /// When and how it ended.
    pub end: Option<(ClockTime, RolloutEnd)>,
}

pub(super) fn check(
    stories: &[&RequestStory],
    world: &World,
    now: ClockTime,
    found: &mut Vec<Violation>,
) {
    for rollout in &world.rollouts {
        if rollout.quality != VersionQuality::Good {
            check_share(rollout, stories, world, found);
            check_bound(rollout, stories, world, found);
        }
        check_end(rollout, stories, world, now, found);
    }
}

/// Returns the runs of a rollout's service with their stories.
fn runs<'a>(
    rollout: &'a RolloutRecord,
    stories: &'a [&RequestStory],
) -> impl Iterator<Item = (&'a RequestStory, &'a UpstreamRun)> {
    let runs = stories
        .iter()
        .flat_map(|story| story.runs.iter().map(move |run| (*story, run)));
    runs.filter(move |(_, run)| run.service == rollout.service)
}

fn is_in_touch(story: &RequestStory, run: &UpstreamRun, world: &World) -> bool {
    let request = &story.request;
    let timeline = &world.timeline;
    timeline.is_in_touch(request.vm, request.sent_at, run.at)
}

/// Up to the time limit, a bad version gets no more than a share of the service's requests,
/// and some more, from VMs in touch. This holds as well for a rollout that is still going on.
fn check_share(
    rollout: &RolloutRecord,
    stories: &[&RequestStory],
    world: &World,
    found: &mut Vec<Violation>,
) {
    let (mut all, mut new) = (0_u32, 0);
    for (story, run) in runs(rollout, stories) {
        if !(rollout.ordered_at..=rollout.due_at).contains(&run.at) {
            continue;
        }
        all += 1;
        new += usize::from(run.version == rollout.version && is_in_touch(story, run, world));
    }
    let allowed = (f64::from(all) * EXPOSURE_SHARE) as usize + EXPOSURE_SLACK;
    if new > allowed {
        let (service, version) = (&rollout.service, &rollout.version);
        let detail = format!("{new} of {all} to {service} {version}, {allowed} allowed");
        found.push(total("exposure to a bad version", detail));
    }
}

/// A bad version gets no request that was sent to a VM in touch later than the bound after
/// its 50th bad response since the store was last disturbed.
fn check_bound(
    rollout: &RolloutRecord,
    stories: &[&RequestStory],
    world: &World,
    found: &mut Vec<Violation>,
) {
    let of_version = || runs(rollout, stories).filter(|(_, run)| run.version == rollout.version);
    let bad = of_version().filter(|(_, run)| run.is_bad && run.ended_at < ClockTime::NEVER);
    let mut bad: Vec<ClockTime> = bad.map(|(_, run)| run.ended_at).collect();
    bad.sort_unstable();
    for (story, run) in of_version() {
        let sent_at = story.request.sent_at;
        let disturbances = world.timeline.disturbances.iter();
        let unstable = disturbances
            .filter(|disturbance| disturbance.part == Part::Store && disturbance.from <= sent_at);
        let stable_from = unstable.map(|disturbance| disturbance.until).max();
        let stable_from = stable_from.map_or(ClockTime::ZERO, |until| until + SETTLE_WINDOW);
        let counted = bad
            .iter()
            .filter(|at| **at >= stable_from && **at + ROLLBACK < sent_at);
        if counted.count() >= BAD_RESPONSES && is_in_touch(story, run, world) {
            let (service, version) = (&rollout.service, &rollout.version);
            found.push(Violation {
                rule: "no requests to a version known to be bad",
                request: Some(story.request.id.clone()),
                detail: format!("sent to {service} {version}"),
            });
        }
    }
}

/// Reports whether nothing but planned work disturbed a rollout.
fn is_calm(rollout: &RolloutRecord, world: &World) -> bool {
    let until = rollout.end.map_or(rollout.due_at, |(at, _)| at);
    let from = rollout.ordered_at.since(SETTLE_WINDOW);
    world.timeline.is_calm(from, until)
}

/// Reports whether the end of a rollout, or that it has none, is checked in full.
pub(crate) fn is_end_judged(rollout: &RolloutRecord, world: &World, now: ClockTime) -> bool {
    let is_over = rollout.end.is_some() || now > rollout.due_at + MAX_STRETCH;
    is_over && is_calm(rollout, world)
}

/// A version that gave many bad responses from its start is not completed. Without
/// unplanned disturbances, a rollout ends in time, a good version is completed, and one
/// that is bad from its start isn't.
fn check_end(
    rollout: &RolloutRecord,
    stories: &[&RequestStory],
    world: &World,
    now: ClockTime,
    found: &mut Vec<Violation>,
) {
    let until = rollout.end.map_or(rollout.due_at, |(at, _)| at);
    let is_calm = is_calm(rollout, world);
    let is_known_bad = || {
        let of_version = runs(rollout, stories).filter(|(_, run)| run.version == rollout.version);
        let bad = of_version.filter(|(_, run)| run.is_bad && run.ended_at <= until);
        bad.count() >= BAD_RESPONSES
    };
    let is_wrong = match (rollout.end, rollout.quality) {
        (Some((_, RolloutEnd::Done)), VersionQuality::Bad) => is_calm || is_known_bad(),
        (Some((_, RolloutEnd::RolledBack)), VersionQuality::Good) => is_calm,
        (Some((at, _)), _) => at > rollout.due_at && is_calm,
        (None, _) => now > rollout.due_at + MAX_STRETCH && is_calm,
    };
    if is_wrong {
        found.push(total("end of a rollout", format!("{rollout:?}")));
    }
}
