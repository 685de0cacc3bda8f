//! Rules that show only in sums over many requests.

use super::handling::{allows, observed};
use super::{abandoned, crashes, recovery, retries, rollouts, World};
use crate::bounds::{EXCESS_ATTEMPTS, READY_AFTER_SIGNAL, ROLLBACK_SLACK, TIMEOUT_SLACK};
use crate::records::{Outcome, RequestStory, UpstreamRun, Violation};
use skylarkshed_core::ClockTime;
use std::collections::{BTreeMap, BTreeSet};

/// The rollback slack is eight times as long at a VM that is not in touch.
const SLOW_VM_FACTOR: u64 = 8;
/// Refusals of allowed requests by VMs in touch: this number and one in
/// [`DENIED_SHARE`] of all requests.
const DENIED_REQUESTS: usize = 5;
const DENIED_SHARE: usize = 500;
/// Refusals of requests that all versions allow, by VMs that are not in touch.
const DENIED_OUT_OF_TOUCH: usize = 10;

/// Checks the sums over all requests so far.
pub fn check_totals(stories: &[&RequestStory], world: &World, now: ClockTime) -> Vec<Violation> {
    let mut found = Vec::new();
    check_served(stories, &mut found);
    retries::check(stories, world, &mut found);
    check_attempts(stories, &mut found);
    check_timeouts(stories, world, now, &mut found);
    check_denied(stories, world, &mut found);
    check_readiness(world, &mut found);
    check_regress(stories, world, &mut found);
    crashes::check(stories, world, &mut found);
    abandoned::check(stories, world, now, &mut found);
    recovery::check(stories, world, now, &mut found);
    rollouts::check(stories, world, now, &mut found);
    found
}

pub(super) fn total(rule: &'static str, detail: String) -> Violation {
    Violation {
        rule,
        request: None,
        detail,
    }
}

/// Some request is served.
fn check_served(stories: &[&RequestStory], found: &mut Vec<Violation>) {
    let responses = stories.iter().filter_map(|story| story.response());
    let mut served = responses.filter(|response| response.status == 200);
    if served.next().is_none() {
        let detail = format!("none of {} requests got an answer", stories.len());
        found.push(total("requests are served", detail));
    }
}

/// No more than a few requests run at more upstreams than their route's limit;
/// upstreams that broke off don't count.
fn check_attempts(stories: &[&RequestStory], found: &mut Vec<Violation>) {
    let is_excessive = |story: &&&RequestStory| {
        let whole = story.executions().filter(|run| !run.is_broken_off);
        let upstreams: BTreeSet<&str> = whole
            .map(|run: &UpstreamRun| run.upstream.as_str())
            .collect();
        upstreams.len() > story.request.attempts
    };
    let excessive: Vec<&str> = stories
        .iter()
        .filter(is_excessive)
        .map(|story| story.request.id.as_str())
        .collect();
    if excessive.len() > EXCESS_ATTEMPTS {
        let detail = format!("too many upstreams for {}", excessive.join(", "));
        found.push(total("attempts of a request", detail));
    }
}

/// Of the calls still unanswered at their route's timeout, at VMs in touch, half are
/// answered half a second later. Calls whose caller left don't count.
fn check_timeouts(
    stories: &[&RequestStory],
    world: &World,
    now: ClockTime,
    found: &mut Vec<Violation>,
) {
    let mut unanswered = 0;
    let mut late = Vec::new();
    for story in stories.iter().filter(|story| story.request.events == 0) {
        let request = &story.request;
        let versions = world.configs.in_force(request.sent_at, story.ended_at(now));
        let routes = versions.iter().filter_map(|version| version.route(request));
        let timeout = routes.map(|route| route.timeout).max();
        let due_at = request.sent_at + timeout.unwrap_or(request.timeout);
        let late_at = due_at + TIMEOUT_SLACK;
        let has_left = matches!(story.outcome, Some((_, Outcome::Left)));
        let ended_at = story.ended_at(now);
        let is_in_touch = world
            .timeline
            .is_in_touch(request.vm, request.sent_at, late_at);
        if ended_at < due_at || has_left || !is_in_touch || now < late_at {
            continue;
        }
        unanswered += 1;
        if ended_at > late_at {
            late.push(request.id.as_str());
        }
    }
    if late.len() * 2 > unanswered {
        let ids = late.join(", ");
        let detail = format!("{} of {unanswered} late: {ids}", late.len());
        found.push(total("answers within the timeout", detail));
    }
}

