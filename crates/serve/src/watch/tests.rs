//! Tests of the module `watch`.

use super::*;

/// Body of one part and a wait without an end.
struct Started {
    is_waiting: bool,
    _held: Arc<()>,
}

impl Body for Started {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match std::mem::replace(&mut self.is_waiting, true) {
            false => Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(b"a"))))),
            true => Poll::Pending,
        }
    }
}

/// A reader that stops after it has waited for a part must not hold the slot.
#[tokio::test]
async fn abandoned_wait() {
    use http_body_util::BodyExt;
    let held = Arc::new(());
    let limits = BodyLimits {
        server: "s".parse().expect("id"),
        unread: Duration::from_millis(100),
        deadline: None,
    };
    let inner = Started {
        is_waiting: false,
        _held: Arc::clone(&held),
    }
    .boxed_unsync();
    let mut body = WatchedBody::new(inner, limits, Arc::new(TaskGroup::new()));
    let waker = futures::task::noop_waker();
    let mut context = Context::from_waker(&waker);
    assert!(Pin::new(&mut body).poll_frame(&mut context).is_ready());
    assert!(Pin::new(&mut body).poll_frame(&mut context).is_pending());
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(Arc::strong_count(&held), 1);
}
