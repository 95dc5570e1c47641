//! A crowd of misbehaving clients at one daemon process.

use std::{
    net::SocketAddr,
    process::Stdio,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use config::{ClientLimits, Record, publish_set};
use fakes::{BackendStub, Deployment, DeploymentShape, PlatformStub, ServiceShape};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

use crate::process::{DaemonProcess, FreeAddresses};

const SECRET: &str = "a secret for tests only";
/// Key of the only client account.
const KEY: &str = "key-of-radio-one";
/// Scale of the tests: a VM of 160 MB with 4,100 descriptors and 3,000 allowed
/// connections of callers, divided by this.
const SCALE: usize = 5;
/// Number of clients, which is the number of allowed connections of callers.
pub const CLIENTS: usize = 3_000 / SCALE;
/// Bound of the growth of resident memory above that of the idle process. Of the
/// 160 MB of a VM, 64 MB are for the tables, the code and the system.
const MEMORY_BOUND: u64 = (160 - 64) * 1_000_000 / SCALE as u64;
/// Bound of the number of open descriptors.
const DESCRIPTOR_BOUND: usize = 4_100 / SCALE;
/// Maximum size of a body that the configuration allows, in bytes.
pub const BODY_LIMIT: usize = 128 * 1_024;
/// Size of the body of a large answer, in bytes.
const LARGE_ANSWER: usize = 200_000;
/// Time in which the crowd sends what the daemon takes, and holds it.
const ATTACK_TIME: Duration = Duration::from_millis(2_500);
/// Interval at which the descriptors are counted.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum wait for a condition that a test expects.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Held by the test that runs.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Where the clients connect, and what they ask for.
#[derive(Clone, Debug)]
pub struct Entry {
    pub name: &'static str,
    pub address: SocketAddr,
    pub path: String,
    pub key: &'static str,
}

/// How the bytes of a client are sent.
#[derive(Clone, Copy, Debug, Default)]
pub enum Sent {
    /// All at once.
    #[default]
    Whole,
    /// In pieces of this many bytes.
    Pieces(usize),
    /// This many bytes at once, then one byte at a time.
    Trickled(usize),
}

/// What each client does before it stops.
#[derive(Clone, Debug)]
pub struct Attack {
    pub clients: usize,
    pub bytes: Vec<u8>,
    pub sent: Sent,
}

impl Default for Attack {
    fn default() -> Self {
        Self {
            clients: CLIENTS,
            bytes: Vec::new(),
            sent: Sent::default(),
        }
    }
}

/// Returns the entry points of a daemon.
fn entries(daemon: &DaemonProcess) -> [Entry; 6] {
    let entry = |name, address, path: &str, key| Entry {
        name,
        address,
        path: path.to_owned(),
        key,
    };
    [
        entry("route", daemon.ingress, "/plans/today", KEY),
        entry("no route", daemon.ingress, "/nothing", KEY),
        entry("wrong key", daemon.ingress, "/plans/today", "wrong"),
        entry("peers", daemon.peer, "/plans/today", KEY),
        entry("ready", daemon.admin, "/ready", KEY),
        entry("metrics", daemon.admin, "/metrics", KEY),
    ]
}

/// Runs an attack at each entry point of a new daemon, and panics if one is not
/// borne. Prints the figures of all.
pub fn check(name: &str, attack: impl Fn(&Entry) -> Attack) {
    let guard = ONE_AT_A_TIME.lock();
    let _guard = guard.unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    let mut faults = Vec::new();
    for index in 0..6 {
        let entry = runtime.block_on(check_entry(name, index, &attack));
        faults.extend(entry);
    }
    assert!(faults.is_empty(), "{name}: {faults:#?}");
}

/// Runs an attack at one entry point. Returns what was not borne.
async fn check_entry(
    name: &str,
    index: usize,
    attack: &impl Fn(&Entry) -> Attack,
) -> Option<String> {
    let any = "127.0.0.1:0".parse().unwrap();
    let platform = PlatformStub::start(any).await.unwrap();
    let plans = BackendStub::start(any, "break plan").await.unwrap();
    let films = BackendStub::start(any, vec![b'x'; LARGE_ANSWER]).await;
    let films = films.unwrap();
    let addresses = FreeAddresses::find();
    let service = |name: &str, server: &BackendStub| ServiceShape {
        name: name.to_owned(),
        servers: vec![server.address()],
        slots: 64,
    };
    let shape = DeploymentShape {
        zones: 1,
        daemons: vec![addresses.peer],
        services: vec![service("plans", &plans), service("films", &films)],
        accounts: vec![("radio-one".to_owned(), 1_000_000, 1_000_000)],
    };
    let mut deployment = Deployment::new(&shape, SECRET.as_bytes());
    deployment.records.push(Record::Limits(ClientLimits {
        head_bytes: Some(16_384),
        body_bytes: Some(BODY_LIMIT as u64),
        ..ClientLimits::default()
    }));
    platform.publish_vms(&deployment.vms);
    platform.publish(&publish_set(None, &deployment.records).unwrap());
    let budgets = format!(
        r#", "connections": {CLIENTS}, "memory_mb": {}, "descriptors": {DESCRIPTOR_BOUND}"#,
        160 / SCALE
    );
    let mut daemon = DaemonProcess::start_limited(
        0,
        1,
        addresses,
        platform.address(),
        SECRET,
        Stdio::null(),
        &budgets,
    );
    assert!(is_served(&daemon).await, "not served before the attack");
    let entry = entries(&daemon)[index].clone();
    let idle = daemon.memory();
    let attack = attack(&entry);
    let mut clients = JoinSet::new();
    for _ in 0..attack.clients {
        clients.spawn(run_client(entry.address, attack.clone()));
    }
    let end = Instant::now() + ATTACK_TIME;
    let mut descriptors = 0;
    while Instant::now() < end {
        descriptors = descriptors.max(daemon.descriptors());
        sleep(SAMPLE_INTERVAL).await;
    }
    let growth = daemon.peak_memory().saturating_sub(idle);
    clients.shutdown().await;
    let alive = daemon.is_alive();
    let served = alive && is_served(&daemon).await;
    let figures = format!(
        "{}: grew by {:.1} of {:.1} MB from {:.1}, {descriptors} of {DESCRIPTOR_BOUND} descriptors, alive {alive}, served {served}",
        entry.name,
        growth as f64 / 1e6,
        MEMORY_BOUND as f64 / 1e6,
        idle as f64 / 1e6,
    );
    println!("{name}, {figures}");
    let borne = growth <= MEMORY_BOUND && descriptors <= DESCRIPTOR_BOUND && served;
    (!borne).then_some(figures)
}

/// Sends the bytes of an attack as far as they are taken, reads nothing, and keeps
/// the connection open. A client whose connection is refused or closed ends.
async fn run_client(address: SocketAddr, attack: Attack) {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return;
    };
    let bytes = &attack.bytes[..];
    let (at_once, piece, pause) = match attack.sent {
        Sent::Whole => (bytes.len(), bytes.len().max(1), Duration::ZERO),
        Sent::Pieces(size) => (0, size, Duration::from_millis(5)),
        Sent::Trickled(count) => (count, 1, Duration::from_millis(50)),
    };
    if stream.write_all(&bytes[..at_once]).await.is_err() {
        return;
    }
    for piece in bytes[at_once..].chunks(piece) {
        if stream.write_all(piece).await.is_err() {
            return;
        }
        sleep(pause).await;
    }
    std::future::pending::<()>().await;
}

/// Whether the readiness page and an ordinary request are answered within
/// [`WAIT_LIMIT`].
async fn is_served(daemon: &DaemonProcess) -> bool {
    let end = Instant::now() + WAIT_LIMIT;
    loop {
        let ready = ask(daemon.admin, "/ready").await;
        if ready && ask(daemon.ingress, "/plans/today").await {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// Whether a request is answered with status 200.
async fn ask(address: SocketAddr, path: &str) -> bool {
    let asked = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let request = format!(
            "GET {path} HTTP/1.1\r\nhost: plans\r\nx-api-key: {KEY}\r\nconnection: close\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.ok()?;
        answer.starts_with(b"HTTP/1.1 200 ").then_some(())
    };
    matches!(timeout(Duration::from_secs(5), asked).await, Ok(Some(())))
}
