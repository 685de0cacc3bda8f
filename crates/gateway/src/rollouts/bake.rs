//! Judges a version after its rollout is done, while the old one still has upstreams.

use super::progress::WithdrawalScope;
use super::record::RolloutRecord;
use super::summary::summarize_routes;
use skylarkshed_policy::{compare_baking, should_withdraw, RolloutSamples};

/// Withdraws the version if its samples prove a fault and some VM knows an upstream of
/// another version. The stored state remains: the platform stops the upstreams of the old
/// version at `done`, and would stop those of the new one as well if it were told to roll
/// back.
pub(super) fn review_baking(
    record: &RolloutRecord,
    samples: &RolloutSamples,
    has_alternative: bool,
    scope: WithdrawalScope,
) {
    if record.progress().withdrawal >= Some(scope) {
        return;
    }
    let findings = compare_baking(samples);
    if !should_withdraw(&findings, has_alternative) {
        if scope == WithdrawalScope::Fleet {
            record.end_own_withdrawal();
        }
        return;
    }
    log::info!(
        service:% = record.spec.service,
        to:% = record.spec.to,
        order = record.spec.revision,
        scope:?,
        verdict:? = findings.suspicion,
        strength = findings.strength,
        old_requests = findings.old_total,
        new_requests = findings.new_total,
        new_failed = findings.new_failed,
        routes = summarize_routes(samples),
        elapsed_ms = record.elapsed().as_millis();
        "fault found after a rollout"
    );
    record.record_withdrawal(scope);
}
