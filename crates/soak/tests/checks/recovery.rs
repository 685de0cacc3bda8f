//! Rules of the time after a loss of power.

use crate::fixtures::{broken_totals, ms, refusal, respond, story, world, NONE, NOW, SENT_AT};
use skylarkshed_core::ClockTime;
use skylarkshed_soak::{Outcome, Part, PowerLoss, RequestStory, World};

const EXPECTED: [&str; 1] = ["recovery after a loss of power"];

/// Returns a world in which all VMs lost power long before the requests were sent.
fn world_after_power_loss() -> World {
    let mut world = world();
    world.power_losses.push(PowerLoss {
        at: SENT_AT.since(ms(13_000)),
        back_at: SENT_AT.since(ms(12_000)),
    });
    world
}

/// Returns a request that was refused.
fn refused(status: u16) -> RequestStory {
    let mut refused = story();
    refused.runs.clear();
    respond(&mut refused, refusal(status));
    refused
}

#[test]
fn requests_that_are_not_served_after_a_loss_of_power_are_found() {
    let refused = refused(503);
    let mut stories = vec![refused.clone(); 4];
    stories.push(story());
    assert_eq!(broken_totals(&stories, &world_after_power_loss()), EXPECTED);
    assert_eq!(broken_totals(&stories, &world()), NONE);
    assert_eq!(
        broken_totals(&stories[1..], &world_after_power_loss()),
        NONE
    );
    // It makes no difference that the VM is not in touch.
    let mut disturbed = world_after_power_loss();
    let timeline = &mut disturbed.timeline;
    timeline.begin(Part::Vm(0), "link", SENT_AT, false);
    assert_eq!(broken_totals(&stories, &disturbed), EXPECTED);
    assert_eq!(broken_totals(&stories[1..], &disturbed), NONE);
}

#[test]
fn requests_within_the_time_to_recover_dont_count() {
    let mut early = refused(503);
    early.request.sent_at = SENT_AT.since(ms(1));
    let mut stories = vec![early; 5];
    stories.push(story());
    assert_eq!(broken_totals(&stories, &world_after_power_loss()), NONE);
}

#[test]
fn connections_that_fail_after_a_loss_of_power_are_found() {
    let mut world = world_after_power_loss();
    for _ in 0..3 {
        world.failed_tries.record(SENT_AT);
        world.failed_tries.record(SENT_AT.since(ms(1)));
    }
    assert_eq!(broken_totals(&[story()], &world), NONE);
    world.failed_tries.record(SENT_AT + ms(1_000));
    assert_eq!(broken_totals(&[story()], &world), EXPECTED);
    world.power_losses.clear();
    assert_eq!(broken_totals(&[story()], &world), NONE);
}

#[test]
fn loss_of_power_without_a_request_after_it_is_found() {
    let mut world = world_after_power_loss();
    assert_eq!(broken_totals(&[], &world), EXPECTED);
    world.load_until = Some(SENT_AT + ms(1_501));
    assert_eq!(broken_totals(&[], &world), EXPECTED);
    // The callers stop too early to show anything.
    world.load_until = Some(SENT_AT + ms(1_500));
    assert_eq!(broken_totals(&[], &world), NONE);
}

#[test]
fn process_that_is_not_started_after_a_loss_of_power_is_found() {
    let mut world = world();
    let at = NOW.since(ms(12_001));
    let back_at = ClockTime::NEVER;
    world.power_losses.push(PowerLoss { at, back_at });
    assert_eq!(broken_totals(&[], &world), EXPECTED);
    assert_eq!(broken_totals(&[story()], &world), EXPECTED);
    world.power_losses[0].at = NOW.since(ms(12_000));
    assert_eq!(broken_totals(&[], &world), NONE);
}

#[test]
fn refusals_of_allowed_requests_after_a_loss_of_power_are_found() {
    for status in [401, 404] {
        let mut stories = vec![refused(status); 4];
        stories.push(story());
        let world = world_after_power_loss();
        assert_eq!(broken_totals(&stories, &world), EXPECTED);
        for story in &mut stories[..4] {
            story.request.key = Some("unknown".to_owned());
        }
        assert_eq!(broken_totals(&stories, &world), NONE);
    }
}

#[test]
fn callers_that_left_after_a_loss_of_power_dont_count() {
    let mut left = story();
    left.runs.clear();
    left.outcome = Some((SENT_AT + ms(60), Outcome::Left));
    let mut stories = vec![left; 4];
    stories.push(story());
    assert_eq!(broken_totals(&stories, &world_after_power_loss()), NONE);
}
