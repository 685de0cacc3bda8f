//! The socket options of all connections.

use skylarkshed_core::ClockTime;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// The shortest idle time and probe interval that the kernel supports for
/// keep-alive.
const KEEPALIVE_PERIOD: ClockTime = ClockTime::from_millis(1_000);
/// The number of unanswered keep-alive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Sets the options that close an idle connection to an unreachable host, and disables
/// Nagle's algorithm.
///
/// `TCP_USER_TIMEOUT` is not set: the kernel applies it to live peers that do not read for
/// that long as well. Whoever writes limits the time in which the bytes have to arrive.
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
    stream.set_nodelay(true)
}
