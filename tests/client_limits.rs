//! Limits of callers' connections, from the configuration in force.

mod harness;

use std::future::Future;

use config::{ClientLimits, Record};
use fakes::Behaviour;
use harness::{Fleet, FleetShape, KEY};
use serve::Budgets;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Duration, sleep, timeout},
};

/// Maximum wait for an answer or the end of a connection.
const WAIT_LIMIT: Duration = Duration::from_secs(20);
/// Timeout of the settings, which no test waits for.
const SETTINGS_TIMEOUT_MS: u64 = 600_000;
/// Idle time of a connection that the tests allow.
const IDLE_MS: u32 = 600;

/// Starts a fleet whose configuration has `limits`, and whose settings allow much
/// longer times and `connections`.
async fn limited_fleet(shape: FleetShape, connections: usize, limits: ClientLimits) -> Fleet {
    let shape = FleetShape {
        budgets: Budgets {
            connections,
            head_timeout_ms: SETTINGS_TIMEOUT_MS,
            idle_timeout_ms: SETTINGS_TIMEOUT_MS,
            ..Budgets::default()
        },
        ..shape
    };
    let add = |deployment: &mut fakes::Deployment| {
        deployment.records.push(Record::Limits(limits));
    };
    Fleet::start_with(shape, add).await
}

/// Opens a connection to the ingress of the last daemon.
async fn connect(fleet: &Fleet) -> TcpStream {
    let daemon = fleet.daemon(fleet.daemons.len() - 1);
    TcpStream::connect(daemon.addresses().ingress)
        .await
        .unwrap()
}

/// Returns the start of a request's head, up to its last field.
fn head(line: &str, id: &str) -> String {
    format!("{line} HTTP/1.1\r\nHost: plans\r\nAuthorization: Bearer {KEY}\r\nx-run-id: {id}\r\n")
}

/// Returns the output of `future`, or panics after a long wait.
async fn within<T>(what: &str, future: impl Future<Output = T>) -> T {
    let output = timeout(WAIT_LIMIT, future).await;
    output.unwrap_or_else(|_| panic!("timed out: {what}"))
}

/// Reads the head of one answer and what arrives with it; empty if the connection
/// has ended.
async fn read_answer(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if text.contains("\r\n\r\n") {
            return text;
        }
        let read = within("an answer", stream.read_buf(&mut bytes)).await;
        if read.unwrap_or(0) == 0 {
            return text;
        }
    }
}

/// Sends a request without a body and returns the answer.
async fn get(stream: &mut TcpStream, id: &str) -> String {
    let request = format!("{}\r\n", head("GET /plans/today", id));
    if stream.write_all(request.as_bytes()).await.is_err() {
        return String::new();
    }
    read_answer(stream).await
}

/// Waits until the daemon has closed the connection.
async fn wait_closed(stream: &mut TcpStream) {
    let mut bytes = Vec::new();
    let _ = within("the connection is closed", stream.read_to_end(&mut bytes)).await;
}

