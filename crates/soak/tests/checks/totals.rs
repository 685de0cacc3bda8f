//! Rules that show in the configuration, the VMs and sums.

use crate::fixtures::{
    arrival, broken, broken_totals, ms, refusal, respond, response, run, story, stream, version,
    world, NONE, SENT_AT,
};
use rstest::rstest;
use skylarkshed_soak::{CallKind, Outcome, Part, ReadinessRecord, RequestStory, RetryBound};

#[test]
fn late_request_of_a_leaving_upstream_is_found() {
    let mut world = world();
    let mut leave = |at| world.leavings.insert("stores-1".to_owned(), at);
    leave(SENT_AT.since(ms(2_500)));
    assert_eq!(broken(&story(), &world), ["leaving upstreams"]);
    let mut cut = world.clone();
    cut.timeline
        .begin(Part::Vm(0), "link", SENT_AT.since(ms(100)), false);
    assert_eq!(broken(&story(), &cut), NONE);
    let mut leave = |at| world.leavings.insert("stores-1".to_owned(), at);
    leave(SENT_AT.since(ms(1_900)));
    assert_eq!(broken(&story(), &world), NONE);
}

#[test]
fn handling_of_an_older_configuration_is_found_in_touch() {
    let mut world = world();
    let mut moved = version(2, SENT_AT.since(ms(2_100)));
    moved.routes[0].services = vec!["spares".to_owned()];
    world.configs.versions.push(moved);
    assert_eq!(broken(&story(), &world), ["configuration in force"]);
    let mut unstable = world.clone();
    unstable
        .timeline
        .begin(Part::Store, "store", SENT_AT, false);
    assert_eq!(broken(&story(), &unstable), NONE);
    world.configs.versions[1].accepted_at = SENT_AT.since(ms(1_900));
    assert_eq!(broken(&story(), &world), NONE);
}

#[rstest]
#[case(404)]
#[case(401)]
fn refusal_of_an_allowed_request_is_found(#[case] status: u16) {
    let mut story = story();
    story.runs.clear();
    respond(&mut story, refusal(status));
    assert_eq!(broken(&story, &world()), ["configuration in force"]);
    let stories = vec![story; 6];
    let expected = ["proper requests are allowed"];
    assert_eq!(broken_totals(&stories, &world()), expected);
}

#[test]
fn refusals_by_vms_out_of_touch_are_counted() {
    let mut story = story();
    story.runs.clear();
    respond(&mut story, refusal(404));
    let mut world = world();
    world.timeline.begin(Part::Vm(0), "link", SENT_AT, false);
    let expected = ["proper requests are allowed"];
    assert_eq!(broken_totals(&vec![story.clone(); 11], &world), expected);
    assert_eq!(broken_totals(&vec![story; 10], &world), NONE);
}

#[test]
fn revoked_key_is_found_also_out_of_touch() {
    let mut world = world();
    let mut revoked = version(2, SENT_AT.since(ms(5_100)));
    revoked.keys.clear();
    world.configs.versions.push(revoked);
    world.timeline.begin(Part::Vm(0), "link", ms(0), false);
    assert_eq!(broken(&story(), &world), ["revoked keys"]);
    world.configs.versions[1].accepted_at = SENT_AT.since(ms(4_900));
    assert_eq!(broken(&story(), &world), NONE);
}

#[test]
fn repeated_sends_beyond_the_budget_are_found() {
    let mut repeated = story();
    repeated.request.kind = CallKind::Safe;
    repeated.request.attempts = 2;
    repeated.arrivals.push(arrival());
    let expected = ["retry budget"];
    assert_eq!(
        broken_totals(&vec![repeated.clone(); 51], &world()),
        expected
    );
    assert_eq!(broken_totals(&vec![repeated; 50], &world()), NONE);
}

/// Guards against a check that sums for each VM, that leaves out arrivals that an upstream
/// rejected, or that doesn't use the bound of the settings.
#[test]
fn rejected_sends_of_all_vms_count_for_the_retry_bound() {
    let stories = |count| {
        let repeated = (0..count).map(|vm| {
            let mut story = story();
            story.request.vm = vm;
            story.runs[0].is_executed = false;
            story.runs[0].status = 0;
            respond(&mut story, refusal(503));
            story.arrivals = vec![arrival(); 3];
            story
        });
        repeated.collect::<Vec<_>>()
    };
    let mut world = world();
    world.retry_bound = RetryBound {
        ratio: 0.8,
        slack: 150,
    };
    assert_eq!(broken_totals(&stories(126), &world), ["retry budget"]);
    assert_eq!(broken_totals(&stories(125), &world), NONE);
}

