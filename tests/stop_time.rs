//! The time in which the process of a daemon ends after SIGTERM.

#[path = "harness/process.rs"]
mod process;

use std::{
    io::Write,
    os::{fd::OwnedFd, unix::net::UnixStream},
    process::Stdio,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use config::publish_set;
use fakes::{BackendStub, Behaviour, Deployment, DeploymentShape, PlatformStub, ServiceShape};
use http_body_util::{BodyExt, Empty};
use hyper::{Request, StatusCode, body::Bytes};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use process::{DaemonProcess, FreeAddresses};
use rustix::process::{Pid, Signal, kill_process};
use tokio::time::{Instant, sleep};

const SECRET: &str = "a secret for tests only";
/// Maximum wait for a condition that a test expects.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// Grace period of the daemon; the platform kills it after that.
const GRACE_S: u64 = 2;
/// Time for which the process runs and is suspended in turn, like one with a twentieth of
/// a core.
const RUN_TIME: Duration = Duration::from_millis(5);
const SUSPEND_TIME: Duration = Duration::from_millis(95);

/// Returns a stream that takes no bytes.
fn full_stream() -> (OwnedFd, UnixStream) {
    let (mut writer, reader) = UnixStream::pair().unwrap();
    writer.set_nonblocking(true).unwrap();
    while writer.write(&[b'x'; 4_096]).is_ok() {}
    while writer.write(b"x").is_ok() {}
    writer.set_nonblocking(false).unwrap();
    (writer.into(), reader)
}

/// Suspends and resumes a process in turn until `ended` is set.
fn slow_down(pid: u32, ended: Arc<AtomicBool>) -> std::thread::JoinHandle<()> {
    let pid = Pid::from_raw(pid as i32).unwrap();
    std::thread::spawn(move || {
        while !ended.load(Ordering::SeqCst) {
            let _ = kill_process(pid, Signal::STOP);
            std::thread::sleep(SUSPEND_TIME);
            let _ = kill_process(pid, Signal::CONT);
            std::thread::sleep(RUN_TIME);
        }
    })
}

/// Sends a request to a daemon. Returns the status, or `None` if there is no answer.
async fn get(daemon: &DaemonProcess, path: &str) -> Option<StatusCode> {
    let client =
        Client::builder(TokioExecutor::new()).build::<_, Empty<Bytes>>(HttpConnector::new());
    let request = Request::get(format!("http://{}{path}", daemon.ingress))
        .header("x-api-key", "key-of-radio-one")
        .body(Empty::new())
        .unwrap();
    let response = client.request(request).await.ok()?;
    let status = response.status();
    response.into_body().collect().await.ok()?;
    Some(status)
}

// Guards against processes that are still there at the end of the grace period, because
// requests are left, nobody reads the log, and the machine is slow.
#[tokio::test(flavor = "multi_thread")]
async fn process_ends_within_grace() {
    let any = "127.0.0.1:0".parse().unwrap();
    let platform = PlatformStub::start(any).await.unwrap();
    let backend = BackendStub::start(any, "break plan").await.unwrap();
    backend.set_path_behaviour("/plans/hung", Behaviour::HangBeforeHead);
    let addresses = FreeAddresses::find();
    let shape = DeploymentShape {
        zones: 1,
        daemons: vec![addresses.peer],
        services: vec![ServiceShape {
            name: "plans".to_owned(),
            servers: vec![backend.address()],
            slots: 64,
        }],
        accounts: vec![("radio-one".to_owned(), 10_000, 10_000)],
    };
    let deployment = Deployment::new(&shape, SECRET.as_bytes());
    platform.publish_vms(&deployment.vms);
    platform.publish(&publish_set(None, &deployment.records).unwrap());
    let (log, _reader) = full_stream();
    let platform_address = platform.address();
    let mut daemon = DaemonProcess::start_logged(
        0,
        1,
        addresses,
        platform_address,
        SECRET,
        Stdio::from(log),
        GRACE_S,
    );
    let end = Instant::now() + WAIT_LIMIT;
    while get(&daemon, "/plans/warm-up").await != Some(StatusCode::OK) {
        assert!(Instant::now() < end, "the daemon does not serve");
        sleep(Duration::from_millis(50)).await;
    }
    let before = backend.running();
    let hung = get(&daemon, "/plans/hung");
    let stop = async {
        while backend.running() == before {
            sleep(Duration::from_millis(5)).await;
        }
        let ended = Arc::new(AtomicBool::new(false));
        let slow = slow_down(daemon.id(), Arc::clone(&ended));
        let started = Instant::now();
        daemon.signal("TERM");
        let id = daemon.id();
        let gone = async {
            // The process is a zombie until it is waited for.
            while process_state(id) != Some('Z') {
                sleep(Duration::from_millis(2)).await;
            }
        };
        let gone = tokio::time::timeout(WAIT_LIMIT, gone).await;
        let took = started.elapsed();
        ended.store(true, Ordering::SeqCst);
        slow.join().unwrap();
        gone.expect("the process must end");
        took
    };
    let (_, took) = tokio::join!(hung, stop);
    assert!(daemon.wait(), "the exit code must be 0");
    assert!(took < Duration::from_secs(GRACE_S), "ended after {took:?}");
    backend.stop().await;
    platform.stop().await;
}

/// Returns the state of a process; `None` if there is no such process.
fn process_state(id: u32) -> Option<char> {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    text.rsplit(") ").next()?.chars().next()
}
