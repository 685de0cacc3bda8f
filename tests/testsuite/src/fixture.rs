//! What many tests start with.

use skylarkshed_bench::{Fleet, GenerationResult, GenerationSpec};
use skylarkshed_stand_ins::check_answer;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;

/// No answer of the tests stands still for so long.
const PROGRESS_WAIT: Duration = Duration::from_secs(30);

/// The path of the bookings.
pub const SERVICE_CALLS: &str = "stores-app/calls/book";

/// Makes a query with a prompt of its own.
pub fn query(name: &str, max_tokens: u32) -> GenerationSpec {
    GenerationSpec {
        service: Fleet::MODEL_SERVICE.to_owned(),
        key: Fleet::CUSTOMER_KEY.to_owned(),
        prompt: format!("write the reconciliation of {name}"),
        max_tokens,
    }
}

/// Checks that an answer is the whole one of a version.
///
/// # Panics
///
/// Panics with the first fault.
pub fn assert_complete_answer(version: &str, query: &GenerationSpec, trace: &GenerationResult) {
    let wanted = query.max_tokens as usize;
    let checked = check_answer(version, &query.prompt, &trace.tokens, wanted);
    assert_eq!(
        checked,
        Ok(()),
        "problem {:?}, broken {:?}",
        trace.problem,
        trace.transport_error
    );
    assert!(trace.is_in_order, "an index was repeated or missing");
    assert_eq!(
        trace.total_tokens,
        Some(query.max_tokens),
        "the end names the number of tokens"
    );
}

/// Waits until this many tokens have come; tells whether they did in time.
pub(crate) async fn wait_for_tokens(progress: &mut UnboundedReceiver<usize>, count: usize) -> bool {
    let reached = async {
        while let Some(seen) = progress.recv().await {
            if seen >= count {
                return true;
            }
        }
        false
    };
    tokio::time::timeout(PROGRESS_WAIT, reached)
        .await
        .unwrap_or(false)
}
