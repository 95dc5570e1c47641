//! Control loop: the task that owns the state machines of a daemon.
//!
//! It drives the rate limiter, the gossip and the failure detectors. The
//! request path reads the decisions from atomics and snapshots. A request waits
//! for the control loop only if its account has no leased token here.

mod adopt;
mod detect;
mod dump;
mod evacuation;
mod event;
mod follow;
mod peers;
mod pull;

use std::{
    collections::VecDeque,
    panic::{AssertUnwindSafe, catch_unwind},
    sync::Arc,
    time::Duration,
};

use config::{ConfigTable, Delta};
use health::Event as HealthEvent;
use ids::{AccountId, FastMap, MonoTime, VmId};
use limit::{AccountLimit, LimitAction, LimitEvent, LimitNode, TakeId, TakeRefusal};
use mesh::{Freshness, GossipAction, GossipEvent, GossipNode, PeerMessage};
use reader::ConfigFeed;
use tokio::sync::oneshot;

pub use event::{ControlEvent, ControlReceiver, ControlSender, TakenToken, control_queue};
pub use follow::PlatformWatcher;
pub use peers::{PeerSender, PeerSocket, bind_datagrams};
pub use pull::{PullRequest, reply_to_pull};

use crate::{
    clock::MonoClock,
    egress::EgressHub,
    hop::HopTransport,
    metrics::MetricSet,
    pool::PoolTable,
    settings::LiveSettings,
    task::{StopSignal, TaskGroup},
    view::FleetView,
    wire::HeaderSeal,
};
use adopt::ConfigSource;
use detect::DetectorSet;
use evacuation::EvacuationReport;

/// Interval between checks for connections that have been idle for too long.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);
/// Interval between ticks of the state machines while requests wait for tokens.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between ticks at other times. It is longer, because each tick wakes
/// the process.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Gap between ticks above which the process counts as suspended meanwhile.
const MAX_TICK_GAP: Duration = Duration::from_secs(1);
/// Time without a reply from any peer after which a daemon that is a member of
/// no cell counts as cut off from the fleet.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(4);

/// Parts of the daemon that the control loop uses.
pub struct ControlParts {
    /// Configuration and VM list in force.
    pub view: Arc<FleetView>,
    /// Pools of backend servers, as this daemon sees them.
    pub pools: Arc<PoolTable>,
    /// Egress of this VM.
    pub egress: Arc<EgressHub>,
    /// Metrics of the daemon.
    pub metrics: Arc<MetricSet>,
    /// Clock of the daemon.
    pub clock: MonoClock,
    /// Socket for datagrams to and from peers.
    pub socket: PeerSocket,
    /// Receives the offers and replies that arrive as datagrams.
    pub transport: Arc<HopTransport>,
    /// Seals pull requests and verifies the replies.
    pub seal: HeaderSeal,
    /// The platform, for single reads beside the watches.
    pub platform: Arc<dyn ConfigFeed>,
    /// Settings in force.
    pub settings: LiveSettings,
    /// Queue of the control loop, for the tasks that the loop starts.
    pub sender: ControlSender,
}

/// Control loop of a daemon.
pub struct ControlLoop {
    parts: ControlParts,
    limits: LimitNode,
    gossip: GossipNode,
    detectors: DetectorSet,
    evacuations: EvacuationReport,
    /// Requests that wait for a token.
    pending_takes: FastMap<TakeId, (AccountId, TakeReply)>,
    next_take: u64,
    /// Latest deltas, oldest first, for peers that lag behind.
    kept_deltas: VecDeque<Delta>,
    tasks: TaskGroup,
    last_tick: MonoTime,
    last_sweep: MonoTime,
    /// When a peer last replied to an exchange of revisions.
    last_reply: MonoTime,
    is_reader: Arc<std::sync::atomic::AtomicBool>,
}

/// Channel for the result of a take.
type TakeReply = oneshot::Sender<Result<TakenToken, TakeRefusal>>;

/// Returns the limit of an account in a configuration.
fn limit_in(table: &ConfigTable, account: &AccountId) -> Option<AccountLimit> {
    table.account(account).map(|account| AccountLimit {
        rate: account.rate,
        burst: account.burst,
    })
}

impl ControlLoop {
    /// Creates a control loop that is not running yet.
    ///
    /// The loop sets `is_reader` to whether this daemon is a reader; the
    /// platform watcher reads it.
    pub fn new(parts: ControlParts, is_reader: Arc<std::sync::atomic::AtomicBool>) -> Self {
        let now = parts.clock.now();
        let vm = parts.view.vm.clone();
        let detectors = DetectorSet::new(
            Arc::clone(&parts.view),
            Arc::clone(&parts.pools),
            Arc::clone(&parts.metrics),
        );
        let mut gossip = GossipNode::new(vm.clone(), parts.view.zone.clone(), now, rand::random());
        gossip.set_readers_per_zone(parts.settings.load().policy.readers_per_zone);
        Self {
            limits: LimitNode::new(vm, now, u64::from(rand::random::<u32>())),
            gossip,
            detectors,
            evacuations: EvacuationReport::default(),
            pending_takes: FastMap::default(),
            next_take: 0,
            kept_deltas: VecDeque::new(),
            tasks: TaskGroup::new(),
            last_tick: now,
            last_sweep: now,
            last_reply: now,
            is_reader,
            parts,
        }
    }

