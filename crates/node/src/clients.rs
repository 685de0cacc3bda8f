//! The client implementations that the process uses; change an alias to use another protocol.

/// The client of the platform.
pub(crate) type Platform = skylarkshed_platform::HttpPlatformClient;
/// The client of the model engines.
pub(crate) type Engine = skylarkshed_upstream::HttpEngineClient;
/// The client of the applications.
pub(crate) type Application = skylarkshed_upstream::HttpApplicationClient;
