//! Runs a small fleet in the test process: daemons, and stubs of backend
//! servers and of the platform, all on loopback.

#![allow(dead_code, reason = "each test file uses only a part of the harness")]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use config::publish_set;
use fakes::{
    BackendStub, Behaviour, Deployment, DeploymentShape, ECHO_HEADER, PlatformStub, RUN_HEADER,
    ServiceShape,
};
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use reader::HttpPlatformBuilder;
use serve::{
    Budgets, Daemon, DaemonBuilder, DefaultCodec, EdgeCodec, FleetSecret, LogSettings, Policy,
    Settings, SourceKind,
};

/// Fleet secret of the test fleets.
pub const SECRET: &str = "a secret for tests only";
/// API key of the account that tests use by default.
pub const KEY: &str = "key-of-radio-one";
/// Maximum wait for a condition that a test expects.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Returns a loopback address whose port the system chooses at binding.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Size and settings of a test fleet.
#[derive(Clone, Debug)]
pub struct FleetShape {
    pub daemons: usize,
    pub zones: usize,
    pub servers: usize,
    /// Number of slots of each backend server.
    pub slots: u32,
    /// Body of the answers of the backend servers.
    pub body: Bytes,
    /// Name, rate per second and burst of each client account.
    pub accounts: Vec<(String, u64, u64)>,
    pub budgets: Budgets,
    /// Headers that the daemons exchange with callers and backend servers.
    pub codec: Arc<dyn EdgeCodec>,
}

impl Default for FleetShape {
    fn default() -> Self {
        Self {
            daemons: 3,
            zones: 3,
            servers: 3,
            slots: 5,
            body: Bytes::from_static(b"break plan"),
            accounts: vec![("radio-one".to_owned(), 10_000, 10_000)],
            budgets: Budgets::default(),
            codec: Arc::new(DefaultCodec),
        }
    }
}

impl FleetShape {
    /// Returns the shape of a fleet of one daemon and one backend server.
    pub fn single() -> Self {
        Self {
            daemons: 1,
            zones: 1,
            servers: 1,
            ..Self::default()
        }
    }
}

/// Running test fleet.
pub struct Fleet {
    pub platform: PlatformStub,
    pub backends: Vec<BackendStub>,
    /// Daemons by index; `None` for a daemon that the test has stopped.
    pub daemons: Vec<Option<Daemon>>,
    pub deployment: Deployment,
    pub client: Client<HttpConnector, Full<Bytes>>,
    /// Peer addresses on which the daemons listen. The VM records may name
    /// those of relays instead.
    pub peers: Vec<SocketAddr>,
    ingresses: Vec<SocketAddr>,
}

/// Complete answer to a request.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    /// Returns the value of a header, or an empty string without it.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or("")
    }

    /// Returns the value of the outcome header. It is empty in the answer of a
    /// backend server.
    pub fn outcome(&self) -> &str {
        self.header("dogwoodshore-outcome")
    }
}

/// Returns the settings of one daemon of a test fleet.
pub fn test_settings(index: usize, shape: &FleetShape, platform: SocketAddr) -> Settings {
    Settings {
        vm: format!("vm-{index}").parse().unwrap(),
        zone: format!("zone-{}", index % shape.zones).parse().unwrap(),
        ingress: any_port(),
        peer: any_port(),
        admin: any_port(),
        platform,
        source: SourceKind::Published,
        zones: Default::default(),
        service: None,
        secret: Some(FleetSecret::new(SECRET)),
        secret_file: None,
        log: LogSettings::default(),
        budgets: shape.budgets.clone(),
        policy: Policy::default(),
    }
}

/// Creates an HTTP client that shares no connections with other clients.
pub fn new_client() -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

impl Fleet {
    /// Starts a fleet and waits until every daemon has its configuration and
    /// gets tokens for all accounts.
    pub async fn start(shape: FleetShape) -> Self {
        Self::start_with(shape, |_| {}).await
    }

    /// Starts a fleet with a single slot. Its backend server holds requests
    /// until the test releases them.
    pub async fn start_held() -> Self {
        let shape = FleetShape {
            slots: 1,
            ..FleetShape::single()
        };
        let fleet = Self::start(shape).await;
        fleet.backends[0].hold();
        fleet.backends[0].set_behaviour(Behaviour::Held);
        fleet
    }

    /// Starts a fleet like [`Self::start`], after `change` has edited its
    /// records.
    pub async fn start_with(shape: FleetShape, change: impl FnOnce(&mut Deployment)) -> Self {
        let accounts: Vec<String> = shape
            .accounts
            .iter()
            .map(|(name, ..)| name.clone())
            .collect();
        let fleet = Self::start_configured(shape, change).await;
        for account in &accounts {
            fleet.wait_for_tokens_of(account).await;
        }
        fleet
    }

