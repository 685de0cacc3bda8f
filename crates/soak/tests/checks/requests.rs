//! Rules that one request shows.

use crate::fixtures::{
    broken, broken_totals, ms, refusal, respond, response, run, story, stream, world, FIRST, NONE,
    NOW, SECOND, SENT_AT,
};
use rstest::rstest;
use skylarkshed_soak::{check_totals, CallKind, Outcome, Part, ReadinessRecord, SeenResponse};

#[test]
fn answered_request_breaks_nothing() {
    assert_eq!(broken(&story(), &world()), NONE);
    assert_eq!(broken_totals(&[story()], &world()), NONE);
}

#[test]
fn soak_without_an_answer_is_found() {
    let mut refused = story();
    respond(&mut refused, refusal(503));
    let found = check_totals(&[&refused], &world(), NOW);
    assert_eq!(found[0].rule, "requests are served");
}

#[test]
fn second_run_of_an_unsafe_request_is_found() {
    let mut story = story();
    story.runs.push(run());
    assert_eq!(broken(&story, &world()), ["at most once"]);
    story.request.kind = CallKind::Safe;
    assert_eq!(broken(&story, &world()), NONE);
    // An upstream that says that it did not run the request doesn't count.
    story.request.kind = CallKind::Unsafe;
    story.runs[0].is_executed = false;
    assert_eq!(broken(&story, &world()), NONE);
}

#[rstest]
#[case(408)]
#[case(421)]
#[case(429)]
#[case(503)]
fn refusal_of_a_request_that_ran_is_found(#[case] status: u16) {
    let mut story = story();
    respond(&mut story, refusal(status));
    assert_eq!(broken(&story, &world()), ["truthful refusals"]);
    story.runs[0].at = SENT_AT + ms(9_000);
    assert!(broken(&story, &world()).contains(&"truthful refusals"));
    story.runs.clear();
    assert_eq!(broken(&story, &world()), NONE);
}

#[test]
fn failure_that_states_nothing_is_allowed_after_a_run() {
    let mut story = story();
    respond(&mut story, refusal(502));
    assert_eq!(broken(&story, &world()), NONE);
}

#[test]
fn changed_request_is_found() {
    let mut changed = story();
    changed.runs[0].target = "POST /book/2".to_owned();
    assert_eq!(broken(&changed, &world()), ["unchanged requests"]);
    let mut changed = story();
    changed.runs[0].request_body = "other".to_owned();
    assert_eq!(broken(&changed, &world()), ["unchanged requests"]);
    let mut changed = story();
    changed.runs[0].has_key = true;
    assert_eq!(broken(&changed, &world()), ["unchanged requests"]);
}

#[test]
fn customer_that_does_not_hold_the_key_is_found() {
    let mut story = story();
    story.runs[0].customer = Some("vendor".to_owned());
    let found = broken(&story, &world());
    assert_eq!(found, ["configuration in force", "routes and customers"]);
}

#[test]
fn incomplete_body_that_looks_complete_is_found() {
    let mut story = story();
    let body = "ans".to_owned();
    let part = SeenResponse { body, ..response() };
    respond(&mut story, part.clone());
    assert_eq!(broken(&story, &world()), ["whole answers"]);
    story.runs[0].is_broken_off = true;
    assert_eq!(broken(&story, &world()), ["whole answers"]);
    let is_complete = false;
    respond(
        &mut story,
        SeenResponse {
            is_complete,
            ..part
        },
    );
    assert_eq!(broken(&story, &world()), NONE);
}

#[test]
fn success_without_signature_or_of_no_run_is_found() {
    let mut story = story();
    let signature = None;
    respond(
        &mut story,
        SeenResponse {
            signature,
            ..response()
        },
    );
    assert_eq!(broken(&story, &world()), ["whole answers"]);
    let signature = Some("other".to_owned());
    respond(
        &mut story,
        SeenResponse {
            signature,
            ..response()
        },
    );
    assert_eq!(broken(&story, &world()), ["whole answers"]);
}

#[test]
fn signed_failure_with_another_status_is_found() {
    let mut story = story();
    let status = 500;
    respond(
        &mut story,
        SeenResponse {
            status,
            ..response()
        },
    );
    assert_eq!(broken(&story, &world()), ["whole answers"]);
}

#[test]
fn bytes_that_are_no_response_are_found() {
    let mut story = story();
    story.outcome = Some((SENT_AT, Outcome::Unparsable("invalid version".to_owned())));
    assert_eq!(broken(&story, &world()), ["whole answers"]);
}

#[test]
fn answer_of_another_request_is_found() {
    let mut story = story();
    let request_id = Some("r2".to_owned());
    respond(
        &mut story,
        SeenResponse {
            request_id,
            ..response()
        },
    );
    assert_eq!(broken(&story, &world()), ["answers matched to requests"]);
}

