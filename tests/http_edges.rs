//! Edge cases of HTTP/1.1 in requests and answers, written as raw bytes.

mod harness;

use std::net::SocketAddr;

use config::Record;
use fakes::{Deployment, RawStub};
use harness::{Fleet, FleetShape, KEY, any_port};
use hyper::{Method, StatusCode};
use serve::Budgets;
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Duration, timeout},
};

/// Maximum wait for an answer or the end of a connection.
const WAIT_LIMIT: Duration = Duration::from_secs(20);
/// Head timeout of the fleets in this file, in milliseconds.
const HEAD_TIMEOUT_MS: u64 = 400;

/// Starts a fleet of one daemon and one backend server, with a short head
/// timeout.
async fn small_fleet() -> Fleet {
    let shape = FleetShape {
        budgets: Budgets {
            head_timeout_ms: HEAD_TIMEOUT_MS,
            ..Budgets::default()
        },
        ..FleetShape::single()
    };
    Fleet::start(shape).await
}

/// Opens a connection to the ingress of the first daemon.
async fn connect(fleet: &Fleet) -> TcpStream {
    let address = fleet.daemon(0).addresses().ingress;
    TcpStream::connect(address).await.unwrap()
}

/// Returns the header lines that all requests of this file have.
fn common_lines(id: &str) -> String {
    format!("Host: plans\r\nAuthorization: Bearer {KEY}\r\nx-run-id: {id}\r\n")
}

/// Reads until the peer closes the connection, and returns what was read.
async fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    // A reset counts as the end of the connection, too.
    let read = timeout(WAIT_LIMIT, stream.read_to_end(&mut bytes)).await;
    let _ = read.expect("the ingress must close the connection");
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads until `text` has been received, and returns what was read.
async fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut bytes = Vec::new();
    loop {
        let received = String::from_utf8_lossy(&bytes).into_owned();
        if received.contains(text) {
            return received;
        }
        let read = timeout(WAIT_LIMIT, stream.read_buf(&mut bytes)).await;
        let count = read.expect("the ingress must answer").unwrap();
        assert!(count > 0, "closed after {received:?}");
    }
}

/// Sends a request over a new connection and reads until its end.
async fn exchange(fleet: &Fleet, request: &str) -> String {
    let mut stream = connect(fleet).await;
    stream.write_all(request.as_bytes()).await.unwrap();
    read_all(&mut stream).await
}

