//! Limit on the time for which the peer of a connection takes no bytes.

use std::{
    future::Future,
    io,
    os::fd::AsFd,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Sleep, sleep},
};

/// A stream that fails once its peer has taken no byte of what is to be written
/// for a time.
///
/// The kernel closes such a connection only if the peer's machine is gone, and
/// only after many minutes. It reports that a socket can be written only when a
/// third of its buffer is free, so a slow peer may take bytes without a report: the
/// stream tries to write once more before it fails.
#[derive(Debug)]
pub struct LimitedWriter<S> {
    stream: S,
    limit: Duration,
    /// Runs while the peer takes nothing.
    blocked: Option<Pin<Box<Sleep>>>,
}

impl<S: AsFd> LimitedWriter<S> {
    /// Creates a stream that fails when a write has made no progress for `limit`.
    pub fn new(stream: S, limit: Duration) -> Self {
        Self {
            stream,
            limit,
            blocked: None,
        }
    }

    /// Starts, polls or ends the timer as the result of a write of `bytes` demands.
    fn limit_write(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.blocked = None;
            return written;
        }
        let limit = self.limit;
        let timer = self.blocked.get_or_insert_with(|| Box::pin(sleep(limit)));
        if timer.as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        self.blocked = None;
        let sent = SockRef::from(&self.stream).send(bytes);
        Poll::Ready(sent.map_err(|error| match error.kind() {
            io::ErrorKind::WouldBlock => io::Error::from(io::ErrorKind::TimedOut),
            _ => error,
        }))
    }
}

impl<S: AsyncRead + AsFd + Unpin> AsyncRead for LimitedWriter<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + AsFd + Unpin> AsyncWrite for LimitedWriter<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.limit_write(context, written, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        let first = slices.iter().find(|slice| !slice.is_empty());
        self.limit_write(context, written, first.map_or(&[], |slice| slice))
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
