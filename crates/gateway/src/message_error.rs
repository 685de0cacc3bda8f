//! Why a message is not sent.

use http::HeaderName;
use thiserror::Error;

/// A message that would mean something else to its receiver, so that it is not sent.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum MessageError {
    /// A text is not a path with an optional query.
    #[error("{0:?} is not a valid path")]
    Path(String),
    /// A text can't be the value of a header.
    #[error("{text:?} is not a valid value of the header {name}")]
    Header {
        /// The header.
        name: HeaderName,
        /// The text.
        text: String,
    },
}
