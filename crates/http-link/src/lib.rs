//! One HTTP/1.1 connection to an upstream or the platform, held by hand.
//!
//! A pool hides what the promises of a request depend on: whether its first
//! byte left, that no other answer waits on the connection, and that closing it
//! stops the other side's work. [`HttpConnection`] is one connection without a pool;
//! dropping it closes the connection.

mod connection;
mod headers;
mod options;

pub use connection::{BufferedRequest, ConnectionError, HttpConnection};
pub use headers::strip_connection_headers;
pub use options::set_options;
