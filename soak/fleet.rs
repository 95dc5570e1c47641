//! Fleet under test: daemons as processes, stubs of the backend servers and of
//! the platform, and relays through which faults are injected.

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
    args::RunOptions,
    process::{DaemonProcess, FreeAddresses, GRACE_S},
};

/// Secret that all daemons share.
const SECRET: &str = "a secret for soaks only";
/// Number of availability zones.
const ZONES: usize = 2;
/// Number of slots of each backend server.
const SLOTS: u32 = 8;
/// Body of the backend servers' answers.
pub const ANSWER_BODY: &str = "break plan of today, all of it";
/// Account whose rate limit is too high to be reached.
pub const UNLIMITED_ACCOUNT: &str = "radio-one";
/// Account whose callers exceed its rate limit.
pub const LIMITED_ACCOUNT: &str = "radio-two";
/// Account whose key is withdrawn and published again.
pub const WITHDRAWN_ACCOUNT: &str = "radio-three";
/// Rate and burst of the limited account, in requests per second and requests.
pub const LIMITED_RATE: u64 = 10;
/// Rate and burst of the other accounts, too high to be reached.
const UNLIMITED_RATE: u64 = 100_000;

/// Number of runs that this process has started.
static RUN_COUNT: AtomicU32 = AtomicU32::new(0);

/// Everything that a run has started.
pub struct SoakFleet {
    /// Running daemons; `None` where the daemon is stopped.
    pub daemons: Vec<Mutex<Option<DaemonProcess>>>,
    /// Whether each daemon is in a graceful stop and still has its ports.
    leaving: Vec<AtomicBool>,
    pub addresses: Vec<FreeAddresses>,
    pub backends: Vec<BackendStub>,
    /// Relay in front of the peer address of each daemon.
    pub peer_relays: Vec<DropRelay>,
    /// Relay in front of each backend server.
    pub server_relays: Vec<DropRelay>,
    pub platform: PlatformStub,
    pub deployment: Deployment,
    publisher: Mutex<SetPublisher>,
    /// Folder of the daemons' log files.
    log_dir: PathBuf,
}

/// Locks a mutex whose data stays consistent if a holder panics.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poison| poison.into_inner())
}

