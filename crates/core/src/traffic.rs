//! The routing configuration: which request goes to which service, and who may send it.

use crate::clock::ClockTime;
use crate::key_hash::KeyHash;
use crate::names::{CustomerName, ServiceName, UpstreamName, VersionName, ZoneName};
use faststr::FastStr;
use std::net::SocketAddr;

/// Whether and how a request may be retried after a failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// Safe to run more than once.
    Idempotent,
    /// Must run at most once.
    NonIdempotent,
    /// Answered with a stream of events.
    EventStream {
        /// Whether another upstream can resume the stream after any event.
        is_resumable: bool,
        /// The target for the longest interval between two events.
        target_event_gap: ClockTime,
    },
}

impl RequestKind {
    /// Reports whether a request that may have run can be sent again.
    pub const fn is_retryable(self) -> bool {
        match self {
            RequestKind::Idempotent => true,
            RequestKind::NonIdempotent => false,
            RequestKind::EventStream { is_resumable, .. } => is_resumable,
        }
    }

    /// Returns the label of the kind in logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            RequestKind::Idempotent => "idempotent",
            RequestKind::NonIdempotent => "non_idempotent",
            RequestKind::EventStream { .. } => "event_stream",
        }
    }
}

/// A service of a route and its weight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceWeight {
    /// The service.
    pub service: ServiceName,
    /// Its weight relative to the other services of the route.
    pub weight: u32,
}

/// A route: how requests for one host and path prefix are handled.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteConfig {
    /// The route's name.
    pub name: FastStr,
    /// The host, in lower case.
    pub host: FastStr,
    /// The path prefix; begins and ends with a slash.
    pub prefix: FastStr,
    /// Whether and how its requests may be retried.
    pub kind: RequestKind,
    /// The maximum number of upstreams that one request is sent to.
    pub max_attempts: u32,
    /// The maximum time that a caller waits.
    pub timeout: ClockTime,
    /// The target latency of a response, or of the first event of a stream.
    pub target_latency: ClockTime,
    /// The priority of the route's requests; 0 is the highest.
    pub priority: u8,
    /// The services that share the route's requests.
    pub targets: Vec<ServiceWeight>,
    /// Whether requests need no key.
    pub is_public: bool,
}

/// The properties of a model service's engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineCapabilities {
    /// The number of requests that an engine runs concurrently.
    pub slots: u32,
    /// The number of tokens that fit in an engine's KV cache.
    pub cache_capacity_tokens: u64,
    /// Whether an engine copies the KV cache of a running generation as it grows.
    pub can_back_up_cache: bool,
    /// Whether an engine copies the KV cache of a running generation on request.
    pub can_move_cache: bool,
    /// How long a copy is kept after its last part arrived.
    pub copy_ttl: ClockTime,
}

/// A service that requests are routed to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceConfig {
    /// The service's name.
    pub name: ServiceName,
    /// The properties of its upstreams, if they are model engines.
    pub engine: Option<EngineCapabilities>,
}

/// A customer, the hashes of its keys and its priority.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CustomerConfig {
    /// The customer.
    pub name: CustomerName,
    /// The hashes of its keys.
    pub keys: Vec<KeyHash>,
    /// The priority of its requests, which overrides the route's.
    pub priority: Option<u8>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// The maximum size of a request's head, in bytes.
    pub max_head_bytes: usize,
    /// The maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// The maximum time between the first and the last byte of a head.
    pub head_timeout: ClockTime,
    /// How long a connection may stay idle before it is closed.
    pub idle_timeout: ClockTime,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until a configuration is known.
    fn default() -> Self {
        CallerLimits {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout: ClockTime::from_millis(3_000),
            idle_timeout: ClockTime::from_millis(15_000),
        }
    }
}

/// A complete routing configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RoutingConfig {
    /// The version; increases with each change, not always by one.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RouteConfig>,
    /// All services.
    pub services: Vec<ServiceConfig>,
    /// Whether requests need a customer's key, unless their route is public. If there are
    /// no customers, nobody has one.
    pub needs_keys: bool,
    /// All customers.
    pub customers: Vec<CustomerConfig>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
}

/// An upstream's report about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamRecord {
    /// The name of this incarnation of the upstream.
    pub name: UpstreamName,
    /// The service it belongs to.
    pub service: ServiceName,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The version of its software.
    pub version: VersionName,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is draining and gets no new work.
    pub is_leaving: bool,
    /// When it started, in milliseconds of its own wall clock; zero if unknown.
    pub started: ClockTime,
}

impl UpstreamRecord {
    /// Reports whether the start that an upstream stated at this address is that of another
    /// upstream. Zero stands for an unknown start.
    ///
    /// # Examples
    ///
    /// ```
    /// use skylarkshed_core::{ClockTime, UpstreamRecord};
    ///
    /// let started = ClockTime::from_millis(1_000);
    /// let record = UpstreamRecord {
    ///     name: "engine-1".into(),
    ///     service: "ledger".into(),
    ///     address: ([10, 1, 0, 19], 8_080).into(),
    ///     zone: "chag".into(),
    ///     version: "v1".into(),
    ///     slots: 16,
    ///     is_leaving: false,
    ///     started,
    /// };
    /// assert!(record.is_other_start(ClockTime::from_millis(2_000)));
    /// assert!(!record.is_other_start(started) && !record.is_other_start(ClockTime::ZERO));
    /// ```
    pub fn is_other_start(&self, started: ClockTime) -> bool {
        let is_known = self.started > ClockTime::ZERO && started > ClockTime::ZERO;
        is_known && self.started != started
    }
}

/// An operator's request to shift a service's traffic to another version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutSpec {
    /// The service.
    pub service: ServiceName,
    /// The version that the rollout shifts traffic to.
    pub to: VersionName,
    /// The time from the request to the end of the rollout.
    pub duration: ClockTime,
    /// Identifies this rollout; increases with each one.
    pub revision: u64,
}
