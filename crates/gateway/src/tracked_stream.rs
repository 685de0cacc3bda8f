//! A caller's stream that records when bytes are read and written, and that is closed
//! without a reset.

use crate::connection_activity::ConnectionActivity;
use skylarkshed_core::ClockTime;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Sleep};

/// How long bytes of the caller are discarded after the last response. Closing a
/// connection with unread bytes resets it, and the reset may overtake the response.
const LINGER_TIMEOUT: ClockTime = ClockTime::from_millis(500);
const DISCARD_BYTES: usize = 4 * 1024;

/// A caller's stream.
pub(crate) struct TrackedStream {
    stream: TcpStream,
    activity: Arc<ConnectionActivity>,
    /// Runs since the writing side was closed.
    linger: Option<Pin<Box<Sleep>>>,
}

impl TrackedStream {
    pub(crate) fn new(stream: TcpStream, activity: Arc<ConnectionActivity>) -> Self {
        TrackedStream {
            stream,
            activity,
            linger: None,
        }
    }

    /// Discards bytes until the caller closes the connection.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut bytes = [0; DISCARD_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut bytes);
            ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer))?;
            if buffer.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            self.activity.record_discard(buffer.filled().len());
        }
    }
}

impl Drop for TrackedStream {
    fn drop(&mut self) {
        // Without a reset, a response that ends early would look complete.
        if self.linger.is_none() && self.activity.is_close_delimited() {
            if let Err(error) = self.stream.set_zero_linger() {
                log::debug!("can't reset a caller's connection: {error}");
            }
        }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if buffer.filled().len() > filled {
            self.activity.record_read();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Poll::Ready(written) = Pin::new(&mut self.stream).poll_write(context, bytes) else {
            self.activity.record_blocked_write();
            return Poll::Pending;
        };
        let count = written?;
        self.activity.record_write();
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    /// Closes the writing side, then waits for the caller to close the connection.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
            self.linger = Some(Box::pin(sleep(LINGER_TIMEOUT.to_duration())));
        }
        let linger = self.linger.as_mut();
        if linger.is_some_and(|linger| linger.as_mut().poll(context).is_ready()) {
            return Poll::Ready(Ok(()));
        }
        self.poll_discard(context)
    }
}
