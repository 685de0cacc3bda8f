//! Recovers what an earlier process of this VM has seen of a rollout.

use super::record::RolloutRecord;
use super::word::EarlierReport;
use skylarkshed_policy::bound_earlier_use;

/// Takes over the last report of an earlier process of this VM, which a hub has kept. This
/// process may use what that one can't have used of its part of the reserve.
pub(super) fn recover_report(record: &RolloutRecord, earlier: EarlierReport) {
    let now = record.clock.now();
    let mut progress = record.progress();
    // The other hub has sent it already.
    if !progress.may_recover {
        return;
    }
    progress.may_recover = false;
    let mut samples = earlier.samples;
    samples.drop_open();
    let elapsed = progress.elapsed(now);
    let used = bound_earlier_use(&samples, elapsed, record.times.report_ttl);
    progress.samples.merge(&samples);
    progress.has_reserve = earlier.has_reserve;
    progress.needs_reserve = earlier.has_reserve;
    progress.allowance.record_earlier_use(used);
    drop(progress);
    log::info!(
        service:% = record.spec.service,
        to:% = record.spec.to,
        order = record.spec.revision,
        elapsed_ms = elapsed.as_millis(),
        has_reserve = earlier.has_reserve,
        used;
        "report of an earlier process recovered"
    );
}
