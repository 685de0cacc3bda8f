//! Helpers of the fakes' HTTP services.

use http::{header, StatusCode};
use serde::{de::DeserializeOwned, Serialize};
use std::io::Write;
use std::net::SocketAddr;
use tokio::net::TcpListener;
use volo::net::incoming::DefaultIncoming;
use volo_http::body::Body;
use volo_http::response::Response;
use volo_http::server::route::Router;
use volo_http::server::Server;

/// Answers with JSON.
pub(crate) fn json<T: Serialize>(value: &T) -> Response {
    let text = serde_json::to_string(value).expect("messages are plain data");
    let mut response = Response::new(Body::from(text));
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Answers with a status and no body.
pub(crate) fn status(status: StatusCode) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// Reads a JSON body; an empty body counts as `null`.
pub(crate) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, StatusCode> {
    let body: &[u8] = if body.is_empty() { b"null" } else { body };
    serde_json::from_slice(body).map_err(|_| StatusCode::BAD_REQUEST)
}

/// Listens, tells the address on standard output and serves for ever.
pub(crate) async fn serve(address: SocketAddr, router: Router) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    announce(&[("address", listener.local_addr()?)]);
    let served = Server::new(router)
        .run(DefaultIncoming::from(listener))
        .await;
    served.map_err(std::io::Error::other)
}

/// Tells addresses on standard output as one JSON line.
pub(crate) fn announce(addresses: &[(&str, SocketAddr)]) {
    let map: std::collections::BTreeMap<_, _> = addresses.iter().copied().collect();
    let line = serde_json::to_string(&map).expect("addresses are plain data");
    let mut out = std::io::stdout().lock();
    // Whoever started the process may have gone; the fake serves on.
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}
