//! The `dogwoodshore` binary: daemons as separate processes, signals, commands
//! and exit codes.

#[path = "harness/process.rs"]
mod process;

use std::{
    process::Command,
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use config::publish_set;
use fakes::{
    BackendStub, Behaviour, Deployment, DeploymentShape, PlatformStub, RUN_HEADER, ServiceShape,
};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, body::Bytes};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use process::{DaemonProcess, FreeAddresses};
use test_case::test_case;
use tokio::time::{Instant, sleep};

const SECRET: &str = "a secret for tests only";
/// Maximum wait for a condition that a test expects.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// Number of concurrent callers.
const CALLERS: usize = 16;
/// Time for which a process is suspended.
const PAUSE: Duration = Duration::from_secs(6);

/// Number of availability zones of the fleet.
const ZONES: usize = 1;

/// Fleet of three daemon processes, with a backend server on each VM.
struct ProcessFleet {
    platform: PlatformStub,
    backends: Vec<BackendStub>,
    daemons: Vec<DaemonProcess>,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl ProcessFleet {
    /// Starts the fleet and waits until each daemon serves requests.
    async fn start() -> Self {
        let any = "127.0.0.1:0".parse().unwrap();
        let platform = PlatformStub::start(any).await.unwrap();
        let mut backends = Vec::new();
        for _ in 0..3 {
            backends.push(BackendStub::start(any, "break plan").await.unwrap());
        }
        let addresses: Vec<FreeAddresses> = (0..3).map(|_| FreeAddresses::find()).collect();
        // All daemons are in one zone: a daemon prefers the servers of its own
        // zone, and the tests need traffic at all servers.
        let shape = DeploymentShape {
            zones: ZONES,
            daemons: addresses.iter().map(|addresses| addresses.peer).collect(),
            services: vec![ServiceShape {
                name: "plans".to_owned(),
                servers: backends.iter().map(BackendStub::address).collect(),
                slots: 64,
            }],
            accounts: vec![("radio-one".to_owned(), 10_000, 10_000)],
        };
        let deployment = Deployment::new(&shape, SECRET.as_bytes());
        platform.publish_vms(&deployment.vms);
        platform.publish(&publish_set(None, &deployment.records).unwrap());
        let start = |(index, addresses): (usize, &FreeAddresses)| {
            DaemonProcess::start(index, ZONES, *addresses, platform.address(), SECRET)
        };
        let fleet = Self {
            daemons: addresses.iter().enumerate().map(start).collect(),
            platform,
            backends,
            client: Client::builder(TokioExecutor::new()).build(HttpConnector::new()),
        };
        for daemon in 0..3 {
            fleet.wait_until_served(daemon).await;
        }
        fleet
    }

    /// Waits until a daemon serves a request.
    async fn wait_until_served(&self, daemon: usize) {
        let end = Instant::now() + WAIT_LIMIT;
        loop {
            match self.send(daemon, Method::GET, "warm-up").await {
                Some(answer) if answer.status == StatusCode::OK => {
                    assert_eq!(answer.body, "break plan");
                    return;
                }
                other => assert!(Instant::now() < end, "{other:?}"),
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends a request with the default key. Returns `None` if the connection
    /// fails.
    async fn send(&self, daemon: usize, method: Method, id: &str) -> Option<Answer> {
        let request = Request::builder()
            .method(method)
            .uri(format!(
                "http://{}/plans/today",
                self.daemons[daemon].ingress
            ))
            .header("x-api-key", "key-of-radio-one")
            .header(RUN_HEADER, id)
            .body(Full::default())
            .unwrap();
        let response = self.client.request(request).await.ok()?;
        let (head, body) = response.into_parts();
        let outcome = head.headers.get("dogwoodshore-outcome");
        Some(Answer {
            status: head.status,
            outcome: outcome.map_or_else(String::new, |value| value.to_str().unwrap().into()),
            body: body.collect().await.ok()?.to_bytes(),
        })
    }

    /// Waits until a backend server has got 50 more requests.
    async fn wait_for_traffic(&self, backend: usize) {
        let before = self.backends[backend].count();
        let end = Instant::now() + WAIT_LIMIT;
        while self.backends[backend].count() < before + 50 {
            assert!(
                Instant::now() < end,
                "backend server {backend} gets too few requests"
            );
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Returns how often the request with this run id ran.
    fn runs(&self, id: &str) -> u64 {
        self.backends.iter().map(|backend| backend.runs(id)).sum()
    }

    /// Sends POST requests from many callers to the first two daemons until
    /// `stopped` is set. Checks each answer against the number of times that
    /// the request ran, and returns the number of requests with an unknown
    /// outcome.
    async fn post_until(&self, stopped: &AtomicBool) -> u64 {
        let caller = async |caller: usize| {
            let mut unknown = 0;
            for number in 0.. {
                if stopped.load(Ordering::Relaxed) {
                    break;
                }
                let id = format!("{caller}-{number}");
                let answer = self.send(caller % 2, Method::POST, &id).await.unwrap();
                let runs = self.runs(&id);
                match answer.outcome.as_str() {
                    "" => assert_eq!((answer.status, runs), (StatusCode::OK, 1), "{answer:?}"),
                    "not-run" => assert_eq!(runs, 0, "{answer:?}"),
                    _ => {
                        assert!(runs <= 1, "{answer:?}");
                        unknown += 1;
                    }
                }
            }
            unknown
        };
        let callers = (0..CALLERS).map(caller);
        futures::future::join_all(callers).await.iter().sum()
    }

    /// Shuts the daemons down gracefully and stops the stubs.
    async fn stop(mut self) {
        for daemon in &mut self.daemons {
            daemon.signal("TERM");
        }
        for daemon in &mut self.daemons {
            assert!(daemon.wait(), "a graceful shutdown must exit with code 0");
        }
        for backend in self.backends {
            backend.stop().await;
        }
        self.platform.stop().await;
    }
}

/// Answer that a caller gets.
#[derive(Debug)]
struct Answer {
    status: StatusCode,
    outcome: String,
    body: Bytes,
}

#[tokio::test(flavor = "multi_thread")]
async fn three_processes() {
    let fleet = ProcessFleet::start().await;
    let (status, dump) = fleet.daemons[1].admin_page("/dump").await.unwrap();
    assert_eq!(status, StatusCode::OK);
    let dump: serde_json::Value = serde_json::from_str(&dump).unwrap();
    assert_eq!(dump["vm"], "vm-1");
    assert_eq!(dump["control"]["freshness"], "Fresh");
    assert!(!dump.to_string().contains("key-of-radio-one"));
    assert!(fleet.daemons[1].metric("dogwoodshore_requests_total").await >= 1.0);
    let dumped = Command::new(env!("CARGO_BIN_EXE_dogwoodshore"))
        .args(["dump", &fleet.daemons[1].admin.to_string()])
        .output()
        .unwrap();
    assert!(dumped.status.success());
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn terminated_under_load() {
    let mut fleet = ProcessFleet::start().await;
    let mut leaving = fleet.daemons.pop().unwrap();
    let stopped = AtomicBool::new(false);
    let terminate = async {
        fleet.wait_for_traffic(2).await;
        leaving.signal("TERM");
        let ended = tokio::task::spawn_blocking(move || leaving.wait()).await;
        stopped.store(true, Ordering::Relaxed);
        assert!(ended.unwrap(), "a graceful shutdown must exit with code 0");
    };
    let (unknown, ()) = tokio::join!(fleet.post_until(&stopped), terminate);
    assert_eq!(unknown, 0);
    fleet.stop().await;
}

// Guards against a repeated SIGTERM that cuts requests in flight, although the platform
// ends a process by SIGKILL only after the grace period.
#[test_case(&["TERM", "TERM"], true; "terminated twice")]
#[test_case(&["TERM", "INT"], true; "terminated and interrupted")]
#[test_case(&["INT", "TERM"], true; "interrupted and terminated")]
#[test_case(&["INT", "INT"], false; "interrupted twice")]
#[tokio::test(flavor = "multi_thread")]
async fn repeated_signals(signals: &[&str], is_answered: bool) {
    let mut fleet = ProcessFleet::start().await;
    for backend in &fleet.backends {
        backend.hold();
        backend.set_behaviour(Behaviour::Held);
    }
    let steps = async {
        let end = Instant::now() + WAIT_LIMIT;
        while fleet.runs("held") == 0 {
            assert!(Instant::now() < end, "the request has not run");
            sleep(Duration::from_millis(5)).await;
        }
        for signal in signals {
            fleet.daemons[0].signal(signal);
            sleep(Duration::from_millis(300)).await;
        }
        for backend in &fleet.backends {
            backend.release();
        }
    };
    let (answer, ()) = tokio::join!(fleet.send(0, Method::POST, "held"), steps);
    let status = answer.map(|answer| answer.status);
    assert_eq!(status, is_answered.then_some(StatusCode::OK));
    let mut stopped = fleet.daemons.remove(0);
    let ended = tokio::task::spawn_blocking(move || stopped.wait()).await;
    assert!(ended.unwrap(), "the process must exit with code 0");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stopped_and_continued_under_load() {
    let fleet = ProcessFleet::start().await;
    let stopped = AtomicBool::new(false);
    let pause = async {
        fleet.wait_for_traffic(2).await;
        // The pause is longer than the deadlines, the leases and the time after
        // which a pause is detected.
        fleet.daemons[2].signal("STOP");
        sleep(PAUSE).await;
        fleet.daemons[2].signal("CONT");
        fleet.wait_until_served(2).await;
        stopped.store(true, Ordering::Relaxed);
    };
    tokio::join!(fleet.post_until(&stopped), pause);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn hangup_under_load() {
    // SIGHUP makes the daemon reload its settings. It must neither end the
    // process nor cut the requests in flight.
    let mut fleet = ProcessFleet::start().await;
    let stopped = AtomicBool::new(false);
    let hangup = async {
        fleet.wait_for_traffic(2).await;
        for _ in 0..5 {
            fleet.daemons[2].signal("HUP");
            sleep(Duration::from_millis(100)).await;
        }
        fleet.wait_until_served(2).await;
        stopped.store(true, Ordering::Relaxed);
    };
    let (unknown, ()) = tokio::join!(fleet.post_until(&stopped), hangup);
    assert_eq!(unknown, 0);
    let mut last = fleet.daemons.pop().unwrap();
    last.signal("TERM");
    let ended = tokio::task::spawn_blocking(move || last.wait()).await;
    assert!(
        ended.unwrap(),
        "the process did not survive SIGHUP, or its exit code is not 0"
    );
    fleet.stop().await;
}

/// Runs the binary and returns its exit code, and its standard output followed
/// by its standard error.
fn run(args: &[&str]) -> (i32, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_dogwoodshore"))
        .args(args)
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.code().unwrap(),
        String::from_utf8(text).unwrap(),
    )
}

#[test_case(&["--help"], 0, "Usage: dogwoodshore")]
#[test_case(&["--version"], 0, "dogwoodshore 0.1.0")]
#[test_case(&[], 2, "no command given")]
#[test_case(&["fly"], 2, "`fly` is not a command")]
#[test_case(&["run"], 2, "too few or too many")]
#[test_case(&["try", "--time", "0"], 2, "takes 1 to 600 seconds")]
#[test_case(&["dump", "here"], 2, "is not an address")]
#[test_case(&["dump", "127.0.0.1:1"], 1, "check `admin`")]
#[test_case(&["run", "/nowhere.json"], 1, "correct the path")]
#[test_case(&["check", "examples/hangsor/inventory.json", "examples/hangsor/rules.json"], 0, "good")]
#[test_case(&["check", "examples/coulee/inventory.json", "examples/coulee/rules.json"], 0, "good")]
#[test_case(&["check", "examples/settings.json"], 1, "secret"; "settings without their secret file")]
#[test_case(&["check", "examples/hangsor/rules.json", "examples/hangsor/rules.json"], 1, "unknown field `accounts`")]
fn command_line(args: &[&str], code: i32, text: &str) {
    let (found, output) = run(args);
    assert_eq!(found, code, "{output}");
    assert!(output.contains(text), "{output}");
}

#[test]
fn pack_twice_and_check() {
    let root = std::env::temp_dir().join(format!("dogwoodshore-pack-{}", std::process::id()));
    let [first, second] = ["first", "second"].map(|name| root.join(name).display().to_string());
    let (code, output) = run(&["pack", "examples/hangsor", &first]);
    assert_eq!(code, 0, "{output}");
    assert!(output.contains("manifest"));
    let (code, output) = run(&["pack", &first, "examples/coulee", &second]);
    assert_eq!(code, 0, "{output}");
    let changes = std::fs::read_to_string(root.join("second/changes")).unwrap();
    assert!(
        changes.contains("\"previous\":1,\"revision\":2"),
        "{changes}"
    );
    std::fs::remove_dir_all(&root).unwrap();
}

#[test_case(r#""secret": "short""#, "secret: too short"; "short secret")]
#[test_case(r#""secret": "a secret for tests only", "colour": 1"#, "unknown field `colour`"; "unknown field")]
#[test_case(r#""secret": "a secret for tests only", "budgets": { "connections": 0 }"#, "must be 1 to 1000000"; "no connections")]
#[test_case(r#""secret": "a secret for tests only", "log": { "level": "info", "level": "warn" }"#, "stands twice"; "repeated field")]
#[test_case(r#""secret": "a secret for tests only", "policy": { "floor_share": 1.5 }"#, "policy.floor_share: must be 0 to 1"; "odd share")]
#[test_case(r#""secret": "a secret for tests only", "policy": { "cold_over": 0.5 }"#, "policy.cold_over: must be 1 to 100"; "odd factor")]
#[test_case(r#""secret": "a secret for tests only", "policy": { "cold_slack": 0 }"#, "policy.cold_slack: must be 1 to 1000000"; "no slack")]
#[test_case(r#""secret_file": "/nowhere""#, "correct the path"; "secret file missing")]
#[test_case(r#""secret": "a secret for tests only", "log": { "level": "loud" }"#, "unknown variant `loud`"; "unknown level")]
fn invalid_settings(field: &str, text: &str) {
    let settings = format!(
        r#"{{ "vm": "vm-0", "zone": "z", "ingress": "127.0.0.1:0", "peer": "127.0.0.1:0",
            "admin": "127.0.0.1:0", "platform": "127.0.0.1:9", {field} }}"#
    );
    let name = format!(
        "dogwoodshore-{}-{}.json",
        std::process::id(),
        ids::stable_hash(field.as_bytes())
    );
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, settings).unwrap();
    let (code, output) = run(&["run", &path.display().to_string()]);
    assert_eq!(code, 1, "{output}");
    assert!(output.contains(text), "{output}");
    std::fs::remove_file(path).unwrap();
}
