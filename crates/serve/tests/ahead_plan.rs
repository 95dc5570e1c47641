//! Plan of a connection: which bytes are passed on, and which requests run ahead.

use rand::{RngExt, SeedableRng, rngs::StdRng};
use serve::{AheadHead, AheadLimits, AheadPlan, BegunRequest};
use test_case::test_case;

/// Maximum number of requests that run ahead in these tests.
const REQUESTS: usize = 4;
/// Number of bytes held from which on the tests read no more.
const HELD_BYTES: usize = 300;

/// Creates a plan.
fn new_plan() -> AheadPlan {
    AheadPlan::new(AheadLimits {
        requests: REQUESTS,
        held_bytes: HELD_BYTES,
    })
}

/// Requests to `/unsafe` may run only once.
fn may_run(head: &AheadHead) -> bool {
    !head.uri.path().starts_with("/unsafe")
}

/// Returns the path of a request that runs ahead.
fn path(head: &AheadHead) -> String {
    head.uri.path().to_owned()
}

/// One request of a connection.
struct SentRequest {
    path: String,
    text: String,
    head_length: usize,
    /// Length of the body; `None` if it is chunked.
    body_length: Option<u64>,
    /// Whether it may run ahead, and others may run ahead of it.
    ahead: bool,
}

/// Returns a random request with a number.
fn random_request(random: &mut StdRng, number: usize) -> SentRequest {
    let filler = "x-filler: 1\r\n".repeat(random.random_range(0..4));
    let body = "b\r\n\r\nGET / HTTP/1.1\r\n\r\n".repeat(random.random_range(1..4));
    let length = format!("Content-Length: {}\r\n", body.len());
    let chunks = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    let chunked = "Transfer-Encoding: chunked\r\n".to_owned();
    let size = body.len() as u64;
    let none = String::new;
    let (method, place, fields, body, body_length, ahead) = match random.random_range(0..40) {
        0..=19 => ("GET", "safe", none(), none(), Some(0), true),
        20..=24 => ("HEAD", "safe", none(), none(), Some(0), true),
        25..=28 => ("POST", "safe", length, body, Some(size), false),
        29..=31 => ("GET", "safe", length, body, Some(size), false),
        32..=35 => ("GET", "unsafe", none(), none(), Some(0), false),
        36..=38 => ("DELETE", "safe", none(), none(), Some(0), false),
        _ => ("POST", "safe", chunked, chunks, None, false),
    };
    let path = format!("/{place}/{number}");
    let head = format!("{method} {path} HTTP/1.1\r\nHost: plans\r\n{fields}{filler}\r\n");
    SentRequest {
        path,
        head_length: head.len(),
        text: head + &body,
        body_length,
        ahead,
    }
}

/// A stand-in for the HTTP library, which serves one request after the other.
struct Library {
    plan: AheadPlan,
    /// Bytes that it has got and not consumed.
    buffer: Vec<u8>,
    /// Whether a request is in flight, and the bytes of its body that are missing.
    in_flight: Option<u64>,
    /// Paths of the requests that run ahead and were not begun.
    running: Vec<String>,
    /// Number of requests that were begun.
    begun: usize,
}

impl Library {
    /// Lets it read: held bytes, or else some of `wire`, which is cut off at random.
    fn read(&mut self, random: &mut StdRng, wire: &mut &[u8]) {
        let busy = self.in_flight.is_some();
        let size = random.random_range(1..120);
        if self.plan.is_holding() {
            let bytes = self.plan.feed(busy, size);
            self.buffer.extend_from_slice(&bytes);
            if !bytes.is_empty() || !self.plan.may_read() {
                return;
            }
            assert!(busy, "held bytes were not passed on");
        }
        let (chunk, rest) = wire.split_at(size.min(wire.len()));
        *wire = rest;
        match self.plan.is_holding() {
            true => self.plan.hold(chunk),
            false => {
                let passed = self.plan.arrive(busy, chunk);
                self.buffer.extend_from_slice(&chunk[..passed]);
            }
        }
    }

