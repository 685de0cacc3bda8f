//! What a check of a routing configuration reports.

use faststr::FastStr;
use serde::{Serialize, Serializer};

/// How severe a finding is. A configuration with errors must not be sent; the other kinds
/// are warnings.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FindingKind {
    /// The configuration is wrong.
    Error,
    /// An entry can never match.
    Unreachable,
    /// Settings or limits contradict each other.
    Contradiction,
}

impl FindingKind {
    /// Returns the kind in the output of a check.
    pub const fn as_str(self) -> &'static str {
        match self {
            FindingKind::Error => "error",
            FindingKind::Unreachable => "unreachable",
            FindingKind::Contradiction => "contradiction",
        }
    }
}

/// The part of a configuration that a finding is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryKind {
    /// A file; the subject is its path.
    File,
    /// The configuration as a whole; the subject is the property.
    Configuration,
    /// The limits on callers; the subject is the limit.
    Limits,
    /// A route; the subject is its name.
    Route,
    /// A service; the subject is its name.
    Service,
    /// A customer; the subject is its name.
    Customer,
}

impl EntryKind {
    /// Returns the kind of entry in the output of a check.
    pub const fn as_str(self) -> &'static str {
        match self {
            EntryKind::File => "file",
            EntryKind::Configuration => "configuration",
            EntryKind::Limits => "limits",
            EntryKind::Route => "route",
            EntryKind::Service => "service",
            EntryKind::Customer => "customer",
        }
    }
}

/// What was found. The texts of the labels are stable, so that scripts can rely on them.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FindingLabel {
    /// The file can't be read or decoded.
    Unreadable,
    /// Two entries of the same kind have the same name.
    DuplicateName,
    /// A route sends requests to a service that doesn't exist.
    UnknownService,
    /// A route has no service.
    RouteWithoutService,
    /// A service of a route has a weight of zero.
    ZeroWeight,
    /// A priority is above 9.
    PriorityOutOfRange,
    /// A timeout is zero.
    ZeroTimeout,
    /// A route allows no attempts.
    ZeroAttempts,
    /// A time is below zero.
    NegativeTime,
    /// Upstreams can't be told a name.
    UnwritableName,
    /// The target latency is above the timeout.
    TargetAboveTimeout,
    /// A prefix doesn't begin and end with a slash.
    PrefixWithoutSlash,
    /// An earlier route has the same host and prefix.
    ShadowedRoute,
    /// A customer has no keys.
    CustomerWithoutKeys,
    /// Requests need keys, and there are no customers.
    NoCustomers,
    /// No route uses a service.
    UnusedService,
    /// A later customer has the same key.
    SharedKey,
    /// A route that is not idempotent allows several attempts.
    SeveralAttempts,
    /// The target for the gaps of a stream is zero.
    ZeroTargetGap,
    /// A header may be larger than a body.
    HeaderLimitAboveBodyLimit,
    /// An idle connection is closed before a header may be late.
    IdleTimeoutBelowHeaderTimeout,
    /// A request may take longer than a VM that leaves can serve it.
    TimeoutAboveGrace,
    /// A route has several services, and a single one that is ignored.
    IgnoredService,
    /// This version doesn't know the kind of a route.
    UnknownKind,
    /// Requests need keys in the configuration in force, but not in this one.
    KeysNotNeeded,
    /// VMs ignore the configuration because its version is not above the one in force.
    VersionNotHigher,
}

