//! Each check finds a history that breaks its promise, and only then.

use rstest::rstest;
use skylarkshed_core::ClockTime;
use skylarkshed_soak::{
    check_request, check_totals, CallKind, CallerRequest, ConfigVersion, Outcome, Part, PowerLoss,
    ReadinessRecord, RequestStory, RolloutEnd, RolloutRecord, RouteRule, SeenResponse, UpstreamRun,
    VersionQuality, World,
};

const fn ms(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

/// The time at which requests are sent: long after the start.
const SENT_AT: ClockTime = ms(20_000);
const NOW: ClockTime = ms(40_000);

fn version(number: u64, accepted_at: ClockTime) -> ConfigVersion {
    ConfigVersion {
        number,
        accepted_at,
        routes: vec![RouteRule {
            prefix: "/book/".to_owned(),
            services: vec!["stores".to_owned()],
            is_public: false,
            timeout: ms(1_000),
        }],
        keys: [("key".to_owned(), "depot".to_owned())].into(),
    }
}

fn world() -> World {
    let mut world = World::default();
    world.configs.versions.push(version(1, ms(0)));
    world
}

fn run() -> UpstreamRun {
    UpstreamRun {
        upstream: "stores-1".to_owned(),
        service: "stores".to_owned(),
        at: SENT_AT + ms(5),
        is_executed: true,
        ended_at: SENT_AT + ms(50),
        status: 200,
        signature: "signature".to_owned(),
        body: "answer".to_owned(),
        target: "POST /book/1".to_owned(),
        request_body: "order".to_owned(),
        customer: Some("depot".to_owned()),
        time_left: Some(ms(3_990)),
        ..UpstreamRun::default()
    }
}

fn response() -> SeenResponse {
    SeenResponse {
        status: 200,
        signature: Some("signature".to_owned()),
        request_id: Some("r1".to_owned()),
        body: "answer".to_owned(),
        is_complete: true,
    }
}

fn refusal(status: u16) -> SeenResponse {
    SeenResponse {
        status,
        signature: None,
        request_id: None,
        ..response()
    }
}

/// Returns a request that ran once and was answered.
fn story() -> RequestStory {
    RequestStory {
        request: CallerRequest {
            id: "r1".to_owned(),
            vm: 0,
            boot: 1,
            kind: CallKind::Unsafe,
            method: "POST".to_owned(),
            path: "/book/1".to_owned(),
            body: "order".to_owned(),
            key: Some("key".to_owned()),
            events: 0,
            last_event: 0,
            sent_at: SENT_AT,
            time_limit: ms(4_000),
            timeout: ms(1_000),
            attempts: 1,
        },
        outcome: Some((SENT_AT + ms(60), Outcome::Response(response()))),
        runs: vec![run()],
    }
}

fn respond(story: &mut RequestStory, response: SeenResponse) {
    story.outcome = Some((SENT_AT + ms(60), Outcome::Response(response)));
}

fn stream(body: &str, is_complete: bool) -> RequestStory {
    let mut story = story();
    story.request.kind = CallKind::Stream { is_resumable: true };
    story.request.events = 2;
    let body = body.to_owned();
    let response = SeenResponse {
        body,
        is_complete,
        ..response()
    };
    respond(&mut story, response);
    story
}

/// Returns the promises that one request breaks.
fn broken(story: &RequestStory, world: &World) -> Vec<&'static str> {
    let found = check_request(story, world, NOW);
    found.iter().map(|violation| violation.promise).collect()
}

/// Returns the promises that many requests break, beside an answered one.
fn broken_totals(stories: &[RequestStory], world: &World) -> Vec<&'static str> {
    let mut answered = story();
    answered.request.vm = 1;
    answered.request.path = "/other/1".to_owned();
    answered.request.sent_at = ms(0);
    answered.runs.clear();
    let mut stories: Vec<&RequestStory> = stories.iter().collect();
    stories.push(&answered);
    let found = check_totals(&stories, world, NOW);
    found.iter().map(|violation| violation.promise).collect()
}

