//! Socket options of all connections.

use skylarkshed_core::ClockTime;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Unacknowledged bytes older than this end a connection: the other side is
/// without power or behind a partition. Half of the 4 s in which an answer has
/// to go on.
const USER_TIMEOUT: ClockTime = ClockTime::from_millis(2_000);
/// The shortest idle time and pause that the kernel's keep-alive can have.
const KEEPALIVE_PERIOD: ClockTime = ClockTime::from_millis(1_000);
/// Unanswered keep-alive probes after which a connection ends.
const KEEPALIVE_PROBES: u32 = 2;

/// Sets the options that let a connection to a dead machine end by itself.
///
/// # Errors
///
/// Fails if the kernel refuses an option.
pub fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_PERIOD.to_duration())
        .with_interval(KEEPALIVE_PERIOD.to_duration())
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT.to_duration()))?;
    stream.set_nodelay(true)
}
