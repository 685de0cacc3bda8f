//! The client interface to plain applications.

use bytes::Bytes;
use skylarkshed_core::{SentCall, UnsentCall};
use std::future::Future;
use std::net::SocketAddr;
use thiserror::Error;

/// One call to an application.
#[derive(Clone, Debug)]
pub struct ApplicationRequest {
    /// The route.
    pub route: String,
    /// The identifier of this call; the response must echo it.
    pub call_id: String,
    /// The idempotency key, if the caller sent one.
    pub key: Option<String>,
    /// The request's body.
    pub body: Bytes,
}

/// An application's response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApplicationResponse {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

/// Why a call failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// Nothing was sent.
    #[error("the application can't be reached")]
    NotSent(UnsentCall),
    /// The call was sent and may have run.
    #[error("no response from the application: {1}")]
    ResponseLost(SentCall, String),
    /// The response belongs to another call; this call may have run.
    #[error("the application's response belongs to another call")]
    MismatchedResponse(SentCall),
}

/// A client of plain applications.
pub trait ApplicationClient: Send + Sync {
    /// Sends a call once and never retries it.
    ///
    /// `unsent` is the proof that nothing was sent so far. [`CallError::NotSent`] returns
    /// it; every other error holds the [`SentCall`] that replaces it.
    fn call(
        &self,
        address: SocketAddr,
        call: &ApplicationRequest,
        unsent: UnsentCall,
    ) -> impl Future<Output = Result<ApplicationResponse, CallError>> + Send;
}
