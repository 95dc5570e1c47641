//! Random requests that clients send before the earlier ones are answered.

mod harness;

use std::future::Future;

use bytes::Bytes;
use config::{Account, Record};
use fakes::{Behaviour, Deployment};
use harness::{Fleet, FleetShape, KEY};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serve::Budgets;
use test_case::test_case;
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpStream, tcp::OwnedReadHalf},
    task::JoinSet,
    time::{Duration, sleep, timeout},
};

/// Maximum wait for a part of an answer.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Returns the output of `future`, or panics after a long wait.
async fn within<T>(what: &str, future: impl Future<Output = T>) -> T {
    let output = timeout(WAIT_LIMIT, future).await;
    output.unwrap_or_else(|_| panic!("timed out: {what}"))
}

/// Returns a request with additional header lines.
fn request_with(line: &str, id: &str, fields: &str) -> String {
    format!(
        "{line} HTTP/1.1\r\nHost: plans\r\nAuthorization: Bearer {KEY}\r\nx-run-id: {id}\r\n{fields}\r\n"
    )
}

/// Opens a connection to the ingress of the first daemon.
async fn connect(fleet: &Fleet) -> TcpStream {
    let address = fleet.daemon(0).addresses().ingress;
    TcpStream::connect(address).await.unwrap()
}

/// Reads one answer and returns the path that it echoes; `None` if the daemon has
/// refused the request, as it may on a busy machine.
async fn read_one(reader: &mut BufReader<OwnedReadHalf>, has_body: bool) -> Option<String> {
    let (mut path, mut length, mut is_refused) = (String::new(), 0, false);
    loop {
        let mut line = String::new();
        let read = within("a line of an answer", reader.read_line(&mut line)).await;
        assert!(read.unwrap() > 0, "closed in an answer");
        let line = line.trim_end();
        is_refused |= line == "dogwoodshore-outcome: not-run";
        if let Some(echoed) = line.strip_prefix("x-echo-path: /plans/") {
            path = echoed.to_owned();
        }
        if let Some(digits) = line.strip_prefix("content-length: ") {
            length = digits.parse().unwrap();
        }
        if line.is_empty() {
            break;
        }
    }
    let mut body = vec![0; if has_body { length } else { 0 }];
    within("a body", reader.read_exact(&mut body))
        .await
        .unwrap();
    (!is_refused).then_some(path)
}

/// Sends `count` random requests over one connection, cut at random, and checks
/// the order of the answers. Returns the number of refused requests.
async fn random_client(stream: TcpStream, seed: u64, count: usize) -> usize {
    let mut random = StdRng::seed_from_u64(seed);
    let mut text = String::new();
    let mut expected = Vec::new();
    for number in 0..count {
        let id = format!("random-{seed}-{number}");
        let length = "Content-Length: 4\r\n";
        let chunks = "Transfer-Encoding: chunked\r\n";
        let (method, place, fields, body) = match random.random_range(0..200) {
            0..120 => ("GET", "fast", "", ""),
            120..150 => ("GET", "slow", "", ""),
            150..180 => ("HEAD", "fast", "", ""),
            180..199 => ("POST", "slow", length, "spot"),
            _ => ("POST", "fast", chunks, "4\r\nspot\r\n0\r\n\r\n"),
        };
        let path = format!("{place}/{id}");
        text += &request_with(&format!("{method} /plans/{path}"), &id, fields);
        text += body;
        expected.push((path, method != "HEAD"));
    }
    let (reader, mut writer) = stream.into_split();
    let write = async {
        let mut rest = text.as_bytes();
        while !rest.is_empty() {
            let (chunk, behind) = rest.split_at(random.random_range(1..2_000).min(rest.len()));
            writer.write_all(chunk).await.unwrap();
            rest = behind;
            if random.random_bool(0.3) {
                sleep(Duration::from_millis(random.random_range(0..10))).await;
            }
        }
    };
    let read = async {
        let mut reader = BufReader::new(reader);
        let mut refused = 0;
        for (path, has_body) in &expected {
            match read_one(&mut reader, *has_body).await {
                Some(echoed) => assert_eq!(echoed, *path, "seed {seed}"),
                None => refused += 1,
            }
        }
        refused
    };
    tokio::join!(write, read).1
}

#[test_case(Budgets::default(); "default bounds")]
#[test_case(Budgets { requests_ahead: 3, ahead_bytes: 1_024, head_bytes: 1_024, ..Budgets::default() }; "tight bounds")]
#[tokio::test(flavor = "multi_thread")]
async fn random_requests(budgets: Budgets) {
    // Guards against a connection on which nothing goes on any more, and against
    // answers out of order, in any mix of requests, cuts and full buffers.
    let shape = FleetShape {
        body: Bytes::from(vec![b'b'; 20_000]),
        slots: 250,
        budgets,
        ..FleetShape::single()
    };
    let unlimit = |deployment: &mut Deployment| {
        for record in &mut deployment.records {
            if let Record::Account(account) = record {
                (account.rate, account.burst) = Account::unlimited();
            }
        }
    };
    let fleet = Fleet::start_with(shape, unlimit).await;
    let slow = Behaviour::Slow(Duration::from_millis(3));
    fleet.backends[0].set_path_behaviour("/plans/slow", slow);
    let mut clients = JoinSet::new();
    for seed in 0..12 {
        clients.spawn(random_client(connect(&fleet).await, seed, 150));
    }
    let mut refused = 0;
    while let Some(ended) = clients.join_next().await {
        refused += ended.unwrap();
    }
    // So many that the order of the others says nothing would be a fault, too.
    assert!(refused < 12 * 150 / 4, "{refused} refused");
    fleet.stop().await;
}
