//! Fakes of the systems around skylarkshed: platform, engine, application and a
//! proxy that injects faults.
//!
//! They run as processes of `skylarkshed-stand-ins` and are not shipped. Each
//! prints one JSON line with its address when it listens, and accepts the faults
//! to inject at `/control`.
//!
//! [`FakeStore`] and [`FakeUpstream`] replace the store and the upstreams
//! of the platform that the gateway runs on. They run inside a test, which changes
//! rows, scripts responses and reads the received requests directly.

mod application;
mod engine;
mod engine_batch;
mod platform;
mod proxy;
mod response;
mod routing;
mod token_oracle;

pub use application::{run_application, ApplicationFaults, CallCounts};
pub use engine::run_engine;
pub use engine_batch::{EngineConfig, EngineFaults};
pub use platform::{run_platform, PlatformControl, PlatformFaults};
pub use proxy::{forward_connection, run_proxy, ProxyFaults};
pub use routing::headers;
pub use routing::{
    default_config, route, upstream_row, ControlCalls, CrashFault, EndlessResponse, EngineMemory,
    EngineReport, EngineSpeed, FakeStore, FakeUpstream, FaultEffect, GatewayFile, MemoryPlace,
    ReceivedRequest, ReportedRun, ResponsePart, ScriptedResponse, StoreCopy, StoreMode, StreamEnd,
    StreamScript, UnframedEnd, VersionFault, APP_SERVICE, DEPOT_KEY, DOWNTIME, HOST, MODEL_SERVICE,
    VENDOR_KEY,
};
pub use token_oracle::{check_answer, AnswerMismatch, TokenOracle};
