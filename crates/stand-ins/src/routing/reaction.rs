//! What an upstream does with a request.

use std::time::Duration;

/// How a stream of events ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamEnd {
    /// It is whole.
    Whole,
    /// The connection is reset.
    Reset,
    /// The connection is reset in the middle of an event.
    MidEvent,
    /// Nothing more comes.
    Silence,
}

/// A stream of events.
#[derive(Clone, Copy, Debug)]
pub struct StreamScript {
    /// The last event that is sent.
    pub last: u64,
    /// The pause between events.
    pub pause: Duration,
    /// How it ends after the last event.
    pub end: StreamEnd,
}

/// What an upstream does with its next request.
#[derive(Clone, Debug)]
pub enum Reaction {
    /// Answers with a status, after a pause.
    Answer {
        /// The status.
        status: u16,
        /// The pause.
        after: Duration,
    },
    /// Answers without a signature.
    Unsigned,
    /// Answers with the identifier of another request.
    Crossed,
    /// Says that it did not run the request.
    NotRun,
    /// Says that another upstream has its address.
    Misdirected,
    /// Resets the connection after it read the request.
    Reset,
    /// Closes the connection in the middle of the answer's body.
    Truncated,
    /// Answers without a length and ends with the connection.
    Unframed,
    /// Answers twice.
    Twice,
    /// Answers before it has read the body, and keeps what came of it.
    Early,
    /// Sends bytes that are no response.
    Garbage,
    /// Never answers.
    Silent,
    /// Answers with a stream of events, after the last one that the request names.
    Stream(StreamScript),
}

impl Reaction {
    /// Returns an answer with a success, at once.
    pub const fn success() -> Self {
        Reaction::Answer {
            status: 200,
            after: Duration::ZERO,
        }
    }

    /// Returns an answer with a failure of the upstream's own.
    pub const fn failure() -> Self {
        Reaction::Answer {
            status: 500,
            after: Duration::ZERO,
        }
    }

    /// Returns a stream of a few quick events that ends in some way.
    pub const fn stream(last: u64, end: StreamEnd) -> Self {
        Reaction::Stream(StreamScript {
            last,
            pause: Duration::from_millis(5),
            end,
        })
    }
}
