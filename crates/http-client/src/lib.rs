//! What all HTTP clients of the system have in common.
//!
//! [`make_client`] builds one with a bound on connecting, and [`is_unsent`]
//! tells which errors prove that nothing of a request left.

use skylarkshed_core::ClockTime;
use std::error::Error;
use std::io;
use volo_http::client::{Client, ClientBuilder};
use volo_http::error::client::{ClientError, ErrorKind};

/// The longest time in which a connection may be made.
const CONNECT_TIMEOUT: ClockTime = ClockTime::from_millis(1_000);

/// Builds a client.
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
    builder.build().unwrap_or_default()
}

/// Tells whether an error proves that nothing of the request was sent.
///
/// The library reports a connection that could not be made as an error of the
/// request whose direct source is the system's error; an error on an open
/// connection has the HTTP library's error as its source instead.
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
