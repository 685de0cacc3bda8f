//! The readiness and metrics endpoints.

use crate::caller::ACCEPT_RETRY_DELAY;
use crate::caller_response::{CallerResponse, ResponseBody};
use crate::counters;
use crate::gateway_state::GatewayState;
use bytes::Bytes;
use http::{Response, StatusCode};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::PrometheusHandle;
use skylarkshed_core::ClockTime;
use std::convert::Infallible;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use tokio::net::TcpListener;

/// A VM whose configuration was last confirmed longer ago reports that it isn't
/// ready. The load balancer skips it after two checks a second apart. At the
/// revocation limit the VM would refuse requests; of a limit of 5 s, 60 % are left for
/// the two checks.
const MAX_READY_CONFIG_AGE: ClockTime = ClockTime::from_millis(2_000);

/// How long the samples of histograms are kept one by one. Each takes 16 bytes until it is
/// merged into its histogram, which rendering the metrics does as well.
const SAMPLE_RETENTION: ClockTime = ClockTime::from_millis(5_000);

/// Reports whether the VM is ready for new connections.
pub(crate) fn is_ready(state: &GatewayState) -> bool {
    state.leaving_for().is_none()
        && state.config.table().is_some()
        && !state.upstreams.is_empty()
        && state.config.age() < MAX_READY_CONFIG_AGE
}

/// Serves the readiness checks.
pub(crate) async fn serve_readiness(
    listener: TcpListener,
    path: &'static str,
    state: Arc<GatewayState>,
) {
    serve_endpoint(listener, move |requested| {
        match (requested == path, is_ready(&state)) {
            (true, true) => make_response(StatusCode::OK, String::new()),
            (true, false) => make_response(StatusCode::SERVICE_UNAVAILABLE, String::new()),
            (false, _) => make_response(StatusCode::NOT_FOUND, String::new()),
        }
    })
    .await;
}

/// Merges the samples of histograms, also while nobody fetches the metrics.
pub(crate) async fn merge_samples(metrics: PrometheusHandle) {
    loop {
        tokio::time::sleep(SAMPLE_RETENTION.to_duration()).await;
        metrics.run_upkeep();
    }
}

/// Serves the metrics, on any path.
pub(crate) async fn serve_metrics(
    listener: TcpListener,
    metrics: PrometheusHandle,
    state: Arc<GatewayState>,
) {
    serve_endpoint(listener, move |_| {
        let (present, leaving) = state.upstreams.count();
        counters::set_upstreams(present, leaving);
        counters::set_config_age(state.config.age());
        counters::set_connections(state.connections.load(Ordering::Relaxed));
        make_response(StatusCode::OK, metrics.render())
    })
    .await;
}

fn make_response(status: StatusCode, text: String) -> CallerResponse {
    let mut response = Response::new(ResponseBody::complete(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

async fn serve_endpoint<F>(listener: TcpListener, respond: F)
where
    F: Fn(&str) -> CallerResponse + Clone + Send + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("can't accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY.to_duration()).await;
                continue;
            }
        };
        let respond = respond.clone();
        let service = service_fn(move |request: http::Request<hyper::body::Incoming>| {
            let response = respond(request.uri().path());
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            // The client sees the connection fail.
            let _ = connection.await;
        });
    }
}