impl FindingLabel {
    /// Returns the label in the output of a check.
    pub const fn as_str(self) -> &'static str {
        match self {
            FindingLabel::Unreadable => "unreadable",
            FindingLabel::DuplicateName => "duplicate_name",
            FindingLabel::UnknownService => "unknown_service",
            FindingLabel::RouteWithoutService => "route_without_service",
            FindingLabel::ZeroWeight => "zero_weight",
            FindingLabel::PriorityOutOfRange => "priority_out_of_range",
            FindingLabel::ZeroTimeout => "zero_timeout",
            FindingLabel::ZeroAttempts => "zero_attempts",
            FindingLabel::NegativeTime => "negative_time",
            FindingLabel::UnwritableName => "unwritable_name",
            FindingLabel::TargetAboveTimeout => "target_above_timeout",
            FindingLabel::PrefixWithoutSlash => "prefix_without_slash",
            FindingLabel::ShadowedRoute => "shadowed_route",
            FindingLabel::CustomerWithoutKeys => "customer_without_keys",
            FindingLabel::NoCustomers => "no_customers",
            FindingLabel::UnusedService => "unused_service",
            FindingLabel::SharedKey => "shared_key",
            FindingLabel::SeveralAttempts => "several_attempts",
            FindingLabel::ZeroTargetGap => "zero_target_gap",
            FindingLabel::HeaderLimitAboveBodyLimit => "header_limit_above_body_limit",
            FindingLabel::IdleTimeoutBelowHeaderTimeout => "idle_timeout_below_header_timeout",
            FindingLabel::TimeoutAboveGrace => "timeout_above_grace",
            FindingLabel::IgnoredService => "ignored_service",
            FindingLabel::UnknownKind => "unknown_kind",
            FindingLabel::KeysNotNeeded => "keys_not_needed",
            FindingLabel::VersionNotHigher => "version_not_higher",
        }
    }

    /// Returns the kind of all findings with this label.
    pub const fn kind(self) -> FindingKind {
        match self {
            FindingLabel::Unreadable
            | FindingLabel::DuplicateName
            | FindingLabel::UnknownService
            | FindingLabel::RouteWithoutService
            | FindingLabel::ZeroWeight
            | FindingLabel::PriorityOutOfRange
            | FindingLabel::ZeroTimeout
            | FindingLabel::ZeroAttempts
            | FindingLabel::NegativeTime
            | FindingLabel::UnwritableName
            | FindingLabel::TargetAboveTimeout
            | FindingLabel::PrefixWithoutSlash => FindingKind::Error,
            FindingLabel::ShadowedRoute
            | FindingLabel::CustomerWithoutKeys
            | FindingLabel::NoCustomers
            | FindingLabel::UnusedService
            | FindingLabel::SharedKey => FindingKind::Unreachable,
            FindingLabel::SeveralAttempts
            | FindingLabel::ZeroTargetGap
            | FindingLabel::HeaderLimitAboveBodyLimit
            | FindingLabel::IdleTimeoutBelowHeaderTimeout
            | FindingLabel::TimeoutAboveGrace
            | FindingLabel::IgnoredService
            | FindingLabel::UnknownKind
            | FindingLabel::KeysNotNeeded
            | FindingLabel::VersionNotHigher => FindingKind::Contradiction,
        }
    }
}

impl Serialize for FindingLabel {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.as_str())
    }
}

/// A finding of a check. Its texts hold no keys and no hashes of keys.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ConfigFinding {
    /// How severe it is.
    pub kind: FindingKind,
    /// What was found.
    pub label: FindingLabel,
    /// The kind of the subject.
    pub entry: EntryKind,
    /// The name of the entry, or what [`EntryKind`] says.
    pub subject: FastStr,
    /// The finding in words.
    pub message: String,
}

impl ConfigFinding {
    /// Creates a finding of the label's kind.
    ///
    /// # Examples
    ///
    /// ```
    /// use skylarkshed_policy::{ConfigFinding, EntryKind, FindingKind, FindingLabel};
    ///
    /// let label = FindingLabel::UnusedService;
    /// let finding = ConfigFinding::new(label, EntryKind::Service, "stores", "no route uses it");
    /// assert_eq!(finding.kind, FindingKind::Unreachable);
    /// ```
    pub fn new(
        label: FindingLabel,
        entry: EntryKind,
        subject: impl Into<FastStr>,
        message: impl Into<String>,
    ) -> Self {
        ConfigFinding {
            kind: label.kind(),
            label,
            entry,
            subject: subject.into(),
            message: message.into(),
        }
    }
}
