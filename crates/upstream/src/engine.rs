//! The client interface to model engines.

use crate::wire::{
    CancelRequest, CommandState, EngineCommand, GenerateRequest, LoadReport, ResumeRequest,
    StreamMessage,
};
use std::future::Future;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a request to an engine failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum EngineError {
    /// No connection could be made; nothing was sent.
    #[error("the engine can't be reached")]
    Unreachable,
    /// The engine rejected the request with this status.
    #[error("the engine rejected the request with status {0}")]
    Refused(u16),
    /// The connection or the stream broke.
    #[error("the connection to the engine broke: {0}")]
    Broken(String),
    /// The engine sent a message that can't be parsed.
    #[error("the engine's message is malformed: {0}")]
    Malformed(String),
}

/// An event of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A message of the engine.
    Message(StreamMessage),
    /// The stream ended or broke; nothing follows.
    Closed(EngineError),
}

/// A client of model engines.
///
/// Dropping a stream closes its connection. `cancel` also ends the attempt on an
/// engine that does not see the connection close.
pub trait EngineClient: Send + Sync {
    /// The stream of one attempt.
    type Stream: Send;

    /// Starts an attempt of a generation.
    fn generate(
        &self,
        address: SocketAddr,
        request: &GenerateRequest,
    ) -> impl Future<Output = Result<Self::Stream, EngineError>> + Send;

    /// Resumes a generation that the engine still retains.
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

    /// Sends the engine a command to load a version, adapter and role.
    fn send_command(
        &self,
        address: SocketAddr,
        command: &EngineCommand,
    ) -> impl Future<Output = Result<CommandState, EngineError>> + Send;
}
