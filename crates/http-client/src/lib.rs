//! Helpers that all HTTP clients of the workspace share.
//!
//! [`make_client`] builds a client with a connect timeout, and [`is_unsent`]
//! reports which errors prove that nothing of a request was sent.

use skylarkshed_core::ClockTime;
use std::error::Error;
use std::io;
use volo_http::client::{Client, ClientBuilder};
use volo_http::error::client::{ClientError, ErrorKind};

/// The maximum time to establish a connection.
const CONNECT_TIMEOUT: ClockTime = ClockTime::from_millis(1_000);

/// Builds an HTTP client with a connect timeout.
///
/// # Examples
///
/// ```
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let _client = skylarkshed_http_client::make_client();
/// # });
/// ```
pub fn make_client() -> Client {
    let mut builder = ClientBuilder::new();
    builder.set_connect_timeout(CONNECT_TIMEOUT.to_duration());
    builder
        .build()
        .expect("a client without TLS needs nothing that can be missing")
}

/// Reports whether an error proves that nothing of the request was sent.
///
/// `volo-http` reports a failed connection attempt as a request error whose direct
/// source is an I/O error. An error on an open connection has an error of the HTTP
/// library as its source instead.
///
/// # Examples
///
/// ```
/// use skylarkshed_http_client::{is_unsent, make_client};
///
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// // Nothing listens on this port.
/// let error = make_client().get("http://127.0.0.1:1/").send().await.unwrap_err();
/// assert!(is_unsent(&error));
/// # });
/// ```
pub fn is_unsent(error: &ClientError) -> bool {
    match error.kind() {
        ErrorKind::Builder | ErrorKind::Connect => true,
        ErrorKind::Request => is_connect_error(error),
        _ => false,
    }
}

fn is_connect_error(error: &ClientError) -> bool {
    let source = error
        .source()
        .and_then(|source| source.downcast_ref::<io::Error>());
    source.is_some_and(|source| {
        matches!(
            source.kind(),
            io::ErrorKind::ConnectionRefused
                | io::ErrorKind::HostUnreachable
                | io::ErrorKind::NetworkUnreachable
                | io::ErrorKind::AddrNotAvailable
                | io::ErrorKind::TimedOut
        )
    })
}
