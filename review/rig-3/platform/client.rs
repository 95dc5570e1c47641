//! Stand-in of the clients of one machine.

use std::{
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http, record::Record};

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub const KEY: &str = "6wsjnbanfqasnmgkcuyj";
/// Why a request was not sent.
pub const NO_CONNECTION: &str = "no connection within 1 s";
pub const HOST: &str = "hulo84.example";

/// One request, and what its client has seen of it.
#[derive(Clone)]
pub struct Sent {
    pub id: String,
    pub machine: u8,
    pub sent_ms: u64,
    pub ended_ms: u64,
    /// Status; 0 if there was no answer.
    pub status: u16,
    /// The upstream that has sealed the answer.
    pub server: Option<String>,
    /// What failed, if there was no answer.
    pub failure: &'static str,
}

pub struct Clients {
    pub sent: Mutex<Vec<Sent>>,
    pub stop: AtomicBool,
    record: Arc<Record>,
}

impl Clients {
    pub fn new(record: &Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            sent: Mutex::default(),
            stop: AtomicBool::new(false),
            record: Arc::clone(record),
        })
    }

    /// Sends requests from `machine`, one each `interval` after `late`, over a kept
    /// connection, until the end.
    pub fn start(
        self: &Arc<Self>,
        machine: u8,
        address: SocketAddr,
        path: &'static str,
        late: Duration,
        interval: Duration,
    ) {
        let own = Arc::clone(self);
        thread::spawn(move || {
            let mut connection = None;
            let mut next = Instant::now() + late;
            thread::sleep(late);
            while !own.stop.load(Ordering::SeqCst) {
                let (sent, kept) = own.ask(machine, address, path, connection.take());
                connection = kept;
                own.sent.lock().unwrap().push(sent);
                next = (next + interval).max(Instant::now());
                thread::sleep(next - Instant::now());
            }
        });
    }

    /// Sends one request, on a kept connection if there is one.
    pub fn ask(
        &self,
        machine: u8,
        address: SocketAddr,
        path: &str,
        kept: Option<TcpStream>,
    ) -> (Sent, Option<TcpStream>) {
        let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst));
        let mut sent = Sent {
            id: id.clone(),
            machine,
            sent_ms: self.record.now(),
            ended_ms: 0,
            status: 0,
            server: None,
            failure: "",
        };
        let fresh = || {
            let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
            stream.set_nodelay(true).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(6))).ok()?;
            Some(stream)
        };
        let Some(mut stream) = kept.or_else(fresh) else {
            sent.failure = NO_CONNECTION;
            sent.ended_ms = self.record.now();
            return (sent, None);
        };
        sent.sent_ms = self.record.now();
        let text = format!(
            "GET {path}{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Dogwoodshore-Request-Id: {id}\r\nX-Dogwoodshore-Timeout-Ms: 6000\r\nAuthorization: Bearer {KEY}\r\n\r\n"
        );
        let mut rest = Vec::new();
        let head = http::write(&mut stream, &text).then(|| http::read_head(&mut stream, &mut rest));
        let Some(head) = head.flatten() else {
            sent.failure = "no answer";
            sent.ended_ms = self.record.now();
            return (sent, None);
        };
        let body = http::read_body(&mut stream, &mut rest, &head);
        sent.ended_ms = self.record.now();
        if body.is_none() {
            sent.failure = "cut answer";
            return (sent, None);
        }
        sent.status = head.target.parse().unwrap_or(0);
        let seal = head.field("x-dogwoodshore-response-seal");
        sent.server = seal.and_then(|seal| Some(seal.split_once('.')?.0.to_owned()));
        (sent, (!head.closes()).then_some(stream))
    }
}