    /// Lets it begin the next request if it has its head, and checks that it has
    /// nothing behind that request.
    fn begin(&mut self, sent: &[SentRequest]) {
        let next = &sent[self.begun.min(sent.len() - 1)];
        if self.in_flight.is_some() || self.buffer.len() < next.head_length {
            return;
        }
        let head: Vec<u8> = self.buffer.drain(..next.head_length).collect();
        assert_eq!(head, next.text.as_bytes()[..next.head_length]);
        let was_running = self.running.first() == Some(&next.path);
        let expected = match was_running {
            true => BegunRequest::Ahead,
            false => BegunRequest::Next,
        };
        assert_eq!(self.plan.begin(next.body_length), expected, "{}", next.path);
        if was_running {
            self.running.remove(0);
        } else if !next.ahead {
            self.plan.bar();
        }
        self.begun += 1;
        self.in_flight = Some((next.text.len() - next.head_length) as u64);
        self.take_body();
    }

    /// Consumes the body of the request in flight.
    fn take_body(&mut self) {
        if let Some(missing) = &mut self.in_flight {
            let taken = self.buffer.len().min(*missing as usize);
            self.buffer.drain(..taken);
            *missing -= taken as u64;
            let is_plain = self.plan.is_plain();
            assert!(is_plain || self.buffer.is_empty(), "more than one request");
        }
    }

    /// Runs requests ahead, which have to follow those that run already.
    fn run_ahead(&mut self, sent: &[SentRequest]) {
        let busy = self.in_flight.is_some();
        while let Some(head) = self.plan.next_ahead(busy, may_run) {
            let number = self.begun + self.running.len();
            assert_eq!(path(&head), sent[number].path);
            assert!(sent[number].ahead && sent[number - 1].ahead);
            self.running.push(path(&head));
            assert!(self.running.len() <= REQUESTS);
        }
    }
}

#[test]
fn random_cuts() {
    // Guards against bytes that are lost, repeated or taken for another request,
    // wherever the network cuts the stream, and against requests that run ahead
    // although they or those before them must not.
    let mut ahead = 0;
    for seed in 0..3_000 {
        let random = &mut StdRng::seed_from_u64(seed);
        let count = random.random_range(1..30);
        let numbers = 0..count;
        let sent: Vec<_> = numbers
            .map(|number| random_request(random, number))
            .collect();
        let text: String = sent.iter().map(|request| request.text.as_str()).collect();
        let mut wire = text.as_bytes();
        let mut library = Library {
            plan: new_plan(),
            buffer: Vec::new(),
            in_flight: None,
            running: Vec::new(),
            begun: 0,
        };
        let mut steps = 0;
        while library.begun < count || library.in_flight.is_some() {
            steps += 1;
            assert!(steps < 100_000, "seed {seed}: stuck at {}", library.begun);
            library.read(random, &mut wire);
            library.begin(&sent);
            library.take_body();
            library.run_ahead(&sent);
            ahead += library.running.len();
            if library.in_flight == Some(0) && random.random_bool(0.2) {
                library.in_flight = None;
                library.begin(&sent);
            }
        }
    }
    assert!(ahead > 10_000, "few requests ran ahead: {ahead}");
}

/// A request that the others of a case follow.
const FIRST: &str = "GET /first HTTP/1.1\r\nHost: plans\r\n\r\n";

