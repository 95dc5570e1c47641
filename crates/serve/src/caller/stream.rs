//! Stream of a caller's connection, which records when bytes pass and holds back
//! those behind the request that is being served.

use std::{
    future::Future,
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::{ahead::SentAhead, state::CallerState};
use crate::budget::{
    AHEAD_BUFFER_BYTES, ByteAccount, ByteCharge, CONNECTION_BUFFER_BYTES, WRITE_BUFFER_BYTES,
};

/// Time for which a connection is still read after it was closed for writing, if
/// there are unread requests. If it was closed at once, the client's system would
/// discard the last answers when its further requests are rejected.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Maximum number of bytes that are read in that time.
const LINGER_BYTES: usize = 1 << 20;

/// Stream of a caller's connection.
pub struct CallerStream<'a, S> {
    stream: S,
    state: &'a CallerState,
    ahead: &'a SentAhead,
    linger: Option<Linger>,
    charges: StreamCharges,
}

/// Bytes that are held for a connection beside those of its requests.
#[derive(Debug)]
pub struct StreamCharges {
    /// Buffers of the HTTP library, from the first byte on.
    buffers: ByteCharge,
    /// Bytes of a head that is not complete.
    head: ByteCharge,
    /// Bytes behind the request that is being served.
    ahead: ByteCharge,
    /// Bytes of answers that the client does not take.
    unsent: ByteCharge,
}

impl StreamCharges {
    /// Opens the charges of a connection that has just been accepted.
    pub fn new(account: &Arc<ByteAccount>) -> Self {
        Self {
            buffers: account.open(),
            head: account.open(),
            ahead: account.open(),
            unsent: account.open(),
        }
    }
}

/// Reading after the connection was closed for writing.
#[derive(Debug)]
struct Linger {
    timer: Pin<Box<tokio::time::Sleep>>,
    bytes_left: usize,
}

impl<'a, S> CallerStream<'a, S> {
    /// Records in `state` when bytes pass through `stream`, and holds back those
    /// that `ahead` does not pass on.
    ///
    /// A head is charged to `charges` while it arrives. The connection fails if it
    /// does not fit.
    pub fn new(
        stream: S,
        state: &'a CallerState,
        ahead: &'a SentAhead,
        charges: StreamCharges,
    ) -> Self {
        Self {
            stream,
            state,
            ahead,
            linger: None,
            charges,
        }
    }

    /// Charges bytes that were read if they are of a head. The last bytes of a head
    /// stay charged until the next read or write.
    fn charge_head(&mut self, bytes: usize) -> io::Result<()> {
        if self.state.is_busy() {
            self.charges.head.clear();
            return Ok(());
        }
        // The buffer of the HTTP library doubles when it grows.
        match self.charges.head.grow(2 * bytes) {
            true => Ok(()),
            false => Err(self.fail_unheld()),
        }
    }

    /// Records the result of a write, and fails the connection if its client does not
    /// take its answer and there is no memory to hold that.
    fn record_written(&mut self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.charges.head.clear();
        self.state.set_blocked(written.is_pending());
        match written {
            Poll::Ready(Ok(1..)) => {
                self.charges.unsent.clear();
                self.state.record_written();
            }
            Poll::Pending
                if self.charges.unsent.is_empty()
                    && !self.charges.unsent.grow(WRITE_BUFFER_BYTES) =>
            {
                return Poll::Ready(Err(self.fail_unheld()));
            }
            _ => {}
        }
        written
    }

    /// Returns the error of a connection that there is no memory for.
    fn fail_unheld(&self) -> io::Error {
        self.state.record_unheld();
        io::Error::from(io::ErrorKind::OutOfMemory)
    }

    /// Charges the bytes that are held behind the request that is being served. The
    /// connection fails if there is no memory for them.
    fn charge_ahead(&mut self) -> io::Result<()> {
        let charge = &mut self.charges.ahead;
        match self.ahead.is_holding() {
            false => charge.clear(),
            true if charge.is_empty() && !charge.grow(AHEAD_BUFFER_BYTES) => {
                return Err(self.fail_unheld());
            }
            true => {}
        }
        Ok(())
    }
}

impl<S: AsyncRead + Unpin> CallerStream<'_, S> {
    /// Reads and discards what the client still sends, up to its end.
    fn poll_linger(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let Some(linger) = &mut self.linger else {
            return Poll::Ready(());
        };
        let mut bytes = [0; 4_096];
        while linger.bytes_left > 0 {
            let mut buffer = ReadBuf::new(&mut bytes);
            match Pin::new(&mut self.stream).poll_read(context, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    let read = buffer.filled().len();
                    linger.bytes_left = linger.bytes_left.saturating_sub(read);
                }
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => return linger.timer.as_mut().poll(context),
            }
        }
        Poll::Ready(())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CallerStream<'_, S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        loop {
            let busy = self.state.is_busy();
            let room = buffer.remaining();
            if self.ahead.is_active()
                && self.ahead.feed(busy, room, |bytes| buffer.put_slice(bytes))
            {
                self.state.record_read();
                return Poll::Ready(Ok(()));
            }
            if !self.ahead.may_read() {
                // What is held is passed on when the answer has ended, and then the
                // library reads on.
                return Poll::Pending;
            }
            ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
            let chunk = &buffer.filled()[before..];
            if chunk.is_empty() {
                return Poll::Ready(Ok(()));
            }
            let passed = self.ahead.arrive(busy, chunk);
            if self.charges.buffers.is_empty() {
                // A request on a connection without buffers is refused by its own
                // charge if there is no memory.
                self.charges.buffers.force(CONNECTION_BUFFER_BYTES);
            }
            self.charge_ahead()?;
            buffer.set_filled(before + passed);
            if passed > 0 {
                self.charge_head(passed)?;
                self.state.record_read();
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for CallerStream<'_, S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_written(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_written(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
        match self.linger {
            None if !self.ahead.is_holding() => return Poll::Ready(Ok(())),
            None => {
                self.linger = Some(Linger {
                    timer: Box::pin(tokio::time::sleep(LINGER_TIME)),
                    bytes_left: LINGER_BYTES,
                });
            }
            Some(_) => {}
        }
        self.poll_linger(context).map(Ok)
    }
}

#[cfg(test)]
mod tests;
