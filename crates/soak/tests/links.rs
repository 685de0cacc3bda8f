//! The proxy passes on how a connection ends.

use skylarkshed_stand_ins::{forward_connection, ProxyFaults};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The end of a connection shows in a race, so it is repeated.
const CONNECTIONS: usize = 1_000;

/// Returns what a client receives through the proxy from a server that sends some bytes and
/// then ends the connection.
async fn receive(is_reset: bool) -> std::io::Result<Vec<u8>> {
    let server = TcpListener::bind("127.0.0.1:0").await?;
    let proxy = TcpListener::bind("127.0.0.1:0").await?;
    let (server_address, proxy_address) = (server.local_addr()?, proxy.local_addr()?);
    let (_faults, watching) = watch::channel(ProxyFaults::default());
    tokio::spawn(async move {
        let (inbound, source) = proxy.accept().await.unwrap();
        forward_connection(inbound, source.ip(), server_address, watching).await;
    });
    let mut client = TcpStream::connect(proxy_address).await?;
    let (mut stream, _) = server.accept().await?;
    stream.write_all(b"part").await?;
    if is_reset {
        stream.set_zero_linger()?;
    }
    drop(stream);
    let mut received = Vec::new();
    client.read_to_end(&mut received).await?;
    Ok(received)
}

#[tokio::test(flavor = "multi_thread")]
async fn reset_is_not_passed_on_as_a_regular_end() {
    for _ in 0..CONNECTIONS {
        let received = receive(true).await;
        assert!(received.is_err(), "{received:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn regular_end_is_passed_on_with_all_bytes() {
    for _ in 0..CONNECTIONS {
        assert_eq!(receive(false).await.unwrap(), b"part");
    }
}
