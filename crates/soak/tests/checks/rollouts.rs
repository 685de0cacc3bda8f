//! Rules of rollouts.

use crate::fixtures::{broken_totals, ms, response, story, world, NONE, NOW, SENT_AT};
use skylarkshed_soak::{
    Outcome, Part, RequestStory, RolloutEnd, RolloutRecord, VersionQuality, World,
};

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
    // The soak ends before the time limit.
    let mut short = world_with_rollout(VersionQuality::Bad, None);
    short.rollouts[0].due_at = NOW + ms(1);
    assert_eq!(broken_totals(&stories, &short), expected);
    assert_eq!(broken_totals(&allowed, &short), NONE);
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