    /// Handles events, peer messages and ticks until `stop` is triggered.
    pub async fn run(mut self, mut events: ControlReceiver, mut stop: StopSignal) {
        let mut ticked_at = tokio::time::Instant::now();
        loop {
            let interval = match self.pending_takes.is_empty() {
                true => IDLE_TICK_INTERVAL,
                false => BUSY_TICK_INTERVAL,
            };
            tokio::select! {
                biased;
                () = stop.stopped() => break,
                () = tokio::time::sleep_until(ticked_at + interval) => {
                    ticked_at = tokio::time::Instant::now();
                    self.contain(Self::tick);
                }
                Some(event) = events.recv() => self.contain(|this| this.handle_event(event)),
                (from, message) = self.parts.socket.receive() => {
                    self.contain(|this| this.handle_message(from, message));
                }
            }
        }
        self.tasks.abort().await;
    }

    /// Handles one input. A panic ends only that, since requests and peers need a
    /// control loop: its state machines check what they are told in any case.
    fn contain(&mut self, handle: impl FnOnce(&mut Self)) {
        if catch_unwind(AssertUnwindSafe(|| handle(self))).is_err() {
            self.parts.metrics.contained_panics.inc();
            log::error!("control: the handling of an input panicked; the input is lost.");
        }
    }

    /// Returns the current time.
    fn now(&self) -> MonoTime {
        self.parts.clock.now()
    }

    /// Performs the periodic work, and detects that the process was suspended.
    fn tick(&mut self) {
        let now = self.now();
        if now.since(self.last_tick) > MAX_TICK_GAP {
            log::warn!(
                "control: the process was suspended for {} ms, discarding the evidence \
                 about backend servers.",
                now.since(self.last_tick).as_millis()
            );
            self.detectors.resume(now);
        }
        self.last_tick = now;
        if now.since(self.last_sweep) >= SWEEP_PERIOD {
            self.last_sweep = now;
            self.parts.pools.sweep_idle();
            self.parts.egress.sweep_idle();
            self.report_used_services();
        }
        self.handle_limit_event(LimitEvent::Tick);
        self.detectors.tick(now);
        self.handle_gossip_event(GossipEvent::Tick);
        let contact = self.has_contact(now);
        let freshness = self.gossip.freshness(now, contact);
        self.parts.egress.tick(freshness == Freshness::Fresh);
        let refuse = self.parts.settings.load().policy.refuse_isolated;
        self.parts
            .view
            .set_isolated(refuse && freshness == Freshness::Isolated);
        let age = self.gossip.age(now).as_millis() as i64;
        self.parts.metrics.platform_age_ms.set(age);
        self.is_reader.store(
            self.gossip.is_reader(),
            std::sync::atomic::Ordering::Relaxed,
        );
    }

    /// Returns whether this daemon is in contact with enough of the fleet to
    /// assume that no newer revisions are in force elsewhere: with a quorum of
    /// each of its cells, or with any peer if it is a member of no cell.
    fn has_contact(&self, now: MonoTime) -> bool {
        match self.limits.stats(now).cells {
            0 => now.since(self.last_reply) < CONTACT_TIMEOUT,
            _ => self.limits.has_quorum(now),
        }
    }

    /// Handles an event from another part of the daemon.
    fn handle_event(&mut self, event: ControlEvent) {
        let now = self.now();
        match event {
            ControlEvent::TakeToken { account, reply } => self.take_token(account, reply),
            ControlEvent::Reported {
                service,
                server,
                counts,
                service_time,
            } => {
                let report = HealthEvent::Reported(server.clone(), counts);
                self.detectors.handle(now, &service, report);
                if let Some(time) = service_time {
                    self.detectors
                        .handle(now, &service, detect::time_event(server, time));
                }
            }
            ControlEvent::PathObserved {
                service,
                server,
                reached,
            } => {
                if let Some(event) = detect::path_event(server, reached) {
                    self.detectors.handle(now, &service, event);
                }
            }
            ControlEvent::CanaryEnded {
                service,
                server,
                good,
            } => self
                .detectors
                .handle(now, &service, HealthEvent::Canary(server, good)),
            ControlEvent::AnnounceEvidence {
                server,
                counts,
                closed,
                rejected,
                ingresses,
            } => {
                let evidence = PeerMessage::Evidence {
                    server,
                    counts,
                    closed,
                    rejected,
                };
                for to in ingresses {
                    self.parts.socket.send(&to, evidence.clone());
                }
            }
            ControlEvent::ConfigRead { table, deltas } => {
                if let Some(table) = table {
                    self.adopt_config(table, deltas, ConfigSource::Platform);
                }
                self.handle_gossip_event(GossipEvent::PlatformRead);
            }
            ControlEvent::VmListRead(list) => {
                // A read of the VM list confirms nothing about the configuration,
                // and not every platform has such a list.
                if let Some(list) = list {
                    self.adopt_vms(list);
                }
            }
            ControlEvent::PullReplied(reply) => self.apply_pull_reply(*reply),
            ControlEvent::PullRequested { request, reply } => {
                let _ = reply.send(self.pull_reply(&request));
            }
            ControlEvent::Dump(reply) => {
                let _ = reply.send(self.dump());
            }
        }
    }

