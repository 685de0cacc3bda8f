//! Clients of the platform: its transactional table, object store and VM list.
//!
//! Each is one small trait; [`HttpPlatformClient`] is the client that speaks to the
//! platform over HTTP. Another protocol needs one more module beside `http`.

mod http;
mod traits;
pub mod wire;

pub use http::HttpPlatformClient;
pub use traits::{ObjectStore, PlatformError, TableStore, VmDirectory};
