//! The control loop: one task that owns the state machines of a daemon.
//!
//! Requests read what it decides from atomics and snapshots; they wait for it
//! only when no token is at hand.

mod adopt;
mod detect;
mod event;
mod follow;
mod peers;
mod pull;

use std::{collections::VecDeque, sync::Arc, time::Duration};

use config::{ConfigTable, Delta};
use health::Event as HealthEvent;
use ids::{AccountId, FastMap, MonoTime, VmId};
use limit::{AccountLimit, LimitAction, LimitEvent, LimitNode, TakeId, TakeRefusal};
use mesh::{Freshness, GossipAction, GossipEvent, GossipNode, PeerMessage};
use reader::ConfigFeed;
use serde_json::{Value, json};
use tokio::sync::oneshot;

pub use event::{ControlEvent, ControlReceiver, ControlSender, TakenToken, control_queue};
pub use follow::PlatformFollower;
pub use peers::{PeerSender, PeerSocket, bind_datagrams};
pub use pull::{PullRequest, answer_pull};

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
use detect::DetectorSet;
use pull::pull_from;

/// Time between looks for connections that were idle for too long.
const SWEEP_EVERY: Duration = Duration::from_millis(500);
/// Time between ticks of the state machines while requests wait for tokens,
/// and at other times: each tick wakes the process.
const TICK: Duration = Duration::from_millis(20);
const IDLE_TICK: Duration = Duration::from_millis(100);
/// Gap between ticks that counts as a pause of the process.
const PAUSE: Duration = Duration::from_secs(1);
/// Time without a reply of any peer after which a daemon that is in no cell
/// counts as unheard.
const HEARD_FOR: Duration = Duration::from_secs(4);

/// What the control loop is made from.
pub struct ControlParts {
    /// Configuration and VM list in force.
    pub view: Arc<FleetView>,
    /// Backend servers as seen from here.
    pub pools: Arc<PoolTable>,
    /// The egress of this VM.
    pub egress: Arc<EgressHub>,
    /// Counters.
    pub metrics: Arc<MetricSet>,
    /// The clock.
    pub clock: MonoClock,
    /// The datagram socket.
    pub socket: PeerSocket,
    /// Offers and their answers.
    pub transport: Arc<HopTransport>,
    /// Seals pulls.
    pub seal: HeaderSeal,
    /// The platform, for reads beside the watches.
    pub platform: Arc<dyn ConfigFeed>,
    /// Settings in force.
    pub settings: LiveSettings,
    /// Where events go, for the tasks that the loop starts.
    pub sender: ControlSender,
}

/// The control loop.
pub struct ControlLoop {
    parts: ControlParts,
    limits: LimitNode,
    spread: GossipNode,
    detectors: DetectorSet,
    waiting: FastMap<TakeId, (AccountId, TakeReply)>,
    next_take: u64,
    deltas: VecDeque<Delta>,
    tasks: TaskGroup,
    last_tick: MonoTime,
    last_sweep: MonoTime,
    last_reply: MonoTime,
    reader: Arc<std::sync::atomic::AtomicBool>,
}

/// Where the answer to a take goes.
type TakeReply = oneshot::Sender<Result<TakenToken, TakeRefusal>>;

/// Limit of an account by a configuration.
fn limit_in(table: &ConfigTable, account: &AccountId) -> Option<AccountLimit> {
    table.account(account).map(|account| AccountLimit {
        rate: account.rate,
        burst: account.burst,
    })
}

impl ControlLoop {
    /// A loop that has not started; `reader` tells the followers whether this
    /// daemon watches the platform.
    pub fn new(parts: ControlParts, reader: Arc<std::sync::atomic::AtomicBool>) -> Self {
        let now = parts.clock.now();
        let vm = parts.view.vm.clone();
        let detectors = DetectorSet::new(
            Arc::clone(&parts.view),
            Arc::clone(&parts.pools),
            Arc::clone(&parts.metrics),
        );
        let mut spread = GossipNode::new(vm.clone(), parts.view.zone.clone(), now, rand::random());
        spread.set_readers_per_zone(parts.settings.load().policy.readers_per_zone);
        Self {
            limits: LimitNode::new(vm, now, rand::random()),
            spread,
            detectors,
            waiting: FastMap::default(),
            next_take: 0,
            deltas: VecDeque::new(),
            tasks: TaskGroup::new(),
            last_tick: now,
            last_sweep: now,
            last_reply: now,
            reader,
            parts,
        }
    }

