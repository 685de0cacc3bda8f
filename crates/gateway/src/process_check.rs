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
/// The time in which a process that ends closes a connection that it accepted last.
const CLOSE_TIME: ClockTime = ClockTime::from_millis(20);

/// Checks an upstream's process by a connection. A process that ends may still accept one,
/// which is then closed at once, and an answer may be lost on the way; both are tried again.
pub(crate) async fn check_process(address: SocketAddr) -> ProcessCheck {
    let limit = CONNECT_TIMEOUT.to_duration();
    let mut check = ProcessCheck::Unreachable;
    for _ in 0..CONNECT_ATTEMPTS {
        let connecting = TcpStream::connect(address);
        check = match tokio::time::timeout(limit, connecting).await {
            Ok(Ok(stream)) if !is_closed_at_once(&stream).await => return ProcessCheck::Running,
            // One that closes all of them has too many.
            Ok(Ok(_)) => ProcessCheck::Running,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return ProcessCheck::Ended;
            }
            Ok(Err(_)) | Err(_) => ProcessCheck::Unreachable,
        };
    }
    check
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
/// listed: a stream lasts long enough for another one to start at the address.
pub(crate) async fn check_engine<P: WireProtocol>(
    state: &GatewayState,
    engine: &UpstreamState,
) -> ProcessCheck {
    let check = check_process(engine.record.address).await;
    if check != ProcessCheck::Running {
        return check;
    }
    match fetch_report::<P>(state, engine).await {
        Err(ReportError::OtherProcess) => ProcessCheck::Ended,
        // An engine that is busy may not report in time.
        Ok(_) | Err(ReportError::Failed(_)) => ProcessCheck::Running,
    }
}
