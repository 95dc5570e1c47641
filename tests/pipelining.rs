//! Requests that a client sends on a connection before the earlier ones are
//! answered.

mod harness;

use std::future::Future;

use bytes::Bytes;
use config::{Account, Record};
use fakes::{Behaviour, Deployment};
use harness::{Fleet, FleetShape, KEY};
use hyper::Method;
use serve::Budgets;
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Duration, sleep, timeout},
};

/// Maximum wait for an answer or the end of a connection.
const WAIT_LIMIT: Duration = Duration::from_secs(20);
/// Wait in which a request that must not run would have run.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Time after which the requests for `/plans/hurried` are refused.
const HURRY_MS: u32 = 200;

/// Starts a fleet of one daemon and one backend server, which holds the requests
/// for `/plans/held`. No request needs a token, of which there are few after a
/// start.
async fn held_fleet(shape: FleetShape) -> Fleet {
    let change = |deployment: &mut Deployment| {
        let routes = deployment.records.iter().filter_map(hurried_route);
        let routes: Vec<Record> = routes.collect();
        deployment.records.extend(routes);
        for record in &mut deployment.records {
            if let Record::Account(account) = record {
                (account.rate, account.burst) = Account::unlimited();
            }
        }
    };
    let fleet = Fleet::start_with(shape, change).await;
    fleet.backends[0].hold();
    fleet.backends[0].set_path_behaviour("/plans/held", Behaviour::Held);
    fleet
}

/// Returns the route of the hurried requests, made of the one of all requests.
fn hurried_route(record: &Record) -> Option<Record> {
    let Record::Route(route) = record else {
        return None;
    };
    let mut route = route.clone();
    route.prefix = "/plans/hurried".into();
    route.terms.timeout_ms = Some(HURRY_MS);
    Some(Record::Route(route))
}

/// Opens a connection to the ingress of the first daemon.
async fn connect(fleet: &Fleet) -> TcpStream {
    let address = fleet.daemon(0).addresses().ingress;
    TcpStream::connect(address).await.unwrap()
}

/// Returns a request with additional header lines.
fn request_with(line: &str, id: &str, fields: &str) -> String {
    format!(
        "{line} HTTP/1.1\r\nHost: plans\r\nAuthorization: Bearer {KEY}\r\nx-run-id: {id}\r\n{fields}\r\n"
    )
}

/// Returns a GET request for `/plans/ID`, which is also its run id.
fn get(id: &str) -> String {
    request_with(&format!("GET /plans/{id}"), id, "")
}

/// Returns the output of `future`, or panics after a long wait.
async fn within<T>(what: &str, future: impl Future<Output = T>) -> T {
    let output = timeout(WAIT_LIMIT, future).await;
    output.unwrap_or_else(|_| panic!("timed out: {what}"))
}

/// Sends `text` over a new connection.
async fn send(fleet: &Fleet, text: &str) -> TcpStream {
    let mut stream = connect(fleet).await;
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}

/// Reads until the peer closes the connection, and returns what was read.
async fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = within("the connection ends", stream.read_to_end(&mut bytes)).await;
    read.unwrap_or_else(|error| panic!("{error} after {} bytes", bytes.len()));
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads until `count` answers have begun and the last one ends with `end`.
async fn read_answers(stream: &mut TcpStream, count: usize, end: &str) -> String {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if statuses(&text).len() == count && text.ends_with(end) {
            return text;
        }
        let read = within("the answers", stream.read_buf(&mut bytes)).await;
        assert!(read.unwrap_or(0) > 0, "closed after {text:?}");
    }
}

/// Returns the status of each answer in `text`.
fn statuses(text: &str) -> Vec<u16> {
    let heads = text.split("HTTP/1.1 ").skip(1);
    heads.map(|head| head[..3].parse().unwrap()).collect()
}

/// Returns the paths that the backend server has echoed in its answers.
fn paths(text: &str) -> Vec<&str> {
    let lines = text.lines();
    lines
        .filter_map(|line| line.strip_prefix("x-echo-path: /plans/"))
        .collect()
}

/// Waits until the request with an id has run once.
async fn wait_run(fleet: &Fleet, id: &str) {
    let what = format!("{id} runs");
    fleet.wait_until(&what, |fleet| fleet.runs(id) == 1).await;
}

