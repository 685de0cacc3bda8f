//! An application call as it is passed between the modules that run it.

use bytes::Bytes;
use skylarkshed_core::{CustomerName, GenerationId, ServiceName};
use skylarkshed_upstream::ApplicationRequest;

/// An application call as its caller sent it.
#[derive(Clone, Debug)]
pub(crate) struct ApplicationCall {
    pub(crate) customer: CustomerName,
    pub(crate) service: ServiceName,
    pub(crate) route: String,
    pub(crate) key: Option<String>,
    pub(crate) body: Bytes,
}

impl ApplicationCall {
    /// Returns the hash of route and body, by which requests with the same key are compared.
    pub(crate) fn request_hash(&self) -> String {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.route.as_bytes());
        hasher.update(&[0]);
        hasher.update(&self.body);
        hasher.finalize().to_hex()[..32].to_owned()
    }

    pub(crate) fn to_request(&self) -> ApplicationRequest {
        ApplicationRequest {
            route: self.route.clone(),
            call_id: GenerationId::random().to_string(),
            key: self.key.clone(),
            body: self.body.clone(),
        }
    }
}
