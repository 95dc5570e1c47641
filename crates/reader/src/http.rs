//! Client of the platform over HTTP with long polling.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

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

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for a complete response, in addition to the wait time of a watch.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Ratio of that time limit to the one of a watch on a pooled connection. A
/// connection that no longer responds has to be replaced well within the time in
/// which a change has to be in force.
const POOLED_DIVISOR: u32 = 4;
/// Idle time after which a connection is probed, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Number of unanswered probes after which a connection counts as dead.
const KEEPALIVE_RETRIES: u32 = 3;
/// Time that sent bytes may remain unacknowledged before the connection is
/// closed.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Header that contains the revision of a value.
const REVISION_HEADER: &str = "revision";

/// Builder of an [`HttpPlatform`].
#[derive(Clone, Debug)]
pub struct HttpPlatformBuilder {
    address: SocketAddr,
    read_timeout: Duration,
}

impl HttpPlatformBuilder {
    /// Creates a builder of a client for the platform at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            read_timeout: READ_TIMEOUT,
        }
    }

    /// Sets the time limit for a complete response.
    pub fn read_timeout(mut self, timeout: Duration) -> Self {
        self.read_timeout = timeout;
        self
    }

    /// Builds the client and returns a feed of its values.
    pub fn feed(self) -> PublishedFeed {
        PublishedFeed::new(Arc::new(self.build()))
    }

    /// Builds the client, which connects on its first request.
    pub fn build(self) -> HttpPlatform {
        HttpPlatform {
            address: self.address,
            read_timeout: self.read_timeout,
            client: Arc::new(Mutex::new(new_client())),
        }
    }
}

/// HTTP client with pooled connections.
type HttpClient = Client<HttpConnector, Empty<Bytes>>;

/// Creates a client without connections.
fn new_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
    connector.set_tcp_user_timeout(Some(USER_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build(connector)
}

/// Client of a platform with the protocol of `docs/PLATFORM.md`.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    address: SocketAddr,
    read_timeout: Duration,
    client: Arc<Mutex<HttpClient>>,
}

impl HttpPlatform {
    /// Requests the value `name` with a query, and reads the complete response
    /// within `limit`. Returns `None` for status 304.
    async fn get_value(
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
        let client = self.lock_client().clone();
        let result = async {
            let response = client.request(request).await.map_err(|error| {
                Report::new(PlatformError::Unreachable {
                    name: name.to_owned(),
                    cause: error.to_string(),
                })
            })?;
            read_response(name, response).await
        };
        match timeout(limit, result).await {
            Ok(result) => result,
            Err(_) => {
                // The other pooled connections may be silent as well.
                *self.lock_client() = new_client();
                Err(Report::new(PlatformError::TimedOut {
                    name: name.to_owned(),
                    after: limit,
                }))
            }
        }
    }

    /// Locks the client, whose holders never panic.
    fn lock_client(&self) -> MutexGuard<'_, HttpClient> {
        self.client
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}

/// Reads a response with its body. Returns `None` for status 304.
async fn read_response(
    name: &str,
    response: Response<Incoming>,
) -> Result<Option<PlatformValue>, Report<PlatformError>> {
    let bad_response = |cause: String| {
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
        status => return Err(bad_response(format!("status {status}"))),
    }
    let header = response.headers().get(REVISION_HEADER);
    let text = header.and_then(|value| value.to_str().ok()).unwrap_or("");
    let revision = text
        .parse::<Revision>()
        .map_err(|error| bad_response(format!("header `{REVISION_HEADER}`: {error}")))?;
    let body = Limited::new(response.into_body(), MAX_VALUE_BYTES);
    let collected = body
        .collect()
        .await
        .map_err(|error| bad_response(error.to_string()))?;
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
            let value = self.get_value(name, "", self.read_timeout).await?;
            value.ok_or_else(|| {
                Report::new(PlatformError::BadResponse {
                    name: name.to_owned(),
                    cause: "status 304 to a read without `after`".to_owned(),
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
            let query = |wait: Duration| format!("?after={after}&wait_ms={}", wait.as_millis());
            let limit = wait + self.read_timeout / POOLED_DIVISOR;
            let value = match self.get_value(name, &query(wait), limit).await {
                Err(error) if matches!(error.current_context(), PlatformError::TimedOut { .. }) => {
                    log::info!("reader: the platform is asked again on a new connection: {error}.");
                    let query = query(Duration::ZERO);
                    self.get_value(name, &query, self.read_timeout).await?
                }
                value => value?,
            };
            match value {
                Some(value) if value.revision <= after => Err(Report::new(PlatformError::Stale {
                    name: name.to_owned(),
                })),
                value => Ok(value),
            }
        })
    }
}
