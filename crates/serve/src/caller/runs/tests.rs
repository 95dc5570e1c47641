//! Tests of the module `runs`.

use super::*;

/// Body of parts of five bytes that breaks off before the last of them.
struct Broken {
    polls: u64,
    parts: u64,
}

/// Returns a body that breaks off before the last of this number of parts.
fn broken(parts: u64) -> ProxyBody {
    Broken { polls: 0, parts }.boxed_unsync()
}

impl Body for Broken {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.polls += 1;
        Poll::Ready(match self.polls.cmp(&self.parts) {
            std::cmp::Ordering::Less => Some(Ok(Frame::data(Bytes::from_static(b"abcde")))),
            std::cmp::Ordering::Equal => Some(Err("cut".into())),
            std::cmp::Ordering::Greater => None,
        })
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(5 * (self.parts - self.polls.min(self.parts - 1)))
    }
}

/// A body that broke off while it was buffered must not look shorter: the next
/// answer would follow inside of it.
#[test]
fn broken_length() {
    let mut body = AheadBody::new(broken(2), AheadBytes::new(100, Arc::default()));
    assert_eq!(body.size_hint().exact(), Some(10));
    let waker = futures::task::noop_waker();
    body.poll_buffer(&mut Context::from_waker(&waker));
    assert_eq!(body.size_hint().exact(), Some(10));
}

/// Returns what a client reads that sends two requests, each of which runs ahead
/// with a budget of `budget` bytes and whose body breaks off, and whether the
/// connection stays open.
async fn broken_answers(budget: usize) -> (String, bool) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let (client, server) = tokio::io::duplex(4096);
    let service = hyper::service::service_fn(move |_request| async move {
        let answer = Response::builder().header("content-length", 15);
        let answer = answer.body(broken(3)).unwrap();
        let answer: BoxFuture<'static, _> = Box::pin(async move { answer });
        let (uri, codec) = (Uri::from_static("/"), Arc::new(crate::edge::DefaultCodec));
        let budget = AheadBytes::new(budget, Arc::default());
        let mut run = AheadRun::new(Method::GET, uri, answer, budget, codec);
        std::future::poll_fn(|context| {
            run.poll_ahead(context);
            Poll::Ready(())
        })
        .await;
        Ok::<_, std::convert::Infallible>(run.await)
    });
    let served = hyper::server::conn::http1::Builder::new()
        .serve_connection(hyper_util::rt::TokioIo::new(server), service);
    let (mut read, mut write) = tokio::io::split(client);
    let talk = async {
        for _ in 0..2 {
            let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
            let _ = write.write_all(request).await;
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
        let mut bytes = vec![0; 4096];
        let length = read.read(&mut bytes).await.expect("read");
        String::from_utf8_lossy(&bytes[..length]).into_owned()
    };
    let served = tokio::time::timeout(std::time::Duration::from_secs(2), served);
    let (served, text) = tokio::join!(served, talk);
    (text, !matches!(served, Ok(Err(_))))
}

/// An answer whose body broke off before its turn must not be begun: the end of the
/// connection would cut the answers before it.
#[tokio::test]
async fn broken_before_turn() {
    let (text, open) = broken_answers(100).await;
    assert_eq!(text.matches("HTTP/1.1 502").count(), 2, "{text}");
    assert!(!text.contains("HTTP/1.1 200"), "{text}");
    assert!(open, "the connection ends");
}

/// The connection has to end where a body broke off, and carry no further answer.
#[tokio::test]
async fn broken_on_wire() {
    // The budget is full before the error is seen, also when its turn comes.
    let (text, open) = broken_answers(5).await;
    assert!(text.matches("HTTP/1.1 200").count() <= 1, "{text}");
    assert!(!text.contains("HTTP/1.1 502"), "{text}");
    assert!(!open, "the connection goes on");
}

/// An answer that is complete, but whose time ends while the buffer of the connection
/// is full, must keep its length.
#[tokio::test]
async fn late_length() {
    let past = tokio::time::Instant::now();
    let inner = crate::body::full_body(Bytes::from_static(b"0123456789"));
    let body = crate::body::DeadlineBody::new(inner, past).boxed_unsync();
    let budget = AheadBytes::new(100, Arc::default());
    budget.add(100);
    let mut body = AheadBody::new(body, budget.clone());
    tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    let poll = |body: &mut AheadBody| {
        let waker = futures::task::noop_waker();
        body.poll_buffer(&mut Context::from_waker(&waker));
    };
    poll(&mut body);
    assert_eq!(body.size_hint().exact(), Some(10));
    budget.remove(100);
    poll(&mut body);
    assert_eq!(body.size_hint().exact(), Some(10));
}
