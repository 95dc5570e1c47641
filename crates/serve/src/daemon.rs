//! Builds a daemon from its parts, and starts and stops it.

use std::{
    fmt,
    hash::RandomState,
    io,
    net::SocketAddr,
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use arc_swap::ArcSwap;
use config::KeyHasher;
use error_stack::{Report, ResultExt};
use reader::ConfigFeed;
use tokio::time::{Instant, timeout_at};

use crate::{
    admin::AdminHandler,
    budget::{ByteAccount, memory_mb, peer_connections},
    caller::{CallerFront, LimitSource},
    clock::MonoClock,
    control::{
        ControlLoop, ControlParts, PeerSender, PeerSocket, PlatformWatcher, bind_datagrams,
        control_queue,
    },
    edge::{DefaultCodec, EdgeCodec},
    egress::EgressHub,
    gate::RateLimiter,
    hop::HopTransport,
    ingress::Ingress,
    keepalive::KEEPALIVE_INTERVAL,
    listener::{HttpListener, ListenerLimits, MAX_HEAD_FIELDS},
    metrics::MetricSet,
    peer::PeerHandler,
    pool::{HomeShortages, PoolTable},
    probe::probe_all,
    settings::{LiveSettings, Settings},
    task::{StopSource, TaskGroup},
    trail::LineLimiter,
    view::FleetView,
    watch::UNREAD_FACTOR,
    wire::HeaderSeal,
};

/// Maximum number of connections from operators.
const MAX_ADMIN_CONNECTIONS: usize = 64;
/// Time that a connection from a peer may be idle between requests.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(300);
/// Idle time before the first keepalive probe of a caller's connection, and the
/// interval between probes. It is longer than that of peers, since callers may
/// leave thousands of connections idle.
const CALLER_KEEPALIVE: Duration = Duration::from_secs(5);
/// Interval between checks of whether the egress has finished its requests.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Number of further ports that are tried if the system chooses the peer port.
const MAX_PORT_TRIES: u32 = 8;
/// Time in which peers learn that this daemon is leaving, before it closes its
/// peer address.
const LEAVE_NOTICE: Duration = Duration::from_millis(200);
/// Part of the grace period reserved for ending the process.
const EXIT_RESERVE: Duration = Duration::from_millis(400);

/// Reason why a daemon did not start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DaemonError {
    /// An address from the settings can't be bound.
    Bind {
        /// Name of the field in the settings.
        field: &'static str,
        /// Address that can't be bound.
        address: SocketAddr,
    },
}

impl fmt::Display for DaemonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { field, address } => write!(
                f,
                "can't listen on {address}; correct `{field}` in the settings or end the process that uses it"
            ),
        }
    }
}

impl std::error::Error for DaemonError {}

/// Addresses that a daemon listens on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DaemonAddresses {
    /// Address for callers.
    pub ingress: SocketAddr,
    /// Address for peers, over TCP and UDP.
    pub peer: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
}

/// Daemon whose addresses are bound, but which does not run yet.
#[derive(Debug)]
pub struct DaemonBuilder {
    settings: Settings,
    ingress: HttpListener,
    peer: HttpListener,
    admin: HttpListener,
    datagrams: tokio::net::UdpSocket,
    addresses: DaemonAddresses,
}

/// Running daemon.
#[derive(Debug)]
pub struct Daemon {
    addresses: DaemonAddresses,
    view: Arc<FleetView>,
    pools: Arc<PoolTable>,
    egress: Arc<EgressHub>,
    settings: LiveSettings,
    /// Stop signals of the ingress, of the peer listener, and of the control loop
    /// with the admin listener, in the order in which they are stopped.
    stops: [StopSource; 3],
    /// Tasks of the same three parts.
    groups: [TaskGroup; 3],
    /// Tasks of the connections that the three listeners have accepted.
    accepted: [Arc<TaskGroup>; 3],
    /// Tasks of the connections to peers and backend servers.
    connections: Arc<TaskGroup>,
}

