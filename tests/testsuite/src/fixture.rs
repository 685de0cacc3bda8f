//! Helpers that many tests of the serving process share.

use skylarkshed_bench::{Fleet, GenerationResult, GenerationSpec};
use skylarkshed_stand_ins::check_answer;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;

/// A test fails if its generation does not reach the awaited token within this time.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(30);

/// The service and route of bookings, which are not idempotent.
pub const BOOKING_PATH: &str = "stores-app/calls/book";

/// Returns a generation request whose prompt contains `name`.
pub fn generation_spec(name: &str, max_tokens: u32) -> GenerationSpec {
    GenerationSpec {
        service: Fleet::MODEL_SERVICE.to_owned(),
        key: Fleet::CUSTOMER_KEY.to_owned(),
        prompt: format!("write the reconciliation of {name}"),
        max_tokens,
    }
}

/// Asserts that a generation was delivered completely and by this version.
///
/// # Panics
///
/// Panics with the first mismatch.
pub fn assert_complete_answer(version: &str, spec: &GenerationSpec, result: &GenerationResult) {
    let expected_tokens = spec.max_tokens as usize;
    let checked = check_answer(version, &spec.prompt, &result.tokens, expected_tokens);
    assert_eq!(
        checked,
        Ok(()),
        "problem {:?}, transport error {:?}",
        result.problem,
        result.transport_error
    );
    assert!(result.is_in_order, "an index is duplicated or missing");
    assert_eq!(
        result.total_tokens,
        Some(spec.max_tokens),
        "the last message states the number of tokens"
    );
}

/// Waits until this many tokens have arrived; returns whether they did in time.
pub(crate) async fn wait_for_tokens(progress: &mut UnboundedReceiver<usize>, count: usize) -> bool {
    let reached = async {
        while let Some(arrived) = progress.recv().await {
            if arrived >= count {
                return true;
            }
        }
        false
    };
    tokio::time::timeout(PROGRESS_TIMEOUT, reached)
        .await
        .unwrap_or(false)
}