/// Returns the sum of the lines of the daemon's metrics that begin with `prefix`.
async fn metric(fleet: &Fleet, prefix: &str) -> f64 {
    let admin = fleet.daemon(0).addresses().admin;
    let page = fleet.request_to(admin, Method::GET, "/metrics");
    let page = fleet.send(page).await.unwrap();
    let text = String::from_utf8_lossy(&page.body).into_owned();
    let lines = text.lines().filter(|line| line.starts_with(prefix));
    lines
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

/// Waits until a sum of metrics is at least `least`.
async fn wait_metric(fleet: &Fleet, prefix: &str, least: f64) {
    let reached = async {
        while metric(fleet, prefix).await < least {
            sleep(Duration::from_millis(20)).await;
        }
    };
    within(prefix, reached).await;
}

#[test_case(&[]; "one write")]
#[test_case(&[40]; "first head split")]
#[test_case(&[150, 250]; "later heads split")]
#[tokio::test(flavor = "multi_thread")]
async fn answers_in_order(cuts: &[usize]) {
    // Guards against requests that wait for the answers before them, and against
    // answers in the order in which they are ready.
    let fleet = held_fleet(FleetShape::single()).await;
    let text = get("held") + &get("second") + &get("third");
    let mut stream = connect(&fleet).await;
    let mut from = 0;
    for to in cuts.iter().copied().chain([text.len()]) {
        stream.write_all(&text.as_bytes()[from..to]).await.unwrap();
        sleep(Duration::from_millis(50)).await;
        from = to;
    }
    for id in ["held", "second", "third"] {
        wait_run(&fleet, id).await;
    }
    fleet.backends[0].release();
    let answers = read_answers(&mut stream, 3, "break plan").await;
    assert_eq!(paths(&answers), ["held", "second", "third"]);
    // The connection goes on with requests that are not sent ahead.
    stream.write_all(get("later").as_bytes()).await.unwrap();
    let answer = read_answers(&mut stream, 1, "break plan").await;
    assert_eq!(paths(&answer), ["later"]);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn many_in_order() {
    // Guards against requests beyond the bound that are lost, run twice or answered
    // out of order.
    let fleet = held_fleet(FleetShape::single()).await;
    let ids: Vec<String> = (0..100).map(|number| format!("many-{number}")).collect();
    let text: String = ids.iter().map(|id| get(id)).collect();
    let mut stream = send(&fleet, &(get("held") + &text)).await;
    wait_run(&fleet, "many-15").await;
    sleep(SETTLE_TIME).await;
    assert_eq!(fleet.runs("many-16"), 0, "more than 16 ran ahead");
    fleet.backends[0].release();
    let answers = read_answers(&mut stream, 101, "break plan").await;
    assert_eq!(paths(&answers)[1..], ids);
    assert!(ids.iter().all(|id| fleet.runs(id) == 1));
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_not_delayed() {
    // Guards against a refusal that is decided only when the requests before it are
    // answered, and against one that looks different from that of a plain request.
    let shape = FleetShape {
        slots: 1,
        ..FleetShape::single()
    };
    let fleet = held_fleet(shape).await;
    let bad_key = get("bad-key").replace(KEY, "no-such-key");
    let refused = "dogwoodshore_requests_total{outcome=\"not-run\"";
    let before = metric(&fleet, refused).await;
    let mut stream = send(&fleet, &get("held")).await;
    wait_run(&fleet, "held").await;
    let behind = bad_key.clone() + &get("hurried");
    stream.write_all(behind.as_bytes()).await.unwrap();
    wait_metric(&fleet, refused, before + 2.0).await;
    fleet.backends[0].release();
    let answers = read_answers(&mut stream, 3, "\n").await;
    assert_eq!(statuses(&answers), [200, 401, 503], "{answers}");
    let mut plain = send(&fleet, &bad_key).await;
    let plain = read_answers(&mut plain, 1, "\n").await;
    let without_date = |text: &str| {
        let lines = text.lines().filter(|line| !line.starts_with("date:"));
        lines.collect::<Vec<_>>().join("\n")
    };
    let ahead = without_date(&answers);
    assert!(ahead.contains(&without_date(&plain)), "{plain}\n{answers}");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn tokens_in_order() {
    // Guards against a request over the rate that is refused only when the requests
    // before it are answered, and against one that takes the token of an earlier one.
    let shape = FleetShape {
        accounts: vec![("radio-one".to_owned(), 4, 6)],
        ..FleetShape::single()
    };
    let fleet = Fleet::start(shape).await;
    fleet.backends[0].hold();
    fleet.backends[0].set_path_behaviour("/plans/held", Behaviour::Held);
    let mut stream = connect(&fleet).await;
    let held = async {
        // The warm-up of the fleet may have taken all tokens.
        while fleet.runs("held") == 0 {
            stream.write_all(get("held").as_bytes()).await.unwrap();
            sleep(Duration::from_millis(500)).await;
        }
    };
    within("the held request runs", held).await;
    // Tokens for some of the requests accrue.
    sleep(Duration::from_millis(1_500)).await;
    let refused = "dogwoodshore_requests_total{outcome=\"not-run\",reason=\"over the rate";
    let before = metric(&fleet, refused).await;
    let ids: Vec<String> = (0..30).map(|number| format!("token-{number}")).collect();
    let text: String = ids.iter().map(|id| get(id)).collect();
    stream.write_all(text.as_bytes()).await.unwrap();
    wait_metric(&fleet, refused, before + 4.0).await;
    sleep(SETTLE_TIME).await;
    let ran: Vec<u64> = ids.iter().map(|id| fleet.runs(id)).collect();
    assert_eq!(fleet.backends[0].running(), 1, "the first one has ended");
    let first_refused = ran.iter().position(|runs| *runs == 0).unwrap();
    assert!(first_refused > 0, "no tokens accrued");
    assert!(
        ran[first_refused..].iter().all(|runs| *runs == 0),
        "{ran:?}"
    );
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_are_bounded() {
    // Guards against answers behind a slow one that fill the memory.
    let body = Bytes::from(vec![b'b'; 16 << 20]);
    let shape = FleetShape {
        body: body.clone(),
        budgets: Budgets {
            ahead_bytes: 64 * 1024,
            ..Budgets::default()
        },
        ..FleetShape::single()
    };
    let fleet = held_fleet(shape).await;
    let large = get("large-1") + &get("large-2") + &get("large-3");
    let mut stream = send(&fleet, &(get("held") + &large)).await;
    wait_metric(&fleet, "dogwoodshore_ahead_buffers_full_total", 1.0).await;
    sleep(SETTLE_TIME).await;
    // Their last bytes were not taken from the backend server.
    assert_eq!(fleet.backends[0].running(), 4);
    fleet.backends[0].release();
    let mut read = 0;
    let mut bytes = vec![0; 1 << 16];
    while read < 4 * body.len() {
        let count = within("the bodies", stream.read(&mut bytes)).await.unwrap();
        assert!(count > 0, "closed after {read} bytes");
        read += count;
    }
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_reader_is_bounded() {
    // Guards against a client that sends requests without reading the answers: it
    // must not use more than its own bound, nor keep others from being served.
    let shape = FleetShape {
        body: Bytes::from(vec![b'b'; 4 << 20]),
        slots: 40,
        ..FleetShape::single()
    };
    let fleet = held_fleet(shape).await;
    let mut stream = connect(&fleet).await;
    let text: String = (0..400).map(|number| get(&format!("n-{number}"))).collect();
    let sent = timeout(Duration::from_secs(2), stream.write_all(text.as_bytes())).await;
    drop(sent);
    wait_metric(&fleet, "dogwoodshore_ahead_buffers_full_total", 1.0).await;
    sleep(SETTLE_TIME).await;
    let running = fleet.backends[0].running();
    assert!(running <= 17, "{running} requests of one connection run");
    let mut other = send(&fleet, &request_with("HEAD /plans/other", "other", "")).await;
    let answer = read_answers(&mut other, 1, "\r\n\r\n").await;
    assert_eq!(statuses(&answer), [200]);
    drop(stream);
    fleet
        .wait_until("its requests are cancelled", |fleet| {
            fleet.backends[0].running() == 0
        })
        .await;
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn client_closes() {
    // Guards against a request that is forwarded behind one with which the client
    // ends the connection.
    let fleet = held_fleet(FleetShape::single()).await;
    let last = request_with("GET /plans/last", "last", "Connection: close\r\n");
    let mut stream = send(&fleet, &(get("held") + &last + &get("behind"))).await;
    wait_run(&fleet, "last").await;
    sleep(SETTLE_TIME).await;
    fleet.backends[0].release();
    let answers = read_all(&mut stream).await;
    assert_eq!(paths(&answers), ["held", "last"]);
    assert_eq!(fleet.runs("behind"), 0);
    fleet.stop().await;
}

#[test_case("Content-Length: 4\r\n", "spot"; "body")]
#[test_case("Content-Length: 0\r\n", ""; "no body")]
#[test_case("Transfer-Encoding: chunked\r\n", "4\r\nspot\r\n0\r\n\r\n"; "chunked body")]
#[test_case("Expect: 100-continue\r\nContent-Length: 4\r\n", "spot"; "expectation")]
#[tokio::test(flavor = "multi_thread")]
async fn unsafe_waits(fields: &str, body: &str) {
    // Guards against a request that may run only once, or one behind it, that runs
    // before those that were sent earlier are answered.
    let fleet = held_fleet(FleetShape::single()).await;
    let post = request_with("POST /plans/book", "book", fields) + body;
    let text = get("held") + &get("before") + &post + &get("after") + &get("last");
    let mut stream = send(&fleet, &text).await;
    wait_run(&fleet, "before").await;
    sleep(SETTLE_TIME).await;
    assert_eq!((fleet.runs("book"), fleet.runs("after")), (0, 0));
    fleet.backends[0].release();
    let answers = read_answers(&mut stream, 5 + fields.matches("Expect").count(), "plan").await;
    assert_eq!(paths(&answers), ["held", "before", "book", "after", "last"]);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unsafe_first() {
    // Guards against a request that runs before an unsafe one in front of it is
    // answered, and so may not see what that one changed.
    let fleet = held_fleet(FleetShape::single()).await;
    let post = request_with("POST /plans/held", "held", "Content-Length: 4\r\n") + "spot";
    let mut stream = send(&fleet, &(post + &get("after"))).await;
    wait_run(&fleet, "held").await;
    sleep(SETTLE_TIME).await;
    assert_eq!(fleet.runs("after"), 0);
    fleet.backends[0].release();
    let answers = read_answers(&mut stream, 2, "break plan").await;
    assert_eq!(paths(&answers), ["held", "after"]);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_answer_ends_all() {
    // Guards against an answer that appears behind one that broke off.
    let shape = FleetShape {
        body: Bytes::from(vec![b'b'; 16 << 20]),
        ..FleetShape::single()
    };
    let fleet = held_fleet(shape).await;
    fleet.backends[0].set_path_behaviour("/plans/broken", Behaviour::CloseMidBody);
    let text = get("held") + &get("broken") + &get("behind");
    let mut stream = send(&fleet, &text).await;
    wait_run(&fleet, "behind").await;
    fleet.backends[0].release();
    let mut bytes = Vec::new();
    let _ = within("the connection ends", stream.read_to_end(&mut bytes)).await;
    let answers = String::from_utf8_lossy(&bytes).into_owned();
    let echoed = paths(&answers);
    assert!(["held", "broken"].starts_with(&echoed), "{echoed:?}");
    assert!(bytes.len() < 32 << 20, "the answer is complete");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn disconnect_cancels() {
    // Guards against requests that go on for a client that has left.
    let fleet = held_fleet(FleetShape::single()).await;
    let second = request_with("GET /plans/held", "second", "");
    let stream = send(&fleet, &(get("held") + &second)).await;
    wait_run(&fleet, "second").await;
    drop(stream);
    fleet
        .wait_until("both are cancelled", |fleet| {
            fleet.backends[0].running() == 0
        })
        .await;
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_answers_forwarded() {
    // Guards against a planned stop that cuts off requests that were forwarded, or
    // forwards more that it then doesn't answer.
    let mut fleet = held_fleet(FleetShape::single()).await;
    let post = request_with("POST /plans/book", "book", "Content-Length: 4\r\n") + "spot";
    let mut stream = send(&fleet, &(get("held") + &get("ahead") + &post)).await;
    wait_run(&fleet, "ahead").await;
    let daemon = fleet.daemons[0].take().unwrap();
    let view = std::sync::Arc::clone(daemon.view());
    let stop = tokio::spawn(daemon.stop());
    within("the daemon is leaving", async {
        while !view.is_leaving() {
            sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
    stream.write_all(get("late").as_bytes()).await.unwrap();
    sleep(SETTLE_TIME).await;
    fleet.backends[0].release();
    let answers = read_all(&mut stream).await;
    assert_eq!(paths(&answers), ["held", "ahead"], "{answers}");
    // Only the last answer closes the connection, or the client would not read it.
    assert_eq!(answers.matches("connection: close").count(), 1);
    let last = answers.rfind("HTTP/1.1 ").unwrap();
    assert!(answers[last..].contains("connection: close"), "{answers}");
    assert_eq!((fleet.runs("book"), fleet.runs("late")), (0, 0));
    within("the daemon stops", stop).await.unwrap();
    fleet.stop().await;
}

/// The hurried answer that arrives first is buffered whole in the first case, and only
/// in part in the second one. At least `late` answers are too late; the last answer, which
/// is never, may arrive first and fill the buffer as well.
#[test_case(50_000, 32 * 1024, 1; "whole")]
#[test_case(200_000, 64 * 1024, 2; "part")]
#[tokio::test(flavor = "multi_thread")]
async fn late_answer_not_shortened(length: usize, ahead_bytes: usize, late: usize) {
    // Guards against an answer whose time ends while it waits for its turn, and which
    // the next answer follows as if it were complete.
    let body = Bytes::from(vec![b'b'; length]);
    let shape = FleetShape {
        body: body.clone(),
        budgets: Budgets {
            ahead_bytes,
            ..Budgets::default()
        },
        ..FleetShape::single()
    };
    let fleet = held_fleet(shape).await;
    let hurried = |id: &str| request_with(&format!("GET /plans/hurried/{id}"), id, "");
    let text = get("held") + &hurried("first") + &hurried("second") + &get("after");
    let mut stream = send(&fleet, &text).await;
    sleep(Duration::from_millis(u64::from(HURRY_MS) * 3)).await;
    fleet.backends[0].release();
    let mut bytes = Vec::new();
    let _ = timeout(Duration::from_secs(3), stream.read_to_end(&mut bytes)).await;
    let text = String::from_utf8_lossy(&bytes);
    let answers = statuses(&text);
    assert!(
        matches!(answers[..], [200, 200 | 504, 200 | 504, 200]),
        "{answers:?}"
    );
    let refused = answers.iter().filter(|status| **status == 504).count();
    assert!(refused >= late, "{answers:?}");
    for answer in text.split("HTTP/1.1 ").skip(1) {
        let (head, rest) = answer.split_once("\r\n\r\n").expect("head");
        match head.starts_with("200") {
            true => assert_eq!(rest.len(), body.len(), "{head}"),
            false => assert!(rest.starts_with("unknown: "), "{rest}"),
        }
    }
    fleet.stop().await;
}

/// Returns a fleet whose answers of 900 KB are small enough to be buffered whole, unless
/// they run ahead, and the bytes that its daemon may buffer of those.
async fn small_budget_fleet() -> Fleet {
    let shape = FleetShape {
        body: Bytes::from(vec![b'b'; 900_000]),
        slots: 20,
        budgets: Budgets {
            ahead_bytes: 64 * 1024,
            ..Budgets::default()
        },
        ..FleetShape::single()
    };
    held_fleet(shape).await
}

#[tokio::test(flavor = "multi_thread")]
async fn full_budget_starts_none() {
    // Guards against requests that are run although nothing more of their answers may
    // be buffered.
    let fleet = small_budget_fleet().await;
    let mut stream = send(&fleet, &(get("held") + &get("first"))).await;
    wait_metric(&fleet, "dogwoodshore_ahead_buffers_full_total", 1.0).await;
    let more: String = (0..3)
        .map(|number| get(&format!("more-{number}")))
        .collect();
    stream.write_all(more.as_bytes()).await.unwrap();
    sleep(SETTLE_TIME).await;
    assert_eq!(fleet.backends[0].runs("more-0"), 0);
    assert_eq!(
        metric(&fleet, "dogwoodshore_requests_ahead_total").await,
        1.0
    );
    fleet.backends[0].release();
    let text = read_answers(&mut stream, 5, &"b".repeat(900_000)).await;
    assert_eq!(
        paths(&text),
        ["held", "first", "more-0", "more-1", "more-2"]
    );
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn partly_buffered_ahead() {
    // Guards against answers that are buffered whole ahead although they exceed the
    // budget: the rest of such an answer has to stay with the backend server.
    let fleet = small_budget_fleet().await;
    let pause = Duration::from_millis(60);
    fleet.backends[0].set_path_behaviour("/plans/slow", Behaviour::Trickle(pause));
    let mut stream = send(&fleet, &(get("held") + &get("slow"))).await;
    wait_metric(&fleet, "dogwoodshore_ahead_buffers_full_total", 1.0).await;
    assert_eq!(fleet.backends[0].running(), 2);
    fleet.backends[0].release();
    let text = read_answers(&mut stream, 2, &"b".repeat(900_000)).await;
    assert_eq!(paths(&text), ["held", "slow"]);
    fleet.stop().await;
}