#[test_case("GET /a HTTP/1.1\r\nHost: plans\r\n\r\n", true; "plain")]
#[test_case("HEAD /a HTTP/1.1\r\nHost: plans\r\n\r\n", true; "head")]
#[test_case("GET /a HTTP/1.1\r\nHost: plans\r\nConnection: close\r\n\r\n", true; "last")]
#[test_case("GET /a HTTP/1.0\r\nHost: plans\r\n\r\n", false; "old version")]
#[test_case("POST /a HTTP/1.1\r\nHost: plans\r\n\r\n", false; "post without body")]
#[test_case("OPTIONS * HTTP/1.1\r\nHost: plans\r\n\r\n", false; "options")]
#[test_case("GET /unsafe HTTP/1.1\r\nHost: plans\r\n\r\n", false; "unsafe route")]
#[test_case("GET /a HTTP/1.1\r\nHost: plans\r\nContent-Length: 0\r\n\r\n", false; "length")]
#[test_case("GET /a HTTP/1.1\r\nHost: plans\r\nTransfer-Encoding: chunked\r\n\r\n", false; "chunked")]
#[test_case("GET /a HTTP/1.1\r\nHost: plans\r\nExpect: 100-continue\r\n\r\n", false; "expectation")]
#[test_case("GET /a HTTP/1.1\r\nHost: plans\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n", false; "upgrade")]
#[test_case("GET /a HTTP/1.1\r\nHost : plans\r\n\r\n", false; "malformed field")]
#[test_case("GET /a HTTP/1.1\nHost: plans\n\n", false; "bare line feeds")]
#[test_case("GET /a HTTP/1.1\r\nHost: plans\r\n", false; "incomplete")]
fn which_run_ahead(second: &str, ahead: bool) {
    // Guards against requests that run ahead without being plain and safe, and
    // against one that runs behind such a request or behind the last one.
    let mut plan = new_plan();
    let text = format!("{FIRST}{second}{}", FIRST.replace("first", "third"));
    assert_eq!(plan.arrive(false, text.as_bytes()), FIRST.len());
    assert!(plan.next_ahead(false, may_run).is_none());
    assert_eq!(plan.begin(Some(0)), BegunRequest::Next);
    let found: Vec<_> = std::iter::from_fn(|| plan.next_ahead(true, may_run)).collect();
    let paths: Vec<String> = found.iter().map(path).collect();
    match (ahead, second.contains("close")) {
        (true, false) => assert_eq!(paths, ["/a", "/third"]),
        (true, true) => assert_eq!(paths, ["/a"]),
        (false, _) => assert_eq!(paths, [""; 0]),
    }
}

#[test]
fn many_fields_wait() {
    // Guards against a head with more fields than are parsed here that is taken for
    // malformed: the library has to judge it.
    let mut plan = new_plan();
    let fields = "x-f: 1\r\n".repeat(101);
    let second = format!("GET /a HTTP/1.1\r\nHost: plans\r\n{fields}\r\n");
    let text = format!("{FIRST}{second}");
    assert_eq!(plan.arrive(false, text.as_bytes()), FIRST.len());
    plan.begin(Some(0));
    assert!(plan.next_ahead(true, may_run).is_none());
    assert!(plan.feed(true, 4_096).is_empty());
    assert_eq!(plan.feed(false, 4_096), second.as_bytes());
    assert_eq!(plan.begin(Some(0)), BegunRequest::Next);
}

#[test]
fn disagreement_serves_plainly() {
    // Guards against two views of where a head ends: a request hidden in another one
    // must not get the other's answer.
    let mut plan = new_plan();
    let text = format!("{FIRST}{FIRST}{FIRST}");
    assert_eq!(plan.arrive(false, text.as_bytes()), FIRST.len());
    // The library does not begin a request, and reads on.
    assert_eq!(plan.feed(false, 4_096).len(), 2 * FIRST.len());
    assert!(plan.is_plain());
    assert_eq!(plan.begin(Some(0)), BegunRequest::Next);
    assert!(plan.next_ahead(true, may_run).is_none());
    assert_eq!(plan.arrive(true, text.as_bytes()), text.len());
}

#[test]
fn held_bytes_bounded() {
    // Guards against a client that fills the memory with heads.
    let mut plan = new_plan();
    plan.arrive(false, FIRST.as_bytes());
    plan.begin(Some(0));
    let mut held = 0;
    while plan.may_read() {
        held += FIRST.len() - plan.arrive(true, FIRST.as_bytes());
    }
    assert!(held < HELD_BYTES + FIRST.len(), "{held}");
}
