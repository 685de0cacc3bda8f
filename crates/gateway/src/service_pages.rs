//! The readiness and metrics pages.

use crate::answer::{AnswerBody, CallerAnswer};
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

/// Beyond this age of the configuration's proof a VM asks to be skipped: after
/// two checks a second apart and 60 % of a 5 s revocation bound its requests
/// would be refused.
const READY_AGE: ClockTime = ClockTime::from_millis(2_000);

/// Tells whether the VM is to get new connections.
pub(crate) fn is_ready(state: &GatewayState) -> bool {
    state.leaving_for().is_none()
        && state.control.table().is_some()
        && !state.upstreams.is_empty()
        && state.control.age() < READY_AGE
}

/// Answers readiness checks.
pub(crate) async fn serve_readiness(
    listener: TcpListener,
    path: &'static str,
    state: Arc<GatewayState>,
) {
    serve_page(listener, move |asked| {
        match (asked == path, is_ready(&state)) {
            (true, true) => page(StatusCode::OK, String::new()),
            (true, false) => page(StatusCode::SERVICE_UNAVAILABLE, String::new()),
            (false, _) => page(StatusCode::NOT_FOUND, String::new()),
        }
    })
    .await;
}

/// Answers requests for the metrics, on any path.
pub(crate) async fn serve_metrics(
    listener: TcpListener,
    metrics: PrometheusHandle,
    state: Arc<GatewayState>,
) {
    serve_page(listener, move |_| {
        let (present, leaving) = state.upstreams.count();
        counters::set_upstreams(present, leaving);
        counters::set_config_age(state.control.age());
        counters::set_connections(state.connections.load(Ordering::Relaxed));
        page(StatusCode::OK, metrics.render())
    })
    .await;
}

fn page(status: StatusCode, text: String) -> CallerAnswer {
    let mut answer = Response::new(AnswerBody::whole(Bytes::from(text)));
    *answer.status_mut() = status;
    answer
}

async fn serve_page<F>(listener: TcpListener, respond: F)
where
    F: Fn(&str) -> CallerAnswer + Clone + Send + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("a page's connection was not accepted: {error}");
                tokio::task::yield_now().await;
                continue;
            }
        };
        let respond = respond.clone();
        let service = service_fn(move |request: http::Request<hyper::body::Incoming>| {
            let answer = respond(request.uri().path());
            async move { Ok::<_, Infallible>(answer) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            // Whoever asked sees that the connection broke.
            let _ = connection.await;
        });
    }
}
