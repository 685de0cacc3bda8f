//! A network path that can be cut: meanwhile bytes and closes are held up.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// A path to an address; clones share it.
#[derive(Clone)]
pub struct Path {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Path {
    pub fn start(target: SocketAddr) -> Path {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let path = Path {
            address: listener.local_addr().expect("it is bound"),
            is_cut: Arc::default(),
        };
        let serving = path.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let path = serving.clone();
                std::thread::spawn(move || path.serve(stream, target));
            }
        });
        path
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    fn wait_while_cut(&self) {
        while self.is_cut.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    fn serve(&self, near: TcpStream, target: SocketAddr) {
        self.wait_while_cut();
        // An address without a listener refuses the connection.
        let Ok(far) = TcpStream::connect(target) else {
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (Ok(near_reader), Ok(far_reader)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        let path = self.clone();
        std::thread::spawn(move || path.pass(near_reader, far));
        self.pass(far_reader, near);
    }

    fn pass(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = [0; 16 * 1024];
        loop {
            let read = from.read(&mut buffer);
            self.wait_while_cut();
            match read {
                Ok(count) if count > 0 => {
                    if to.write_all(&buffer[..count]).is_err() {
                        let _ = from.shutdown(Shutdown::Both);
                        return;
                    }
                }
                _ => {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
            }
        }
    }
}
