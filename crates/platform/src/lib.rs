//! The platform's table, object store and list of VMs.
//!
//! Each is one small trait; [`HttpPlatform`] is the client that speaks to the
//! platform over HTTP. Another wire needs one more file beside `http.rs`.

mod http;
mod traits;
pub mod wire;

pub use http::HttpPlatform;
pub use traits::{ObjectStore, PlatformError, TableStore, VmDirectory};