    /// Runs until `stop` turns.
    pub async fn run(mut self, mut events: ControlReceiver, mut stop: StopSignal) {
        let mut ticked = tokio::time::Instant::now();
        loop {
            let pause = match self.waiting.is_empty() {
                true => IDLE_TICK,
                false => TICK,
            };
            tokio::select! {
                biased;
                () = stop.stopped() => break,
                () = tokio::time::sleep_until(ticked + pause) => {
                    ticked = tokio::time::Instant::now();
                    self.tick();
                }
                Some(event) = events.recv() => self.take_event(event),
                (from, message) = self.parts.socket.receive() => self.receive(from, message),
            }
        }
        self.tasks.abort().await;
    }

    /// Time now.
    fn now(&self) -> MonoTime {
        self.parts.clock.now()
    }

    /// Follows the time, and notices pauses by their length.
    fn tick(&mut self) {
        let now = self.now();
        if now.since(self.last_tick) > PAUSE {
            log::warn!(
                "control: this process slept {} ms.",
                now.since(self.last_tick).as_millis()
            );
            self.detectors.resume(now);
        }
        self.last_tick = now;
        if now.since(self.last_sweep) >= SWEEP_EVERY {
            self.last_sweep = now;
            self.parts.pools.sweep_idle();
            self.parts.egress.sweep_idle();
        }
        self.limit_step(LimitEvent::Tick);
        self.detectors.tick(now);
        self.spread_step(GossipEvent::Tick);
        let hears = self.hears_cell(now);
        let freshness = self.spread.freshness(now, hears);
        let refuse = self.parts.settings.load().policy.refuse_isolated;
        self.parts
            .view
            .set_isolated(refuse && freshness == Freshness::Isolated);
        let age = self.spread.age(now).as_millis() as i64;
        self.parts.metrics.platform_age_ms.set(age);
        self.reader.store(
            self.spread.is_reader(),
            std::sync::atomic::Ordering::Relaxed,
        );
    }

    /// Whether enough of the fleet is heard to believe that it goes on with
    /// what is known here.
    fn hears_cell(&self, now: MonoTime) -> bool {
        match self.limits.stats(now).cells {
            0 => now.since(self.last_reply) < HEARD_FOR,
            _ => self.limits.has_quorum(now),
        }
    }

    /// Takes an event of another part.
    fn take_event(&mut self, event: ControlEvent) {
        let now = self.now();
        match event {
            ControlEvent::Take { account, reply } => self.take(account, reply),
            ControlEvent::Reported {
                service,
                server,
                counts,
                time,
            } => {
                let report = HealthEvent::Reported(server.clone(), counts);
                self.detectors.handle(now, &service, report);
                if let Some(time) = time {
                    self.detectors
                        .handle(now, &service, detect::time_event(server, time));
                }
            }
            ControlEvent::Path {
                service,
                server,
                reached,
            } => {
                if let Some(event) = detect::path_event(server, reached) {
                    self.detectors.handle(now, &service, event);
                }
            }
            ControlEvent::Canary {
                service,
                server,
                good,
            } => self
                .detectors
                .handle(now, &service, HealthEvent::Canary(server, good)),
            ControlEvent::Suspect {
                server,
                counts,
                closed,
                ingresses,
            } => {
                for to in ingresses {
                    let server = server.clone();
                    self.parts.socket.send(
                        &to,
                        PeerMessage::Evidence {
                            server,
                            counts,
                            closed,
                        },
                    );
                }
            }
            ControlEvent::Config { table, deltas } => {
                if let Some(table) = table {
                    self.adopt_config(table, deltas);
                }
                self.spread_step(GossipEvent::PlatformRead);
            }
            ControlEvent::Vms(list) => {
                if let Some(list) = list {
                    self.adopt_vms(list);
                }
                self.spread_step(GossipEvent::PlatformRead);
            }
            ControlEvent::Pulled(reply) => self.take_pulled(*reply),
            ControlEvent::PullAsked { request, reply } => {
                let _ = reply.send(self.pull_reply(&request));
            }
            ControlEvent::Dump(reply) => {
                let _ = reply.send(self.dump());
            }
        }
    }

