//! Tests of the module `link`.

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

use super::*;

/// Body of one part and a wait without an end.
struct StalledBody(bool);

impl hyper::body::Body for StalledBody {
    type Data = bytes::Bytes;
    type Error = crate::body::BodyError;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<hyper::body::Frame<bytes::Bytes>, Self::Error>>> {
        match std::mem::replace(&mut self.0, true) {
            false => {
                let part = bytes::Bytes::from_static(b"part");
                std::task::Poll::Ready(Some(Ok(hyper::body::Frame::data(part))))
            }
            true => std::task::Poll::Pending,
        }
    }
}

// Guards against connections that stay open outside the pool, and count against its
// limit, for as long as the body of a request arrives that was answered early.
#[tokio::test]
async fn early_answer_frees_connection() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = [0; 1_024];
        let _ = stream.read(&mut bytes).await;
        let answer = b"HTTP/1.1 413 Content Too Large\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(answer).await.unwrap();
        while stream.read(&mut bytes).await.is_ok_and(|read| read > 0) {}
    });
    let tasks = Arc::new(TaskGroup::new());
    let pool = ConnectionPool::new(address, 1, tasks, StreamMeter::default());
    let mut request = Request::new(StalledBody(false).boxed_unsync());
    *request.method_mut() = hyper::Method::POST;
    let answer = pool.send(request).await.unwrap();
    assert_eq!(answer.status(), 413);
    drop(answer);
    let closed = timeout(MAX_IDLE_TIME + Duration::from_secs(3), server).await;
    assert!(closed.is_ok(), "the connection is still open");
    assert_eq!(pool.open.load(Ordering::Acquire), 0);
}
