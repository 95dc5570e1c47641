//! Panics of one task of a daemon: what they take with them.

mod harness;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use config::{ConfigTable, VmList, publish_set};
use error_stack::Report;
use fakes::{BackendStub, Deployment, DeploymentShape, PlatformStub, ServiceShape, SetPublisher};
use futures::future::BoxFuture;
use harness::{FleetShape, KEY, any_port, test_settings};
use hyper::{
    HeaderMap, Method,
    http::{HeaderValue, response},
};
use log::{Log, Metadata, Record};
use reader::{ConfigFeed, HttpPlatformBuilder, PlatformError, ReadOutcome};
use serve::{
    AnswerKind, CallerMetadata, Daemon, DaemonBuilder, DefaultCodec, DispatchMetadata, EdgeCodec,
    Refusal,
};
use tokio::time::{Instant, sleep};

/// Time limit for what should take a fraction of a second.
const WAIT_LIMIT: Duration = Duration::from_secs(20);
/// Path whose answers make the codec panic.
const POISON: &str = "/plans/poison";

/// Feed whose watches panic while `armed` is above zero, which each panic lowers.
struct PanickingFeed {
    feed: Arc<dyn ConfigFeed>,
    armed: Arc<AtomicU32>,
}

impl PanickingFeed {
    /// Panics if the feed is armed.
    fn trip(&self) {
        let take = |left: u32| left.checked_sub(1);
        if self
            .armed
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, take)
            .is_ok()
        {
            panic!("the watch panics in this test");
        }
    }
}

impl ConfigFeed for PanickingFeed {
    fn read_config(
        &self,
        current: Arc<ConfigTable>,
    ) -> BoxFuture<'_, Result<ReadOutcome, Report<PlatformError>>> {
        self.feed.read_config(current)
    }

    fn watch_config(
        &self,
        current: Arc<ConfigTable>,
        wait: Duration,
    ) -> BoxFuture<'_, Result<ReadOutcome, Report<PlatformError>>> {
        self.trip();
        self.feed.watch_config(current, wait)
    }

    fn read_vms(
        &self,
        current: Arc<VmList>,
    ) -> BoxFuture<'_, Result<Option<VmList>, Report<PlatformError>>> {
        self.feed.read_vms(current)
    }

    fn watch_vms(
        &self,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Option<VmList>, Report<PlatformError>>> {
        self.feed.watch_vms(wait)
    }
}

/// Codec that panics at an answer with a mark.
#[derive(Debug)]
struct PanickingCodec;

impl EdgeCodec for PanickingCodec {
    fn read_caller(&self, headers: &mut HeaderMap) -> CallerMetadata {
        DefaultCodec.read_caller(headers)
    }

    fn write_dispatch(&self, headers: &mut HeaderMap, metadata: &DispatchMetadata<'_>) {
        DefaultCodec.write_dispatch(headers, metadata);
    }

    fn read_answer(&self, id: Option<&HeaderValue>, answer: &response::Parts) -> AnswerKind {
        let path = answer.headers.get(fakes::ECHO_HEADER);
        assert!(
            path.is_none_or(|path| path != POISON),
            "the codec panics in this test"
        );
        DefaultCodec.read_answer(id, answer)
    }

    fn read_notice(&self, answer: &response::Parts) -> hop::ServerNotice {
        DefaultCodec.read_notice(answer)
    }

    fn request_id(&self, headers: &HeaderMap) -> Option<HeaderValue> {
        DefaultCodec.request_id(headers)
    }

    fn work_id<'a>(&self, request_id: &'a str) -> Option<&'a str> {
        DefaultCodec.work_id(request_id)
    }

    fn write_refusal(&self, headers: &mut HeaderMap, refusal: Refusal) {
        DefaultCodec.write_refusal(headers, refusal);
    }
}

/// Logger that panics once it is armed, at the message of a configuration that the
/// control loop puts in force, and that notes which panics are logged.
struct PanickingLogger {
    armed: AtomicBool,
    logged: AtomicU32,
}

static LOGGER: PanickingLogger = PanickingLogger {
    armed: AtomicBool::new(false),
    logged: AtomicU32::new(0),
};

impl Log for PanickingLogger {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let text = record.args().to_string();
        if text.contains("panicked") {
            self.logged.fetch_add(1, Ordering::SeqCst);
        }
        if text.starts_with("config: revision") && self.armed.swap(false, Ordering::SeqCst) {
            panic!("the log panics in this test");
        }
    }

    fn flush(&self) {}
}