/// Proper requests are seldom refused for good by the VMs themselves.
fn check_denied(stories: &[&RequestStory], world: &World, found: &mut Vec<Violation>) {
    let mut in_touch = Vec::new();
    let mut out_of_touch = Vec::new();
    for story in stories {
        let own = story
            .response()
            .filter(|response| response.signature.is_none());
        let Some(status) = own.map(|response| response.status) else {
            continue;
        };
        let is_denial = (300..500).contains(&status) && ![408, 421, 429].contains(&status);
        let request = &story.request;
        let ended_at = story.ended_at(ClockTime::NEVER);
        let permits = |version: &crate::configs::ConfigVersion| {
            let handlings = version.handlings(request);
            matches!(handlings[0], crate::configs::Handling::Runs(..))
        };
        let is_in_touch = world
            .timeline
            .is_in_touch(request.vm, request.sent_at, ended_at);
        let in_force = world.configs.in_force(request.sent_at, ended_at);
        if is_denial && is_in_touch && in_force.iter().all(permits) {
            in_touch.push(request.id.as_str());
        }
        let is_unknown = [401, 403, 404].contains(&status);
        if is_unknown && !is_in_touch && world.configs.versions.iter().all(permits) {
            out_of_touch.push(request.id.as_str());
        }
    }
    if in_touch.len() > DENIED_REQUESTS + stories.len() / DENIED_SHARE {
        let detail = format!("denied by VMs in touch: {}", in_touch.join(", "));
        found.push(total("proper requests are allowed", detail));
    }
    if out_of_touch.len() > DENIED_OUT_OF_TOUCH {
        let detail = format!("denied: {}", out_of_touch.join(", "));
        found.push(total("proper requests are allowed", detail));
    }
}

/// At most a quarter of the VMs, or one, still report to be ready some seconds after a
/// termination signal.
fn check_readiness(world: &World, found: &mut Vec<Violation>) {
    let terminations = &world.terminations;
    let is_ready = |record: &&super::ReadinessRecord| {
        record.last_ready_at > record.signal_at + READY_AFTER_SIGNAL
    };
    let ready = terminations.iter().filter(is_ready).count();
    if ready >= 2 && ready * 4 > terminations.len() {
        let detail = format!(
            "{ready} of {} terminated VMs stay ready",
            terminations.len()
        );
        found.push(total("leaving VMs", detail));
    }
}

/// A process that has handled a request as only a newer version allows doesn't handle
/// a later one as only an older version allows.
fn check_regress(stories: &[&RequestStory], world: &World, found: &mut Vec<Violation>) {
    let mut newest: BTreeMap<(usize, u32), (ClockTime, u64)> = BTreeMap::new();
    let mut handled: Vec<_> = stories
        .iter()
        .flat_map(|story| observed(story).into_iter().map(move |seen| (seen, *story)))
        .collect();
    handled.sort_by_key(|((at, _), _)| *at);
    for ((at, handling), story) in handled {
        let request = &story.request;
        let versions = world.configs.versions.iter();
        let known = versions.filter(|version| version.accepted_at <= at);
        let mut numbers = known
            .filter(|version| allows(version, story, &handling))
            .map(|version| version.number);
        let Some(oldest) = numbers.next() else {
            continue;
        };
        let highest = numbers.next_back().unwrap_or(oldest);
        let process = (request.vm, request.boot);
        let is_slow = !world.timeline.is_in_touch(request.vm, request.sent_at, at);
        let factor = if is_slow { SLOW_VM_FACTOR } else { 1 };
        let slack = ClockTime::from_millis(ROLLBACK_SLACK.as_millis() * factor);
        let known = newest.entry(process).or_default();
        if highest < known.1 && request.sent_at > known.0 + slack {
            let detail = format!(
                "version {} was active, {handling:?} is of {highest}",
                known.1
            );
            found.push(Violation {
                rule: "no return to an older configuration",
                request: Some(request.id.clone()),
                detail,
            });
        }
        // A refusal is no proof that the version was active: the VM may know none.
        if oldest > known.1 && matches!(handling, crate::configs::Handling::Runs(..)) {
            *known = (at, oldest);
        }
    }
}
