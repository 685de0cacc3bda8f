//! Names, identifiers, time, settings and the configuration's data model.
//!
//! Every other crate of the workspace builds on this one. It performs no
//! input or output apart from reading the settings file.
//!
//! - [`clock`] holds the time type that all crates use, in milliseconds.
//! - [`names`] and [`ids`] hold the names and identifiers that several crates use.
//! - [`catalog`] holds services, versions, customers and moves (gradual shifts of
//!   a service's traffic to another version), and how configuration changes alter
//!   them.
//! - [`traffic`] holds the gateway's routing configuration: routes, services,
//!   customers and upstreams.
//! - [`settings`] holds the settings of one process and their validation.

mod catalog;
mod clock;
mod ids;
mod key_hash;
mod names;
mod sent;
mod settings;
mod settings_check;
mod traffic;
mod units;

pub use catalog::{
    CatalogError, CatalogState, ChangeRecord, ConfigurationChange, CustomerEntry, MoveEntry,
    MoveEvent, MoveEventKind, MoveState, RouteEntry, ServiceEntry, ServiceKind, ServiceState,
    UpstreamEntry, VersionEntry,
};
pub use clock::{BootTimeClock, ClockTime, MonotonicClock};
pub use ids::{AttemptNumber, GenerationId, IncarnationId, RevisionNumber};
pub use key_hash::KeyHash;
pub use names::{CustomerName, ServiceName, UpstreamName, VersionName, VmName, ZoneName};
pub use sent::{SentCall, UnsentCall};
pub use settings::{
    CallSettings, FailureDetection, LimitSettings, ListenSettings, NodeSettings, PlatformSettings,
    ResumeSettings,
};
pub use settings_check::SettingsError;
pub use traffic::{
    CallerLimits, CustomerConfig, EngineCapabilities, RequestKind, RolloutSpec, RouteConfig,
    RoutingConfig, ServiceConfig, ServiceWeight, UpstreamRecord,
};
pub use units::DurationText;
