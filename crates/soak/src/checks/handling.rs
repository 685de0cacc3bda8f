//! The configuration in force: routes, keys and customers.

use super::{Findings, World};
use crate::bounds::REVOCATION;
use crate::configs::{ConfigVersion, Handling};
use crate::records::RequestStory;
use skylarkshed_core::ClockTime;

pub(super) fn check(story: &RequestStory, world: &World, now: ClockTime, found: &mut Findings) {
    check_in_force(story, world, now, found);
    check_known(story, world, found);
    check_revoked(story, world, found);
}

/// Returns what was done with a request, and when.
pub(super) fn observed(story: &RequestStory) -> Vec<(ClockTime, Handling)> {
    let runs = story.executions().map(|run| {
        let handling = Handling::Runs(run.service.clone(), run.customer.clone());
        (run.at, handling)
    });
    let mut observed: Vec<_> = runs.collect();
    let own_response = story
        .response()
        .filter(|response| response.signature.is_none());
    let ended_at = story.ended_at(ClockTime::NEVER);
    match own_response.map(|response| response.status) {
        Some(404) => observed.push((ended_at, Handling::NoRoute)),
        Some(401) => observed.push((ended_at, Handling::UnknownKey)),
        _ => {}
    }
    observed
}

/// Reports whether a version may handle a request like this.
pub(super) fn allows(version: &ConfigVersion, story: &RequestStory, handling: &Handling) -> bool {
    version.handlings(&story.request).contains(handling)
}

/// A VM in touch handles a request as a version says that was not replaced more than
/// the bound before the request was sent.
fn check_in_force(story: &RequestStory, world: &World, now: ClockTime, found: &mut Findings) {
    let request = &story.request;
    for (at, handling) in observed(story) {
        let versions = world.configs.in_force(request.sent_at, at.min(now));
        let is_allowed = versions
            .iter()
            .any(|version| allows(version, story, &handling));
        let is_in_touch = world.timeline.is_in_touch(request.vm, request.sent_at, at);
        if !is_allowed && is_in_touch {
            let numbers: Vec<u64> = versions.iter().map(|version| version.number).collect();
            let detail = format!("handled as {handling:?}, versions {numbers:?} are in force");
            found.push(("configuration in force", detail));
        }
    }
}

/// No upstream runs what no version ever allowed, whatever the VM knows.
fn check_known(story: &RequestStory, world: &World, found: &mut Findings) {
    for (at, handling) in observed(story) {
        let is_run = matches!(handling, Handling::Runs(..));
        let known = world.configs.versions.iter();
        let mut known = known.filter(|version| version.accepted_at <= at);
        if is_run && !known.any(|version| allows(version, story, &handling)) {
            let detail = format!("handled as {handling:?}, which no version allows");
            found.push(("routes and customers", detail));
        }
    }
}

/// A request with a revoked key runs nowhere later than the bound, also at a VM that is
/// not in touch.
fn check_revoked(story: &RequestStory, world: &World, found: &mut Findings) {
    let request = &story.request;
    let revoked_at = request
        .key
        .as_ref()
        .and_then(|key| world.configs.revoked_at(key));
    let Some(revoked_at) = revoked_at else {
        return;
    };
    let mut keyed_runs = story.executions().filter(|run| run.customer.is_some());
    if request.sent_at > revoked_at + REVOCATION && keyed_runs.next().is_some() {
        let after_ms = request.sent_at.since(revoked_at).as_millis();
        let detail = format!("ran {after_ms} ms after its key was revoked");
        found.push(("revoked keys", detail));
    }
}
