//! Limits how much is read before a response head is complete.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The maximum number of bytes read up to the end of a head. It covers the head,
/// informational responses and empty lines before it, and the part of the body that is
/// received together with it.
const MAX_HEAD_BYTES: usize = 128 * 1024;

/// How many bytes may still be read before the response head is complete.
#[derive(Clone, Debug)]
pub(crate) struct HeadLimit(Arc<AtomicUsize>);

impl HeadLimit {
    pub(crate) fn new() -> Self {
        HeadLimit(Arc::new(AtomicUsize::new(MAX_HEAD_BYTES)))
    }

    /// Applies the limit to the head of the next response.
    pub(crate) fn start_head(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Lifts the limit, because the head is complete.
    pub(crate) fn finish_head(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    pub(crate) fn is_exceeded(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    /// Counts bytes that have been read.
    fn record_bytes(&self, count: usize) {
        let subtract = |remaining: usize| match remaining {
            usize::MAX => None,
            remaining => Some(remaining.saturating_sub(count)),
        };
        // A lifted limit stays as it is.
        let _ = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract);
    }
}

/// A stream whose reads fail once the limit is exceeded.
#[derive(Debug)]
pub(crate) struct LimitedStream {
    pub(crate) stream: TcpStream,
    pub(crate) limit: HeadLimit,
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.limit.is_exceeded() {
            return Poll::Ready(Err(io::Error::other("the response head is too long")));
        }
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.limit.record_bytes(buffer.filled().len() - filled);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