/// Binds an address from the settings.
fn bind(
    field: &'static str,
    address: SocketAddr,
    limits: ListenerLimits,
) -> Result<(HttpListener, SocketAddr), Report<DaemonError>> {
    let bound = HttpListener::bind(address, limits).and_then(|listener| {
        let address = listener.local_addr()?;
        Ok::<_, io::Error>((listener, address))
    });
    bound.change_context(DaemonError::Bind { field, address })
}

/// Binds the peer address for connections and for datagrams. With port 0, the port
/// that is free for connections may be in use for datagrams, and another is taken.
fn bind_peer(
    address: SocketAddr,
    limits: ListenerLimits,
) -> Result<(HttpListener, tokio::net::UdpSocket, SocketAddr), Report<DaemonError>> {
    let mut tries_left = if address.port() == 0 {
        MAX_PORT_TRIES
    } else {
        0
    };
    loop {
        let (listener, bound) = bind("peer", address, limits)?;
        match bind_datagrams(bound) {
            Ok(datagrams) => return Ok((listener, datagrams, bound)),
            Err(_) if tries_left > 0 => tries_left -= 1,
            Err(error) => {
                return Err(error).change_context(DaemonError::Bind {
                    field: "peer",
                    address: bound,
                });
            }
        }
    }
}

impl DaemonBuilder {
    /// Binds the addresses from the settings.
    ///
    /// # Errors
    ///
    /// Returns [`DaemonError::Bind`] with the address that can't be bound.
    pub fn bind(settings: Settings) -> Result<Self, Report<DaemonError>> {
        let budgets = &settings.budgets;
        let caller_limits = ListenerLimits {
            connections: budgets.connections,
            head_bytes: budgets.head_bytes,
            head_fields: MAX_HEAD_FIELDS,
            head_timeout: budgets.head_timeout(),
            keepalive: CALLER_KEEPALIVE,
            write_timeout: budgets.stall_timeout(),
            adds_date: true,
        };
        let peer_limits = ListenerLimits {
            connections: peer_connections(budgets, MAX_ADMIN_CONNECTIONS),
            head_bytes: budgets.head_bytes,
            head_fields: MAX_HEAD_FIELDS,
            head_timeout: PEER_IDLE_TIMEOUT,
            keepalive: KEEPALIVE_INTERVAL,
            write_timeout: budgets.stall_timeout() * UNREAD_FACTOR,
            // The ingress adds the date if the backend server gave none.
            adds_date: false,
        };
        let admin_limits = ListenerLimits {
            connections: MAX_ADMIN_CONNECTIONS,
            ..caller_limits
        };
        let (ingress, ingress_address) = bind("ingress", settings.ingress, caller_limits)?;
        let (peer, datagrams, peer_address) = bind_peer(settings.peer, peer_limits)?;
        let (admin, admin_address) = bind("admin", settings.admin, admin_limits)?;
        Ok(Self {
            settings,
            ingress,
            peer,
            admin,
            datagrams,
            addresses: DaemonAddresses {
                ingress: ingress_address,
                peer: peer_address,
                admin: admin_address,
            },
        })
    }

    /// Returns the bound addresses.
    pub fn addresses(&self) -> DaemonAddresses {
        self.addresses
    }

    /// Starts all parts on the current runtime, with the product's own HTTP
    /// headers.
    pub fn start(self, platform: Arc<dyn ConfigFeed>) -> Daemon {
        self.start_with(platform, Arc::new(DefaultCodec))
    }