impl SoakFleet {
    /// Starts stubs, relays and daemons, and publishes the configuration.
    pub async fn start(options: RunOptions) -> Self {
        let any = "127.0.0.1:0"
            .parse()
            .expect("127.0.0.1:0 is a socket address");
        let platform = PlatformStub::start(any)
            .await
            .expect("loopback has free ports");
        let (mut backends, mut server_relays, mut peer_relays) = (vec![], vec![], vec![]);
        let addresses: Vec<FreeAddresses> = (0..options.processes)
            .map(|_| FreeAddresses::find())
            .collect();
        for address in &addresses {
            let backend = BackendStub::start(any, ANSWER_BODY)
                .await
                .expect("loopback has free ports");
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
                    (UNLIMITED_ACCOUNT.to_owned(), UNLIMITED_RATE, UNLIMITED_RATE),
                    (LIMITED_ACCOUNT.to_owned(), LIMITED_RATE, LIMITED_RATE),
                    (WITHDRAWN_ACCOUNT.to_owned(), UNLIMITED_RATE, UNLIMITED_RATE),
                ],
            },
            SECRET.as_bytes(),
        );
        // Each run has a folder of its own, so that a later run keeps these logs.
        let run = RUN_COUNT.fetch_add(1, Ordering::SeqCst);
        let name = format!("dogwoodshore-soak-{}-{run}", std::process::id());
        let log_dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&log_dir).expect("the folder for temporary files is writable");
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
            log_dir,
        };
        fleet.platform.publish_vms(&fleet.deployment.vms);
        fleet.publish(&fleet.deployment.records);
        for index in 0..options.processes {
            fleet.start_daemon(index);
        }
        fleet
    }

    /// Starts a daemon, unless it runs or is in a graceful stop. In a graceful
    /// stop the old process still has the ports, and the caller of
    /// [`Self::terminate`] starts the next one.
    pub fn start_daemon(&self, index: usize) {
        let mut daemon = lock(&self.daemons[index]);
        if daemon.is_some() || self.leaving[index].load(Ordering::SeqCst) {
            return;
        }
        let file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log_path(index))
            .expect("the folder for temporary files is writable");
        *daemon = Some(DaemonProcess::start_logged(
            index,
            ZONES,
            self.addresses[index],
            self.platform.address(),
            SECRET,
            Stdio::from(file),
            GRACE_S,
        ));
    }

    /// Sends a signal to a daemon, if it runs.
    pub fn signal(&self, index: usize, name: &str) {
        if let Some(daemon) = lock(&self.daemons[index]).as_ref() {
            daemon.signal(name);
        }
    }

    /// Stops a daemon gracefully and waits for its end. Returns false if it
    /// failed, or did not end within `timeout` and was killed.
    pub async fn terminate(&self, index: usize, timeout: Duration) -> bool {
        let daemon = {
            let mut running = lock(&self.daemons[index]);
            let daemon = running.take();
            self.leaving[index].fetch_or(daemon.is_some(), Ordering::SeqCst);
            daemon
        };
        let Some(mut daemon) = daemon else {
            return true;
        };
        daemon.signal("TERM");
        // A suspended daemon handles SIGTERM once it continues.
        daemon.signal("CONT");
        let id = daemon.id().to_string();
        let ended = tokio::task::spawn_blocking(move || daemon.wait());
        let clean = match tokio::time::timeout(timeout, ended).await {
            Ok(ended) => ended.unwrap_or(false),
            Err(_) => {
                let kill = std::process::Command::new("kill")
                    .args(["-9", &id])
                    .status();
                eprintln!("soak: daemon {index} did not end, killed: {kill:?}");
                false
            }
        };
        self.leaving[index].store(false, Ordering::SeqCst);
        clean
    }

    /// Kills a daemon, if it runs.
    pub fn kill(&self, index: usize) {
        drop(lock(&self.daemons[index]).take());
    }

    /// Returns the process id of a daemon, if it runs.
    pub fn process_id(&self, index: usize) -> Option<u32> {
        lock(&self.daemons[index]).as_ref().map(DaemonProcess::id)
    }

    /// Publishes records as the next revision.
    pub fn publish(&self, records: &[Record]) {
        let values = lock(&self.publisher).pack(records);
        self.platform.publish(&values);
    }

    /// Returns the deployment's records with `rate` added to the rate of the
    /// unlimited account, and without the backend server of index `without`.
    pub fn changed_records(&self, without: Option<usize>, rate: u64) -> Vec<Record> {
        let removed = without.map(|index| format!("plans-{index}"));
        let mut records = self.deployment.records.clone();
        records.retain(|record| match record {
            Record::Server(server) => Some(server.id.as_str()) != removed.as_deref(),
            _ => true,
        });
        for record in &mut records {
            match record {
                Record::Account(account) if account.id.as_str() == UNLIMITED_ACCOUNT => {
                    account.rate = TokenRate::per_second(UNLIMITED_RATE + rate);
                }
                _ => {}
            }
        }
        records
    }

    /// Returns the deployment's records without the key of an account.
    pub fn without_key(&self, account: &str) -> Vec<Record> {
        let mut records = self.deployment.records.clone();
        records.retain(|record| match record {
            Record::Key(key) => key.account.as_str() != account,
            _ => true,
        });
        records
    }

    /// Returns how often a request ran, over all backend servers.
    pub fn runs(&self, id: &str) -> u64 {
        self.backends.iter().map(|backend| backend.runs(id)).sum()
    }

    /// Returns the path of a daemon's log file.
    pub fn log_path(&self, index: usize) -> PathBuf {
        self.log_dir.join(format!("daemon-{index}.log"))
    }

    /// Stops everything. Deletes the logs unless `keep` is set.
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
            true => println!("  logs: {}", self.log_dir.display()),
            false => {
                let _ = std::fs::remove_dir_all(&self.log_dir);
            }
        }
    }
}

/// Starts a relay to a target.
async fn relay_to(target: std::net::SocketAddr) -> DropRelay {
    let relay = DropRelay::start().await.expect("loopback has free ports");
    relay.set_target(target);
    relay
}
