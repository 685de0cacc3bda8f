//! What callers received: whole answers of their own request, and no lost requests.

use super::{Findings, World};
use crate::bounds::{GRACE, LOSS_SLACK};
use crate::records::{CallKind, Outcome, RequestStory, SeenResponse, UpstreamRun};
use skylarkshed_core::ClockTime;

/// A request sent later than this after a termination signal is served in time or refused.
const LATE_AFTER_SIGNAL: ClockTime = ClockTime::from_millis(3_000);

pub(super) fn check(story: &RequestStory, world: &World, found: &mut Findings) {
    if let Some(response) = story.response() {
        check_match(story, response, found);
        if response.status == 200 && story.request.events > 0 {
            check_events(story, response, found);
        }
    }
    if let Some((_, Outcome::Unparsable(problem))) = &story.outcome {
        found.push(("whole answers", format!("received no response: {problem}")));
    }
    check_lost(story, world, found);
}

/// A success is the signed, whole response of an upstream that ran this request; a
/// signed failure has the status that the upstream gave.
fn check_match(story: &RequestStory, response: &SeenResponse, found: &mut Findings) {
    let status = response.status;
    if response
        .request_id
        .as_ref()
        .is_some_and(|id| *id != story.request.id)
    {
        let detail = format!("got the answer of {:?}", response.request_id);
        found.push(("answers matched to requests", detail));
    }
    let is_success = (200..300).contains(&status);
    let Some(signature) = &response.signature else {
        if is_success {
            let detail = format!("{status} without a signature");
            found.push(("whole answers", detail));
        }
        return;
    };
    let run = story.executions().find(|run| run.signature == *signature);
    let problem = match run {
        None => Some("the signature is of no run of this request".to_owned()),
        Some(run) if run.status != status => {
            Some(format!("{status}, upstream gave {}", run.status))
        }
        Some(run) => is_success
            .then(|| body_problem(story, response, run))
            .flatten(),
    };
    if let Some(problem) = problem {
        found.push(("whole answers", problem));
    }
}

fn body_problem(
    story: &RequestStory,
    response: &SeenResponse,
    run: &UpstreamRun,
) -> Option<String> {
    let is_stream = story.request.events > 0;
    let is_whole = is_stream || !response.is_complete || run.body == response.body;
    let length = response.body.len();
    (!is_whole).then(|| format!("{length} bytes of {} look complete", run.body.len()))
}

/// Events arrive in order, each once, and the stream is complete only after the last.
/// Streams that can't be resumed are of one run.
fn check_events(story: &RequestStory, response: &SeenResponse, found: &mut Findings) {
    let request = &story.request;
    let is_resumable = request.kind == CallKind::Stream { is_resumable: true };
    let mut next = request.last_event + 1;
    let (events, rest) = match response.body.rsplit_once("\n\n") {
        Some((events, rest)) => (events, rest),
        None => ("", response.body.as_str()),
    };
    for event in events.split("\n\n").filter(|event| !event.is_empty()) {
        let mut expected = format!("id: {next}\ndata: piece {next} of {}", request.id);
        if !is_resumable {
            let signature = response.signature.as_deref().unwrap_or_default();
            expected = format!("{expected} by {signature}");
        }
        if event != expected {
            let detail = format!("event {next} is `{}`", event.replace('\n', " "));
            found.push(("order of events", detail));
            return;
        }
        next += 1;
    }
    let is_whole = next == request.events + 1 && rest.is_empty();
    if response.is_complete && !is_whole {
        let seen = next - 1;
        let detail = format!("looks complete after event {seen} of {}", request.events);
        found.push(("order of events", detail));
    }
}

/// A request that was read whole is answered or refused.
///
/// Left out: an unplanned disturbance of the VM from the settle window before the request
/// to its end (of the store as well if the request has a key); an upstream that broke
/// off; a request that reached its time limit or its route's timeout; one that crossed
/// the close of an idle connection and reached no upstream; and one sent soon after a
/// termination signal whose upstream still worked in the last sixth of the grace period.
fn check_lost(story: &RequestStory, world: &World, found: &mut Findings) {
    if let Some(None) = excuse_cut(story, world) {
        let request = &story.request;
        let elapsed = story.ended_at(ClockTime::NEVER).since(request.sent_at);
        let runs = story.runs.len();
        let after_ms = elapsed.as_millis();
        let detail = format!("cut off after {after_ms} ms, arrived at {runs} upstreams");
        found.push(("no lost requests", detail));
    }
}

/// Returns why a request may be cut off, or `Some(None)` if nothing excuses it; none if it was
/// not cut off.
pub(crate) fn excuse_cut(story: &RequestStory, world: &World) -> Option<Option<&'static str>> {
    let request = &story.request;
    let ended_at = match &story.outcome {
        Some((at, Outcome::Closed)) => *at,
        Some((at, Outcome::Response(response))) if !response.is_complete => *at,
        _ => return None,
    };
    let elapsed = ended_at.since(request.sent_at);
    let needs_store = request.key.is_some();
    let timeline = &world.timeline;
    let excuses = [
        (
            elapsed >= request.timeout.min(request.time_limit),
            "the time was over",
        ),
        (
            story.runs.is_empty() && elapsed <= LOSS_SLACK,
            "crossed a close",
        ),
        (
            story.runs.iter().any(|run| run.is_broken_off),
            "the upstream broke off",
        ),
        (
            is_at_end_of_grace(story, world, ended_at),
            "at work at the end of the grace period",
        ),
        (
            timeline.is_excused(request.vm, false, request.sent_at, ended_at),
            "the VM was disturbed",
        ),
        (
            timeline.is_excused(request.vm, needs_store, request.sent_at, ended_at),
            "the store was disturbed",
        ),
    ];
    let excuse = excuses.iter().find(|(applies, _)| *applies);
    Some(excuse.map(|(_, reason)| *reason))
}

fn is_at_end_of_grace(story: &RequestStory, world: &World, ended_at: ClockTime) -> bool {
    let last_sixth = ClockTime::from_millis(GRACE.as_millis() * 5 / 6);
    let request = &story.request;
    world.terminations.iter().any(|termination| {
        let signal_at = termination.signal_at;
        termination.vm == request.vm
            && request.sent_at <= signal_at + LATE_AFTER_SIGNAL
            && ended_at >= signal_at + last_sixth
            && ended_at <= signal_at + GRACE + LATE_AFTER_SIGNAL
            && story
                .executions()
                .any(|run| run.ended_at >= signal_at + last_sixth)
    })
}
