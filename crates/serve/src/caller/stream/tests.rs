//! Tests of the module `stream`.

use super::*;
use crate::{clock::MonoClock, settings::Budgets};

/// Peer that takes the first write and no other.
struct FullPeer(bool);

impl AsyncWrite for FullPeer {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match std::mem::replace(&mut self.0, true) {
            false => Poll::Ready(Ok(bytes.len())),
            true => Poll::Pending,
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for FullPeer {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        _: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Poll::Pending
    }
}

/// A connection must not count as idle, and be closed to make room for others, while
/// the peer has not taken the end of an answer.
#[test]
fn unsent_end_not_idle() {
    let state = CallerState::new(MonoClock::default());
    let ahead = SentAhead::new(&Budgets::default(), 8_192, Arc::default());
    let mut stream = CallerStream::new(
        FullPeer(false),
        &state,
        &ahead,
        StreamCharges::new(&Arc::default()),
    );
    let waker = futures::task::noop_waker();
    let mut context = Context::from_waker(&waker);
    state.begin_request();
    assert!(
        Pin::new(&mut stream)
            .poll_write(&mut context, b"begin")
            .is_ready()
    );
    state.end_request();
    assert!(state.idle_since().is_some());
    assert!(
        Pin::new(&mut stream)
            .poll_write(&mut context, b"end")
            .is_pending()
    );
    assert_eq!(state.idle_since(), None);
    // The peer takes the rest.
    stream.stream.0 = false;
    assert!(
        Pin::new(&mut stream)
            .poll_write(&mut context, b"end")
            .is_ready()
    );
    assert!(state.idle_since().is_some());
}
