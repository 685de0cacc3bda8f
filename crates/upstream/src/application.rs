//! What the system asks of a plain application.

use bytes::Bytes;
use skylarkshed_core::{SentCall, UnsentCall};
use std::future::Future;
use std::net::SocketAddr;
use thiserror::Error;

/// One quick call.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// The route.
    pub route: String,
    /// Identifies this call; the answer must echo it.
    pub call_id: String,
    /// The idempotency key, if the caller gave one.
    pub key: Option<String>,
    /// The request's body.
    pub body: Bytes,
}

/// An application's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApplicationAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

/// Why a call got no answer.
#[derive(Debug, Error)]
pub enum CallFailure {
    /// Nothing was sent.
    #[error("the application can't be reached")]
    NotSent(UnsentCall),
    /// The call was sent and may have run.
    #[error("the application's answer is missing: {1}")]
    AnswerLost(SentCall, String),
    /// An answer to another call came; this call may have run.
    #[error("the application answered another call")]
    WrongAnswer(SentCall),
}

/// A plain application.
pub trait ApplicationClient: Send + Sync {
    /// Sends a call once; never sends it again by itself.
    fn call(
        &self,
        address: SocketAddr,
        call: &PlainCall,
        unsent: UnsentCall,
    ) -> impl Future<Output = Result<ApplicationAnswer, CallFailure>> + Send;
}
