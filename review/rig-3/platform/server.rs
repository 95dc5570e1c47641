//! Stand-in of an upstream: some slots and a short queue, one request at a time on a
//! connection, an entry in the store.

use std::{
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Head},
    record::Record,
    store::Store,
};

/// The platform's `heartbeatMs`.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Requests that wait for a slot, at most.
const QUEUE: usize = 5;

/// One request that has arrived at an upstream.
#[derive(Clone)]
pub struct Run {
    pub id: String,
    pub server: String,
    pub arrived_ms: u64,
    pub ended_ms: u64,
    /// Status that the upstream answered; 0 if its connection closed before.
    pub status: u16,
    pub leaving: bool,
}

pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    zone: String,
    slots: usize,
    work: Duration,
    pub leaving: AtomicBool,
    pub gone: AtomicBool,
    sequence: AtomicU64,
    born: u64,
    busy: Mutex<(usize, usize)>,
    freed: Condvar,
    store: Arc<Store>,
    record: Arc<Record>,
    pub runs: Mutex<Vec<Run>>,
    next_beat: Mutex<Instant>,
    /// Times of the store's acks of `draining`.
    pub acks: Mutex<Vec<u64>>,
}

impl Server {
    #[expect(
        clippy::too_many_arguments,
        reason = "one stand-in, one list of what it is"
    )]
    pub fn start(
        id: &str,
        address: SocketAddr,
        service: &str,
        zone: &str,
        slots: usize,
        work: Duration,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let phase = match address.ip() {
            std::net::IpAddr::V4(ip) => ip.octets()[3],
            std::net::IpAddr::V6(_) => 0,
        };
        let listener = TcpListener::bind(address).expect("the upstream's address is free");
        let born = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap();
        let server = Arc::new(Self {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            work,
            leaving: AtomicBool::new(false),
            gone: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            born: born.as_millis() as u64,
            busy: Mutex::new((0, 0)),
            freed: Condvar::new(),
            store: Arc::clone(store),
            record: Arc::clone(record),
            runs: Mutex::default(),
            next_beat: Mutex::new(Instant::now()),
            acks: Mutex::default(),
        });
        let own = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if own.gone.load(Ordering::SeqCst) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                let own = Arc::clone(&own);
                thread::spawn(move || own.serve(stream));
            }
        });
        let own = Arc::clone(&server);
        thread::spawn(move || {
            // Each upstream has a phase of its own.
            own.beat();
            thread::sleep(HEARTBEAT * (u32::from(phase) * 7 % 16) / 16);
            own.beat();
            while !own.gone.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(10));
                if Instant::now() >= *own.next_beat.lock().unwrap() {
                    own.beat();
                }
            }
        });
        server
    }

    /// Writes the entry, again after a heartbeat; the store's ack of `draining` is
    /// recorded.
    pub fn beat(&self) {
        *self.next_beat.lock().unwrap() = Instant::now() + HEARTBEAT;
        let leaving = self.leaving.load(Ordering::SeqCst);
        let state = if leaving { "draining" } else { "ready" };
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let value = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"configVersion\":\"v1\",\"concurrencyLimit\":{},\"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.slots, self.born
        );
        if self
            .store
            .put(&format!("servers/{}", self.id), &value)
            .is_some()
            && leaving
        {
            self.acks.lock().unwrap().push(self.record.now());
        }
    }

    /// Leaves: says so in its answers and in the store, at once.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
        self.beat();
    }

    /// Ends: its entry is removed, and it takes no more connections.
    pub fn end(&self) {
        self.gone.store(true, Ordering::SeqCst);
        self.store.remove(&format!("servers/{}", self.id));
        let _ = TcpStream::connect(self.address);
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut rest = Vec::new();
        while let Some(head) = http::read_head(&mut stream, &mut rest) {
            if http::read_body(&mut stream, &mut rest, &head).is_none() {
                break;
            }
            if self.gone.load(Ordering::SeqCst) {
                break;
            }
            let Some((status, more)) = self.answer(&head, &stream) else {
                break;
            };
            let leaving = self.leaving.load(Ordering::SeqCst);
            let id = head.field("x-dogwoodshore-request-id").unwrap_or("");
            let body = format!("answer of {} to {id}\n", self.id);
            let mut text = format!(
                "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{more}",
                body.len()
            );
            if leaving {
                text.push_str("Server-Leaving: 1\r\nConnection: close\r\n");
            }
            text.push_str("\r\n");
            if head.method != "HEAD" {
                text.push_str(&body);
            }
            if !http::write(&mut stream, &text) || leaving {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Works on a request; `None` if its connection closes meanwhile, which drops it.
    fn answer(&self, head: &Head, stream: &TcpStream) -> Option<(u16, String)> {
        let leaving = self.leaving.load(Ordering::SeqCst);
        if head.target == "/healthz" {
            let status = if leaving { 503 } else { 200 };
            return Some((
                status,
                format!("X-Dogwoodshore-Instance-Id: {}\r\n", self.id),
            ));
        }
        let Some(id) = head.field("x-dogwoodshore-request-id") else {
            return Some((400, "X-Dogwoodshore-Not-Executed: 1\r\n".to_owned()));
        };
        let echo = format!("X-Dogwoodshore-Request-Id: {id}\r\n");
        let target = head.field("x-dogwoodshore-target-instance");
        if target.is_some_and(|target| target != self.id) {
            return Some((421, format!("{echo}X-Dogwoodshore-Not-Executed: 1\r\n")));
        }
        let arrived_ms = self.record.now();
        let allowed = head
            .field("x-dogwoodshore-timeout-ms")
            .and_then(|text| text.parse().ok());
        let end = Instant::now() + Duration::from_millis(allowed.unwrap_or(10_000));
        let run = |status| {
            let leaving = self.leaving.load(Ordering::SeqCst);
            let run = Run {
                id: id.to_owned(),
                server: self.id.clone(),
                arrived_ms,
                ended_ms: self.record.now(),
                status,
                leaving,
            };
            self.runs.lock().unwrap().push(run);
        };
        if !self.take_slot(end) {
            run(503);
            return Some((503, format!("{echo}X-Dogwoodshore-Not-Executed: 1\r\n")));
        }
        let kept = work(stream, self.work);
        let mut busy = self.busy.lock().unwrap();
        busy.0 -= 1;
        self.freed.notify_one();
        drop(busy);
        run(if kept { 200 } else { 0 });
        kept.then(|| {
            (
                200,
                format!("{echo}X-Dogwoodshore-Response-Seal: {}.{id}\r\n", self.id),
            )
        })
    }

    fn take_slot(&self, end: Instant) -> bool {
        let mut busy = self.busy.lock().unwrap();
        if busy.0 >= self.slots && busy.1 >= QUEUE {
            return false;
        }
        busy.1 += 1;
        while busy.0 >= self.slots {
            let now = Instant::now();
            if now >= end {
                busy.1 -= 1;
                return false;
            }
            busy = self.freed.wait_timeout(busy, end - now).unwrap().0;
        }
        busy.1 -= 1;
        busy.0 += 1;
        true
    }
}

/// Works for some time, or until the connection closes. Returns whether it is still open.
fn work(stream: &TcpStream, time: Duration) -> bool {
    let end = Instant::now() + time;
    let _ = stream.set_nonblocking(true);
    let mut open = true;
    while open && Instant::now() < end {
        thread::sleep((end - Instant::now()).min(Duration::from_millis(20)));
        open = match stream.peek(&mut [0]) {
            Ok(count) => count > 0,
            Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
        };
    }
    let _ = stream.set_nonblocking(false);
    open
}