    /// Starts a fleet and waits only until every daemon has its configuration.
    /// No request is sent.
    pub async fn start_configured(shape: FleetShape, change: impl FnOnce(&mut Deployment)) -> Self {
        let platform = PlatformStub::start(any_port()).await.unwrap();
        let mut backends = Vec::new();
        for _ in 0..shape.servers {
            backends.push(
                BackendStub::start(any_port(), shape.body.clone())
                    .await
                    .unwrap(),
            );
        }
        let bind = |index| {
            let settings = test_settings(index, &shape, platform.address());
            DaemonBuilder::bind(settings).unwrap()
        };
        let builders: Vec<DaemonBuilder> = (0..shape.daemons).map(bind).collect();
        let deployment_shape = DeploymentShape {
            zones: shape.zones,
            daemons: builders
                .iter()
                .map(|builder| builder.addresses().peer)
                .collect(),
            services: vec![ServiceShape {
                name: "plans".to_owned(),
                servers: backends.iter().map(BackendStub::address).collect(),
                slots: shape.slots,
            }],
            accounts: shape.accounts.clone(),
        };
        let mut deployment = Deployment::new(&deployment_shape, SECRET.as_bytes());
        change(&mut deployment);
        platform.publish_vms(&deployment.vms);
        platform.publish(&publish_set(None, &deployment.records).unwrap());
        // A feed remembers which changes it has read, so daemons can't share one.
        let start = |builder: DaemonBuilder| {
            let feed = HttpPlatformBuilder::new(platform.address()).feed();
            builder.start_with(Arc::new(feed), Arc::clone(&shape.codec))
        };
        let peers = builders
            .iter()
            .map(|builder| builder.addresses().peer)
            .collect();
        let daemons: Vec<Daemon> = builders.into_iter().map(start).collect();
        let fleet = Self {
            platform,
            backends,
            ingresses: daemons
                .iter()
                .map(|daemon| daemon.addresses().ingress)
                .collect(),
            daemons: daemons.into_iter().map(Some).collect(),
            deployment,
            peers,
            client: new_client(),
        };
        fleet
            .wait_until("all daemons have their configuration", |fleet| {
                let mut daemons = fleet.daemons.iter().flatten();
                daemons.all(|daemon| daemon.view().is_ready())
            })
            .await;
        fleet
    }

    /// Waits until every daemon gets tokens for the default account.
    pub async fn wait_for_tokens(&self) {
        self.wait_for_tokens_of("radio-one").await;
    }