/// Limits with a short idle time.
fn short_idle() -> ClientLimits {
    ClientLimits {
        idle_timeout_ms: Some(IDLE_MS),
        ..ClientLimits::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connection_closed() {
    // Guards against idle connections that fill up a daemon, and against ones that
    // are closed while their client may still use them.
    let fleet = limited_fleet(FleetShape::single(), 1_000, short_idle()).await;
    let mut stream = connect(&fleet).await;
    for round in 0..4 {
        let answer = get(&mut stream, &format!("reused-{round}")).await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{round}: {answer:?}");
        sleep(Duration::from_millis(u64::from(IDLE_MS) / 2)).await;
    }
    wait_closed(&mut stream).await;
    // A connection without any request is idle, too.
    wait_closed(&mut connect(&fleet).await).await;
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn busy_connection_kept() {
    // Guards against a slow request that counts as an idle connection.
    let fleet = limited_fleet(FleetShape::single(), 1_000, short_idle()).await;
    let slow = Behaviour::Slow(Duration::from_millis(u64::from(IDLE_MS) * 3));
    fleet.backends[0].set_behaviour(slow);
    let answer = get(&mut connect(&fleet).await, "slow").await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:?}");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_head_closed() {
    // Guards against a client that keeps a connection by sending a head slowly.
    let limits = ClientLimits {
        head_timeout_ms: Some(300),
        ..ClientLimits::default()
    };
    let fleet = limited_fleet(FleetShape::single(), 1_000, limits).await;
    let mut stream = connect(&fleet).await;
    stream
        .write_all(head("GET /plans/today", "slow").as_bytes())
        .await
        .unwrap();
    let (mut reader, mut writer) = stream.into_split();
    let trickle = async {
        while writer.write_all(b"x-more: 1\r\n").await.is_ok() {
            sleep(Duration::from_millis(50)).await;
        }
    };
    let mut bytes = Vec::new();
    tokio::select! {
        _ = within("the connection is closed", reader.read_to_end(&mut bytes)) => {}
        () = trickle => {}
    }
    assert_eq!(fleet.runs("slow"), 0);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn head_size_limited() {
    // Guards against heads within the limits that are refused at either hop, be it
    // for their size or for the number of their fields.
    let limits = ClientLimits {
        head_bytes: Some(40_000),
        ..ClientLimits::default()
    };
    let shape = FleetShape {
        daemons: 2,
        zones: 1,
        servers: 1,
        ..FleetShape::default()
    };
    let fleet = limited_fleet(shape, 1_000, limits).await;
    let cases = [
        ("many", "x-f: 1\r\n".repeat(600), 200),
        ("long", format!("x-long: {}\r\n", "x".repeat(38_000)), 200),
        ("longer", format!("x-long: {}\r\n", "x".repeat(41_000)), 431),
    ];
    for (id, fields, status) in cases {
        let request = format!("{}{fields}\r\n", head("GET /plans/today", id));
        let mut stream = connect(&fleet).await;
        let _ = stream.write_all(request.as_bytes()).await;
        let answer = read_answer(&mut stream).await;
        let expected = format!("HTTP/1.1 {status} ");
        assert!(answer.starts_with(&expected), "{id}: {answer:?}");
    }
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn body_size_limited() {
    // Guards against bodies over the limit that are run, and against ones within
    // the limit that are refused.
    let limits = ClientLimits {
        body_bytes: Some(1_000),
        ..ClientLimits::default()
    };
    let fleet = limited_fleet(FleetShape::single(), 1_000, limits).await;
    let chunk = |size: usize| format!("{size:x}\r\n{}\r\n", "b".repeat(size));
    let cases = [
        ("fits", "Content-Length: 1000\r\n", "b".repeat(1_000), 200),
        ("too-large", "Content-Length: 1001\r\n", String::new(), 413),
        (
            "chunks-fit",
            "Transfer-Encoding: chunked\r\n",
            chunk(500) + &chunk(500) + "0\r\n\r\n",
            200,
        ),
        (
            "chunks-too-large",
            "Transfer-Encoding: chunked\r\n",
            chunk(500) + &chunk(501),
            413,
        ),
    ];
    for (id, framing, body, status) in cases {
        let request = format!("{}{framing}\r\n{body}", head("POST /plans/book", id));
        let mut stream = connect(&fleet).await;
        stream.write_all(request.as_bytes()).await.unwrap();
        let answer = read_answer(&mut stream).await;
        let expected = format!("HTTP/1.1 {status} ");
        assert!(answer.starts_with(&expected), "{id}: {answer:?}");
        assert_eq!(fleet.runs(id), u64::from(status == 200), "{id}");
    }
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn overrun_is_unknown() {
    // Guards against an answer that says not run to a request of which a part was
    // sent on before its size was known.
    let limits = ClientLimits {
        body_bytes: Some(200_000),
        ..ClientLimits::default()
    };
    let fleet = limited_fleet(FleetShape::single(), 1_000, limits).await;
    let request = format!(
        "{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n",
        head("POST /plans/book", "overrun"),
        250_000,
        "b".repeat(250_000)
    );
    let mut stream = connect(&fleet).await;
    let _ = stream.write_all(request.as_bytes()).await;
    let answer = read_answer(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer:?}");
    assert!(answer.contains("outcome: unknown"), "{answer:?}");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn room_for_new_ones() {
    // Guards against idle connections that keep out new ones, and against closing
    // one with a request in flight instead.
    let fleet = limited_fleet(FleetShape::single(), 24, ClientLimits::default()).await;
    fleet.backends[0].hold();
    fleet.backends[0].set_path_behaviour("/plans/held", Behaviour::Held);
    let mut busy = connect(&fleet).await;
    let request = format!("{}\r\n", head("GET /plans/held", "held"));
    busy.write_all(request.as_bytes()).await.unwrap();
    fleet
        .wait_until("the held request runs", |fleet| fleet.runs("held") == 1)
        .await;
    let mut kept = Vec::new();
    for number in 0..60 {
        let mut stream = connect(&fleet).await;
        let answer = get(&mut stream, &format!("new-{number}")).await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{number}: {answer:?}");
        kept.push(stream);
    }
    fleet.backends[0].release();
    let answer = read_answer(&mut busy).await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:?}");
    // The one that was idle for longest was closed, the newest was not.
    wait_closed(&mut kept[0]).await;
    let answer = get(&mut kept[59], "last").await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:?}");
    fleet.stop().await;
}
