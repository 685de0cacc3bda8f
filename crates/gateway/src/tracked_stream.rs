//! A caller's stream that records when bytes are read and written, and that is closed
//! without a reset.

use crate::connection_activity::ConnectionActivity;
use crate::gateway_state::GatewayState;
use bytes::Bytes;
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
    state: Arc<GatewayState>,
    /// Bytes that were read already, before the connection got another limit.
    unparsed: Bytes,
    /// Runs since the writing side was closed.
    linger: Option<Pin<Box<Sleep>>>,
}

impl TrackedStream {
    pub(crate) fn new(
        stream: TcpStream,
        activity: Arc<ConnectionActivity>,
        state: Arc<GatewayState>,
    ) -> Self {
        TrackedStream {
            stream,
            activity,
            state,
            unparsed: Bytes::new(),
            linger: None,
        }
    }

    /// Returns the stream with bytes that are read again first.
    pub(crate) fn with_unparsed(mut self, bytes: Bytes) -> Self {
        self.unparsed = match self.unparsed.is_empty() {
            true => bytes,
            false => Bytes::from([bytes, self.unparsed.clone()].concat()),
        };
        self
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
        if !self.unparsed.is_empty() {
            let count = buffer.remaining().min(self.unparsed.len());
            buffer.put_slice(&self.unparsed.split_to(count));
            return Poll::Ready(Ok(()));
        }
        if self
            .activity
            .has_outgrown_head_limit(self.state.caller_limits())
        {
            // The task that drives the connection checks the same after this poll.
            return Poll::Pending;
        }
        let limit = buffer.remaining().min(self.activity.max_read_bytes());
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(limit));
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut part))?;
        let count = part.filled().len();
        buffer.advance(count);
        if count > 0 {
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
            self.activity.keep_head_limit();
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
