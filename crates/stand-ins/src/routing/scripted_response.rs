//! What an upstream does with a request.

use std::time::Duration;

/// How a stream of events ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamEnd {
    /// It is whole.
    Complete,
    /// The connection is reset.
    Reset,
    /// The connection is reset in the middle of an event.
    ResetMidEvent,
    /// Nothing more comes.
    Stall,
}

/// A stream of events.
#[derive(Clone, Copy, Debug)]
pub struct StreamScript {
    /// The last event that is sent.
    pub last_id: u64,
    /// The pause between events.
    pub interval: Duration,
    /// How it ends after the last event.
    pub end: StreamEnd,
}

/// What an upstream does with its next request.
#[derive(Clone, Debug)]
pub enum ScriptedResponse {
    /// Answers with a status, after a pause.
    Status {
        /// The status.
        status: u16,
        /// The pause.
        delay: Duration,
    },
    /// Answers without a signature.
    Unsigned,
    /// Answers with the identifier of another request.
    WrongAttemptId,
    /// Says that it did not run the request.
    NotExecuted,
    /// Says that another upstream has its address.
    Misdirected,
    /// Resets the connection after it read the request.
    Reset,
    /// Closes the connection in the middle of the answer's body.
    Truncated,
    /// Answers without a length and ends with the connection.
    NoContentLength,
    /// Answers twice.
    Duplicated,
    /// Answers before it has read the body, and keeps what came of it.
    BeforeBody,
    /// Sends bytes that are no response.
    Unparsable,
    /// Never answers.
    Silent,
    /// Answers with a stream of events, after the last one that the request names.
    Stream(StreamScript),
}

impl ScriptedResponse {
    /// Returns an answer with a success, at once.
    pub const fn success() -> Self {
        ScriptedResponse::Status {
            status: 200,
            delay: Duration::ZERO,
        }
    }

    /// Returns an answer with a failure of the upstream's own.
    pub const fn failure() -> Self {
        ScriptedResponse::Status {
            status: 500,
            delay: Duration::ZERO,
        }
    }

    /// Returns a stream of a few quick events that ends in some way.
    pub const fn stream(last: u64, end: StreamEnd) -> Self {
        ScriptedResponse::Stream(StreamScript {
            last_id: last,
            interval: Duration::from_millis(5),
            end,
        })
    }
}
