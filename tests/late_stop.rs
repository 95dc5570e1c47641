//! Requests that reach a daemon while it stops: each is answered, and one that can't
//! end in time is refused before it runs.

mod harness;

use std::time::Duration;

use config::Record;
use fakes::{Behaviour, DropRelay};
use harness::{Fleet, FleetShape, KEY};
use hyper::StatusCode;
use serve::{Budgets, Daemon};
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

/// Grace period of the fleets in this file, in seconds.
const GRACE_S: u64 = 3;
/// Time limit for an answer, far longer than the grace period.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Starts a fleet with one backend server, beside the first daemon.
async fn short_grace_fleet(slots: u32) -> Fleet {
    let shape = FleetShape {
        servers: 1,
        slots,
        budgets: Budgets {
            grace_s: GRACE_S,
            ..Budgets::default()
        },
        ..FleetShape::default()
    };
    Fleet::start(shape).await
}

/// Returns a request that must not run twice, with a body of 4 bytes.
fn post_text(id: &str) -> String {
    format!(
        "POST /plans/book HTTP/1.1\r\nHost: plans\r\nAuthorization: Bearer {KEY}\r\n\
         x-run-id: {id}\r\nContent-Length: 4\r\n\r\nspot"
    )
}

/// Reads until the daemon closes the connection, and returns what was read.
async fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    // A reset counts as the end of the connection, too.
    let read = timeout(WAIT_LIMIT, stream.read_to_end(&mut bytes)).await;
    let _ = read.expect("the daemon must close the connection");
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends `first`, stops the daemon, and sends `rest` after a pause. Returns what the
/// daemon answered.
async fn send_across_stop(daemon: Daemon, first: &str, pause: Duration, rest: &str) -> String {
    let address = daemon.addresses().ingress;
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(first.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    let stop = tokio::spawn(daemon.stop());
    sleep(pause).await;
    // The daemon may have closed the connection, which the answer shows.
    let _ = stream.write_all(rest.as_bytes()).await;
    let answer = read_all(&mut stream).await;
    stop.await.unwrap();
    answer
}

// Guards against planned stops that cut requests which had just been accepted.
#[test_case(0, 0; "connected only")]
#[test_case(1, 20; "first byte read")]
#[test_case(30, 20; "in the head")]
#[test_case(30, 400; "in the head for long")]
#[test_case(usize::MAX, 20; "before the last byte of the body")]
#[test_case(usize::MAX, 400; "before the last byte of the body for long")]
#[tokio::test(flavor = "multi_thread")]
async fn accepted_request_is_answered(split: usize, pause_ms: u64) {
    let mut fleet = short_grace_fleet(4).await;
    let leaving = fleet.daemons[2].take().unwrap();
    let text = post_text("split");
    let (first, rest) = text.split_at(split.min(text.len() - 1));
    let pause = Duration::from_millis(pause_ms);
    let answer = send_across_stop(leaving, first, pause, rest).await;
    match fleet.runs("split") {
        0 => assert!(answer.starts_with("HTTP/1.1 503 "), "{answer:?}"),
        runs => {
            assert_eq!(runs, 1);
            assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:?}");
            assert!(answer.ends_with("break plan"), "{answer:?}");
        }
    }
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_run_once() {
    let mut fleet = short_grace_fleet(4).await;
    fleet.backends[0].set_behaviour(Behaviour::Slow(Duration::from_millis(300)));
    let leaving = fleet.daemons[2].take().unwrap();
    let text = post_text("one") + &post_text("two");
    let answer = send_across_stop(leaving, &text, Duration::ZERO, "").await;
    // The second is either answered, or not read: the first answer then says that
    // the connection closes.
    let answers = answer.matches("HTTP/1.1 200 ").count() as u64;
    assert_eq!(fleet.runs("one"), 1);
    assert_eq!(answers, 1 + fleet.runs("two"), "{answer:?}");
    assert!(
        answer.to_lowercase().contains("connection: close"),
        "{answer:?}"
    );
    fleet.stop().await;
}

// Guards against requests that are taken late in the grace period and cut off at its
// end, after they have run.
#[tokio::test(flavor = "multi_thread")]
async fn late_slot_is_not_used() {
    let mut fleet = short_grace_fleet(1).await;
    let work = Duration::from_millis(1_000);
    fleet.backends[0].set_behaviour(Behaviour::Slow(work));
    // The daemon learns how long requests run.
    for round in 0..2 {
        let answer = fleet.post(2, &format!("known{round}")).await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
    let leaving = fleet.daemons[2].take().unwrap();
    let client = fleet.client.clone();
    // The slot is free again when too little of the grace period is left.
    fleet.backends[0].hold();
    fleet.backends[0].set_behaviour(Behaviour::Held);
    let first = fleet
        .request(0, hyper::Method::POST, "/plans/book")
        .run_id("first");
    let late = fleet
        .request(2, hyper::Method::POST, "/plans/book")
        .run_id("late");
    let first = tokio::spawn({
        let client = client.clone();
        async move { harness::send_with(&client, first).await }
    });
    fleet
        .wait_until("the first request runs", |fleet| fleet.runs("first") == 1)
        .await;
    fleet.backends[0].set_behaviour(Behaviour::Slow(work));
    let late = tokio::spawn(async move { harness::send_with(&client, late).await });
    sleep(Duration::from_millis(100)).await;
    let stop = tokio::spawn(leaving.stop());
    sleep(Duration::from_secs(GRACE_S) - Duration::from_millis(1_100)).await;
    fleet.backends[0].release();
    first.await.unwrap().unwrap();
    let answer = late.await.unwrap();
    stop.await.unwrap();
    let answer = answer.expect("the connection was closed without an answer");
    match fleet.runs("late") {
        0 => assert_eq!(answer.outcome(), "not-run", "{answer:?}"),
        _ => assert_eq!(answer.status, StatusCode::OK, "{answer:?}"),
    }
    fleet.stop().await;
}

// Guards against a linger that takes all of the grace period, so that nothing is left
// to finish what was taken in it.
#[tokio::test(flavor = "multi_thread")]
async fn linger_leaves_time_to_finish() {
    let mut fleet = short_grace_fleet(4).await;
    let leaving = fleet.daemons[2].take().unwrap();
    let mut settings = harness::test_settings(2, &FleetShape::default(), fleet.platform.address());
    settings.policy.linger_ms = 10_000;
    settings.budgets.grace_s = GRACE_S;
    leaving.reload(&settings);
    let work = Duration::from_millis(700);
    fleet.backends[0].set_behaviour(Behaviour::Slow(work));
    let address = leaving.addresses().ingress;
    let started = Instant::now();
    let stop = tokio::spawn(async move {
        leaving.stop().await;
        started.elapsed()
    });
    // Callers come all the time; whatever runs is answered.
    let mut running = Vec::new();
    for number in 0..14 {
        let id = format!("linger{number}");
        running.push(tokio::spawn(async move {
            let Ok(mut stream) = TcpStream::connect(address).await else {
                return (id, String::new());
            };
            let _ = stream.write_all(post_text(&id).as_bytes()).await;
            (id, read_all(&mut stream).await)
        }));
        sleep(Duration::from_millis(200)).await;
    }
    for task in running {
        let (id, answer) = task.await.unwrap();
        let answered = answer.starts_with("HTTP/1.1 200 ");
        assert_eq!(fleet.runs(&id), u64::from(answered), "{id}: {answer:?}");
    }
    let stopped_after = stop.await.unwrap();
    assert!(
        stopped_after < Duration::from_secs(GRACE_S),
        "{stopped_after:?}"
    );
    fleet.stop().await;
}

/// Bytes per second of a slow link between two daemons.
const LINK_RATE: u64 = 2_500_000;
/// Size of an answer that takes about four seconds on it.
const LARGE_BYTES: usize = 10_000_000;

// Guards against planned stops that lose the end of an answer: all of it was read from the
// backend server, and its last part was not yet written to the peer. A socket takes bytes in
// bursts of almost a megabyte, and whether the end is among them depends on the size.
#[tokio::test(flavor = "multi_thread")]
async fn unwritten_answer_is_finished() {
    let sizes = (0..5).map(|number| LARGE_BYTES + number * 200_000);
    futures::future::join_all(sizes.map(stop_below_answer)).await;
}

/// Stops the daemon beside the backend server while an answer of `size` bytes is on its
/// way to another daemon, and checks that all of it arrives.
async fn stop_below_answer(size: usize) {
    let grace = Duration::from_secs(8);
    let relay = DropRelay::start().await.unwrap();
    relay.limit_answer_rate(LINK_RATE);
    let address = relay.address();
    let shape = FleetShape {
        daemons: 2,
        zones: 1,
        servers: 1,
        body: vec![b'p'; size].into(),
        budgets: Budgets {
            grace_s: grace.as_secs(),
            ..Budgets::default()
        },
        ..FleetShape::default()
    };
    let mut fleet = Fleet::start_configured(shape, |deployment| {
        for record in &mut deployment.records {
            match record {
                Record::Vm(vm) if vm.id.as_str() == "vm-0" => vm.address = address,
                Record::Service(service) => service.deadline_ms = 20_000,
                _ => {}
            }
        }
    })
    .await;
    relay.set_target(fleet.peers[0]);
    fleet.wait_for_tokens().await;
    let request = fleet.request(1, hyper::Method::POST, "/plans/book");
    let leaving = fleet.daemons[0].take().unwrap();
    let sent = fleet.send(request.run_id("large"));
    let stop = async {
        while fleet.runs("large") == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        sleep(Duration::from_millis(300)).await;
        let started = Instant::now();
        leaving.stop().await;
        started.elapsed()
    };
    let (answer, stopped_after) = tokio::join!(sent, stop);
    let answer = answer.unwrap_or_else(|error| panic!("{error} for {size} bytes"));
    assert_eq!(answer.body.len(), size);
    assert!(stopped_after < grace, "{stopped_after:?}");
    fleet.stop().await;
    relay.stop().await;
}
