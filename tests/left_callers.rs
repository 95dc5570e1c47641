//! Callers that leave before they get the answer.

mod harness;

use std::time::Duration;

use fakes::Behaviour;
use harness::{Fleet, FleetShape};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep},
};

/// Rate and burst of the account, and the number of its requests, which is far
/// beyond both.
const RATE: u64 = 50;
const BURST: u64 = 50;
const REQUESTS: usize = 400;
/// Pause after each request, in which the daemon notices that the caller has left.
const SEND_PAUSE: Duration = Duration::from_millis(5);
/// Maximum wait for the start of one request.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Sends a request and leaves as soon as it runs. Returns false if it is refused
/// instead.
async fn send_and_leave(fleet: &Fleet, id: &str) -> bool {
    let address = fleet.daemon(0).addresses().ingress;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "GET /plans/today HTTP/1.1\r\nHost: plans\r\nx-api-key: key-of-radio-two\r\n\
         x-run-id: {id}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let end = Instant::now() + WAIT_LIMIT;
    let mut first = [0; 1];
    while fleet.runs(id) == 0 {
        assert!(Instant::now() < end, "the request neither runs nor ends");
        tokio::select! {
            read = stream.read(&mut first) => {
                assert_eq!(read.unwrap(), 1);
                return false;
            }
            () = sleep(Duration::from_millis(2)) => {}
        }
    }
    true
}

// Guards against rate tokens that return although their requests were sent: an account
// whose callers leave early had any number of requests run.
#[tokio::test(flavor = "multi_thread")]
async fn left_requests_cost_tokens() {
    let shape = FleetShape {
        slots: 64,
        accounts: vec![
            ("radio-one".to_owned(), 10_000, 10_000),
            ("radio-two".to_owned(), RATE, BURST),
        ],
        ..FleetShape::single()
    };
    let fleet = Fleet::start(shape).await;
    fleet.backends[0].hold();
    fleet.backends[0].set_behaviour(Behaviour::Held);
    let start = Instant::now();
    let mut ran = 0;
    for number in 0..REQUESTS {
        ran += u64::from(send_and_leave(&fleet, &format!("left-{number}")).await);
        sleep(SEND_PAUSE).await;
    }
    let most = BURST as f64 + RATE as f64 * start.elapsed().as_secs_f64();
    assert!(ran as f64 <= most + 1.0, "{ran} ran, {most} allowed");
    fleet.backends[0].release();
    fleet.stop().await;
}
