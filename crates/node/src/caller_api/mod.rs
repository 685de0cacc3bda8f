//! The HTTP service for callers.

mod auth;
mod calls;
mod generations;
mod health;
mod keys;
mod request;

use crate::refusal::{Refusal, RefusalReason};
use crate::state::NodeShared;
use metrics_exporter_prometheus::PrometheusHandle;
use skylarkshed_core::UnsentCall;
use std::future::Future;
use std::sync::Arc;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::param::PathParamsVec;
use volo_http::server::route::{get, post, MethodRouter, Router};

/// Builds the routes.
pub(crate) fn make_router(shared: &Arc<NodeShared>, metrics: PrometheusHandle) -> Router {
    let render = get(move || {
        let text = metrics.render();
        async move { text }
    });
    Router::new()
        .route(
            "/v1/services/{service}/generations",
            post_route(shared, generations::handle),
        )
        .route(
            "/v1/services/{service}/calls/{route}",
            post_route(shared, calls::handle),
        )
        .route(
            "/v1/services/{service}/keys",
            post_route(shared, keys::handle),
        )
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", health::readiness(shared))
        .route("/metrics", render)
        .fallback(|| async {
            let unsent = UnsentCall::for_new_request();
            Refusal::not_run(unsent, RefusalReason::UnknownPath).into_response()
        })
}

/// The values of a path's parameters, in their order.
pub(crate) type PathValues = Vec<String>;

fn post_route<F>(
    shared: &Arc<NodeShared>,
    handler: fn(Arc<NodeShared>, PathValues, Request) -> F,
) -> MethodRouter
where
    F: Future<Output = Response> + Send + 'static,
{
    let shared = shared.clone();
    post(move |params: PathParamsVec, request: Request| {
        let values = params
            .into_iter()
            .map(|(_, value)| value.to_string())
            .collect();
        handler(shared.clone(), values, request)
    })
}
