//! Backend servers that send bytes without end as fast as they are taken, at one daemon
//! process, whose memory and other requests must not suffer.

#[path = "harness/process.rs"]
mod process;

use std::{net::SocketAddr, process::Stdio, sync::Mutex, time::Duration};

use config::publish_set;
use fakes::{BackendStub, Deployment, DeploymentShape, PlatformStub, ServiceShape};
use process::{DaemonProcess, FreeAddresses};
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

const SECRET: &str = "a secret for tests only";
/// Key of the only client account.
const KEY: &str = "key-of-radio-one";
/// Slots of the flooding server, and number of callers.
const SLOTS: u32 = 64;
/// Bound of the growth of resident memory. Of the 160 MB of a VM, 64 MB are for the
/// tables, the code and the system.
const MEMORY_BOUND: u64 = (160 - 64) * 1_000_000;
/// Time in which the server sends what the daemon takes.
const FLOOD_TIME: Duration = Duration::from_millis(2_500);
/// Size of the pieces that the server sends, in bytes.
const PIECE_BYTES: usize = 64 * 1_024;
/// Time limit for an ordinary request beside the flood.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);
/// Maximum wait for a condition that a test expects.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Held by the test that runs.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Sends `start` and then `filler` again and again to each connection that has sent a
/// request.
async fn flood(listener: TcpListener, start: &'static str, filler: &'static str) {
    let piece = filler.repeat(PIECE_BYTES.div_ceil(filler.len()));
    let mut connections = JoinSet::new();
    while let Ok((mut stream, _)) = listener.accept().await {
        let piece = piece.clone();
        connections.spawn(async move {
            let mut head = [0; 1_024];
            let _ = stream.read(&mut head).await;
            let _ = stream.write_all(start.as_bytes()).await;
            while stream.write_all(piece.as_bytes()).await.is_ok() {}
        });
    }
}

/// Sends a request and reads its answer up to its end, without keeping it.
async fn call(ingress: SocketAddr, method: &str) {
    let Ok(mut stream) = TcpStream::connect(ingress).await else {
        return;
    };
    let request = format!(
        "{method} /films/x HTTP/1.1\r\nhost: films\r\nx-api-key: {KEY}\r\n\
         content-length: 0\r\n\r\n"
    );
    let _ = stream.write_all(request.as_bytes()).await;
    let mut answer = [0; 16 * 1_024];
    while matches!(stream.read(&mut answer).await, Ok(read) if read > 0) {}
}

/// Whether an ordinary request is answered with status 200.
async fn is_served(ingress: SocketAddr) -> bool {
    let asked = async {
        let mut stream = TcpStream::connect(ingress).await.ok()?;
        let request = format!(
            "GET /plans/today HTTP/1.1\r\nhost: plans\r\nx-api-key: {KEY}\r\n\
             connection: close\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.ok()?;
        answer.starts_with(b"HTTP/1.1 200 ").then_some(())
    };
    matches!(timeout(ANSWER_LIMIT, asked).await, Ok(Some(())))
}

// Guards against a daemon that keeps what a server sends without end, and ends for want
// of memory.
#[test_case("", "x"; "head without lines")]
#[test_case("HTTP/1.1 200 OK\r\nx-long: ", "x"; "header without end")]
#[test_case("HTTP/1.1 200 OK\r\n", "x-more: 1\r\n"; "headers without end")]
#[test_case("", "HTTP/1.1 100 Continue\r\n\r\n"; "interim answers without end")]
#[test_case("HTTP/1.1 200 OK\r\n\r\n", "more"; "body that ends by close")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 18446744073709551615\r\n\r\n", "more"; "longest length")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "4\r\nmore\r\n"; "chunks without end")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nffffffffffffffff\r\n", "more"; "longest chunk")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1"; "chunk size without end")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;", "x"; "chunk extension without end")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "x-more: 1\r\n"; "trailers without end")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmore", "more"; "bytes after an answer")]
#[test_case("HTTP/1.1 503 X\r\nretry-after: 1\r\n\r\n", "more"; "refusal without end")]

fn flood_is_not_kept(start: &'static str, filler: &'static str) {
    let guard = ONE_AT_A_TIME.lock();
    let _guard = guard.unwrap_or_else(|poison| poison.into_inner());
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(check_flood(start, filler));
}

/// Runs a flood with callers of both kinds of requests.
async fn check_flood(start: &'static str, filler: &'static str) {
    let any = "127.0.0.1:0".parse().unwrap();
    let platform = PlatformStub::start(any).await.unwrap();
    let plans = BackendStub::start(any, "break plan").await.unwrap();
    let listener = TcpListener::bind(any).await.unwrap();
    let addresses = FreeAddresses::find();
    let service = |name: &str, address, slots| ServiceShape {
        name: name.to_owned(),
        servers: vec![address],
        slots,
    };
    let shape = DeploymentShape {
        zones: 1,
        daemons: vec![addresses.peer],
        services: vec![
            service("plans", plans.address(), 5),
            service("films", listener.local_addr().unwrap(), SLOTS),
        ],
        accounts: vec![("radio-one".to_owned(), 1_000_000, 1_000_000)],
    };
    let deployment = Deployment::new(&shape, SECRET.as_bytes());
    platform.publish_vms(&deployment.vms);
    platform.publish(&publish_set(None, &deployment.records).unwrap());
    let server = tokio::spawn(flood(listener, start, filler));
    let log = Stdio::null();
    let mut daemon = DaemonProcess::start_logged(
        0,
        1,
        addresses,
        platform.address(),
        SECRET,
        log,
        process::GRACE_S,
    );
    let end = Instant::now() + WAIT_LIMIT;
    while !is_served(daemon.ingress).await {
        assert!(Instant::now() < end, "not served before the flood");
        sleep(Duration::from_millis(50)).await;
    }
    let idle = daemon.memory();
    let mut callers = JoinSet::new();
    for number in 0..SLOTS {
        let method = if number % 2 == 0 { "GET" } else { "POST" };
        let ingress = daemon.ingress;
        callers.spawn(async move { call(ingress, method).await });
    }
    sleep(FLOOD_TIME).await;
    let growth = daemon.peak_memory().saturating_sub(idle);
    println!("grew by {:.1} MB", growth as f64 / 1e6);
    assert!(daemon.is_alive(), "the daemon has ended");
    assert!(growth <= MEMORY_BOUND, "{growth} of {MEMORY_BOUND} bytes");
    assert!(is_served(daemon.ingress).await, "an ordinary request");
    callers.shutdown().await;
    server.abort();
}
