//! The responses that a fake upstream can be scripted to send.

use super::endless_response::EndlessResponse;
use std::time::Duration;

/// How a stream of events ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamEnd {
    /// The stream ends regularly.
    Complete,
    /// The stream ends regularly after a last comment; there is another one before each
    /// event.
    Commented,
    /// The connection is reset between two events.
    Reset,
    /// The connection is reset in the middle of an event.
    ResetMidEvent,
    /// The connection stays open, but no further event is sent.
    Stall,
    /// A byte of the next event is sent now and then, and the event never ends.
    Trickle,
    /// Nothing is sent for a while, then the events up to this one, and the stream ends
    /// regularly.
    Pause {
        /// How long nothing is sent.
        pause: Duration,
        /// The identifier of the last event.
        last_id: u64,
    },
    /// A comment is sent now and then, but no further event.
    Comments,
}

/// How a stream without a length ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnframedEnd {
    /// The connection is closed after the last event.
    Closed,
    /// The connection is closed in the middle of the next event.
    ClosedMidEvent,
    /// The connection is reset after the last event.
    Reset,
    /// The connection stays open after the last event.
    Open,
}

/// The last part of a response that is sent before its connection ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponsePart {
    /// A part of the status line.
    HalfStatusLine,
    /// The status line.
    StatusLine,
    /// The first header.
    FirstHeader,
    /// A part of the last header.
    HalfLastHeader,
    /// All headers, without the empty line that ends the head.
    Headers,
    /// The whole head; the body has a length.
    Head,
    /// The body, which has no length.
    UnframedBody,
}

/// A scripted stream of server-sent events.
#[derive(Clone, Copy, Debug)]
pub struct StreamScript {
    /// The identifier of the last event that is sent.
    pub last_id: u64,
    /// The time between two events.
    pub interval: Duration,
    /// How the stream ends after the last event.
    pub end: StreamEnd,
}

/// What the fake upstream does with a request.
#[derive(Clone, Debug)]
pub enum ScriptedResponse {
    /// Responds with a status after a delay.
    Status {
        /// The HTTP status.
        status: u16,
        /// The time before the response.
        delay: Duration,
    },
    /// Responds with a body of this length.
    LongBody {
        /// The number of bytes.
        bytes: usize,
    },
    /// Responds without a signature.
    Unsigned,
    /// Responds with the attempt identifier of another request.
    WrongAttemptId,
    /// Reports that it did not run the request (`X-Not-Executed`).
    NotExecuted,
    /// Repeats the refusal of another request.
    RepeatedRefusal,
    /// Responds with a stream of events that ends with its connection, without a length
    /// or chunks.
    UnframedStream {
        /// The identifier of the last complete event.
        last_id: u64,
        /// What follows the last event.
        end: UnframedEnd,
    },
    /// Responds with a status and this additional header line, without running the
    /// request if the status is 503.
    WithHeader {
        /// The HTTP status.
        status: u16,
        /// The line, without its end.
        header: &'static str,
    },
    /// Reports that another instance now listens at this address (421).
    Misdirected,
    /// Resets the connection after it has read the request.
    Reset,
    /// Closes the connection in the middle of the response body.
    Truncated,
    /// Ends the connection after a part of the response.
    Part {
        /// The last part that is sent.
        last: ResponsePart,
        /// Whether the connection is reset, not closed.
        is_reset: bool,
    },
    /// Responds with this status, and stops in the middle of the body with the connection
    /// open.
    StalledBody {
        /// The HTTP status.
        status: u16,
    },
    /// Responds without a content length; the body ends with the connection.
    NoContentLength,
    /// Sends a part of a body without a content length, and leaves the connection open.
    OpenBody,
    /// Sends a part of a body without a content length after a delay, and closes the
    /// connection.
    LatePart {
        /// The time before the response.
        delay: Duration,
    },
    /// Sends a body without a content length in two parts.
    SlowBody {
        /// The time between the parts.
        pause: Duration,
    },
    /// Sends the response twice.
    Duplicated,
    /// Responds before it has read the body, then records the part that arrives.
    BeforeBody,
    /// Sends a part of a body without a content length before it has read the request's
    /// body, and resets the connection.
    ResetBeforeBody {
        /// The time between the part and the reset.
        delay: Duration,
    },
    /// Responds with this text in place of a status code.
    StatusText(&'static str),
    /// Sends bytes that are not an HTTP response.
    Unparsable,
    /// Never responds.
    NoResponse,
    /// Sends a response that does not end until the client closes the connection.
    Endless(EndlessResponse),
    /// Responds with a stream of events that starts after the request's `Last-Event-ID`.
    Stream(StreamScript),
    /// Sends nothing for a while, then a whole stream of events.
    LateStream {
        /// The time before the head.
        delay: Duration,
        /// The identifier of the last event.
        last_id: u64,
    },
}

impl ScriptedResponse {
    /// Returns an immediate response with status 200.
    pub const fn success() -> Self {
        ScriptedResponse::Status {
            status: 200,
            delay: Duration::ZERO,
        }
    }

    /// Returns an immediate response with status 500.
    pub const fn failure() -> Self {
        ScriptedResponse::Status {
            status: 500,
            delay: Duration::ZERO,
        }
    }

    /// Returns a stream of events up to `last_id`, 5 ms apart.
    pub const fn stream(last_id: u64, end: StreamEnd) -> Self {
        ScriptedResponse::Stream(StreamScript {
            last_id,
            interval: Duration::from_millis(5),
            end,
        })
    }

    /// Returns the response with all its waits multiplied by a factor.
    pub(super) fn slowed_by(self, factor: u32) -> Self {
        match self {
            ScriptedResponse::Status { status, delay } => ScriptedResponse::Status {
                status,
                delay: delay * factor,
            },
            ScriptedResponse::Stream(script) => ScriptedResponse::Stream(StreamScript {
                interval: script.interval * factor,
                ..script
            }),
            other => other,
        }
    }
}
