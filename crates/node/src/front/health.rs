//! Readiness, for the platform's balancer.

use crate::shared::NodeShared;
use http::StatusCode;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use volo_http::server::route::{get, MethodRouter};

/// Answers whether this VM is to get new work.
pub(crate) fn readiness(shared: &Arc<NodeShared>) -> MethodRouter {
    let shared = shared.clone();
    get(move || {
        let shared = shared.clone();
        async move { state(&shared) }
    })
}

fn state(shared: &NodeShared) -> (StatusCode, &'static str) {
    if shared.draining.load(Ordering::Relaxed) {
        (StatusCode::SERVICE_UNAVAILABLE, "draining\n")
    } else if shared.ready.load(Ordering::Relaxed) {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}