    /// Starts all parts on the current runtime. `codec` defines the HTTP headers
    /// exchanged with callers and backend servers.
    pub fn start_with(self, platform: Arc<dyn ConfigFeed>, codec: Arc<dyn EdgeCodec>) -> Daemon {
        let settings = self.settings;
        let live_settings: LiveSettings = Arc::new(ArcSwap::from_pointee(settings.clone()));
        let clock = MonoClock::default();
        let connections = Arc::new(TaskGroup::new());
        let metrics = Arc::new(MetricSet::default());
        let (control, events) = control_queue();
        let view = Arc::new(FleetView::new(settings.vm.clone(), settings.zone.clone()));
        let pools = Arc::new(PoolTable::new(
            Arc::clone(&view),
            Arc::clone(&connections),
            Arc::clone(&live_settings),
            Arc::clone(&metrics),
        ));
        let egress = Arc::new(EgressHub::new(
            Arc::clone(&view),
            clock,
            Arc::clone(&connections),
            control.clone(),
            Arc::clone(&live_settings),
            Arc::clone(&metrics),
            Arc::clone(&codec),
        ));
        let seal = HeaderSeal::new(settings.secret_bytes());
        let peers = PeerSender::new(
            self.datagrams,
            settings.secret_bytes(),
            Arc::clone(&view),
            Arc::clone(&metrics),
        );
        let transport = HopTransport::new(settings.vm.clone(), Arc::clone(&peers));
        transport.set_egress(&egress);
        let ingress = Arc::new(Ingress {
            view: Arc::clone(&view),
            pools: Arc::clone(&pools),
            egress: Arc::clone(&egress),
            hasher: KeyHasher::new(settings.secret_bytes()),
            codec,
            local_service: settings.service.clone(),
            transport: Arc::clone(&transport),
            seal: seal.clone(),
            clock,
            account: ByteAccount::of_machine(memory_mb(&settings.budgets)),
            settings: Arc::clone(&live_settings),
            metrics: Arc::clone(&metrics),
            limiter: RateLimiter::new(clock, control.clone()),
            control: control.clone(),
            shortages: HomeShortages::default(),
            priority_hasher: RandomState::new(),
            answer_lines: LineLimiter::new(Ingress::ANSWER_LINES_PER_S),
            failure_lines: LineLimiter::new(Ingress::FAILURE_LINES_PER_S),
        });
        let limits = LimitSource {
            view: Arc::clone(&view),
            settings: Arc::clone(&live_settings),
        };
        let handler = Arc::new(PeerHandler {
            egress: Arc::clone(&egress),
            seal: seal.clone(),
            control: control.clone(),
            view: Arc::clone(&view),
            metrics: Arc::clone(&metrics),
        });
        let admin = Arc::new(AdminHandler {
            view: Arc::clone(&view),
            pools: Arc::clone(&pools),
            egress: Arc::clone(&egress),
            metrics: Arc::clone(&metrics),
            clock,
            control: control.clone(),
        });
        let front = Arc::new(CallerFront::new(ingress, limits.clone()));
        let mut callers = self.ingress;
        callers.watch(Arc::clone(&front.crowd));
        let is_reader = Arc::new(AtomicBool::new(true));
        let watcher = PlatformWatcher {
            view: Arc::clone(&view),
            metrics: Arc::clone(&metrics),
            platform: Arc::clone(&platform),
            control: control.clone(),
            is_reader: Arc::clone(&is_reader),
        };
        let control = ControlParts {
            view: Arc::clone(&view),
            pools: Arc::clone(&pools),
            egress: Arc::clone(&egress),
            metrics,
            clock,
            socket: PeerSocket::new(peers),
            transport,
            seal,
            platform,
            settings: Arc::clone(&live_settings),
            sender: control,
        };
        let stops = [(); 3].map(|()| StopSource::default());
        let groups = [(); 3].map(|()| TaskGroup::new());
        let accepted = [(); 3].map(|()| Arc::new(TaskGroup::new()));
        groups[0].spawn(callers.run_with(
            move |stream, stop| Arc::clone(&front).serve(stream, stop),
            stops[0].signal(),
            Arc::clone(&accepted[0]),
        ));
        let peer_limits = self.peer.limits();
        groups[1].spawn(self.peer.run_with(
            move |stream, stop| {
                let limits = limits.for_peers(peer_limits);
                Arc::clone(&handler).serve_connection(stream, limits, stop)
            },
            stops[1].signal(),
            Arc::clone(&accepted[1]),
        ));
        groups[2].spawn(self.admin.run(
            move |request| {
                let admin = Arc::clone(&admin);
                async move { admin.serve(&request).await }
            },
            stops[2].signal(),
            Arc::clone(&accepted[2]),
        ));
        let control = ControlLoop::new(control, is_reader);
        groups[2].spawn(control.run(events, stops[2].signal()));
        let stop = stops[2].signal();
        groups[2].spawn_supervised("platform", move || watcher.clone().run(stop.clone()));
        let (probed, stop) = (Arc::clone(&egress), stops[2].signal());
        groups[2].spawn_supervised("probe", move || {
            probe_all(Arc::clone(&probed), stop.clone())
        });
        Daemon {
            addresses: self.addresses,
            view,
            pools,
            egress,
            settings: live_settings,
            stops,
            groups,
            accepted,
            connections,
        }
    }
}