/// One daemon with a backend server of one slot.
struct SingleDaemon {
    daemon: Daemon,
    backend: BackendStub,
    platform: PlatformStub,
    deployment: Deployment,
    publisher: SetPublisher,
    armed: Arc<AtomicU32>,
}

impl SingleDaemon {
    async fn start() -> Self {
        let _ = log::set_logger(&LOGGER);
        log::set_max_level(log::LevelFilter::Info);
        let shape = FleetShape {
            slots: 1,
            ..FleetShape::single()
        };
        let platform = PlatformStub::start(any_port()).await.unwrap();
        let backend = BackendStub::start(any_port(), shape.body.clone())
            .await
            .unwrap();
        let settings = test_settings(0, &shape, platform.address());
        let secret = settings.secret_bytes().to_vec();
        let builder = DaemonBuilder::bind(settings).unwrap();
        let deployment = Deployment::new(
            &DeploymentShape {
                zones: 1,
                daemons: vec![builder.addresses().peer],
                services: vec![ServiceShape {
                    name: "plans".to_owned(),
                    servers: vec![backend.address()],
                    slots: 1,
                }],
                accounts: shape.accounts.clone(),
            },
            &secret,
        );
        platform.publish_vms(&deployment.vms);
        platform.publish(&publish_set(None, &deployment.records).unwrap());
        let armed = Arc::new(AtomicU32::new(0));
        let feed = PanickingFeed {
            feed: Arc::new(HttpPlatformBuilder::new(platform.address()).feed()),
            armed: Arc::clone(&armed),
        };
        let daemon = builder.start_with(Arc::new(feed), Arc::new(PanickingCodec));
        let single = Self {
            daemon,
            backend,
            platform,
            publisher: SetPublisher::after(&deployment.records),
            deployment,
            armed,
        };
        single.wait_until_served().await;
        single
    }

    /// Sends a lookup and returns its status; `None` if there is no answer.
    async fn get(&self, path: &str) -> Option<u16> {
        let uri = format!("http://{}{path}", self.daemon.addresses().ingress);
        let request = hyper::Request::builder()
            .method(Method::GET)
            .uri(uri)
            .header("host", "plans")
            .header("authorization", format!("Bearer {KEY}"))
            .body(http_body_util::Full::default())
            .unwrap();
        let answer = harness::new_client().request(request).await.ok()?;
        Some(answer.status().as_u16())
    }

    /// Waits until lookups are answered.
    async fn wait_until_served(&self) {
        let end = Instant::now() + WAIT_LIMIT;
        while self.get("/plans/today").await != Some(200) {
            assert!(Instant::now() < end, "no lookup is answered");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Publishes a configuration and waits until it is in force.
    async fn publish_next(&mut self) {
        let before = self.daemon.view().table().revision();
        let service = self
            .deployment
            .records
            .iter_mut()
            .find_map(|record| match record {
                config::Record::Service(service) => Some(service),
                _ => None,
            });
        service.unwrap().deadline_ms += 1;
        let values = self.publisher.pack(&self.deployment.records);
        self.platform.publish(&values);
        let end = Instant::now() + WAIT_LIMIT;
        while self.daemon.view().table().revision() <= before {
            assert!(Instant::now() < end, "the configuration is not in force");
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn stop(self) {
        self.daemon.stop().await;
        self.backend.stop().await;
        self.platform.stop().await;
    }
}

// Guards against one unexpected error that leaves a daemon without its
// configuration, its control loop or a slot, or that ends the process.
#[tokio::test(flavor = "multi_thread")]
async fn panic_takes_only_its_task() {
    let mut single = SingleDaemon::start().await;
    // A request: the only slot is free again, and the caller is told.
    for _ in 0..3 {
        let status = single.get(POISON).await;
        assert!(status.is_none_or(|status| status >= 500), "{status:?}");
        single.wait_until_served().await;
    }
    // The watch of the platform: later configurations still arrive.
    single.armed.store(2, Ordering::SeqCst);
    let end = Instant::now() + WAIT_LIMIT;
    while single.armed.load(Ordering::SeqCst) > 0 {
        assert!(Instant::now() < end, "the platform is not watched any more");
        sleep(Duration::from_millis(20)).await;
    }
    single.publish_next().await;
    // The control loop: it goes on with the next event.
    LOGGER.armed.store(true, Ordering::SeqCst);
    single.publish_next().await;
    assert!(
        !LOGGER.armed.load(Ordering::SeqCst),
        "the control loop did not log"
    );
    single.publish_next().await;
    single.wait_until_served().await;
    assert!(
        LOGGER.logged.load(Ordering::SeqCst) >= 2,
        "panics must be logged"
    );
    single.stop().await;
}
