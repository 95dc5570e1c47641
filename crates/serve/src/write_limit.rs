//! Limit on the time for which the peer of a connection takes no bytes.

use std::{
    future::Future,
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Sleep, sleep},
};

/// A stream that fails once its peer has taken no byte of what is to be written
/// for a time.
///
/// The kernel closes such a connection only if the peer's machine is gone, and
/// only after many minutes.
#[derive(Debug)]
pub struct LimitedWriter<S> {
    stream: S,
    limit: Duration,
    /// Runs while the peer takes nothing.
    blocked: Option<Pin<Box<Sleep>>>,
}

impl<S> LimitedWriter<S> {
    /// Creates a stream that fails when a write has made no progress for `limit`.
    pub fn new(stream: S, limit: Duration) -> Self {
        Self {
            stream,
            limit,
            blocked: None,
        }
    }

    /// Starts, polls or ends the timer as the result of a write demands.
    fn limit_write(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.blocked = None;
            return written;
        }
        let limit = self.limit;
        let timer = self.blocked.get_or_insert_with(|| Box::pin(sleep(limit)));
        timer
            .as_mut()
            .poll(context)
            .map(|()| Err(io::Error::from(io::ErrorKind::TimedOut)))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedWriter<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedWriter<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.limit_write(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.limit_write(context, written)
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