impl Daemon {
    /// Returns the addresses that the daemon listens on.
    pub fn addresses(&self) -> DaemonAddresses {
        self.addresses
    }

    /// Returns the view of the fleet: the configuration and VM list in force.
    pub fn view(&self) -> &Arc<FleetView> {
        &self.view
    }

    /// Returns a function that tells the maximum time that a graceful stop takes.
    pub fn grace(&self) -> impl Fn() -> Duration + Send + use<> {
        let settings = Arc::clone(&self.settings);
        move || settings.load().budgets.grace()
    }

    /// Puts changed settings in force as far as that needs no restart. Returns
    /// the names of the changed fields that need one.
    pub fn reload(&self, newer: &Settings) -> Vec<&'static str> {
        let (settings, fixed) = self.settings.load().with_reloaded(newer);
        self.settings.store(Arc::new(settings));
        fixed
    }

    /// Shuts the daemon down gracefully.
    ///
    /// Callers are still served for the linger time, in which they see that the
    /// daemon is not ready. Then its backend servers get no new work, the
    /// requests in flight finish, their answers are written to callers and peers,
    /// and all tasks are joined. Requests that are left at the end of the configured
    /// grace period are aborted.
    pub async fn stop(self) {
        let settings = self.settings.load_full();
        let grace = settings.budgets.grace();
        let end = Instant::now() + grace.saturating_sub(EXIT_RESERVE);
        self.view.set_leaving(true);
        self.view.set_stop_end(end);
        // What is taken at the end of the linger time needs time to finish.
        tokio::time::sleep(settings.policy.linger().min(grace / 2)).await;
        self.egress.set_draining(true);
        self.stops[0].stop();
        let drained = timeout_at(end, async {
            self.groups[0].join().await;
            tokio::time::sleep(LEAVE_NOTICE).await;
            while !self.egress.is_idle() {
                tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
            }
            // The egress grants no slots any more, so no request from a peer is on
            // its way. A slot is released when the answer was read from the backend
            // server; its end may still have to be written to the peer.
            self.stops[1].stop();
            self.groups[1].join().await;
        });
        if drained.await.is_err() {
            log::warn!("serve: the grace period is over, aborting the remaining requests.");
            self.groups[0].abort().await;
        }
        self.abort_rest().await;
    }

    /// Ends the daemon at once, as a crash would.
    pub async fn kill(self) {
        self.groups[0].abort().await;
        self.groups[1].abort().await;
        self.abort_rest().await;
    }

    /// Ends the parts that requests of this daemon's callers do not need.
    async fn abort_rest(&self) {
        for stop in &self.stops {
            stop.stop();
        }
        self.groups[1].abort().await;
        self.groups[2].abort().await;
        // The ports are free for a daemon that starts anew only when no connection
        // uses what this one has bound.
        for accepted in &self.accepted {
            accepted.abort().await;
        }
        self.pools.clear_idle();
        self.connections.abort().await;
    }
}
