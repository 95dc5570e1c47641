//! Connections that fall silent for good without a reset, and peers that stop
//! reading: what their requests hold is released, and callers are told in time.

mod harness;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use config::Record;
use fakes::{Behaviour, DropRelay};
use harness::{Answer, Fleet, FleetShape, KEY};
use hop::ServerNotice;
use hyper::{HeaderMap, Method, StatusCode, header::HeaderValue, http::response};
use serve::{
    AnswerKind, Budgets, CallerMetadata, DefaultCodec, DispatchMetadata, EdgeCodec, Refusal,
};
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

/// Deadline of the service, which the tests must not wait for.
const DEADLINE: Duration = Duration::from_secs(20);
/// Time within which a test expects something, far less than the deadline.
const WAIT_LIMIT: Duration = Duration::from_secs(8);
/// Size of an answer that does not fit into the buffers of all sockets on its way, which
/// hold about 30 MB together.
const LARGE_BYTES: usize = 64 * 1024 * 1024;
/// Header with the time that a caller gives, in milliseconds.
const TIMEOUT_HEADER: &str = "x-timeout-ms";

/// The proxy's own headers, with a time that callers may give.
#[derive(Clone, Copy, Debug)]
struct TimedCodec;

impl EdgeCodec for TimedCodec {
    fn read_caller(&self, headers: &mut HeaderMap) -> CallerMetadata {
        let timeout = headers.remove(TIMEOUT_HEADER);
        let millis = timeout.and_then(|value| value.to_str().ok()?.parse().ok());
        CallerMetadata {
            timeout: millis.map(Duration::from_millis),
            ..DefaultCodec.read_caller(headers)
        }
    }

    fn write_dispatch(&self, headers: &mut HeaderMap, metadata: &DispatchMetadata<'_>) {
        DefaultCodec.write_dispatch(headers, metadata);
    }

    fn read_answer(&self, id: Option<&HeaderValue>, answer: &response::Parts) -> AnswerKind {
        DefaultCodec.read_answer(id, answer)
    }

