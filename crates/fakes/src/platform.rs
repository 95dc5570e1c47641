//! Stub of the platform: the configuration service and the VM list.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use config::{PackedValue, VmList};
use futures::future::FutureExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::{Request, Response, StatusCode, body::Frame};
use ids::{FastMap, Revision};
use tokio::sync::watch;

use crate::{StubBody, StubServer, full_body};

/// How the stub misbehaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PlatformFault {
    /// Responds correctly.
    #[default]
    None,
    /// Closes each connection without a response.
    Down,
    /// Never responds.
    Hang,
    /// Aborts the body in the middle of a value.
    HalfAnswer,
    /// Responds with status 500.
    Errors,
    /// Responds without the revision header.
    NoRevision,
    /// Responds with a value over the size limit.
    TooLarge,
    /// Responds with a body that is not valid JSON.
    Garbage,
}

/// Published values by name, with their revisions, and the current fault.
#[derive(Debug, Default)]
struct Values {
    values: FastMap<String, (Revision, Bytes)>,
    fault: PlatformFault,
}

/// State shared between the handler and the owner of the stub.
#[derive(Debug)]
struct Shared {
    values: Mutex<Values>,
    /// Changes with each publication and each new fault.
    changed: watch::Sender<u64>,
    calls: AtomicU64,
}

/// A platform that holds its values in memory.
#[derive(Debug)]
pub struct PlatformStub {
    server: StubServer,
    shared: Arc<Shared>,
}

impl PlatformStub {
    /// Starts a platform without values on `address`.
    ///
    /// # Errors
    ///
    /// Returns the error if the address cannot be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            values: Mutex::default(),
            changed: watch::channel(0).0,
            calls: AtomicU64::new(0),
        });
        let handler_shared = Arc::clone(&shared);
        let server = StubServer::start(address, move |request| {
            handle(Arc::clone(&handler_shared), request.map(|_| ())).boxed()
        })
        .await?;
        Ok(Self { server, shared })
    }

    /// Address on which the stub listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Number of requests so far; a watch counts once, however long it waits.
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }

    /// Publishes all values at once, each under its next revision.
    pub fn publish(&self, values: &[PackedValue]) {
        let mut guard = self.lock();
        for value in values {
            let entry = guard.values.entry(value.name.clone()).or_default();
            let revision = Revision(entry.0.get() + 1);
            *entry = (revision, Bytes::copy_from_slice(&value.bytes));
        }
        drop(guard);
        self.wake();
    }

    /// Publishes a VM list under the name `vms`.
    pub fn publish_vms(&self, list: &VmList) {
        let bytes = serde_json::to_vec(list).expect("a VM list can be written as JSON");
        self.publish(&[PackedValue {
            name: "vms".to_owned(),
            bytes,
        }]);
    }

    /// Sets the fault for requests from now on and for waiting watches.
    pub fn set_fault(&self, fault: PlatformFault) {
        self.lock().fault = fault;
        self.wake();
    }

    /// Stops the stub and waits until it has ended.
    pub async fn stop(self) {
        self.server.stop().await;
    }

    /// Wakes the waiting watches.
    fn wake(&self) {
        self.shared.changed.send_modify(|count| *count += 1);
    }

    /// Locks the values and the fault.
    fn lock(&self) -> std::sync::MutexGuard<'_, Values> {
        self.shared
            .values
            .lock()
            .expect("no holder of the values panics")
    }
}

/// Query of a watch, a read that waits for a newer revision.
struct WatchQuery {
    after: Revision,
    wait: Duration,
}

/// Parses `after` and `wait_ms`; returns `None` unless both are present.
fn parse_query(query: &str) -> Option<WatchQuery> {
    let field = |name: &str| {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut values = pairs
            .filter(|(key, _)| *key == name)
            .map(|(_, value)| value);
        values.next()?.parse::<u64>().ok()
    };
    Some(WatchQuery {
        after: Revision(field("after")?),
        wait: Duration::from_millis(field("wait_ms")?),
    })
}

/// Responds to a read, or to a watch once the value is newer or time is up.
async fn handle(shared: Arc<Shared>, request: Request<()>) -> Option<Response<StubBody>> {
    shared.calls.fetch_add(1, Ordering::Relaxed);
    let uri = request.uri();
    let name = uri
        .path()
        .strip_prefix("/v1/values/")
        .unwrap_or("")
        .to_owned();
    let watch = parse_query(uri.query().unwrap_or(""));
    let mut changed = shared.changed.subscribe();
    let end = tokio::time::Instant::now() + watch.as_ref().map_or(Duration::ZERO, |w| w.wait);
    loop {
        let (fault, value) = {
            let guard = shared
                .values
                .lock()
                .expect("no holder of the values panics");
            (guard.fault, guard.values.get(&name).cloned())
        };
        let newer = match (&watch, &value) {
            (Some(watch), Some((revision, _))) => *revision > watch.after,
            (Some(_), None) => false,
            (None, _) => true,
        };
        if fault != PlatformFault::None || newer {
            return respond(fault, value).await;
        }
        if tokio::time::timeout_at(end, changed.changed())
            .await
            .is_err()
        {
            return Some(status_response(StatusCode::NOT_MODIFIED));
        }
    }
}

/// Returns a response with an empty body.
fn status_response(status: StatusCode) -> Response<StubBody> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Responds with the value, changed as the fault demands.
async fn respond(
    fault: PlatformFault,
    value: Option<(Revision, Bytes)>,
) -> Option<Response<StubBody>> {
    let Some((revision, bytes)) = value else {
        return Some(status_response(StatusCode::NOT_FOUND));
    };
    let builder = Response::builder().header("revision", revision.to_string());
    let response = match fault {
        PlatformFault::None => builder.body(full_body(bytes)),
        PlatformFault::Down => return None,
        PlatformFault::Hang => std::future::pending().await,
        PlatformFault::HalfAnswer => {
            let length = bytes.len();
            let half = bytes.slice(..length / 2);
            let frames = [
                Ok(Frame::data(half)),
                Err(io::Error::other("the body was aborted by the fault")),
            ];
            let body = StreamBody::new(futures::stream::iter(frames)).boxed_unsync();
            builder.header("content-length", length).body(body)
        }
        PlatformFault::Errors => builder.status(500).body(full_body("")),
        PlatformFault::NoRevision => Response::builder().body(full_body(bytes)),
        PlatformFault::TooLarge => builder.body(full_body(vec![b' '; config::MAX_VALUE_BYTES + 1])),
        PlatformFault::Garbage => builder.body(full_body("{\"revision\": ")),
    };
    response.ok()
}
