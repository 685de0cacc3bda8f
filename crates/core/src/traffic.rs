//! The routing configuration: which request goes to which service, and who may send it.

use crate::clock::ClockTime;
use crate::key_hash::KeyHash;
use crate::names::{CustomerName, ServiceName, UpstreamName, VersionName, ZoneName};
use faststr::FastStr;
use std::net::SocketAddr;

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answered by a series of events.
    EventStream {
        /// Whether another upstream may go on after any event.
        is_resumable: bool,
        /// The longest pause between two events of an answer in time.
        target_event_gap: ClockTime,
    },
}

impl RequestKind {
    /// Tells whether a request that may have run can be sent again.
    pub const fn is_retryable(self) -> bool {
        match self {
            RequestKind::Idempotent => true,
            RequestKind::NonIdempotent => false,
            RequestKind::EventStream { is_resumable, .. } => is_resumable,
        }
    }

    /// Returns the kind as a label of logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            RequestKind::Idempotent => "idempotent",
            RequestKind::NonIdempotent => "non_idempotent",
            RequestKind::EventStream { .. } => "event_stream",
        }
    }
}

/// A service's part of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceWeight {
    /// The service.
    pub service: ServiceName,
    /// Its weight against the other services of the route.
    pub weight: u32,
}

/// Where requests of one host and path prefix go.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteConfig {
    /// The route's name.
    pub name: FastStr,
    /// The host, in lower case.
    pub host: FastStr,
    /// The path prefix; begins and ends with a slash.
    pub prefix: FastStr,
    /// What may be repeated.
    pub kind: RequestKind,
    /// The most upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// The longest time that a caller is kept waiting.
    pub timeout: ClockTime,
    /// The time within which an answer, or its first event, is in time.
    pub target_latency: ClockTime,
    /// The rank of the route; 0 goes first.
    pub priority: u8,
    /// The services that share the route's requests.
    pub targets: Vec<ServiceWeight>,
    /// Whether requests need no key.
    pub is_public: bool,
}

/// A model service's engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineCapabilities {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Tokens that fit in an engine's memory.
    pub cache_capacity_tokens: u64,
    /// Whether an engine copies a running answer's memory as it grows.
    pub can_back_up_cache: bool,
    /// Whether an engine copies a running answer's memory when it is told to.
    pub can_move_cache: bool,
    /// How long a copy is kept after its last part.
    pub copy_ttl: ClockTime,
}

/// A service that requests are routed to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceConfig {
    /// The service's name.
    pub name: ServiceName,
    /// What its upstreams can do, if they are model engines.
    pub engine: Option<EngineCapabilities>,
}

/// A customer and the hashes of its keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CustomerConfig {
    /// The customer.
    pub name: CustomerName,
    /// The hashes of its keys.
    pub keys: Vec<KeyHash>,
    /// The rank of its requests, if it has one; goes before the route's.
    pub priority: Option<u8>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// The bytes of a request's head.
    pub max_head_bytes: usize,
    /// The bytes of a request's body.
    pub max_body_bytes: usize,
    /// The time from a head's first byte to its last.
    pub head_timeout: ClockTime,
    /// How long a connection may stay idle.
    pub idle_timeout: ClockTime,
}

impl Default for CallerLimits {
    /// The limits that hold until a configuration is known.
    fn default() -> Self {
        CallerLimits {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout: ClockTime::from_millis(3_000),
            idle_timeout: ClockTime::from_millis(15_000),
        }
    }
}

/// A whole routing configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RoutingConfig {
    /// Grows with each change, in uneven steps.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RouteConfig>,
    /// All services.
    pub services: Vec<ServiceConfig>,
    /// All customers; without any, no request needs a key.
    pub customers: Vec<CustomerConfig>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// What an upstream tells of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamRecord {
    /// The name of this run of the upstream.
    pub name: UpstreamName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The version of its software.
    pub version: VersionName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave and gets no new work.
    pub is_leaving: bool,
    /// When it started, in wall-clock milliseconds of its own; zero if unknown.
    pub started: ClockTime,
}

/// An operator's order to move a service's traffic to another version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutSpec {
    /// The service.
    pub service: ServiceName,
    /// The version that is to take the traffic.
    pub to: VersionName,
    /// The time from the order to its end.
    pub duration: ClockTime,
    /// Names this order; grows with each order.
    pub revision: u64,
}
