//! The platform over HTTP with long poll.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use config::MAX_VALUE_BYTES;
use error_stack::Report;
use futures::future::BoxFuture;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Request, Response, StatusCode, body::Incoming};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use ids::Revision;
use tokio::time::timeout;

use crate::{PlatformError, PlatformSource, PlatformValue, PublishedFeed};

/// Time for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for a whole answer, on top of the wait of a watch.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Time that an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Header with the revision of a value.
const REVISION_HEADER: &str = "revision";

/// Builds an [`HttpPlatform`].
#[derive(Clone, Debug)]
pub struct HttpPlatformBuilder {
    address: SocketAddr,
    read_timeout: Duration,
}

impl HttpPlatformBuilder {
    /// A client of the service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            read_timeout: READ_TIMEOUT,
        }
    }

    /// Sets the time for a whole answer.
    pub fn read_timeout(mut self, timeout: Duration) -> Self {
        self.read_timeout = timeout;
        self
    }

    /// Makes a feed of the values there.
    pub fn feed(self) -> PublishedFeed {
        PublishedFeed::new(Arc::new(self.build()))
    }

    /// Makes the client; it connects when it is first used.
    pub fn build(self) -> HttpPlatform {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        HttpPlatform {
            address: self.address,
            read_timeout: self.read_timeout,
            client,
        }
    }
}

/// Client of a platform that speaks the contract of `docs/PLATFORM.md`.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    address: SocketAddr,
    read_timeout: Duration,
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl HttpPlatform {
    /// Asks for `name` with a query, and reads the whole answer within `limit`.
    async fn ask(
        &self,
        name: &str,
        query: &str,
        limit: Duration,
    ) -> Result<Option<PlatformValue>, Report<PlatformError>> {
        let uri = format!("http://{}/v1/values/{name}{query}", self.address);
        let request = Request::get(uri).body(Empty::new()).map_err(|error| {
            Report::new(PlatformError::BadResponse {
                name: name.to_owned(),
                cause: error.to_string(),
            })
        })?;
        let answer = async {
            let response = self.client.request(request).await.map_err(|error| {
                Report::new(PlatformError::Unreachable {
                    name: name.to_owned(),
                    cause: error.to_string(),
                })
            })?;
            read_answer(name, response).await
        };
        match timeout(limit, answer).await {
            Ok(result) => result,
            Err(_) => Err(Report::new(PlatformError::TimedOut {
                name: name.to_owned(),
                after: limit,
            })),
        }
    }
}

/// Reads an answer to its end.
async fn read_answer(
    name: &str,
    response: Response<Incoming>,
) -> Result<Option<PlatformValue>, Report<PlatformError>> {
    let bad = |cause: String| {
        Report::new(PlatformError::BadResponse {
            name: name.to_owned(),
            cause,
        })
    };
    match response.status() {
        StatusCode::OK => {}
        StatusCode::NOT_MODIFIED => return Ok(None),
        StatusCode::NOT_FOUND => {
            return Err(Report::new(PlatformError::NotFound {
                name: name.to_owned(),
            }));
        }
        status => return Err(bad(format!("status {status}"))),
    }
    let header = response.headers().get(REVISION_HEADER);
    let text = header.and_then(|value| value.to_str().ok()).unwrap_or("");
    let revision = text
        .parse::<Revision>()
        .map_err(|error| bad(format!("header `{REVISION_HEADER}`: {error}")))?;
    let body = Limited::new(response.into_body(), MAX_VALUE_BYTES);
    let collected = body
        .collect()
        .await
        .map_err(|error| bad(error.to_string()))?;
    Ok(Some(PlatformValue {
        revision,
        bytes: collected.to_bytes(),
    }))
}

impl PlatformSource for HttpPlatform {
    fn read<'a>(
        &'a self,
        name: &'a str,
    ) -> BoxFuture<'a, Result<PlatformValue, Report<PlatformError>>> {
        Box::pin(async move {
            let value = self.ask(name, "", self.read_timeout).await?;
            value.ok_or_else(|| {
                Report::new(PlatformError::BadResponse {
                    name: name.to_owned(),
                    cause: "status 304 to a plain read".to_owned(),
                })
            })
        })
    }

    fn watch<'a>(
        &'a self,
        name: &'a str,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Option<PlatformValue>, Report<PlatformError>>> {
        Box::pin(async move {
            let query = format!("?after={after}&wait_ms={}", wait.as_millis());
            let limit = wait + self.read_timeout;
            match self.ask(name, &query, limit).await? {
                Some(value) if value.revision <= after => Err(Report::new(PlatformError::Stale {
                    name: name.to_owned(),
                })),
                value => Ok(value),
            }
        })
    }
}