/// Returns the status of each answer in `text`.
fn statuses(text: &str) -> Vec<u16> {
    let heads = text.split("HTTP/1.1 ").skip(1);
    heads.map(|head| head[..3].parse().unwrap()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn framing_conflicts_are_refused() {
    let fleet = small_fleet().await;
    let cases = [
        (
            "two-lengths",
            "Content-Length: 4\r\nContent-Length: 5\r\n",
            "spots",
        ),
        ("list-of-lengths", "Content-Length: 4, 5\r\n", "spots"),
        ("signed-length", "Content-Length: +4\r\n", "spot"),
        (
            "last-not-chunked",
            "Transfer-Encoding: chunked, gzip\r\n",
            "0\r\n\r\n",
        ),
        (
            "chunk-size",
            "Transfer-Encoding: chunked\r\n",
            "zz\r\nspot\r\n0\r\n\r\n",
        ),
        (
            "chunk-end",
            "Transfer-Encoding: chunked\r\n",
            "2\r\nspot\r\n0\r\n\r\n",
        ),
        ("space-before-colon", "Content-Length : 4\r\n", "spot"),
    ];
    for (id, framing, body) in cases {
        let common = common_lines(id);
        // Request smuggling: a second request in the body must never be run.
        let smuggled = format!(
            "POST /plans/hidden HTTP/1.1\r\n{}\r\n",
            common_lines("hidden")
        );
        let request = format!("POST /plans/book HTTP/1.1\r\n{common}{framing}\r\n{body}{smuggled}");
        let answer = exchange(&fleet, &request).await;
        assert!(
            statuses(&answer).iter().all(|status| *status == 400),
            "{id}: {answer}"
        );
        assert_eq!(fleet.runs(id), 0, "{id}: {answer}");
        assert_eq!(fleet.runs("hidden"), 0, "{id}: {answer}");
    }
    fleet.stop().await;
}

#[test_case("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"; "length first")]
#[test_case("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n"; "length last")]
#[tokio::test(flavor = "multi_thread")]
async fn chunked_overrides_length(framing: &str) {
    // RFC 9112, section 6.1: Transfer-Encoding overrides Content-Length, and
    // the connection is closed after the answer.
    let fleet = small_fleet().await;
    let smuggled = format!(
        "POST /plans/hidden HTTP/1.1\r\n{}\r\n",
        common_lines("hidden")
    );
    let common = common_lines("both");
    let request =
        format!("POST /plans/book HTTP/1.1\r\n{common}{framing}\r\n2\r\nsp\r\n0\r\n\r\n{smuggled}");
    let answer = exchange(&fleet, &request).await;
    assert_eq!(statuses(&answer), [200], "{answer}");
    assert_eq!((fleet.runs("both"), fleet.runs("hidden")), (1, 0));
    let heads = fleet.backends[0].heads().concat().to_lowercase();
    assert!(heads.contains("\"content-length\": \"2\""), "{heads}");
    assert!(!heads.contains("transfer-encoding"), "{heads}");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_body_is_not_run() {
    let fleet = small_fleet().await;
    let common = common_lines("broken");
    let request =
        format!("POST /plans/book HTTP/1.1\r\n{common}Content-Length: 100\r\n\r\nhalf a booking");
    let mut stream = connect(&fleet).await;
    stream.write_all(request.as_bytes()).await.unwrap();
    stream.shutdown().await.unwrap();
    read_all(&mut stream).await;
    assert_eq!(fleet.runs("broken"), 0);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_callers_time_out() {
    let fleet = small_fleet().await;
    // Neither half a head nor a head with half a body may keep a connection
    // open.
    let half_head = format!("POST /plans/book HTTP/1.1\r\n{}", common_lines("slow"));
    let half_body = format!("{half_head}Content-Length: 100\r\n\r\nhalf");
    exchange(&fleet, &half_head).await;
    let mut stream = connect(&fleet).await;
    stream.write_all(half_body.as_bytes()).await.unwrap();
    let answer = read_until(&mut stream, "\r\n\r\n").await;
    assert_eq!(statuses(&answer), [408], "{answer}");
    assert!(answer.contains("dogwoodshore-outcome: not-run"), "{answer}");
    read_all(&mut stream).await;
    assert_eq!(fleet.runs("slow"), 0);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn oversized_head_is_refused() {
    let fleet = small_fleet().await;
    let common = common_lines("oversized");
    let long = "x".repeat(Budgets::default().head_bytes);
    let request = format!("GET /plans/today HTTP/1.1\r\n{common}x-long: {long}\r\n\r\n");
    let answer = exchange(&fleet, &request).await;
    assert_eq!(statuses(&answer), [431], "{answer}");
    assert_eq!(fleet.runs("oversized"), 0);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn expect_is_answered_by_the_ingress() {
    let fleet = small_fleet().await;
    let lines = "Content-Length: 4\r\nExpect: 100-continue\r\n";
    let head = format!(
        "POST /plans/book HTTP/1.1\r\n{}{lines}\r\n",
        common_lines("expect")
    );
    let mut stream = connect(&fleet).await;
    stream.write_all(head.as_bytes()).await.unwrap();
    read_until(&mut stream, "HTTP/1.1 100 Continue\r\n\r\n").await;
    assert_eq!(
        fleet.runs("expect"),
        0,
        "the request ran before its body was sent"
    );
    stream.write_all(b"spot").await.unwrap();
    let answer = read_until(&mut stream, "break plan").await;
    assert_eq!(statuses(&answer), [200], "{answer}");
    assert_eq!(fleet.runs("expect"), 1);
    let forwarded = fleet.backends[0].heads().concat().to_lowercase();
    assert!(!forwarded.contains("100-continue"), "{forwarded}");
    // A refused caller is not asked for the body.
    let refused = head.replace(KEY, "no-such-key");
    let mut stream = connect(&fleet).await;
    stream.write_all(refused.as_bytes()).await.unwrap();
    let answer = read_until(&mut stream, "\r\n\r\n").await;
    assert_eq!(statuses(&answer), [401], "{answer}");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn head_has_length_and_no_body() {
    let fleet = small_fleet().await;
    let common = common_lines("head");
    let request = format!("HEAD /plans/today HTTP/1.1\r\n{common}Connection: close\r\n\r\n");
    let answer = exchange(&fleet, &request).await;
    assert_eq!(statuses(&answer), [200], "{answer}");
    assert!(
        answer.to_lowercase().contains("content-length: 10"),
        "{answer}"
    );
    assert!(answer.ends_with("\r\n\r\n"), "{answer}");
    assert_eq!(fleet.runs("head"), 1);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunked_and_pipelined_requests_run_once() {
    let fleet = small_fleet().await;
    let chunked = format!(
        "POST /plans/book HTTP/1.1\r\n{}Transfer-Encoding: chunked\r\nTrailer: x-after\r\n\r\n\
         2\r\nsp\r\n2\r\not\r\n0\r\nx-after: 1\r\n\r\n",
        common_lines("chunked")
    );
    let last = format!(
        "GET /plans/today HTTP/1.1\r\n{}Connection: close, x-private\r\nx-private: 1\r\n\r\n",
        common_lines("pipelined")
    );
    let answer = exchange(&fleet, &format!("{chunked}{last}")).await;
    assert_eq!(statuses(&answer), [200, 200], "{answer}");
    assert_eq!((fleet.runs("chunked"), fleet.runs("pipelined")), (1, 1));
    let heads = fleet.backends[0].heads().concat().to_lowercase();
    assert!(heads.contains("\"content-length\": \"4\""), "{heads}");
    for private in ["x-private", "trailer", "x-after", "keep-alive"] {
        assert!(!heads.contains(private), "{private} in {heads}");
    }
    fleet.stop().await;
}

/// Returns a change of the records that sets the address of the only backend
/// server.
fn set_server_address(address: SocketAddr) -> impl FnOnce(&mut Deployment) {
    move |deployment| {
        for record in &mut deployment.records {
            match record {
                Record::Server(server) => server.address = address,
                Record::Service(service) => service.deadline_ms = 2_000,
                _ => {}
            }
        }
    }
}

/// What a caller gets for an answer of the backend server, which may be
/// malformed.
enum ExpectedAnswer {
    /// A success with the complete body.
    Complete(&'static str),
    /// Status 502 of the proxy with the outcome `unknown`, or a connection that
    /// breaks off.
    Failure,
}

#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nplan", ExpectedAnswer::Complete("plan"); "length")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nplan\r\n0\r\n\r\n", ExpectedAnswer::Complete("plan"); "chunked")]
#[test_case("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nplan", ExpectedAnswer::Complete("plan"); "early hints")]
#[test_case("HTTP/1.1 204 No Content\r\n\r\n", ExpectedAnswer::Complete(""); "no content")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nplan", ExpectedAnswer::Failure; "short of its length")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nplan\r\n", ExpectedAnswer::Failure; "no last chunk")]
#[test_case("HTTP/1.0 200 OK\r\n\r\nplan", ExpectedAnswer::Failure; "ends by close")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 2\r\n\r\nplan", ExpectedAnswer::Failure; "two lengths")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n4\r\nplan\r\n0\r\n\r\n", ExpectedAnswer::Complete("plan"); "length and chunked")]
#[test_case("HTTP/1.1 2000 OK\r\n\r\n", ExpectedAnswer::Failure; "bad status")]
#[test_case("SSH-2.0-server\r\n\r\n", ExpectedAnswer::Failure; "another protocol")]
#[tokio::test(flavor = "multi_thread")]
async fn answers_are_complete_or_fail(answer: &'static str, expected: ExpectedAnswer) {
    let raw = RawStub::start(any_port(), answer.as_bytes()).await.unwrap();
    let fleet = Fleet::start_with(FleetShape::single(), set_server_address(raw.address())).await;
    let before = raw.count();
    let post = fleet
        .send(fleet.request(0, Method::POST, "/plans/book"))
        .await;
    assert_eq!(
        raw.count() - before,
        1,
        "a POST request must be sent exactly once"
    );
    let get = fleet
        .send(fleet.request(0, Method::GET, "/plans/today"))
        .await;
    for result in [post, get] {
        match (&expected, result) {
            (ExpectedAnswer::Complete(body), Ok(answer)) => {
                assert!(answer.status.is_success(), "{answer:?}");
                assert_eq!(answer.body, *body);
            }
            (ExpectedAnswer::Complete(_), Err(error)) => panic!("{error}"),
            (ExpectedAnswer::Failure, Ok(answer)) => {
                assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{answer:?}");
                assert_eq!(answer.outcome(), "unknown");
            }
            (ExpectedAnswer::Failure, Err(_)) => {}
        }
    }
    fleet.stop().await;
    raw.stop().await;
}
