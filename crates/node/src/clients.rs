//! The clients that this build uses; another wire is chosen here.

/// The platform's client.
pub(crate) type Platform = skylarkshed_platform::HttpPlatformClient;
/// The engines' client.
pub(crate) type Engine = skylarkshed_upstream::HttpEngineClient;
/// The applications' client.
pub(crate) type Application = skylarkshed_upstream::HttpApplicationClient;
