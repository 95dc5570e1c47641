//! Starts and stops the parts of one daemon.

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
    admin::AdminDesk,
    clock::MonoClock,
    control::{
        ControlLoop, ControlParts, PeerSender, PeerSocket, PlatformFollower, bind_datagrams,
        control_queue,
    },
    edge::{EdgeCodec, OwnCodec},
    egress::EgressHub,
    gate::RateLimiter,
    hop::HopTransport,
    ingress::Ingress,
    listener::{HttpListener, ListenerLimits},
    metrics::MetricSet,
    peer::PeerDesk,
    pool::PoolTable,
    probe::probe_all,
    settings::{LiveSettings, Settings},
    task::{StopSource, TaskGroup},
    trail::LineLimiter,
    view::FleetView,
    wire::HeaderSeal,
};

/// Connections of peers and operators.
const PEER_CONNECTIONS: usize = 100_000;
const ADMIN_CONNECTIONS: usize = 64;
/// Time that a peer's or an operator's connection may idle.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(300);
/// Time between looks at whether the egress has finished.
const IDLE_CHECK: Duration = Duration::from_millis(20);
/// Time that peers get to learn that this daemon leaves, before the peer
/// address closes.
const LEAVE_NOTICE: Duration = Duration::from_millis(200);
/// Part of the grace that is left for callers whose requests get no slot.
const SEARCH_RESERVE: Duration = Duration::from_millis(500);
/// Part of the grace that is left for ending the process.
const END_RESERVE: Duration = Duration::from_millis(400);

/// Why a daemon did not start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DaemonError {
    /// An address of the settings can't be bound.
    Bind {
        /// Field of the settings.
        field: &'static str,
        /// The address.
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
    /// Towards callers.
    pub ingress: SocketAddr,
    /// Towards peers.
    pub peer: SocketAddr,
    /// Towards operators.
    pub admin: SocketAddr,
}

/// A daemon that is bound but does not run yet.
#[derive(Debug)]
pub struct DaemonBuilder {
    settings: Settings,
    ingress: HttpListener,
    peer: HttpListener,
    admin: HttpListener,
    datagrams: tokio::net::UdpSocket,
    addresses: DaemonAddresses,
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    addresses: DaemonAddresses,
    view: Arc<FleetView>,
    pools: Arc<PoolTable>,
    egress: Arc<EgressHub>,
    settings: LiveSettings,
    /// Stops the ingress, then the peer side, then control and admin.
    stops: [StopSource; 3],
    parts: [TaskGroup; 3],
    links: Arc<TaskGroup>,
}

/// Binds an address of the settings.
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

