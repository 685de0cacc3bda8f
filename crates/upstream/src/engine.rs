//! What the system asks of a model engine.

use crate::wire::{
    CancelRequest, EngineOrder, GenerateRequest, LoadReport, OrderState, ResumeRequest,
    StreamMessage,
};
use std::future::Future;
use std::net::SocketAddr;
use thiserror::Error;

/// Why an engine gave no answer.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum EngineError {
    /// No connection could be made; nothing was sent.
    #[error("the engine can't be reached")]
    Unreachable,
    /// The engine refused the request.
    #[error("the engine refused with status {0}")]
    Refused(u16),
    /// The connection broke.
    #[error("the connection to the engine broke: {0}")]
    Broken(String),
    /// The engine sent something that can't be read.
    #[error("the engine's message is malformed: {0}")]
    Malformed(String),
}

/// What comes from an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A message.
    Message(StreamMessage),
    /// The stream ended or broke; nothing follows.
    Closed(EngineError),
}

/// A model engine.
///
/// Dropping a stream closes its connection; `cancel` frees the engine's work
/// also where the connection is cut.
pub trait EngineClient: Send + Sync {
    /// The stream of one attempt.
    type Stream: Send;

    /// Starts an attempt.
    fn generate(
        &self,
        address: SocketAddr,
        request: &GenerateRequest,
    ) -> impl Future<Output = Result<Self::Stream, EngineError>> + Send;

    /// Goes on with a generation that the engine still holds.
    fn resume(
        &self,
        address: SocketAddr,
        request: &ResumeRequest,
    ) -> impl Future<Output = Result<Self::Stream, EngineError>> + Send;

    /// Waits for the next event of a stream.
    fn next_event(stream: &mut Self::Stream) -> impl Future<Output = EngineEvent> + Send;

    /// Cancels an attempt.
    fn cancel(
        &self,
        address: SocketAddr,
        request: &CancelRequest,
    ) -> impl Future<Output = Result<(), EngineError>> + Send;

    /// Reads the engine's load.
    fn load(
        &self,
        address: SocketAddr,
    ) -> impl Future<Output = Result<LoadReport, EngineError>> + Send;

    /// Sends an order.
    fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
    ) -> impl Future<Output = Result<OrderState, EngineError>> + Send;
}