    /// Handles a message from a peer.
    fn handle_message(&mut self, from: VmId, message: PeerMessage) {
        match message {
            PeerMessage::Limit(message) => {
                self.handle_limit_event(LimitEvent::Message { from, message });
            }
            PeerMessage::Exchange(known) => self.handle_gossip_event(GossipEvent::Message {
                from,
                known,
                wants_reply: true,
            }),
            PeerMessage::ExchangeReply(known) => {
                self.last_reply = self.now();
                self.handle_gossip_event(GossipEvent::Message {
                    from,
                    known,
                    wants_reply: false,
                });
            }
            PeerMessage::Push { known, delta } => {
                if let Some(delta) = delta.and_then(|text| text.parse()) {
                    self.apply_deltas(vec![delta]);
                }
                self.handle_gossip_event(GossipEvent::Message {
                    from,
                    known,
                    wants_reply: false,
                });
            }
            PeerMessage::Hop(message) => self.parts.transport.receive(&from, message),
            PeerMessage::Notice { server, notice } => {
                let table = self.parts.view.table();
                match table.server(&server) {
                    Some(backend) if backend.vm == self.parts.view.vm => {
                        self.parts.egress.record_notice(&server, notice);
                    }
                    Some(backend) => {
                        self.parts
                            .pools
                            .record_notice(&backend.service, &server, notice);
                    }
                    None => {}
                }
            }
            PeerMessage::Evidence {
                server,
                counts,
                closed,
                rejected,
            } => {
                let table = self.parts.view.table();
                let service = table.server(&server).map(|backend| backend.service.clone());
                if let Some(service) = service {
                    self.parts
                        .pools
                        .record_announced(&service, &server, closed, rejected);
                    let now = self.now();
                    self.detectors
                        .handle(now, &service, HealthEvent::Reported(server, counts));
                }
            }
        }
    }

    /// Requests a token for a request, which waits for the reply.
    fn take_token(&mut self, account: AccountId, reply: TakeReply) {
        self.next_take += 1;
        let take = TakeId(self.next_take);
        self.pending_takes.insert(take, (account.clone(), reply));
        self.handle_limit_event(LimitEvent::Take { take, account });
    }

    /// Passes an event to the rate limiter and performs the resulting actions.
    fn handle_limit_event(&mut self, event: LimitEvent) {
        let now = self.now();
        let table = self.parts.view.table();
        let lookup = |account: &AccountId| limit_in(&table, account);
        for action in self.limits.handle(now, event, &lookup) {
            match action {
                LimitAction::Send { to, message } => {
                    self.parts.socket.send(&to, PeerMessage::Limit(message));
                }
                LimitAction::Admit(take, grant) => {
                    let Some((account, reply)) = self.pending_takes.remove(&take) else {
                        continue;
                    };
                    let slots = self.limits.lease_slots(now, &account);
                    // The token goes back to its lease if the request was
                    // dropped meanwhile.
                    if let Err(Ok((slots, grant))) = reply.send(Ok((slots, grant))) {
                        slots.give_back(now, grant);
                    }
                }
                LimitAction::Refuse(take, refusal) => {
                    if let Some((_, reply)) = self.pending_takes.remove(&take) {
                        let _ = reply.send(Err(refusal));
                    }
                }
            }
        }
    }

    /// Passes an event to the gossip and performs the resulting actions.
    fn handle_gossip_event(&mut self, event: GossipEvent) {
        for action in self.gossip.handle(self.now(), event) {
            match action {
                GossipAction::Send(to, message) => self.parts.socket.send(&to, message),
                GossipAction::Pull(from) => self.start_pull(&from),
                GossipAction::ReadPlatform => {
                    self.parts.metrics.fallback_reads.inc();
                    log::info!(
                        age_ms = self.gossip.age(self.now()).as_millis() as u64;
                        "config: no peer has confirmed the revision in time, reading the platform."
                    );
                    let watcher = self.platform_watcher();
                    self.tasks.spawn(async move { watcher.read_once().await });
                }
            }
        }
    }

    /// Returns a platform watcher for a single read.
    fn platform_watcher(&self) -> PlatformWatcher {
        PlatformWatcher {
            view: Arc::clone(&self.parts.view),
            metrics: Arc::clone(&self.parts.metrics),
            platform: Arc::clone(&self.parts.platform),
            control: self.parts.sender.clone(),
            is_reader: Arc::clone(&self.is_reader),
        }
    }
}
