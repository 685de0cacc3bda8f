//! Requests with a part that ends upstreams.

use crate::fixtures::{broken_totals, ms, run, stream, world, FIRST, SENT_AT};
use rstest::rstest;
use skylarkshed_core::ClockTime;
use skylarkshed_soak::{Part, RequestStory, UpstreamRun};

const RULE: &str = "requests that end upstreams";

/// Returns a request whose part ended an upstream at a time.
fn crashing(at: ClockTime) -> RequestStory {
    let mut story = stream(FIRST, false);
    story.request.crashing_part = Some("bad1".to_owned());
    story.runs = vec![UpstreamRun {
        at: at.since(ms(50)),
        ended_at: at,
        ends_upstream: true,
        is_broken_off: true,
        ..run()
    }];
    story
}

/// Returns requests under which some upstreams ended, then others that were sent after a
/// while.
fn history(ends: usize, late: usize, later: ClockTime) -> Vec<RequestStory> {
    let first = (0..ends).map(|number| crashing(SENT_AT + ms(100 * number as u64)));
    let last = SENT_AT + ms(100 * ends as u64);
    let late = (0..late).map(|_| crashing(last + later));
    first.chain(late).collect()
}

#[rstest]
#[case::enough_probes(5, 3, ms(3_500), false)]
#[case::too_many(5, 4, ms(3_500), true)]
#[case::within_the_settle_window(5, 4, ms(2_500), false)]
#[case::fewer_ends_before(1, 3, ms(3_500), false)]
fn late_requests_are_found(
    #[case] ends: usize,
    #[case] late: usize,
    #[case] later: ClockTime,
    #[case] is_broken: bool,
) {
    let found = broken_totals(&history(ends, late, later), &world());
    assert_eq!(found.contains(&RULE), is_broken, "{found:?}");
}

#[test]
fn late_requests_of_a_disturbed_vm_are_excused() {
    let mut world = world();
    world.timeline.begin(Part::Vm(0), "link", SENT_AT, false);
    let found = broken_totals(&history(5, 4, ms(3_500)), &world);
    assert!(!found.contains(&RULE), "{found:?}");
}
