//! The callers' HTTP service.

mod calls;
mod generations;
mod health;
mod keys;
mod request;

use crate::refusal::{Refusal, RefusalReason};
use crate::shared::NodeShared;
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
            handled(shared, generations::answer),
        )
        .route(
            "/v1/services/{service}/calls/{route}",
            handled(shared, calls::answer),
        )
        .route("/v1/services/{service}/keys", handled(shared, keys::answer))
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", health::readiness(shared))
        .route("/metrics", render)
        .fallback(|| async {
            let unsent = UnsentCall::for_new_request();
            Refusal::not_run(unsent, RefusalReason::UnknownPath).into_response()
        })
}

/// The values of a path, in the order of its parameters.
pub(crate) type PathValues = Vec<String>;

fn handled<F>(
    shared: &Arc<NodeShared>,
    answer: fn(Arc<NodeShared>, PathValues, Request) -> F,
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
        answer(shared.clone(), values, request)
    })
}