    fn read_notice(&self, answer: &response::Parts) -> ServerNotice {
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

/// Starts a fleet whose first daemon is reached by the others only through a
/// relay. Each backend server has one slot.
async fn relayed_fleet(servers: usize, body_bytes: usize, stall: Duration) -> (Fleet, DropRelay) {
    let relay = DropRelay::start().await.unwrap();
    let address = relay.address();
    let shape = FleetShape {
        servers,
        slots: 1,
        body: Bytes::from(vec![b'p'; body_bytes]),
        budgets: Budgets {
            stall_timeout_ms: stall.as_millis() as u64,
            ..Budgets::default()
        },
        codec: Arc::new(TimedCodec),
        ..FleetShape::default()
    };
    let fleet = Fleet::start_configured(shape, |deployment| {
        for record in &mut deployment.records {
            match record {
                Record::Vm(vm) if vm.id.as_str() == "vm-0" => vm.address = address,
                Record::Service(service) => {
                    service.deadline_ms = DEADLINE.as_millis() as u32;
                    service.hedge = false;
                }
                _ => {}
            }
        }
    })
    .await;
    relay.set_target(fleet.peers[0]);
    fleet.wait_for_tokens().await;
    (fleet, relay)
}

/// Sends a GET request for a large answer and reads no more than its head.
async fn start_download(fleet: &Fleet, daemon: usize, timeout_ms: u64) -> TcpStream {
    let address = fleet.daemon(daemon).addresses().ingress;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let text = format!(
        "GET /plans/large HTTP/1.1\r\nHost: plans\r\nAuthorization: Bearer {KEY}\r\n\
         {TIMEOUT_HEADER}: {timeout_ms}\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut head = [0; 12];
    let read = timeout(WAIT_LIMIT, stream.read_exact(&mut head)).await;
    read.expect("the download must start").unwrap();
    assert_eq!(&head, b"HTTP/1.1 200");
    stream
}

/// Checks that a request gets the only slot of the first backend server.
async fn expect_free_slot(fleet: &Fleet) {
    fleet.backends[0].set_behaviour(Behaviour::Status(204));
    let request = fleet.request(0, Method::POST, "/plans/book").run_id("next");
    let answer = timeout(WAIT_LIMIT, fleet.send(request)).await;
    let answer = answer.expect("the slot must be free").unwrap();
    assert_eq!(answer.status, StatusCode::NO_CONTENT, "{answer:?}");
}

// Guards against slots that are never released because the connection that takes the
// answer has fallen silent: the body was polled no more, so its timers did not run.
#[test_case(1_500, 30_000; "at the deadline of the request")]
#[test_case(18_000, 1_000; "when the body makes no progress")]
#[tokio::test(flavor = "multi_thread")]
async fn silent_peer_frees_slot(timeout_ms: u64, stall_ms: u64) {
    let stall = Duration::from_millis(stall_ms);
    let (fleet, relay) = relayed_fleet(1, LARGE_BYTES, stall).await;
    let download = start_download(&fleet, 2, timeout_ms).await;
    relay.silence();
    expect_free_slot(&fleet).await;
    drop(download);
    relay.stop().await;
    fleet.stop().await;
}

// As above, for a caller that does not read; also, its connection is closed.
#[tokio::test(flavor = "multi_thread")]
async fn unread_answer_is_cut() {
    let (fleet, relay) = relayed_fleet(1, LARGE_BYTES, Duration::from_secs(1)).await;
    let mut download = start_download(&fleet, 0, 18_000).await;
    expect_free_slot(&fleet).await;
    sleep(Duration::from_secs(1)).await;
    let mut rest = Vec::new();
    let read = timeout(WAIT_LIMIT, download.read_to_end(&mut rest)).await;
    // A reset counts as the end of the connection, too.
    let _ = read.expect("the daemon must close the connection");
    assert!(rest.len() < LARGE_BYTES);
    relay.stop().await;
    fleet.stop().await;
}

// Guards against answers that are cut although the caller reads them, only slowly.
#[tokio::test(flavor = "multi_thread")]
async fn slow_reader_gets_everything() {
    let (fleet, relay) = relayed_fleet(1, LARGE_BYTES, Duration::from_secs(1)).await;
    let mut download = start_download(&fleet, 2, 18_000).await;
    let mut buffer = vec![0; LARGE_BYTES / 8];
    let mut received = 0;
    while received < LARGE_BYTES {
        let read = timeout(WAIT_LIMIT, download.read(&mut buffer)).await;
        let length = read.expect("the answer must go on").unwrap();
        assert_ne!(length, 0, "the answer was cut after {received} bytes");
        received += length;
        // About four seconds for all of the answer.
        sleep(Duration::from_secs(4).mul_f64(length as f64 / LARGE_BYTES as f64)).await;
    }
    relay.stop().await;
    fleet.stop().await;
}

// As above, for a caller so slow that its socket counts as blocked for longer than the stall
// timeout: the kernel reports space only when a third of the buffer is free.
#[tokio::test(flavor = "multi_thread")]
async fn very_slow_reader_gets_everything() {
    let (fleet, relay) = relayed_fleet(1, LARGE_BYTES, Duration::from_millis(500)).await;
    let mut download = start_download(&fleet, 0, 18_000).await;
    let mut buffer = vec![0; 32 * 1024];
    let mut received = 0;
    for _ in 0..60 {
        received += download.read(&mut buffer).await.unwrap();
        sleep(Duration::from_millis(80)).await;
    }
    while received < LARGE_BYTES {
        let read = timeout(WAIT_LIMIT, download.read(&mut buffer)).await;
        let length = read.expect("the answer must go on").unwrap();
        assert_ne!(length, 0, "the answer was cut after {received} bytes");
        received += length;
    }
    relay.stop().await;
    fleet.stop().await;
}

/// Sends requests to the third daemon until the first backend server runs one, lets the
/// connections to its daemon fall silent meanwhile, and returns the run id, the answer
/// and its time.
async fn answer_over_silence(
    fleet: &Fleet,
    relay: &DropRelay,
    method: &Method,
) -> (String, Answer, Duration) {
    let first = &fleet.backends[0];
    first.hold();
    first.set_behaviour(Behaviour::Held);
    let mut number = 0;
    loop {
        number += 1;
        let id = format!("silent-{number}");
        let request = fleet.request(2, method.clone(), "/plans/book").run_id(&id);
        let started = Instant::now();
        let fault = async {
            while first.runs(&id) == 0 {
                sleep(Duration::from_millis(5)).await;
            }
            relay.silence();
            // The streams of the relay notice it first.
            sleep(Duration::from_millis(50)).await;
            first.release();
        };
        let sent = fleet.send(request);
        tokio::pin!(sent);
        tokio::select! {
            // Another backend server ran the request.
            answer = &mut sent => drop(answer.unwrap()),
            () = fault => return (id, sent.await.unwrap(), started.elapsed()),
        }
    }
}

// Guards against requests that wait to their deadline for an answer that was sent on a
// connection which has fallen silent.
#[test_case(Method::POST, 1, StatusCode::BAD_GATEWAY, 1; "must not run twice")]
#[test_case(Method::GET, 2, StatusCode::OK, 2; "may run again")]
#[tokio::test(flavor = "multi_thread")]
async fn silent_hop_is_given_up(method: Method, servers: usize, status: StatusCode, runs: u64) {
    let (fleet, relay) = relayed_fleet(servers, 10, Duration::from_secs(30)).await;
    let (id, answer, time) = answer_over_silence(&fleet, &relay, &method).await;
    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(fleet.runs(&id), runs);
    assert!(time < WAIT_LIMIT, "answered only after {time:?}");
    relay.stop().await;
    fleet.stop().await;
}

/// Returns whether the kernel has a keepalive timer for the connection from `from`
/// to `to`, as the side at `to` sees it.
fn is_probed(from: u16, to: u16) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let (local, remote) = (format!(":{to:04X}"), format!(":{from:04X}"));
    table.lines().any(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        // Timer 02 is the keepalive timer.
        matches!(fields.as_slice(), [_, here, there, _, _, timer, ..]
            if here.ends_with(&local) && there.ends_with(&remote) && timer.starts_with("02:"))
    })
}

// Guards against accepted connections whose dead peers go unnoticed.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_connection_is_probed() {
    let fleet = Fleet::start(FleetShape::single()).await;
    let addresses = fleet.daemon(0).addresses();
    for address in [addresses.ingress, addresses.peer, addresses.admin] {
        let stream = TcpStream::connect(address).await.unwrap();
        let from = stream.local_addr().unwrap().port();
        fleet
            .wait_until("the connection is probed", |_| {
                is_probed(from, address.port())
            })
            .await;
    }
    fleet.stop().await;
}
