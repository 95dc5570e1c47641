//! Resumes a large download that broke off, from another backend server.
//!
//! A download is resumed only if the answer has a strong entity tag: `If-Range`
//! then ensures that the rest belongs to the same content. In all other cases
//! the caller's connection is aborted, so that the caller never takes a part for
//! the whole.

use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    HeaderMap, Method, Response, StatusCode,
    body::Frame,
    header::{CONTENT_RANGE, ETAG, HeaderValue, IF_RANGE, RANGE},
};

use route::RetryUrgency;

use crate::{
    attempt::RequestSource,
    body::{BodyError, ProxyBody, full_body},
    ingress::Ingress,
    pool::PoolState,
    run::{RequestRun, RunOptions},
};

/// Maximum number of times that one download is resumed.
const MAX_RESUMES: u32 = 3;

/// State of a download whose answer is being passed to the caller.
struct ResumableDownload {
    ingress: Arc<Ingress>,
    pool: Arc<PoolState>,
    source: Arc<RequestSource>,
    etag: HeaderValue,
    /// Bytes passed to the caller so far.
    received: u64,
    body: ProxyBody,
    resumes: u32,
}

/// Makes the body of an answer resume after it breaks off, where that is safe:
/// a whole answer with a strong entity tag, to an idempotent GET request.
pub fn make_resumable(
    ingress: &Arc<Ingress>,
    pool: &Arc<PoolState>,
    source: &Arc<RequestSource>,
    response: Response<ProxyBody>,
) -> Response<ProxyBody> {
    let etag = strong_etag(response.headers());
    let whole = response.status() == StatusCode::OK && !source.head.headers.contains_key(RANGE);
    let safe = source.options.idempotent && source.head.method == Method::GET && whole;
    let Some(etag) = etag.filter(|_| safe) else {
        return response;
    };
    response.map(|body| {
        let download = ResumableDownload {
            ingress: Arc::clone(ingress),
            pool: Arc::clone(pool),
            source: Arc::clone(source),
            etag,
            received: 0,
            body,
            resumes: 0,
        };
        let frames = stream::try_unfold(download, |mut download| async move {
            let frame = download.next_frame().await?;
            Ok::<_, BodyError>(frame.map(|frame| (frame, download)))
        });
        StreamBody::new(frames).boxed_unsync()
    })
}

/// Returns the entity tag of an answer, if it is a strong one.
fn strong_etag(headers: &HeaderMap) -> Option<HeaderValue> {
    let etag = headers.get(ETAG)?;
    (!etag.as_bytes().starts_with(b"W/")).then(|| etag.clone())
}

impl ResumableDownload {
    /// Returns the next frame; if the answer has broken off, the next frame comes
    /// from another backend server.
    async fn next_frame(&mut self) -> Result<Option<Frame<Bytes>>, BodyError> {
        loop {
            let error = match self.body.frame().await {
                None => return Ok(None),
                Some(Ok(frame)) => {
                    self.received += frame.data_ref().map_or(0, |data| data.len() as u64);
                    return Ok(Some(frame));
                }
                Some(Err(error)) => error,
            };
            if self.resumes >= MAX_RESUMES || !self.pool.budget.withdraw(self.urgency()) {
                return Err(error);
            }
            self.resumes += 1;
            match self.resume_elsewhere().await {
                Some(body) => self.body = body,
                None => return Err(error),
            }
        }
    }

    /// Returns the urgency of a resumption.
    fn urgency(&self) -> RetryUrgency {
        let options = &self.source.options;
        let late = self.ingress.clock.now() > options.target;
        RetryUrgency::new(options.rank, late)
    }

    /// Requests the rest of the download. Returns it if a backend server answers
    /// with just the missing range of the same content.
    async fn resume_elsewhere(&mut self) -> Option<ProxyBody> {
        let mut head = self.source.head.clone();
        let range = format!("bytes={}-", self.received);
        head.headers.insert(RANGE, range.parse().ok()?);
        head.headers.insert(IF_RANGE, self.etag.clone());
        let now = self.ingress.clock.now();
        let options = RunOptions {
            deadline: now + self.pool.service.deadline(),
            started: now,
            ..self.source.options.clone()
        };
        let body = full_body(Bytes::new());
        let pool = Arc::clone(&self.pool);
        let run = RequestRun::new(&self.ingress, pool, head, body, Some(Bytes::new()), options);
        // The future is boxed because its type is recursive: a run can return a
        // download, which contains another run.
        let response = Box::pin(run.finish_without_resume()).await.ok()?;
        let start = format!("bytes {}-", self.received);
        let range = response.headers().get(CONTENT_RANGE)?.to_str().ok()?;
        let same = strong_etag(response.headers()).as_ref() == Some(&self.etag);
        let fits = response.status() == StatusCode::PARTIAL_CONTENT && range.starts_with(&start);
        (same && fits).then(|| response.into_body())
    }
}
