//! Copies of running answers while engines come and go.

use rstest::rstest;
use skylarkshed_core::ClockTime;
use skylarkshed_policy::{plan_copy, CopyKind, CopyState, CopyStep};

const ONCE: Option<CopyKind> = Some(CopyKind::Once {
    made: ClockTime::from_millis(1_000),
});

#[rstest]
#[case::grows(Some(CopyKind::Continuous), true, 9_000, CopyStep::Keep)]
#[case::holder_lost(Some(CopyKind::Continuous), false, 1_000, CopyStep::Replace)]
#[case::none(None, false, 1_000, CopyStep::Replace)]
#[case::fresh(ONCE, true, 3_300, CopyStep::Keep)]
#[case::old(ONCE, true, 3_400, CopyStep::Renew)]
#[case::old_holder_lost(ONCE, false, 3_400, CopyStep::Replace)]
fn a_copy_is_there_for_the_next_loss(
    #[case] kind: Option<CopyKind>,
    #[case] is_holder_present: bool,
    #[case] now_ms: u64,
    #[case] step: CopyStep,
) {
    let state = CopyState {
        kind,
        is_holder_present,
        kept_for: ClockTime::from_millis(4_000),
    };
    assert_eq!(plan_copy(&state, ClockTime::from_millis(now_ms)), step);
}
