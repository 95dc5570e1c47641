//! The fleet under test: a process a daemon, stand-ins, a relay on each link.

use std::{
    fs::OpenOptions,
    path::PathBuf,
    process::Stdio,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use config::Record;
use fakes::{
    BackendStub, Deployment, DeploymentShape, DropRelay, PlatformStub, ServiceShape, SetPublisher,
};
use ids::TokenRate;

use crate::{
    args::RunShape,
    process::{DaemonProcess, FreeAddresses},
};

const SECRET: &str = "a secret for soaks only";
const ZONES: usize = 2;
/// Slots of each backend server.
const SLOTS: u32 = 8;
/// What backend servers answer.
pub const BODY: &str = "break plan of today, all of it";
/// Account without a bound that matters.
pub const FREE_ACCOUNT: &str = "radio-one";
/// Account that asks for more than its rate.
pub const LIMITED_ACCOUNT: &str = "radio-two";
/// Account whose key is withdrawn and given back.
pub const WITHDRAWN_ACCOUNT: &str = "radio-three";
/// Rate a second and burst of the limited account.
pub const LIMITED_RATE: u64 = 10;
/// Rate and burst of the others.
const PLENTY: u64 = 100_000;

/// Runs of this process so far.
static RUNS: AtomicU32 = AtomicU32::new(0);

/// All that a run has started.
pub struct SoakFleet {
    pub daemons: Vec<Mutex<Option<DaemonProcess>>>,
    /// Places whose daemon was asked to end and still has its ports.
    leaving: Vec<AtomicBool>,
    pub addresses: Vec<FreeAddresses>,
    pub backends: Vec<BackendStub>,
    /// In front of the peer address of each daemon.
    pub peer_relays: Vec<DropRelay>,
    /// In front of each backend server.
    pub server_relays: Vec<DropRelay>,
    pub platform: PlatformStub,
    pub deployment: Deployment,
    publisher: Mutex<SetPublisher>,
    logs: PathBuf,
}

/// Locks what no holder panics with.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poison| poison.into_inner())
}

