//! The time after all VMs lost power.

use super::totals::total;
use super::World;
use crate::bounds::RECOVERY;
use crate::configs::{ConfigVersion, Handling};
use crate::records::{Outcome, RequestStory, Violation};
use skylarkshed_core::ClockTime;
use std::collections::BTreeMap;
use std::ops::Range;

const RULE: &str = "recovery after a loss of power";
/// The share of the requests that must be served.
const SERVED_SHARE: f64 = 0.25;
/// Callers send something in each span of this length: longer than the pause after a
/// failure and the time to give up a connection together.
const TRY_INTERVAL: ClockTime = ClockTime::from_millis(1_500);
/// Failed tries are counted by spans of this length.
const SLOT_MS: u64 = 100;

/// A loss of power of all VMs.
#[derive(Clone, Copy, Debug)]
pub struct PowerLoss {
    /// When it happened.
    pub at: ClockTime,
    /// When all processes had been started again; `NEVER` before.
    pub back_at: ClockTime,
}

/// How often callers could not send a request: no VM was ready, or none accepted their
/// connection.
#[derive(Clone, Debug, Default)]
pub struct FailedTries {
    /// The numbers by slot, so that the size grows with the time only.
    by_slot: BTreeMap<u64, u32>,
}

impl FailedTries {
    /// Counts a failed try.
    pub fn record(&mut self, at: ClockTime) {
        *self.by_slot.entry(at.as_millis() / SLOT_MS).or_default() += 1;
    }

    /// Returns the number of tries in the slots that lie in a span.
    fn count(&self, span: &Range<ClockTime>) -> u32 {
        let first = span.start.as_millis().div_ceil(SLOT_MS);
        let end = (span.end.as_millis() / SLOT_MS).max(first);
        self.by_slot.range(first..end).map(|(_, count)| count).sum()
    }
}

/// All processes are started again, and of the requests that callers send, or try to send,
/// later than the bound after that, a quarter is served, if it was before. This holds for
/// all VMs, in touch or not.
pub(super) fn check(
    stories: &[&RequestStory],
    world: &World,
    now: ClockTime,
    found: &mut Vec<Violation>,
) {
    let load_until = world.load_until.map_or(now, |until| until.min(now));
    for loss in &world.power_losses {
        let later = world.power_losses.iter().map(|later| later.at);
        let until = later.filter(|at| *at > loss.at).min();
        let until = until.map_or(load_until, |at| at.min(load_until));
        let mut report = |detail| {
            let at_ms = loss.at.as_millis();
            found.push(total(RULE, format!("loss at {at_ms} ms: {detail}")));
        };
        if loss.back_at == ClockTime::NEVER {
            if until > loss.at + RECOVERY {
                report("a process was not started again".to_owned());
            }
            continue;
        }
        let before = Tries::count(stories, world, &(ClockTime::ZERO..loss.at)).share();
        if before.is_none_or(|before| before < SERVED_SHARE) {
            continue;
        }
        let span = loss.back_at + RECOVERY..until;
        let mut after = Tries::count(stories, world, &span);
        after.all += world.failed_tries.count(&span);
        match after.share() {
            Some(share) if share < SERVED_SHARE => report(format!("{after:?} after the bound")),
            None if until > span.start + TRY_INTERVAL => {
                report("no request was sent after the bound".to_owned());
            }
            _ => {}
        }
    }
}

/// The requests of a span.
#[derive(Debug)]
struct Tries {
    served: u32,
    all: u32,
}

impl Tries {
    /// Counts the requests that were sent in a span; requests that are not allowed or whose
    /// callers left don't count.
    fn count(stories: &[&RequestStory], world: &World, span: &Range<ClockTime>) -> Self {
        let mut tries = Tries { served: 0, all: 0 };
        let sent = stories
            .iter()
            .filter(|story| span.contains(&story.request.sent_at));
        for story in sent {
            match &story.outcome {
                Some((_, Outcome::Left)) | None => continue,
                Some((_, Outcome::Response(response))) => match response.status {
                    401 | 404 if !is_allowed(story, world) => continue,
                    200 if response.is_complete => tries.served += 1,
                    _ => {}
                },
                Some(_) => {}
            }
            tries.all += 1;
        }
        tries
    }

    fn share(&self) -> Option<f64> {
        (self.all > 0).then(|| f64::from(self.served) / f64::from(self.all))
    }
}

/// Reports whether all configurations that may be in force allow a request.
fn is_allowed(story: &RequestStory, world: &World) -> bool {
    let request = &story.request;
    let ended_at = story.ended_at(ClockTime::NEVER);
    let permits = |version: &ConfigVersion| {
        let handlings = version.handlings(request);
        matches!(handlings[0], Handling::Runs(..))
    };
    let in_force = world.configs.in_force(request.sent_at, ended_at);
    in_force.iter().all(permits)
}
