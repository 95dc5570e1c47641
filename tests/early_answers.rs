//! Backend servers that answer before they have read the request, and requests that
//! are granted a slot but not sent yet when their server leaves.

mod harness;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use config::Record;
use fakes::SetPublisher;
use harness::{Fleet, FleetShape, KEY, any_port};
use hyper::{Method, StatusCode};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    task::{JoinHandle, JoinSet},
    time::{sleep, timeout},
};

/// Time within which a test expects something.
const WAIT_LIMIT: Duration = Duration::from_secs(2);
/// Size of the body of an upload.
const UPLOAD_BYTES: usize = 4 * 1024 * 1024;

/// Backend server that answers uploads with status 413 before it has read them, and
/// reads on.
struct EarlyServer {
    address: SocketAddr,
    /// Number of requests that were read whole.
    runs: Arc<AtomicU64>,
    /// Number of accepted connections.
    accepted: Arc<AtomicU64>,
    paused: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl EarlyServer {
    /// Starts the server. With `closing` it closes each connection after an answer.
    /// While it is paused, at most one connection can be opened.
    fn start(closing: bool) -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind(any_port()).unwrap();
        let listener = socket.listen(0).unwrap();
        let address = listener.local_addr().unwrap();
        let (runs, accepted) = (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
        let (paused, pauses) = watch::channel(false);
        let counts = (Arc::clone(&runs), Arc::clone(&accepted));
        let task = tokio::spawn(accept(listener, closing, counts, pauses));
        Self {
            address,
            runs,
            accepted,
            paused,
            task,
        }
    }
}

/// Accepts connections, except while the server is paused.
async fn accept(
    listener: TcpListener,
    closing: bool,
    (runs, accepted): (Arc<AtomicU64>, Arc<AtomicU64>),
    mut pauses: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    loop {
        let _ = pauses.wait_for(|paused| !paused).await;
        tokio::select! {
            _ = pauses.changed() => {}
            stream = listener.accept() => {
                accepted.fetch_add(1, Ordering::SeqCst);
                connections.spawn(serve(stream.unwrap().0, closing, Arc::clone(&runs)));
            }
        }
    }
}

/// Serves the requests of one connection.
async fn serve(stream: TcpStream, closing: bool, runs: Arc<AtomicU64>) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    loop {
        let (mut head, mut length) = (String::new(), 0);
        while !head.ends_with("\r\n\r\n") {
            let start = head.len();
            if stream.read_line(&mut head).await? == 0 {
                return Ok(());
            }
            if let Some(value) = head[start..].to_lowercase().strip_prefix("content-length:") {
                length = value.trim().parse().unwrap();
            }
        }
        let is_upload = head.contains("/plans/upload");
        let close = if closing { "Connection: close\r\n" } else { "" };
        let mut body = vec![0; length];
        if is_upload {
            let answer = b"HTTP/1.1 413 X\r\nContent-Length: 4\r\n\r\nlong";
            stream.write_all(answer).await?;
        }
        stream.read_exact(&mut body).await?;
        if !is_upload {
            runs.fetch_add(1, Ordering::SeqCst);
            let answer = format!("HTTP/1.1 200 OK\r\n{close}Content-Length: 4\r\n\r\ndone");
            stream.write_all(answer.as_bytes()).await?;
        }
        if closing {
            return Ok(());
        }
    }
}

/// Starts a fleet of one daemon beside `server`.
async fn fleet_beside(server: &EarlyServer) -> Fleet {
    let address = server.address;
    Fleet::start_with(FleetShape::single(), move |deployment| {
        for record in &mut deployment.records {
            if let Record::Server(backend) = record {
                backend.address = address;
            }
        }
    })
    .await
}

// Guards against requests that wait, on a connection out of the pool, for the end of
// another caller's rejected upload.
#[tokio::test(flavor = "multi_thread")]
async fn rejected_upload_blocks_nobody() {
    let server = EarlyServer::start(false);
    let fleet = fleet_beside(&server).await;
    let mut upload = TcpStream::connect(fleet.daemon(0).addresses().ingress)
        .await
        .unwrap();
    let head = format!(
        "POST /plans/upload HTTP/1.1\r\nHost: plans\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Length: {UPLOAD_BYTES}\r\n\r\n"
    );
    upload.write_all(head.as_bytes()).await.unwrap();
    let body = vec![b'u'; UPLOAD_BYTES];
    let (first, rest) = body.split_at(UPLOAD_BYTES / 4);
    upload.write_all(first).await.unwrap();
    let mut status = [0; 12];
    upload.read_exact(&mut status).await.unwrap();
    assert_eq!(&status, b"HTTP/1.1 413");
    // The end of the answer reaches the pool.
    sleep(Duration::from_millis(100)).await;
    let before = server.runs.load(Ordering::SeqCst);
    let next = fleet.request(0, Method::POST, "/plans/book");
    let answer = timeout(WAIT_LIMIT, fleet.send(next)).await;
    let answer = answer.expect("the request must not wait").unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert_eq!(server.runs.load(Ordering::SeqCst), before + 1);
    // Both connections are used again once the upload is in.
    upload.write_all(rest).await.unwrap();
    sleep(Duration::from_millis(200)).await;
    let accepted = server.accepted.load(Ordering::SeqCst);
    for _ in 0..3 {
        let pair = [(); 2].map(|()| fleet.send(fleet.request(0, Method::POST, "/plans/book")));
        for answer in futures::future::join_all(pair).await {
            assert_eq!(answer.unwrap().status, StatusCode::OK);
        }
    }
    assert_eq!(server.accepted.load(Ordering::SeqCst), accepted);
    fleet.stop().await;
    server.task.abort();
}

// Guards against requests that are sent to a server which was removed while they waited
// for a connection to it.
#[tokio::test(flavor = "multi_thread")]
async fn removed_server_gets_nothing() {
    let server = EarlyServer::start(true);
    let fleet = fleet_beside(&server).await;
    server.paused.send_replace(true);
    sleep(Duration::from_millis(50)).await;
    // Fills the queue of the listener: the next connection is opened only by the
    // repetition of its SYN, a second later.
    let filler = TcpStream::connect(server.address).await.unwrap();
    let before = server.runs.load(Ordering::SeqCst);
    let request = fleet.request(0, Method::POST, "/plans/book");
    let sent = fleet.send(request);
    let removal = async {
        sleep(Duration::from_millis(200)).await;
        let mut publisher = SetPublisher::after(&fleet.deployment.records);
        let mut without = fleet.deployment.records.clone();
        without.retain(|record| !matches!(record, Record::Server(_)));
        fleet.platform.publish(&publisher.pack(&without));
        let revision = publisher.revision();
        fleet
            .wait_until("the daemon uses the revision", |fleet| {
                fleet.daemon(0).view().table().revision() == revision
            })
            .await;
        sleep(Duration::from_millis(50)).await;
        server.paused.send_replace(false);
    };
    let (answer, ()) = tokio::join!(sent, removal);
    let answer = answer.unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
    assert_eq!(answer.outcome(), "not-run");
    assert_eq!(server.runs.load(Ordering::SeqCst), before);
    drop(filler);
    fleet.stop().await;
    server.task.abort();
}
