//! The socket options of all connections.

use skylarkshed_core::ClockTime;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// A connection with unacknowledged bytes older than this is closed: the peer has no
/// power or is behind a network partition. It is half of the 4 s in which a response
/// has to resume.
const USER_TIMEOUT: ClockTime = ClockTime::from_millis(2_000);
/// The shortest idle time and probe interval that the kernel supports for
/// keep-alive.
const KEEPALIVE_PERIOD: ClockTime = ClockTime::from_millis(1_000);
/// The number of unanswered keep-alive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Sets the options that close a connection to an unreachable host, and disables
/// Nagle's algorithm.
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