const NONE: [&str; 0] = [];

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
    assert_eq!(found[0].promise, "requests are served");
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
fn failure_that_promises_nothing_is_allowed_after_a_run() {
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

const FIRST: &str = "id: 1\ndata: piece 1 of r1\n\n";
const SECOND: &str = "id: 2\ndata: piece 2 of r1\n\n";

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
    repeated.runs.push(run());
    let expected = ["retry budget"];
    assert_eq!(
        broken_totals(&vec![repeated.clone(); 51], &world()),
        expected
    );
    assert_eq!(broken_totals(&vec![repeated; 50], &world()), NONE);
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

/// Returns a world in which all VMs lost power long before the requests were sent.
fn world_after_power_loss() -> World {
    let mut world = world();
    world.power_losses.push(PowerLoss {
        at: SENT_AT.since(ms(13_000)),
        back_at: SENT_AT.since(ms(12_000)),
    });
    world
}

#[test]
fn requests_that_are_not_served_after_a_loss_of_power_are_found() {
    let mut refused = story();
    refused.runs.clear();
    respond(&mut refused, refusal(503));
    let mut stories = vec![refused.clone(); 4];
    stories.push(story());
    let expected = ["recovery after a loss of power"];
    assert_eq!(broken_totals(&stories, &world_after_power_loss()), expected);
    assert_eq!(broken_totals(&stories, &world()), NONE);
    assert_eq!(
        broken_totals(&stories[1..], &world_after_power_loss()),
        NONE
    );
    // Requests within the time to recover don't count.
    refused.request.sent_at = SENT_AT.since(ms(1));
    assert_eq!(
        broken_totals(&vec![refused; 5], &world_after_power_loss()),
        NONE
    );
}

/// Returns a world with a rollout that began three seconds before the requests were sent.
fn world_with_rollout(quality: VersionQuality, end: Option<RolloutEnd>) -> World {
    let mut world = world();
    world.rollouts.push(RolloutRecord {
        service: "stores".to_owned(),
        version: "v2".to_owned(),
        quality,
        ordered_at: SENT_AT.since(ms(3_000)),
        due_at: SENT_AT + ms(5_000),
        end: end.map(|end| (SENT_AT + ms(5_000), end)),
    });
    world
}

/// Returns an answered request that a version ran.
fn run_by_version(version: &str, is_bad: bool) -> RequestStory {
    let mut story = story();
    story.runs[0].version = version.to_owned();
    story.runs[0].is_bad = is_bad;
    story
}

#[test]
fn too_many_requests_to_a_bad_version_are_found() {
    let world = world_with_rollout(VersionQuality::Bad, Some(RolloutEnd::RolledBack));
    let mut stories = vec![run_by_version("v2", false); 66];
    stories.extend(vec![run_by_version("v1", false); 84]);
    let mut allowed = stories.clone();
    allowed[0] = run_by_version("v1", false);
    let expected = ["exposure to a bad version"];
    assert_eq!(broken_totals(&stories, &world), expected);
    assert_eq!(broken_totals(&allowed, &world), NONE);
    let mut paused = world.clone();
    paused.timeline.begin(Part::Vm(0), "paused", SENT_AT, false);
    assert_eq!(broken_totals(&stories, &paused), NONE);
    let good = world_with_rollout(VersionQuality::Good, Some(RolloutEnd::Done));
    assert_eq!(broken_totals(&stories, &good), NONE);
}

#[test]
fn request_to_a_version_known_to_be_bad_is_found() {
    let world = world_with_rollout(VersionQuality::BadLater, Some(RolloutEnd::RolledBack));
    let mut stories = vec![run_by_version("v2", true); 50];
    let mut late = run_by_version("v2", true);
    late.request.id = "late".to_owned();
    late.request.sent_at = SENT_AT + ms(5_051);
    late.runs[0].at = SENT_AT + ms(5_052);
    late.runs[0].ended_at = SENT_AT + ms(5_090);
    late.outcome = Some((SENT_AT + ms(5_100), Outcome::Response(response())));
    stories.push(late);
    let expected = ["no requests to a version known to be bad"];
    assert_eq!(broken_totals(&stories, &world), expected);
    assert_eq!(broken_totals(&stories[1..], &world), NONE);
    // Bad responses count again after a disturbance of the store.
    let mut unstable = world;
    let from = SENT_AT.since(ms(100));
    let number = unstable.timeline.begin(Part::Store, "store", from, false);
    unstable.timeline.end(number, SENT_AT);
    assert_eq!(broken_totals(&stories, &unstable), NONE);
}

#[test]
fn wrong_end_of_a_rollout_is_found() {
    let expected = ["end of a rollout"];
    let bad_done = world_with_rollout(VersionQuality::Bad, Some(RolloutEnd::Done));
    let bad = vec![run_by_version("v2", true); 50];
    assert_eq!(broken_totals(&bad, &bad_done), expected);
    assert_eq!(broken_totals(&bad[1..], &bad_done), expected);
    let mut disturbed = bad_done;
    disturbed
        .timeline
        .begin(Part::Vm(1), "link", SENT_AT, false);
    assert_eq!(broken_totals(&bad, &disturbed), expected);
    assert_eq!(broken_totals(&bad[1..], &disturbed), NONE);
    let good_rolled_back = world_with_rollout(VersionQuality::Good, Some(RolloutEnd::RolledBack));
    assert_eq!(broken_totals(&[], &good_rolled_back), expected);
    let endless = world_with_rollout(VersionQuality::Good, None);
    assert_eq!(broken_totals(&[], &endless), expected);
    let mut late = world_with_rollout(VersionQuality::Good, Some(RolloutEnd::Done));
    assert_eq!(broken_totals(&[], &late), NONE);
    late.rollouts[0].end = Some((SENT_AT + ms(5_001), RolloutEnd::Done));
    assert_eq!(broken_totals(&[], &late), expected);
    for mut disturbed in [good_rolled_back, endless, late] {
        let timeline = &mut disturbed.timeline;
        timeline.begin(
            Part::Upstream("stores-1".to_owned()),
            "upstream",
            SENT_AT,
            false,
        );
        assert_eq!(broken_totals(&[], &disturbed), NONE);
    }
}
