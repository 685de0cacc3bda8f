//! Updates all counters, gauges and histograms of the gateway.

use metrics::{counter, gauge, histogram};
use skylarkshed_core::ClockTime;

/// Counts a refusal or failure by its reason.
pub(crate) fn count_refusal(reason: &'static str) {
    counter!("gateway_refusals_total", "reason" => reason).increment(1);
}

/// Counts a retry by its reason.
pub(crate) fn count_retry(reason: &'static str) {
    counter!("gateway_retries_total", "reason" => reason).increment(1);
}

/// Counts retries that were lent, borrowed, or borrowed and not made in time.
pub(crate) fn count_retry_loans(side: &'static str, retries: u32) {
    if retries > 0 {
        counter!("gateway_retry_loans_total", "side" => side).increment(retries.into());
    }
}

/// Counts a stream that waits for a retry.
pub(crate) fn count_retry_wait() {
    counter!("gateway_retry_waits_total").increment(1);
}

/// Records how long a stream waited for a retry until it got one.
pub(crate) fn record_retry_wait(waited: ClockTime) {
    histogram!("gateway_retry_wait_ms").record(waited.as_millis() as f64);
}

/// Counts a request that is sent to a version under test, by its permission.
pub(crate) fn count_canary(permission: &'static str) {
    counter!("gateway_rollout_sends_total", "permission" => permission).increment(1);
}

/// Counts a discarded response of an upstream by its reason.
pub(crate) fn count_bad_response(reason: &'static str) {
    counter!("gateway_bad_answers_total", "reason" => reason).increment(1);
}

/// Counts a response without a length by the state of its upstream's process at its end.
pub(crate) fn count_close(process: &'static str) {
    counter!("gateway_closed_responses_total", "process" => process).increment(1);
}

/// Counts a finished request by its kind and outcome, and records its duration.
pub(crate) fn count_request(kind: &'static str, outcome: &'static str, duration: ClockTime) {
    counter!("gateway_requests_total", "kind" => kind, "outcome" => outcome).increment(1);
    histogram!("gateway_request_ms", "kind" => kind).record(duration.as_millis() as f64);
}

/// Counts a caller's connection that ended while it was not idle, or with an error.
pub(crate) fn count_cut_connection(end: &'static str, phase: &'static str) {
    counter!("gateway_cut_connections_total", "end" => end, "phase" => phase).increment(1);
}

/// Counts a request whose connection ended before it had a response.
pub(crate) fn count_unanswered_request() {
    counter!("gateway_unanswered_requests_total").increment(1);
}

/// Counts a call to the store by its source and outcome.
pub(crate) fn count_store_call(source: &'static str, outcome: &'static str) {
    counter!("gateway_store_calls_total", "source" => source, "outcome" => outcome).increment(1);
}

/// Counts a feed request to another VM by its source and outcome.
pub(crate) fn count_peer_call(source: &'static str, outcome: &'static str) {
    counter!("gateway_peer_calls_total", "source" => source, "outcome" => outcome).increment(1);
}

/// Counts a row of the store that could not be parsed.
pub(crate) fn count_unreadable_row() {
    counter!("gateway_unreadable_rows_total").increment(1);
}

/// Counts an upstream's entry that is not used yet because it may be old.
pub(crate) fn count_doubted_entry(doubt: &'static str) {
    counter!("gateway_entries_doubted_total", "doubt" => doubt).increment(1);
}

/// Counts a request that was not sent because it can't be written.
pub(crate) fn count_unwritable_request() {
    counter!("gateway_unwritable_requests_total").increment(1);
}

/// Counts an upstream's entry that is missing right after an outage of the store and
/// is kept for the grace period.
pub(crate) fn count_missing_entry() {
    counter!("gateway_entries_lapsed_total").increment(1);
}

/// Counts a dropped log line.
pub(crate) fn count_dropped_line() {
    counter!("gateway_log_lines_dropped_total").increment(1);
}

/// Counts a question about the load of an engine by how it was answered.
pub(crate) fn count_ledger_request(result: &'static str) {
    counter!("gateway_engine_ledger_requests_total", "result" => result).increment(1);
}

/// Counts a prompt that was placed at another engine, because other VMs had placed prompts
/// at the first one meanwhile.
pub(crate) fn count_revised_placement() {
    counter!("gateway_placements_revised_total").increment(1);
}

/// Sets the version of the active configuration.
pub(crate) fn set_config_version(version: u64) {
    gauge!("gateway_config_version").set(version as f64);
}

/// Sets the time since the configuration was last confirmed as current.
pub(crate) fn set_config_age(age: ClockTime) {
    gauge!("gateway_config_age_ms").set(age.as_millis() as f64);
}

/// Counts a late first event that is waited for, because the engine reported progress.
pub(crate) fn count_extended_prefill() {
    counter!("gateway_prefill_timeouts_extended_total").increment(1);
}

/// Counts a silent upstream that is waited for, because no other one can take over.
pub(crate) fn count_extended_silence() {
    counter!("gateway_silences_extended_total").increment(1);
}

/// Sets the number of listed upstreams, and of the draining ones among them.
pub(crate) fn set_upstreams(present: usize, leaving: usize) {
    gauge!("gateway_upstreams", "state" => "present").set(present as f64);
    gauge!("gateway_upstreams", "state" => "leaving").set(leaving as f64);
}

/// Sets the number of callers' connections.
pub(crate) fn set_connections(connections: usize) {
    gauge!("gateway_connections").set(connections as f64);
}

/// Counts an event of the quarantine of prompt parts.
pub(crate) fn count_quarantine(event: &'static str) {
    counter!("gateway_quarantine_events_total", "event" => event).increment(1);
}

/// Sets the number of blocks of prompt parts in force.
pub(crate) fn set_blocked_parts(blocks: usize) {
    gauge!("gateway_blocked_parts").set(blocks as f64);
}
