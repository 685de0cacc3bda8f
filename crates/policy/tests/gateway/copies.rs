//! Copies of running answers while engines come and go.

use rstest::rstest;
use skylarkshed_core::ClockTime;
use skylarkshed_policy::{decide_copy, CopyDecision, CopyKind, CopyState};

const ONCE: Option<CopyKind> = Some(CopyKind::Snapshot {
    copied_at: ClockTime::from_millis(1_000),
});

#[rstest]
#[case::grows(Some(CopyKind::Continuous), true, 9_000, CopyDecision::Keep)]
#[case::holder_lost(Some(CopyKind::Continuous), false, 1_000, CopyDecision::Replace)]
#[case::none(None, false, 1_000, CopyDecision::Replace)]
#[case::fresh(ONCE, true, 3_300, CopyDecision::Keep)]
#[case::old(ONCE, true, 3_400, CopyDecision::Renew)]
#[case::old_holder_lost(ONCE, false, 3_400, CopyDecision::Replace)]
fn a_copy_is_there_for_the_next_loss(
    #[case] kind: Option<CopyKind>,
    #[case] is_holder_available: bool,
    #[case] now_ms: u64,
    #[case] step: CopyDecision,
) {
    let state = CopyState {
        kind,
        is_holder_available,
        retention: ClockTime::from_millis(4_000),
    };
    assert_eq!(decide_copy(&state, ClockTime::from_millis(now_ms)), step);
}