impl SoakFleet {
    /// Starts stand-ins, relays and daemons.
    pub async fn start(shape: RunShape) -> Self {
        let any = "127.0.0.1:0".parse().expect("it is an address");
        let platform = PlatformStub::start(any).await.expect("loopback has ports");
        let (mut backends, mut server_relays, mut peer_relays) = (vec![], vec![], vec![]);
        let addresses: Vec<FreeAddresses> = (0..shape.processes)
            .map(|_| FreeAddresses::find())
            .collect();
        for address in &addresses {
            let backend = BackendStub::start(any, BODY)
                .await
                .expect("loopback has ports");
            server_relays.push(relay_to(backend.address()).await);
            peer_relays.push(relay_to(address.peer).await);
            backends.push(backend);
        }
        let deployment = Deployment::new(
            &DeploymentShape {
                zones: ZONES,
                daemons: peer_relays.iter().map(DropRelay::address).collect(),
                services: vec![ServiceShape {
                    name: "plans".to_owned(),
                    servers: server_relays.iter().map(DropRelay::address).collect(),
                    slots: SLOTS,
                }],
                accounts: vec![
                    (FREE_ACCOUNT.to_owned(), PLENTY, PLENTY),
                    (LIMITED_ACCOUNT.to_owned(), LIMITED_RATE, LIMITED_RATE),
                    (WITHDRAWN_ACCOUNT.to_owned(), PLENTY, PLENTY),
                ],
            },
            SECRET.as_bytes(),
        );
        // Of its own for each run, so that the next one leaves it alone.
        let run = RUNS.fetch_add(1, Ordering::SeqCst);
        let name = format!("dogwoodshore-soak-{}-{run}", std::process::id());
        let logs = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&logs).expect("the folder for temporary files can be written");
        let fleet = Self {
            daemons: addresses.iter().map(|_| Mutex::default()).collect(),
            leaving: addresses.iter().map(|_| AtomicBool::default()).collect(),
            addresses,
            backends,
            peer_relays,
            server_relays,
            platform,
            publisher: Mutex::default(),
            deployment,
            logs,
        };
        fleet.platform.publish_vms(&fleet.deployment.vms);
        fleet.publish(&fleet.deployment.records);
        for place in 0..shape.processes {
            fleet.start_daemon(place);
        }
        fleet
    }

    /// Starts a daemon, if none runs. Of one that is leaving, who asked it to
    /// end starts the next: it has the ports until then.
    pub fn start_daemon(&self, place: usize) {
        let mut daemon = lock(&self.daemons[place]);
        if daemon.is_some() || self.leaving[place].load(Ordering::SeqCst) {
            return;
        }
        let file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log_path(place))
            .expect("the folder for temporary files can be written");
        *daemon = Some(DaemonProcess::start_logged(
            place,
            ZONES,
            self.addresses[place],
            self.platform.address(),
            SECRET,
            Stdio::from(file),
        ));
    }

    /// Sends a signal to a daemon, if it runs.
    pub fn signal(&self, place: usize, name: &str) {
        if let Some(daemon) = lock(&self.daemons[place]).as_ref() {
            daemon.signal(name);
        }
    }

    /// Asks a daemon to end and waits for it; false if it ended badly, or
    /// didn't within `patience` and was killed.
    pub async fn terminate(&self, place: usize, patience: Duration) -> bool {
        let taken = {
            let mut running = lock(&self.daemons[place]);
            let taken = running.take();
            self.leaving[place].fetch_or(taken.is_some(), Ordering::SeqCst);
            taken
        };
        let Some(mut daemon) = taken else {
            return true;
        };
        daemon.signal("TERM");
        // A daemon that stands still takes the signal when it goes on.
        daemon.signal("CONT");
        let id = daemon.id().to_string();
        let ended = tokio::task::spawn_blocking(move || daemon.wait());
        let well = match tokio::time::timeout(patience, ended).await {
            Ok(ended) => ended.unwrap_or(false),
            Err(_) => {
                let kill = std::process::Command::new("kill")
                    .args(["-9", &id])
                    .status();
                eprintln!("soak: daemon {place} did not end, killed: {kill:?}");
                false
            }
        };
        self.leaving[place].store(false, Ordering::SeqCst);
        well
    }

    /// Kills a daemon.
    pub fn kill(&self, place: usize) {
        drop(lock(&self.daemons[place]).take());
    }

    /// Process id of a daemon, if it runs.
    pub fn process_id(&self, place: usize) -> Option<u32> {
        lock(&self.daemons[place]).as_ref().map(DaemonProcess::id)
    }

    /// Publishes records as the next revision.
    pub fn publish(&self, records: &[Record]) {
        let values = lock(&self.publisher).pack(records);
        self.platform.publish(&values);
    }

    /// The deployment's records without a backend server, and with another
    /// rate of the free account.
    pub fn changed_records(&self, without: Option<usize>, rate: u64) -> Vec<Record> {
        let gone = without.map(|place| format!("plans-{place}"));
        let mut records = self.deployment.records.clone();
        records.retain(|record| match record {
            Record::Server(server) => Some(server.id.as_str()) != gone.as_deref(),
            _ => true,
        });
        for record in &mut records {
            match record {
                Record::Account(account) if account.id.as_str() == FREE_ACCOUNT => {
                    account.rate = TokenRate::per_second(PLENTY + rate);
                }
                _ => {}
            }
        }
        records
    }

    /// The deployment's records without the key of an account.
    pub fn without_key(&self, account: &str) -> Vec<Record> {
        let mut records = self.deployment.records.clone();
        records.retain(|record| match record {
            Record::Key(key) => key.account.as_str() != account,
            _ => true,
        });
        records
    }

    /// How often a request ran.
    pub fn runs(&self, id: &str) -> u64 {
        self.backends.iter().map(|backend| backend.runs(id)).sum()
    }

    /// Where the log lines of a daemon are.
    pub fn log_path(&self, place: usize) -> PathBuf {
        self.logs.join(format!("daemon-{place}.log"))
    }

    /// Ends all; the logs stay if `keep`.
    pub async fn stop(self, keep: bool) {
        for daemon in &self.daemons {
            drop(lock(daemon).take());
        }
        for backend in self.backends {
            backend.stop().await;
        }
        for relay in self.peer_relays.into_iter().chain(self.server_relays) {
            relay.stop().await;
        }
        self.platform.stop().await;
        match keep {
            true => println!("  logs: {}", self.logs.display()),
            false => {
                let _ = std::fs::remove_dir_all(&self.logs);
            }
        }
    }
}

/// A relay to a target.
async fn relay_to(target: std::net::SocketAddr) -> DropRelay {
    let relay = DropRelay::start().await.expect("loopback has ports");
    relay.set_target(target);
    relay
}
