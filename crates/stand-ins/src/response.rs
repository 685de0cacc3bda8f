//! Helpers shared by the fakes' HTTP services.

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

/// Returns a response with a JSON body.
pub(crate) fn json<T: Serialize>(value: &T) -> Response {
    let text = serde_json::to_string(value).expect("messages are plain data");
    let mut response = Response::new(Body::from(text));
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Returns a response with a status and no body.
pub(crate) fn status(status: StatusCode) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// Parses a JSON body; an empty body counts as `null`.
pub(crate) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, StatusCode> {
    let body: &[u8] = if body.is_empty() { b"null" } else { body };
    serde_json::from_slice(body).map_err(|_| StatusCode::BAD_REQUEST)
}

/// Listens, prints the address and serves until the process exits.
pub(crate) async fn serve(address: SocketAddr, router: Router) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    print_addresses(&[("address", listener.local_addr()?)]);
    let served = Server::new(router)
        .run(DefaultIncoming::from(listener))
        .await;
    served.map_err(std::io::Error::other)
}

/// Prints addresses to standard output as one JSON line.
pub(crate) fn print_addresses(addresses: &[(&str, SocketAddr)]) {
    let map: std::collections::BTreeMap<_, _> = addresses.iter().copied().collect();
    let line = serde_json::to_string(&map).expect("addresses are plain data");
    let mut out = std::io::stdout().lock();
    // The parent process may have exited; the fake continues to serve.
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}