#[rstest]
#[case::missing(&[SECOND], true)]
#[case::twice(&[FIRST, FIRST, SECOND], true)]
#[case::too_short(&[FIRST], true)]
#[case::cut_within_an_event(&[FIRST, "id: 2\nda"], true)]
#[case::twice_in_a_part(&[FIRST, FIRST], false)]
fn wrong_order_of_events_is_found(#[case] events: &[&str], #[case] is_complete: bool) {
    let mut story = stream(&events.concat(), is_complete);
    story.runs[0].is_broken_off = true;
    assert_eq!(broken(&story, &world()), ["order of events"]);
}

#[test]
fn events_of_two_runs_of_a_stream_that_cannot_resume_are_found() {
    let by = |signature: &str, number: u64| {
        format!("id: {number}\ndata: piece {number} of r1 by {signature}\n\n")
    };
    let mut story = stream(&(by("signature", 1) + &by("other", 2)), true);
    story.request.kind = CallKind::Stream {
        is_resumable: false,
    };
    assert_eq!(broken(&story, &world()), ["order of events"]);
    let whole = by("signature", 1) + &by("signature", 2);
    respond(
        &mut story,
        SeenResponse {
            body: whole,
            ..response()
        },
    );
    assert_eq!(broken(&story, &world()), NONE);
}

#[test]
fn whole_and_cut_streams_are_allowed() {
    assert_eq!(
        broken(&stream(&[FIRST, SECOND].concat(), true), &world()),
        NONE
    );
    let mut cut = stream(FIRST, false);
    cut.runs[0].is_broken_off = true;
    assert_eq!(broken(&cut, &world()), NONE);
}

#[test]
fn request_that_is_cut_off_is_found() {
    let mut lost = story();
    lost.outcome = Some((SENT_AT + ms(100), Outcome::Closed));
    assert_eq!(broken(&lost, &world()), ["no lost requests"]);
    // Planned work is no excuse.
    let mut planned = world();
    let number = planned
        .timeline
        .begin(Part::Vm(0), "terminated", SENT_AT, true);
    planned.timeline.end(number, NOW);
    assert_eq!(broken(&lost, &planned), ["no lost requests"]);
    let mut killed = world();
    killed.timeline.begin(Part::Vm(0), "killed", SENT_AT, false);
    assert_eq!(broken(&lost, &killed), NONE);
    let mut of_another_vm = world();
    of_another_vm
        .timeline
        .begin(Part::Vm(1), "killed", SENT_AT, false);
    assert_eq!(broken(&lost, &of_another_vm), ["no lost requests"]);
    lost.runs[0].is_broken_off = true;
    assert_eq!(broken(&lost, &world()), NONE);
}

#[test]
fn request_that_reached_no_upstream_is_lost_after_the_slack() {
    let mut lost = story();
    lost.runs.clear();
    lost.outcome = Some((SENT_AT + ms(201), Outcome::Closed));
    assert_eq!(broken(&lost, &world()), ["no lost requests"]);
    lost.outcome = Some((SENT_AT + ms(200), Outcome::Closed));
    assert_eq!(broken(&lost, &world()), NONE);
}

#[test]
fn request_that_reached_its_timeout_is_not_lost() {
    let mut lost = story();
    lost.outcome = Some((SENT_AT + ms(1_000), Outcome::Closed));
    assert_eq!(broken(&lost, &world()), NONE);
}

#[test]
fn upstream_at_work_at_the_end_of_the_grace_period_excuses_early_requests() {
    let mut lost = story();
    let ended_at = SENT_AT + ms(900);
    lost.outcome = Some((ended_at, Outcome::Closed));
    lost.runs[0].ended_at = ended_at;
    lost.request.timeout = ms(10_000);
    lost.request.time_limit = ms(10_000);
    let signal = |before_ms: u64| {
        let mut world = world();
        world.terminations.push(ReadinessRecord {
            vm: 0,
            signal_at: SENT_AT.since(ms(before_ms)),
            last_ready_at: ms(0),
        });
        world
    };
    assert_eq!(broken(&lost, &signal(2_900)), ["no lost requests"]);
    assert_eq!(broken(&lost, &signal(7_000)), ["no lost requests"]);
    let late_end = SENT_AT + ms(7_500);
    lost.outcome = Some((late_end, Outcome::Closed));
    lost.runs[0].ended_at = late_end;
    assert_eq!(broken(&lost, &signal(1_000)), NONE);
}

#[test]
fn resumed_stream_goes_on_after_the_last_event() {
    let mut resumed = stream(SECOND, true);
    resumed.request.last_event = 1;
    assert_eq!(broken(&resumed, &world()), NONE);
    let mut repeated = stream(&[FIRST, SECOND].concat(), true);
    repeated.request.last_event = 1;
    assert_eq!(broken(&repeated, &world()), ["order of events"]);
}

#[test]
fn run_by_a_service_that_no_version_allows_is_found() {
    let mut reused = story();
    reused.runs[0].service = "ledger".to_owned();
    let expected = ["configuration in force", "routes and customers"];
    assert_eq!(broken(&reused, &world()), expected);
}
