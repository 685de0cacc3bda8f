//! What upstreams ran: at most once, unchanged, and not after a refusal.

use super::{Findings, World};
use crate::bounds::DRAIN;
use crate::bounds::SETTLE_WINDOW;
use crate::records::{RequestStory, UpstreamRun};
use crate::timeline::Part;

/// The statuses that state that a request has not run and never will.
const REFUSALS: [u16; 4] = [408, 421, 429, 503];

pub(super) fn check(story: &RequestStory, world: &World, found: &mut Findings) {
    check_once(story, found);
    for run in &story.runs {
        check_unchanged(story, run, found);
        check_leaving(story, run, world, found);
    }
}

/// A request that may not be repeated runs once at most, and not at all if it was
/// refused. Nothing excuses a breach.
fn check_once(story: &RequestStory, found: &mut Findings) {
    if story.request.kind.is_repeatable() {
        return;
    }
    let upstreams: Vec<&str> = story
        .executions()
        .map(|run| run.upstream.as_str())
        .collect();
    if upstreams.len() > 1 {
        found.push(("at most once", format!("ran at {}", upstreams.join(", "))));
    }
    let refusal = story
        .response()
        .filter(|response| REFUSALS.contains(&response.status));
    if let (Some(response), false) = (refusal, upstreams.is_empty()) {
        let status = response.status;
        let detail = format!("refused with {status}, ran at {}", upstreams.join(", "));
        found.push(("truthful refusals", detail));
    }
}

/// Method, path and body reach the upstream as sent; the key does not, and the customer
/// is the key's.
fn check_unchanged(story: &RequestStory, run: &UpstreamRun, found: &mut Findings) {
    let request = &story.request;
    let target = format!("{} {}", request.method, request.path);
    let upstream = &run.upstream;
    if run.target != target {
        let detail = format!("`{target}` arrived at {upstream} as `{}`", run.target);
        found.push(("unchanged requests", detail));
    }
    if run.request_body != request.body {
        let detail = format!("the body arrived changed at {upstream}");
        found.push(("unchanged requests", detail));
    }
    if run.has_key {
        found.push(("unchanged requests", format!("{upstream} got the API key")));
    }
}

/// A leaving upstream gets no request of a VM in touch later than the bound after the
/// store, undisturbed, accepted that it leaves. A request that it refused with 421
/// is not recorded as arrived.
fn check_leaving(story: &RequestStory, run: &UpstreamRun, world: &World, found: &mut Findings) {
    let Some(&accepted_at) = world.leavings.get(&run.upstream) else {
        return;
    };
    let request = &story.request;
    let timeline = &world.timeline;
    let settled_from = accepted_at.since(SETTLE_WINDOW);
    if run.at > accepted_at + DRAIN
        && timeline.is_in_touch(request.vm, request.sent_at, run.at)
        && !timeline.is_disturbed(&Part::Store, settled_from, accepted_at)
    {
        let after_ms = run.at.since(accepted_at).as_millis();
        let detail = format!("{} got it {after_ms} ms after its leaving", run.upstream);
        found.push(("leaving upstreams", detail));
    }
}
