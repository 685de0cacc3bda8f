//! KV cache copies of running streams while engines start and fail.

use rstest::rstest;
use skylarkshed_core::ClockTime;
use skylarkshed_policy::{decide_copy, CopyDecision, CopyKind, CopyState};

const SNAPSHOT: Option<CopyKind> = Some(CopyKind::Snapshot {
    copied_at: ClockTime::from_millis(1_000),
});

#[rstest]
#[case::grows(Some(CopyKind::Continuous), true, 9_000, CopyDecision::Keep)]
#[case::holder_lost(Some(CopyKind::Continuous), false, 1_000, CopyDecision::Replace)]
#[case::none(None, false, 1_000, CopyDecision::Replace)]
#[case::fresh(SNAPSHOT, true, 3_300, CopyDecision::Keep)]
#[case::old(SNAPSHOT, true, 3_400, CopyDecision::Renew)]
#[case::old_holder_lost(SNAPSHOT, false, 3_400, CopyDecision::Replace)]
fn a_copy_is_available_at_the_next_failure(
    #[case] kind: Option<CopyKind>,
    #[case] is_holder_available: bool,
    #[case] now_ms: u64,
    #[case] decision: CopyDecision,
) {
    let state = CopyState {
        kind,
        is_holder_available,
        retention: ClockTime::from_millis(4_000),
    };
    assert_eq!(
        decide_copy(&state, ClockTime::from_millis(now_ms)),
        decision
    );
}
