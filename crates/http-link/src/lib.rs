//! A single HTTP/1.1 connection to an upstream or the platform.
//!
//! [`HttpConnection`] does without a connection pool, because a pool hides what the
//! gateway has to know: whether the first byte of a request was sent, that no other
//! response is pending on the connection, and that closing it stops the receiver's
//! work. Dropping it closes the connection. [`read_body`] reads a whole body within limits.

mod body;
mod body_budget;
mod connection;
mod head_limit;
mod headers;
mod options;

pub use body::{read_body, read_body_within, BodyError, BodyLimits};
pub use body_budget::BodyBudget;
pub use connection::{BufferedRequest, ConnectionError, HttpConnection};
pub use headers::{is_close_delimited, strip_connection_headers};
pub use options::set_options;
