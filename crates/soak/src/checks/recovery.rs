//! The time after all VMs lost power.

use super::totals::total;
use super::World;
use crate::bounds::RECOVERY;
use crate::records::{Outcome, RequestStory, Violation};
use skylarkshed_core::ClockTime;

/// A loss of power of all VMs.
#[derive(Clone, Copy, Debug)]
pub struct PowerLoss {
    /// When it happened.
    pub at: ClockTime,
    /// When all processes had been started again; `NEVER` before.
    pub back_at: ClockTime,
}

/// Of the requests sent later than the bound after the VMs are back, to VMs in touch, a
/// quarter is served, if it was before.
pub(super) fn check(stories: &[&RequestStory], world: &World, found: &mut Vec<Violation>) {
    for loss in &world.power_losses {
        let later = world.power_losses.iter().map(|later| later.at);
        let until = later.filter(|at| *at > loss.at).min();
        let until = until.unwrap_or(ClockTime::NEVER);
        let from = loss.back_at + RECOVERY;
        let before = share_served(
            stories
                .iter()
                .filter(|story| story.request.sent_at < loss.at),
        );
        let after = share_served(stories.iter().filter(|story| {
            let request = &story.request;
            let ended_at = story.ended_at(request.sent_at);
            (from..until).contains(&request.sent_at)
                && world
                    .timeline
                    .is_in_touch(request.vm, request.sent_at, ended_at)
        }));
        if let (Some(before), Some(after)) = (before, after) {
            if before >= 0.25 && after < 0.25 {
                let at_ms = loss.at.as_millis();
                let detail = format!(
                    "{after:.2} served after the loss of power at {at_ms} ms, {before:.2} before"
                );
                found.push(total("recovery after a loss of power", detail));
            }
        }
    }
}

/// Returns the share of requests that were served; requests that were not allowed or whose
/// callers left don't count.
fn share_served<'a>(stories: impl Iterator<Item = &'a &'a RequestStory>) -> Option<f64> {
    let (mut served, mut all) = (0, 0);
    for story in stories {
        match &story.outcome {
            Some((_, Outcome::Left)) | None => continue,
            Some((_, Outcome::Response(response))) => match response.status {
                401 | 404 => continue,
                200 if response.is_complete => served += 1,
                _ => {}
            },
            Some(_) => {}
        }
        all += 1;
    }
    (all > 0).then(|| f64::from(served) / f64::from(all))
}