/// Guards against a check that counts requests which no longer count: those of the window,
/// the one before it and the one half a window before it do.
#[test]
fn requests_two_windows_earlier_allow_no_repeated_sends() {
    let late_repeats = |delay_ms: u64| {
        let mut story = story();
        let mut late = arrival();
        late.at = SENT_AT + ms(5 + delay_ms);
        story.arrivals.push(late);
        vec![story; 45]
    };
    let expected = ["retry budget"];
    assert_eq!(broken_totals(&late_repeats(20_000), &world()), expected);
    assert_eq!(broken_totals(&late_repeats(19_999), &world()), NONE);
    assert_eq!(broken_totals(&late_repeats(0), &world()), NONE);
}

#[test]
fn too_many_upstreams_for_requests_are_found() {
    let mut repeated = story();
    repeated.request.kind = CallKind::Safe;
    let mut second = run();
    second.upstream = "stores-2".to_owned();
    repeated.runs.push(second);
    let expected = ["attempts of a request"];
    assert_eq!(
        broken_totals(&vec![repeated.clone(); 4], &world()),
        expected
    );
    assert_eq!(broken_totals(&vec![repeated; 3], &world()), NONE);
}

#[test]
fn answers_long_after_the_timeout_are_found() {
    let mut late = story();
    let late_at = SENT_AT + ms(1_600);
    late.outcome = Some((late_at, Outcome::Response(response())));
    let expected = ["answers within the timeout"];
    assert_eq!(broken_totals(&[late.clone()], &world()), expected);
    let mut just_in_time = late.clone();
    just_in_time.outcome = Some((SENT_AT + ms(1_400), Outcome::Response(response())));
    assert_eq!(broken_totals(&[late.clone(), just_in_time], &world()), NONE);
    let mut starved = world();
    starved
        .timeline
        .begin(Part::Machine, "starved", SENT_AT, false);
    assert_eq!(broken_totals(&[late], &starved), NONE);
}

#[test]
fn terminated_vms_that_stay_ready_are_found() {
    let mut world = world();
    let record = ReadinessRecord {
        vm: 0,
        signal_at: SENT_AT,
        last_ready_at: SENT_AT + ms(4_100),
    };
    world.terminations = vec![record; 2];
    assert_eq!(broken_totals(&[], &world), ["leaving VMs"]);
    world.terminations[0].last_ready_at = SENT_AT + ms(3_900);
    assert_eq!(broken_totals(&[], &world), NONE);
}

#[test]
fn return_to_an_older_configuration_is_found() {
    let mut world = world();
    let mut moved = version(2, SENT_AT);
    moved.routes[0].services = vec!["spares".to_owned()];
    world.configs.versions.push(moved);
    let mut newer = story();
    newer.runs[0].service = "spares".to_owned();
    let mut older = story();
    older.request.sent_at = SENT_AT + ms(300);
    older.runs[0].at = SENT_AT + ms(310);
    let expected = ["no return to an older configuration"];
    assert_eq!(
        broken_totals(&[newer.clone(), older.clone()], &world),
        expected
    );
    older.request.sent_at = SENT_AT + ms(250);
    assert_eq!(broken_totals(&[newer.clone(), older.clone()], &world), NONE);
    // Another process may start with what it finds.
    older.request.sent_at = SENT_AT + ms(300);
    older.request.boot = 2;
    assert_eq!(broken_totals(&[newer, older], &world), NONE);
}

/// Returns a request for a stream whose caller left while an upstream worked on it.
fn abandoned_stream() -> RequestStory {
    let mut left = stream("", false);
    left.outcome = Some((SENT_AT + ms(100), Outcome::Left));
    left.runs[0].due_at = SENT_AT + ms(2_000);
    left.runs[0].ended_at = SENT_AT + ms(601);
    left
}

#[test]
fn work_for_callers_that_left_is_found() {
    let left = abandoned_stream();
    let mut stopped = left.clone();
    stopped.runs[0].ended_at = SENT_AT + ms(600);
    let expected = ["abandoned requests"];
    let mut two_of_seven = vec![stopped; 5];
    two_of_seven.extend([left.clone(), left.clone()]);
    assert_eq!(broken_totals(&two_of_seven, &world()), expected);
    let one_of_six = &two_of_seven[..6];
    assert_eq!(broken_totals(one_of_six, &world()), NONE);
    let mut paused = world();
    paused.timeline.begin(Part::Vm(0), "paused", SENT_AT, false);
    assert_eq!(broken_totals(std::slice::from_ref(&left), &paused), NONE);
    // A request that may not be repeated may run to its end.
    let mut once = left;
    once.request.kind = CallKind::Unsafe;
    assert_eq!(broken_totals(&[once], &world()), NONE);
}

#[test]
fn requests_that_arrive_after_their_callers_left_are_found() {
    let mut late = abandoned_stream();
    late.request.kind = CallKind::Unsafe;
    late.runs[0].at = SENT_AT + ms(601);
    let expected = ["abandoned requests"];
    assert_eq!(broken_totals(&vec![late.clone(); 4], &world()), expected);
    assert_eq!(broken_totals(&vec![late; 3], &world()), NONE);
}
