//! Finds out whether an upstream's process still runs.

use crate::engine_calls::{fetch_report, ReportError};
use crate::gateway_state::GatewayState;
use crate::platform_api::WireProtocol;
use crate::upstreams::UpstreamState;
use skylarkshed_core::ClockTime;
use skylarkshed_policy::ProcessCheck;
use std::io::ErrorKind;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// A live host accepts a connection within a few milliseconds.
const CONNECT_TIMEOUT: ClockTime = ClockTime::from_millis(100);
/// How often a connection is tried before the state of a process remains unknown.
const CONNECT_ATTEMPTS: u32 = 3;
/// How long a live engine may take to report: one that has just started is slow.
const IDENTITY_TIMEOUT: ClockTime = ClockTime::from_millis(1_000);
/// The pause before an engine is asked again after a failure.
const RETRY_PAUSE: ClockTime = ClockTime::from_millis(50);
/// The time in which a process that ends closes a connection that it accepted last.
const CLOSE_TIME: ClockTime = ClockTime::from_millis(20);

/// What becomes of a new connection to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NewConnection {
    /// It stays open.
    Open,
    /// It is closed at once, as are further ones.
    Closed,
    /// Its host refuses it.
    Refused,
    /// Its host does not respond.
    Unanswered,
}

/// Makes a connection to an upstream. A process that ends may still accept one, which is then
/// closed at once, and an answer may be lost on the way; both are tried again.
pub(crate) async fn try_connection(address: SocketAddr) -> NewConnection {
    let limit = CONNECT_TIMEOUT.to_duration();
    let mut result = NewConnection::Unanswered;
    for _ in 0..CONNECT_ATTEMPTS {
        let connecting = TcpStream::connect(address);
        result = match tokio::time::timeout(limit, connecting).await {
            Ok(Ok(stream)) if !is_closed_at_once(&stream).await => return NewConnection::Open,
            Ok(Ok(_)) => NewConnection::Closed,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return NewConnection::Refused;
            }
            Ok(Err(_)) | Err(_) => NewConnection::Unanswered,
        };
    }
    result
}

/// Checks an upstream's process by a connection.
pub(crate) async fn check_process(address: SocketAddr) -> ProcessCheck {
    match try_connection(address).await {
        // One that closes all of them has too many.
        NewConnection::Open | NewConnection::Closed => ProcessCheck::Running,
        NewConnection::Refused => ProcessCheck::Ended,
        NewConnection::Unanswered => ProcessCheck::Unreachable,
    }
}

async fn is_closed_at_once(stream: &TcpStream) -> bool {
    let mut byte = [0; 1];
    let closing = stream.peek(&mut byte);
    let closed = tokio::time::timeout(CLOSE_TIME.to_duration(), closing).await;
    closed.is_ok()
}

/// Reports whether an upstream's process has ended: its host refuses connections.
pub(crate) async fn has_ended(address: SocketAddr) -> bool {
    check_process(address).await == ProcessCheck::Ended
}

/// Checks an engine's process like [`check_process`], and whether it is the one that is
/// listed: a stream lasts long enough for another one to start at the address. Only a report
/// with the start of the entry shows that.
pub(crate) async fn check_engine<P: WireProtocol>(
    state: &GatewayState,
    engine: &UpstreamState,
) -> ProcessCheck {
    let asked_at = state.clock.now();
    loop {
        let check = check_process(engine.record.address).await;
        if check != ProcessCheck::Running {
            return check;
        }
        let limit = IDENTITY_TIMEOUT.since(state.clock.now().since(asked_at));
        match fetch_report::<P>(state, engine, limit).await {
            Ok(report) if report.started == engine.record.started => return ProcessCheck::Running,
            Ok(_) | Err(ReportError::OtherProcess | ReportError::NoReport(_)) => {
                return ProcessCheck::Ended;
            }
            Err(error @ ReportError::Failed(_)) => {
                log::debug!(upstream:% = engine.name(); "engine did not tell its start: {error}");
            }
        }
        if state.clock.now().since(asked_at) >= IDENTITY_TIMEOUT {
            return ProcessCheck::Unknown;
        }
        tokio::time::sleep(RETRY_PAUSE.to_duration()).await;
    }
}
