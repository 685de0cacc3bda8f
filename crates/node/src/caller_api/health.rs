//! The readiness check, for the platform's load balancer.

use crate::state::NodeShared;
use http::StatusCode;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use volo_http::server::route::{get, MethodRouter};

/// Builds the route that reports whether this VM takes new requests.
pub(crate) fn readiness(shared: &Arc<NodeShared>) -> MethodRouter {
    let shared = shared.clone();
    get(move || {
        let shared = shared.clone();
        async move { readiness_status(&shared) }
    })
}

fn readiness_status(shared: &NodeShared) -> (StatusCode, &'static str) {
    if shared.is_draining.load(Ordering::Relaxed) {
        (StatusCode::SERVICE_UNAVAILABLE, "draining\n")
    } else if shared.is_ready.load(Ordering::Relaxed) {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}