impl DaemonBuilder {
    /// Binds the addresses of the settings.
    ///
    /// # Errors
    ///
    /// [`DaemonError::Bind`] naming the address.
    pub fn bind(settings: Settings) -> Result<Self, Report<DaemonError>> {
        let budgets = &settings.budgets;
        let callers = ListenerLimits {
            connections: budgets.connections,
            head_bytes: budgets.head_bytes,
            head_timeout: budgets.head_timeout(),
        };
        let peers = ListenerLimits {
            connections: PEER_CONNECTIONS,
            // Attempt metadata comes on top of what a caller may send.
            head_bytes: budgets.head_bytes + 8_192,
            head_timeout: PEER_IDLE_TIMEOUT,
        };
        let operators = ListenerLimits {
            connections: ADMIN_CONNECTIONS,
            ..callers
        };
        let (ingress, ingress_address) = bind("ingress", settings.ingress, callers)?;
        let (peer, peer_address) = bind("peer", settings.peer, peers)?;
        let datagrams = bind_datagrams(peer_address).change_context(DaemonError::Bind {
            field: "peer",
            address: peer_address,
        })?;
        let (admin, admin_address) = bind("admin", settings.admin, operators)?;
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

    /// Addresses bound.
    pub fn addresses(&self) -> DaemonAddresses {
        self.addresses
    }

    /// Starts all parts on the current runtime, with the product's own headers.
    pub fn start(self, platform: Arc<dyn ConfigFeed>) -> Daemon {
        self.start_with(platform, Arc::new(OwnCodec))
    }

    /// Starts all parts on the current runtime, with the headers of `codec`
    /// towards callers and backend servers.
    pub fn start_with(self, platform: Arc<dyn ConfigFeed>, codec: Arc<dyn EdgeCodec>) -> Daemon {
        let settings = self.settings;
        let live: LiveSettings = Arc::new(ArcSwap::from_pointee(settings.clone()));
        let clock = MonoClock::default();
        let links = Arc::new(TaskGroup::new());
        let metrics = Arc::new(MetricSet::default());
        let (control, events) = control_queue();
        let view = Arc::new(FleetView::new(settings.vm.clone(), settings.zone.clone()));
        let pools = Arc::new(PoolTable::new(
            Arc::clone(&view),
            Arc::clone(&links),
            Arc::clone(&live),
        ));
        let egress = Arc::new(EgressHub::new(
            Arc::clone(&view),
            clock,
            Arc::clone(&links),
            control.clone(),
            settings.budgets.stall_timeout(),
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
            settings: Arc::clone(&live),
            metrics: Arc::clone(&metrics),
            limiter: RateLimiter::new(clock, control.clone()),
            control: control.clone(),
            priority_hasher: RandomState::new(),
            answer_lines: LineLimiter::new(Ingress::ANSWER_LINES),
            failure_lines: LineLimiter::new(Ingress::FAILURE_LINES),
        });
        let desk = Arc::new(PeerDesk {
            egress: Arc::clone(&egress),
            seal: seal.clone(),
            control: control.clone(),
        });
        let admin = Arc::new(AdminDesk {
            view: Arc::clone(&view),
            pools: Arc::clone(&pools),
            egress: Arc::clone(&egress),
            metrics: Arc::clone(&metrics),
            clock,
            control: control.clone(),
        });
        let reader = Arc::new(AtomicBool::new(true));
        let follower = PlatformFollower {
            view: Arc::clone(&view),
            metrics: Arc::clone(&metrics),
            platform: Arc::clone(&platform),
            control: control.clone(),
            reader: Arc::clone(&reader),
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
            settings: Arc::clone(&live),
            sender: control,
        };
        let stops = [(); 3].map(|()| StopSource::default());
        let parts = [(); 3].map(|()| TaskGroup::new());
        parts[0].spawn(self.ingress.run(
            move |request| {
                let ingress = Arc::clone(&ingress);
                async move { ingress.serve(request).await }
            },
            stops[0].signal(),
        ));
        parts[1].spawn(self.peer.run(
            move |request| {
                let desk = Arc::clone(&desk);
                async move { desk.serve(request).await }
            },
            stops[1].signal(),
        ));
        parts[2].spawn(self.admin.run(
            move |request| {
                let admin = Arc::clone(&admin);
                async move { admin.serve(&request).await }
            },
            stops[2].signal(),
        ));
        let control = ControlLoop::new(control, reader);
        parts[2].spawn(control.run(events, stops[2].signal()));
        parts[2].spawn(follower.run(stops[2].signal()));
        parts[2].spawn(probe_all(Arc::clone(&egress), stops[2].signal()));
        Daemon {
            addresses: self.addresses,
            view,
            pools,
            egress,
            settings: live,
            stops,
            parts,
            links,
        }
    }
}

impl Daemon {
    /// Addresses that it listens on.
    pub fn addresses(&self) -> DaemonAddresses {
        self.addresses
    }

    /// Configuration and VM list in force.
    pub fn view(&self) -> &Arc<FleetView> {
        &self.view
    }

    /// Puts changed settings in force as far as that needs no restart, and
    /// tells which fields need one.
    pub fn reload(&self, newer: &Settings) -> Vec<&'static str> {
        let (settings, fixed) = self.settings.load().with_reloaded(newer);
        self.settings.store(Arc::new(settings));
        fixed
    }

    /// Leaves: callers are served until they have seen that this daemon is not
    /// ready, its backend servers get no new work, what is in flight finishes,
    /// all tasks are joined. After the configured grace what is left is cut.
    pub async fn stop(self) {
        let settings = self.settings.load_full();
        let grace = settings.budgets.grace();
        let end = Instant::now() + grace.saturating_sub(END_RESERVE);
        self.view.set_leaving(true);
        self.view
            .set_search_end(end - SEARCH_RESERVE.min(grace / 4));
        tokio::time::sleep(settings.policy.linger()).await;
        self.egress.set_draining(true);
        self.stops[0].stop();
        let finished = timeout_at(end, async {
            self.parts[0].join().await;
            tokio::time::sleep(LEAVE_NOTICE).await;
            while !self.egress.is_idle() {
                tokio::time::sleep(IDLE_CHECK).await;
            }
        });
        if finished.await.is_err() {
            log::warn!("serve: grace is over, cutting what is left.");
            self.parts[0].abort().await;
        }
        // Nothing is granted any more, so no peer has a request on its way.
        self.kill_rest().await;
    }

    /// Ends at once, as a crash would.
    pub async fn kill(self) {
        self.parts[0].abort().await;
        self.parts[1].abort().await;
        self.kill_rest().await;
    }

    /// Ends the parts that callers do not depend on.
    async fn kill_rest(&self) {
        for stop in &self.stops {
            stop.stop();
        }
        // Peers keep idle connections open; they are closed, not waited for.
        self.parts[1].abort().await;
        self.parts[2].abort().await;
        self.pools.clear_idle();
        self.links.abort().await;
    }
}
