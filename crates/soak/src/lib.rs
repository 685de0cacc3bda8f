//! A randomized soak of the gateway.
//!
//! It starts real gateway processes with fakes of their store and upstreams, injects
//! faults drawn from a seed, and checks what callers and upstreams see.

mod bounds;
mod bursts;
mod callers;
mod checks;
mod configs;
mod entry;
mod exchange;
mod faults;
mod heartbeat;
mod links;
mod load_plan;
mod observer;
mod operators;
mod records;
mod registry;
mod report;
mod rollouts;
mod run;
mod schedule;
mod timeline;
mod upstream_work;
mod upstreams;
mod versions;
mod vms;
mod zone_losses;

pub use bounds::RetryBound;
pub use checks::{
    check_request, check_totals, FailedTries, PowerLoss, ReadinessRecord, RolloutEnd,
    RolloutRecord, VersionQuality, World,
};
pub use configs::{ConfigHistory, ConfigVersion, Handling, RouteRule};
pub use records::{
    ArrivalRecord, CallKind, CallerRequest, Outcome, RequestStory, SeenResponse, UpstreamRun,
    Violation,
};
pub use report::SoakReport;
pub use run::{run_soak, SoakOptions};
pub use timeline::{Disturbance, Part, Timeline};
