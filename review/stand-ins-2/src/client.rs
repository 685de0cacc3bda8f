//! A stand-in for a consumer.

use crate::config::{HOST, KEY};
use crate::http::Connection;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd};
use std::time::Duration;

const AF_INET: u16 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// `struct sockaddr_in`.
#[repr(C)]
struct SocketAddress {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    zero: [u8; 8],
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    #[link_name = "connect"]
    fn connect_socket(socket: i32, address: *const SocketAddress, length: u32) -> i32;
}

/// Connects to a gateway.
pub fn connect(address: SocketAddr) -> io::Result<Connection> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(30)))?;
    Ok(Connection::new(stream))
}

/// Connects to a gateway with a small window, which has to be set before.
pub fn connect_with_window(address: SocketAddr, bytes: i32) -> io::Result<Connection> {
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    // SAFETY: The call has no pointers; its result is checked before it is used.
    let descriptor = unsafe { socket(i32::from(AF_INET), SOCK_STREAM, 0) };
    if descriptor < 0 {
        return Err(io::Error::last_os_error());
    }
    // SAFETY: The descriptor was just made and belongs to nobody else.
    let stream = unsafe { TcpStream::from_raw_fd(descriptor) };
    let target = SocketAddress {
        family: AF_INET,
        port: address.port().to_be_bytes(),
        address: address.ip().octets(),
        zero: [0; 8],
    };
    let descriptor = stream.as_raw_fd();
    // SAFETY: The descriptor is open, and the pointers are to values of these sizes.
    let result = unsafe {
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, 4);
        connect_socket(descriptor, &target, 16)
    };
    if result != 0 {
        return Err(io::Error::last_os_error());
    }
    stream.set_read_timeout(Some(Duration::from_secs(30)))?;
    Ok(Connection::new(stream))
}

/// Returns a POST without a body.
pub fn post(target: &str, id: &str, time_left_ms: u64, more_headers: &str) -> Vec<u8> {
    request("POST", target, id, time_left_ms, KEY, more_headers)
}

/// Returns a request without a body.
pub fn request(
    method: &str,
    target: &str,
    id: &str,
    time_left_ms: u64,
    key: &str,
    more_headers: &str,
) -> Vec<u8> {
    let length = match method {
        "POST" => "Content-Length: 0\r\n",
        _ => "",
    };
    let text = format!(
        "{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Remaining: {time_left_ms}\r\nAuthorization: Token {key}\r\n\
         {more_headers}{length}\r\n"
    );
    text.into_bytes()
}
