//! What callers and upstreams saw of each request.

use skylarkshed_core::ClockTime;

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// It may run more than once.
    Safe,
    /// It may run once.
    Unsafe,
    /// Its response is a stream of events.
    Stream {
        /// Whether another upstream may continue the stream.
        is_resumable: bool,
    },
}

impl CallKind {
    /// Reports whether the request may run more than once.
    pub fn is_repeatable(self) -> bool {
        self != CallKind::Unsafe
            && self
                != CallKind::Stream {
                    is_resumable: false,
                }
    }
}

/// A request as its caller sent it.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Its identifier, which no other request has.
    pub id: String,
    /// The index of the VM it was sent to.
    pub vm: usize,
    /// The number of the VM's process, which increases with each start.
    pub boot: u32,
    /// What may be repeated.
    pub kind: CallKind,
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The body.
    pub body: String,
    /// The API key, unless it has none.
    pub key: Option<String>,
    /// The part of its prompt that ends upstreams, if it has one.
    pub crashing_part: Option<String>,
    /// The number of events of its stream; 0 if it is none.
    pub events: u64,
    /// The last event that its caller already has.
    pub last_event: u64,
    /// When it was sent.
    pub sent_at: ClockTime,
    /// How long the caller waits.
    pub time_limit: ClockTime,
    /// The timeout of its route.
    pub timeout: ClockTime,
    /// The maximum number of upstreams that it may be sent to.
    pub attempts: usize,
}

/// A response as its caller received it.
#[derive(Clone, Debug, Default)]
pub struct SeenResponse {
    /// The status code.
    pub status: u16,
    /// The upstream's signature.
    pub signature: Option<String>,
    /// The request that the response says it belongs to.
    pub request_id: Option<String>,
    /// The body, or the part of it that arrived.
    pub body: String,
    /// Whether the body arrived completely.
    pub is_complete: bool,
}

/// How a request ended for its caller.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A response, possibly cut off.
    Response(SeenResponse),
    /// The connection ended without a response.
    Closed,
    /// The bytes received are no response.
    Unparsable(String),
    /// The caller left early.
    Left,
    /// The caller's time ran out.
    TimedOut,
}

/// A request that arrived at an upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRun {
    /// The upstream's name.
    pub upstream: String,
    /// Its service.
    pub service: String,
    /// The version of its software.
    pub version: String,
    /// When the request arrived.
    pub at: ClockTime,
    /// Whether the upstream began to work on it.
    pub is_executed: bool,
    /// How long it waited for memory.
    pub waited: ClockTime,
    /// When the upstream ended its work; `NEVER` while it works.
    pub ended_at: ClockTime,
    /// When the upstream would have ended its work if nobody stopped it.
    pub due_at: ClockTime,
    /// Whether the upstream itself broke off, garbled or withheld its response.
    pub is_broken_off: bool,
    /// Whether the request ended the upstream.
    pub ends_upstream: bool,
    /// Whether the fault of its version shows in its response.
    pub is_bad: bool,
    /// The status code of its response.
    pub status: u16,
    /// The signature of its response.
    pub signature: String,
    /// The whole body of its response, unless it is a stream.
    pub body: String,
    /// The request line's method and path.
    pub target: String,
    /// The request's body.
    pub request_body: String,
    /// The customer named by the gateway.
    pub customer: Option<String>,
    /// Whether the request still contained the API key.
    pub has_key: bool,
    /// The time left, as the gateway stated it.
    pub time_left: Option<ClockTime>,
}

/// A request that arrived at an upstream, also one that the upstream rejected.
#[derive(Clone, Debug)]
pub struct ArrivalRecord {
    /// The service that it was sent to.
    pub service: String,
    /// When it arrived.
    pub at: ClockTime,
}

/// A request with its outcome and its runs.
#[derive(Clone, Debug)]
pub struct RequestStory {
    /// The request.
    pub request: CallerRequest,
    /// When and how it ended for its caller.
    pub outcome: Option<(ClockTime, Outcome)>,
    /// All its arrivals at upstreams, in order.
    pub arrivals: Vec<ArrivalRecord>,
    /// The upstreams that it was meant for and arrived at, in order.
    pub runs: Vec<UpstreamRun>,
}

impl RequestStory {
    /// Returns the response, if there is one.
    pub fn response(&self) -> Option<&SeenResponse> {
        match &self.outcome {
            Some((_, Outcome::Response(response))) => Some(response),
            _ => None,
        }
    }

    /// Returns the runs that an upstream began to work on.
    pub fn executions(&self) -> impl Iterator<Item = &UpstreamRun> {
        self.runs.iter().filter(|run| run.is_executed)
    }

    /// Returns when the request ended for its caller, or `now`.
    pub fn ended_at(&self, now: ClockTime) -> ClockTime {
        self.outcome.as_ref().map_or(now, |(at, _)| *at)
    }
}

/// A broken rule.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// The name of the rule.
    pub rule: &'static str,
    /// The request that shows it; none if it shows in a sum.
    pub request: Option<String>,
    /// What was seen.
    pub detail: String,
}