    /// Waits until every daemon gets tokens for an account. Homes grant no
    /// tokens right after a start of the whole fleet: each first has to borrow
    /// shares from the other members of its cell.
    async fn wait_for_tokens_of(&self, account: &str) {
        let key = format!("key-of-{account}");
        for daemon in 0..self.daemons.len() {
            let end = tokio::time::Instant::now() + WAIT_LIMIT;
            loop {
                let request = self.request(daemon, Method::GET, "/plans/warm-up");
                let answer = self.send(request.key(&key)).await.unwrap();
                match answer.status {
                    StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                        assert!(
                            tokio::time::Instant::now() < end,
                            "daemon {daemon} gets no tokens for {account}: {answer:?}"
                        );
                        tokio::time::sleep(Duration::from_millis(50)).await;
                    }
                    _ => break,
                }
            }
        }
    }

    /// Starts a daemon anew that has been killed, with its configuration from `platform`.
    pub fn restart(&self, index: usize, shape: &FleetShape, platform: &PlatformStub) -> Daemon {
        let mut settings = test_settings(index, shape, platform.address());
        settings.peer = self.peers[index];
        let feed = Arc::new(HttpPlatformBuilder::new(platform.address()).feed());
        let builder = DaemonBuilder::bind(settings).unwrap();
        builder.start_with(feed, Arc::clone(&shape.codec))
    }

    /// Returns a running daemon.
    pub fn daemon(&self, index: usize) -> &Daemon {
        self.daemons[index]
            .as_ref()
            .expect("the test has not stopped this daemon")
    }

    /// Creates a request to the ingress of a daemon, with the default key.
    pub fn request(&self, daemon: usize, method: Method, path: &str) -> TestRequest {
        self.request_to(self.ingresses[daemon], method, path)
    }

    /// Creates a request to an address, with the default key.
    pub fn request_to(&self, ingress: SocketAddr, method: Method, path: &str) -> TestRequest {
        TestRequest {
            method,
            uri: format!("http://{ingress}{path}"),
            headers: vec![("authorization".to_owned(), format!("Bearer {KEY}"))],
            body: Bytes::new(),
        }
    }

    /// Sends a GET request with the default key.
    pub async fn get(&self, daemon: usize, path: &str) -> Answer {
        self.send(self.request(daemon, Method::GET, path))
            .await
            .unwrap()
    }

    /// Sends a POST request with the default key and a run id.
    pub async fn post(&self, daemon: usize, id: &str) -> Answer {
        let request = self.request(daemon, Method::POST, "/plans/book");
        self.send(request.run_id(id)).await.unwrap()
    }

    /// Sends a request. Returns an error if the answer is not complete.
    pub async fn send(&self, request: TestRequest) -> Result<Answer, String> {
        send_with(&self.client, request).await
    }

    /// Waits until a condition holds; `what` describes it in the panic message.
    pub async fn wait_until(&self, what: &str, condition: impl Fn(&Self) -> bool) {
        let end = tokio::time::Instant::now() + WAIT_LIMIT;
        while !condition(self) {
            assert!(
                tokio::time::Instant::now() < end,
                "timed out waiting until: {what}"
            );
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Waits until exactly `length` requests wait for a slot at a daemon's
    /// egress.
    pub async fn wait_for_queue(&self, daemon: usize, length: usize) {
        let admin = self.daemon(daemon).addresses().admin;
        let line = format!("dogwoodshore_waiting {length}\n");
        let end = tokio::time::Instant::now() + WAIT_LIMIT;
        loop {
            let request = self.request_to(admin, Method::GET, "/metrics");
            let page = self.send(request).await.unwrap().body;
            if String::from_utf8_lossy(&page).contains(&line) {
                return;
            }
            assert!(
                tokio::time::Instant::now() < end,
                "the queue of daemon {daemon} has not the length {length}"
            );
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Sends GET requests until one is answered with `status`. Checks that each
    /// answer of a backend server belongs to its request.
    pub async fn wait_for_answer(&self, daemon: usize, path: &str, status: StatusCode) {
        let end = tokio::time::Instant::now() + WAIT_LIMIT;
        loop {
            let answer = self.get(daemon, path).await;
            match answer.outcome() {
                "" => assert_eq!(answer.header(ECHO_HEADER), path, "{answer:?}"),
                _ => assert!(tokio::time::Instant::now() < end, "{answer:?}"),
            }
            if answer.status == status {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns how often the backend servers ran the request with this run id.
    pub fn runs(&self, id: &str) -> u64 {
        self.backends.iter().map(|backend| backend.runs(id)).sum()
    }

    /// Kills the daemons and stops the stubs.
    pub async fn stop(self) {
        for daemon in self.daemons.into_iter().flatten() {
            daemon.kill().await;
        }
        for backend in self.backends {
            backend.stop().await;
        }
        self.platform.stop().await;
    }
}

/// Sends a request with the given client. Returns an error if the answer is
/// not complete.
pub async fn send_with(
    client: &Client<HttpConnector, Full<Bytes>>,
    request: TestRequest,
) -> Result<Answer, String> {
    let response = client
        .request(request.build())
        .await
        .map_err(|error| format!("{error:?}"))?;
    let (head, body) = response.into_parts();
    let body = body.collect().await.map_err(|error| error.to_string())?;
    Ok(Answer {
        status: head.status,
        headers: head.headers,
        body: body.to_bytes(),
    })
}

/// Request of a test, which can be changed until it is sent.
#[derive(Clone, Debug)]
pub struct TestRequest {
    method: Method,
    uri: String,
    headers: Vec<(String, String)>,
    body: Bytes,
}

impl TestRequest {
    /// Adds a header to the request.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Replaces the API key.
    pub fn key(mut self, key: &str) -> Self {
        self.headers.retain(|(name, _)| name != "authorization");
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Removes the API key.
    pub fn no_key(mut self) -> Self {
        self.headers.retain(|(name, _)| name != "authorization");
        self
    }

    /// Sets the run id, under which the stubs count how often they run the
    /// request.
    pub fn run_id(self, id: &str) -> Self {
        self.header(RUN_HEADER, id)
    }

    /// Sets the request body.
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Converts this into a request for the HTTP client.
    fn build(self) -> Request<Full<Bytes>> {
        let mut builder = Request::builder().method(self.method).uri(self.uri);
        for (name, value) in self.headers {
            builder = builder.header(name, value);
        }
        builder.body(Full::new(self.body)).unwrap()
    }
}