    /// Takes a message of a peer.
    fn receive(&mut self, from: VmId, message: PeerMessage) {
        match message {
            PeerMessage::Limit(message) => {
                self.limit_step(LimitEvent::Message { from, message });
            }
            PeerMessage::Exchange(known) => self.spread_step(GossipEvent::Message {
                from,
                known,
                wants_reply: true,
            }),
            PeerMessage::ExchangeReply(known) => {
                self.last_reply = self.now();
                self.spread_step(GossipEvent::Message {
                    from,
                    known,
                    wants_reply: false,
                });
            }
            PeerMessage::Push { known, delta } => {
                if let Some(delta) = delta.and_then(|text| text.parse()) {
                    self.apply_deltas(vec![delta]);
                }
                self.spread_step(GossipEvent::Message {
                    from,
                    known,
                    wants_reply: false,
                });
            }
            PeerMessage::Hop(message) => self.parts.transport.receive(&from, message),
            PeerMessage::Evidence {
                server,
                counts,
                closed,
            } => {
                let table = self.parts.view.table();
                let service = table.server(&server).map(|backend| backend.service.clone());
                if let Some(service) = service {
                    self.parts.pools.record_gate(&service, &server, closed);
                    let now = self.now();
                    self.detectors
                        .handle(now, &service, HealthEvent::Reported(server, counts));
                }
            }
        }
    }

    /// A request waits for a token.
    fn take(&mut self, account: AccountId, reply: TakeReply) {
        self.next_take += 1;
        let take = TakeId(self.next_take);
        self.waiting.insert(take, (account.clone(), reply));
        self.limit_step(LimitEvent::Take { take, account });
    }

    /// Passes an event to the limit machine and does what it wants done.
    fn limit_step(&mut self, event: LimitEvent) {
        let now = self.now();
        let table = self.parts.view.table();
        let lookup = |account: &AccountId| limit_in(&table, account);
        for action in self.limits.handle(now, event, &lookup) {
            match action {
                LimitAction::Send { to, message } => {
                    self.parts.socket.send(&to, PeerMessage::Limit(message));
                }
                LimitAction::Admit(take, grant) => {
                    let Some((account, reply)) = self.waiting.remove(&take) else {
                        continue;
                    };
                    let cell = self.limits.lease_slots(now, &account);
                    // A caller that is gone gets no token.
                    if let Err(Ok((cell, grant))) = reply.send(Ok((cell, grant))) {
                        cell.give_back(now, grant);
                    }
                }
                LimitAction::Refuse(take, refusal) => {
                    if let Some((_, reply)) = self.waiting.remove(&take) {
                        let _ = reply.send(Err(refusal));
                    }
                }
            }
        }
    }

    /// Passes an event to the dissemination and does what it wants done.
    fn spread_step(&mut self, event: GossipEvent) {
        for action in self.spread.handle(self.now(), event) {
            match action {
                GossipAction::Send(to, message) => self.parts.socket.send(&to, message),
                GossipAction::Pull(from) => self.pull(&from),
                GossipAction::ReadPlatform => {
                    let reader = self.follower();
                    self.tasks.spawn(async move { reader.read_once().await });
                }
            }
        }
    }

    /// A follower for a single read.
    fn follower(&self) -> PlatformFollower {
        PlatformFollower {
            view: Arc::clone(&self.parts.view),
            metrics: Arc::clone(&self.parts.metrics),
            platform: Arc::clone(&self.parts.platform),
            control: self.parts.sender.clone(),
            reader: Arc::clone(&self.reader),
        }
    }

    /// Fetches what is newer from a peer.
    fn pull(&self, from: &VmId) {
        let Some(links) = self.parts.pools.peer_links(from) else {
            return;
        };
        let request = self.pull_request();
        let seal = self.parts.seal.clone();
        let sender = self.parts.sender.clone();
        self.tasks.spawn(pull_from(links, seal, request, sender));
    }

    /// State of the machines as JSON.
    fn dump(&self) -> Value {
        let now = self.now();
        let stats = self.limits.stats(now);
        let freshness = self.spread.freshness(now, self.hears_cell(now));
        json!({
            "freshness": format!("{freshness:?}"),
            "platform_age_ms": self.spread.age(now).as_millis() as u64,
            "reader": self.spread.is_reader(),
            "limits": {
                "homes": stats.homes,
                "ingress_accounts": stats.ingress_accounts,
                "cells": stats.cells,
                "heard": stats.cells_with_quorum,
                "granted": stats.granted,
                "asks_without_shares": stats.requests_without_shares,
            },
            "detectors": self.detectors.dump(),
            "kept_deltas": self.deltas.len(),
        })
    }
}
