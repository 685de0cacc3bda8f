//! The counters and gauges of the process.

use metrics::{counter, gauge};

/// Counts a refusal by its reason.
pub(crate) fn count_refusal(reason: &'static str) {
    counter!("refusals_total", "reason" => reason).increment(1);
}

/// Counts an attempt or call beyond the first by its reason.
pub(crate) fn count_retry(reason: &'static str) {
    counter!("retries_total", "reason" => reason).increment(1);
}

/// Counts a notice about an upstream by its reason.
pub(crate) fn count_notice(reason: &'static str) {
    counter!("upstream_notices_total", "reason" => reason).increment(1);
}

/// Counts a finished request by its kind.
pub(crate) fn count_finished(kind: &'static str) {
    counter!("requests_finished_total", "kind" => kind).increment(1);
}

/// Counts tokens delivered to callers.
pub(crate) fn count_tokens(tokens: u64) {
    counter!("tokens_delivered_total").increment(tokens);
}

/// Counts bytes sent to other VMs by the kind of message.
pub(crate) fn count_peer_bytes(kind: &'static str, bytes: usize) {
    counter!("peer_bytes_total", "kind" => kind).increment(bytes as u64);
}

/// Counts a message between VMs that was dropped.
pub(crate) fn count_peer_drop(reason: &'static str) {
    counter!("peer_drops_total", "reason" => reason).increment(1);
}

/// Counts a request to the platform by its kind and outcome.
pub(crate) fn count_platform(kind: &'static str, outcome: &'static str) {
    counter!("platform_requests_total", "kind" => kind, "outcome" => outcome).increment(1);
}

/// Sets the active revision of the configuration.
pub(crate) fn set_revision(revision: u64) {
    gauge!("configuration_revision").set(revision as f64);
}

/// Sets the number of other VMs that are present.
pub(crate) fn set_present_members(members: usize) {
    gauge!("members_present").set(members as f64);
}
