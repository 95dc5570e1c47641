//! Stand-in of a backend server, as the protocol page describes it.

use std::{
    io,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use crate::{http::Wire, record::Record};

/// A request that the server has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: u64,
    pub request: String,
}

/// A backend server that sleeps for its work and repeats the request's id.
#[derive(Clone)]
pub struct Server {
    record: Record,
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    /// Time that a request takes, in milliseconds.
    pub work_ms: Arc<AtomicU64>,
    /// Requests a second that it names as `Server-Limit` in its answers.
    pub limit: Arc<Mutex<Option<String>>>,
    /// Number of bytes of its answers beyond a line of text.
    pub answer_bytes: Arc<AtomicU64>,
    /// Whether its answers say that it leaves.
    pub leaving: Arc<AtomicBool>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Whether it has ended.
    ended: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(
        record: &Record,
        id: &str,
        service: &str,
        address: SocketAddr,
        work: Duration,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let server = Self {
            record: record.clone(),
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            work_ms: Arc::new(AtomicU64::new(work.as_millis() as u64)),
            limit: Arc::default(),
            answer_bytes: Arc::default(),
            leaving: Arc::default(),
            runs: Arc::default(),
            ended: Arc::default(),
            connections: Arc::default(),
        };
        let shared = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.ended.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(connection) = stream.try_clone() {
                    shared.connections.lock().unwrap().push(connection);
                }
                let server = shared.clone();
                std::thread::spawn(move || {
                    let _ = server.serve_connection(stream);
                });
            }
        });
        Ok(server)
    }

    /// Ends the server: its connections close, and nothing listens at its address.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which closes the listener.
        let _ = TcpStream::connect(self.address);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record.note(&format!("server {} ends", self.id));
    }

    fn serve_connection(&self, stream: TcpStream) -> io::Result<()> {
        let mut wire = Wire::new(stream);
        while let Some(head) = wire.read_head()? {
            let body = wire.read_body(&head)?;
            let request = head.field("x-dogwoodshore-request-id");
            let request = request.unwrap_or("").to_owned();
            let target = head.field("x-dogwoodshore-target-instance");
            let leaving = self.leaving.load(Ordering::SeqCst);
            let mut fields = format!("X-Dogwoodshore-Request-Id: {request}\r\n");
            if leaving {
                fields.push_str("Server-Leaving: 1\r\n");
            }
            if let Some(limit) = &*self.limit.lock().unwrap() {
                fields.push_str(&format!("Server-Limit: {limit}\r\n"));
            }
            if target.is_some_and(|target| target != self.id) {
                wire.answer("421 Misdirected Request", &fields, b"")?;
                continue;
            }
            let at = self.record.now();
            self.record.note(&format!(
                "server {} runs {request}{}",
                self.id,
                if leaving { ", leaving" } else { "" }
            ));
            let run = Run {
                at,
                request: request.clone(),
            };
            self.runs.lock().unwrap().push(run);
            let work_ms = self.work_ms.load(Ordering::SeqCst);
            std::thread::sleep(Duration::from_millis(work_ms));
            fields.push_str(&format!("X-Dogwoodshore-Response-Seal: {}\r\n", self.id));
            let text = format!("{} ran {request}, {} bytes", self.id, body.len());
            let mut text = text.into_bytes();
            let filling = self.answer_bytes.load(Ordering::SeqCst) as usize;
            text.resize(text.len() + filling, b'.');
            wire.answer("200 OK", &fields, &text)?;
        }
        Ok(())
    }
}
