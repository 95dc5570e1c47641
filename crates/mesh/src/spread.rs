//! Spreads revisions: readers, push, exchange; and tells how fresh they are.
//!
//! Each zone has readers of its own, so news spread inside zones; a few
//! messages cross between them, for a zone whose readers are cut off.

use std::time::Duration;

use config::Delta;
use ids::{MonoTime, Revision, VmId, ZoneId, stable_hash, stable_pair_hash};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};

use crate::message::{DeltaText, KnownRevisions, PeerMessage};

/// Peers of the own zone that a new revision is pushed to.
const NEAR_FANOUT: usize = 5;
/// Peers of other zones that it is pushed to: with one each, a zone without
/// readers hears within a second.
const FAR_FANOUT: usize = 1;
/// Share of exchanges with peers of other zones.
const FAR_EXCHANGES: f64 = 0.25;
/// Time for peers of the own zone to bring what one of another zone has told:
/// a few round trips and a turn of a busy process.
const NEAR_FIRST: Duration = Duration::from_millis(60);
/// Time between exchanges with a random peer.
const EXCHANGE_EVERY: Duration = Duration::from_millis(500);
/// Age up to which knowledge counts as fresh.
const FRESH_FOR: Duration = Duration::from_secs(5);
/// Age from which a daemon that is no reader reads the platform itself: twice
/// the longest wait of a reader's watch.
const FALLBACK_AFTER: Duration = Duration::from_secs(4);
/// Such reads of all daemons together, a second, and the shortest mean time
/// between those of one.
const FALLBACK_PER_S: f64 = 70.0;
const FALLBACK_MIN: Duration = Duration::from_secs(1);
/// Factor by which that time grows with each read that brought nothing, and
/// its bound: the readers go on trying in any case.
const FALLBACK_GROWTH: u32 = 4;
const FALLBACK_MAX: Duration = Duration::from_secs(60);
/// Largest delta in a datagram, in bytes.
const MAX_PUSHED_DELTA: usize = 1_000;
/// Time for a pull from a peer, after which another is asked beside it.
const PULL_EVERY: Duration = Duration::from_millis(100);
/// Time for which pulls may fail to bring a revision that is known to be there
/// before the platform is asked for it.
const BEHIND_FOR: Duration = Duration::from_millis(600);

/// A live VM as dissemination sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GossipPeer {
    /// The VM.
    pub vm: VmId,
    /// Its zone.
    pub zone: ZoneId,
}

/// How far the knowledge of a daemon can be trusted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// Read within seconds, here or by a peer.
    Fresh,
    /// Nobody within reach is fresh, but the own cell can be heard: the
    /// platform is down.
    PlatformDown,
    /// Neither: this daemon may be cut off from a fleet that has moved on.
    Isolated,
}

/// What happens to the machine.
#[derive(Clone, Debug)]
pub enum GossipEvent {
    /// The live VMs have changed.
    Peers(Vec<GossipPeer>),
    /// A revision was put in force, with the delta if there was just one.
    Adopted {
        /// Configuration in force.
        config: Revision,
        /// VM list in force.
        vms: Revision,
        /// The step to it.
        delta: Option<Delta>,
    },
    /// The platform was read with success; nothing newer is known there.
    PlatformRead,
    /// A message came from a peer.
    Message {
        /// VM of the peer.
        from: VmId,
        /// What it knows.
        known: KnownRevisions,
        /// Whether an answer is expected.
        wants_reply: bool,
    },
    /// Time has passed.
    Tick,
}

/// What the machine wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum GossipAction {
    /// Send a message to the daemon of a VM.
    Send(VmId, PeerMessage),
    /// Fetch what is newer from a peer.
    Pull(VmId),
    /// Read the platform once.
    ReadPlatform,
}

/// Dissemination at one daemon.
#[derive(Debug)]
pub struct GossipNode {
    vm: VmId,
    zone: ZoneId,
    rng: StdRng,
    /// Peers of the own zone, which are asked first.
    near: Vec<VmId>,
    /// Peers of other zones.
    far: Vec<VmId>,
    reader: bool,
    readers_per_zone: usize,
    config: Revision,
    vms: Revision,
    /// When the platform was last read, here or by whom this daemon heard.
    read_at: Option<MonoTime>,
    started: MonoTime,
    next_exchange: MonoTime,
    next_fallback: MonoTime,
    pulled_at: Option<MonoTime>,
    /// Since when peers are known to have something newer.
    behind_since: Option<MonoTime>,
    /// A peer of another zone that has it.
    far_source: Option<VmId>,
    /// When the platform was last asked beside the watches.
    read_asked: Option<MonoTime>,
    /// Such reads since the platform was last heard, here or by peers.
    vain_reads: u32,
}

impl GossipNode {
    /// Daemons of each zone that watch the platform, where nothing else is set.
    pub const READERS_PER_ZONE: usize = 3;

    /// A machine that knows nothing; `seed` is random.
    pub fn new(vm: VmId, zone: ZoneId, now: MonoTime, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let first = EXCHANGE_EVERY.mul_f64(rng.random());
        Self {
            vm,
            zone,
            rng,
            near: Vec::new(),
            far: Vec::new(),
            reader: true,
            readers_per_zone: Self::READERS_PER_ZONE,
            config: Revision(0),
            vms: Revision(0),
            read_at: None,
            started: now,
            next_exchange: now + first,
            next_fallback: now + FALLBACK_AFTER,
            pulled_at: None,
            behind_since: None,
            far_source: None,
            read_asked: None,
            vain_reads: 0,
        }
    }

    /// Sets how many daemons of each zone watch the platform.
    pub fn set_readers_per_zone(&mut self, per_zone: usize) {
        self.readers_per_zone = per_zone;
    }

    /// Takes an event at `now` and returns what to do.
    pub fn handle(&mut self, now: MonoTime, event: GossipEvent) -> Vec<GossipAction> {
        let mut actions = Vec::new();
        match event {
            GossipEvent::Peers(peers) => self.set_peers(peers),
            GossipEvent::Adopted { config, vms, delta } => {
                self.adopt(now, config, vms, delta.as_ref(), &mut actions);
            }
            GossipEvent::PlatformRead => {
                self.read_at = Some(now);
                self.vain_reads = 0;
            }
            GossipEvent::Message {
                from,
                known,
                wants_reply,
            } => self.receive(now, from, known, wants_reply, &mut actions),
            GossipEvent::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    /// Whether this daemon watches the platform.
    pub fn is_reader(&self) -> bool {
        self.reader
    }

    /// Time since the last read of the platform behind what is known.
    pub fn age(&self, now: MonoTime) -> Duration {
        now.since(self.read_at.unwrap_or(self.started))
    }

    /// How far the knowledge can be trusted; `hears_cell` tells whether more
    /// than half of the own cell was heard of late.
    pub fn freshness(&self, now: MonoTime, hears_cell: bool) -> Freshness {
        match self.age(now) {
            age if age < FRESH_FOR => Freshness::Fresh,
            _ if hears_cell => Freshness::PlatformDown,
            _ => Freshness::Isolated,
        }
    }

    /// What this daemon knows.
    pub fn known(&self, now: MonoTime) -> KnownRevisions {
        KnownRevisions {
            config: self.config,
            vms: self.vms,
            age_ms: match self.read_at {
                Some(_) => self.age(now).as_millis() as u64,
                None => u64::MAX,
            },
        }
    }

    /// Follows the live VMs.
    fn set_peers(&mut self, peers: Vec<GossipPeer>) {
        let rank =
            |vm: &VmId| stable_pair_hash(stable_hash(self.zone.as_str().as_bytes()), vm.as_str());
        let own = rank(&self.vm);
        let others = peers.into_iter().filter(|peer| peer.vm != self.vm);
        let (near, far): (Vec<_>, Vec<_>) = others.partition(|peer| peer.zone == self.zone);
        self.near = near.into_iter().map(|peer| peer.vm).collect();
        self.far = far.into_iter().map(|peer| peer.vm).collect();
        let before = self.near.iter().filter(|vm| rank(vm) > own).count();
        self.reader = before < self.readers_per_zone;
    }

    /// Notes a revision in force and pushes it on.
    fn adopt(
        &mut self,
        now: MonoTime,
        config: Revision,
        vms: Revision,
        delta: Option<&Delta>,
        actions: &mut Vec<GossipAction>,
    ) {
        let newer = config > self.config || vms > self.vms;
        self.config = self.config.max(config);
        self.vms = self.vms.max(vms);
        if !newer {
            return;
        }
        self.behind_since = None;
        self.far_source = None;
        let text = delta.map(|delta| Box::new(DeltaText::new(delta)));
        let message = PeerMessage::Push {
            known: self.known(now),
            delta: text.filter(|text| text.len() <= MAX_PUSHED_DELTA),
        };
        let near = self.near.sample(&mut self.rng, NEAR_FANOUT).cloned();
        let mut peers: Vec<VmId> = near.collect();
        // A zone with few VMs pushes as much.
        let far = NEAR_FANOUT + FAR_FANOUT - peers.len();
        peers.extend(self.far.sample(&mut self.rng, far).cloned());
        let send = |to| GossipAction::Send(to, message.clone());
        actions.extend(peers.into_iter().map(send));
    }

    /// Takes what a peer knows.
    fn receive(
        &mut self,
        now: MonoTime,
        from: VmId,
        known: KnownRevisions,
        wants_reply: bool,
        actions: &mut Vec<GossipAction>,
    ) {
        let behind = known.config > self.config || known.vms > self.vms;
        if !behind {
            self.note_age(now, known);
        }
        if behind {
            let since = *self.behind_since.get_or_insert(now);
            let near = self.near.contains(&from) || self.near.is_empty();
            match near || now.since(since) >= NEAR_FIRST {
                true => self.pull(now, from.clone(), actions),
                false => self.far_source = Some(from.clone()),
            }
        }
        if wants_reply {
            let reply = PeerMessage::ExchangeReply(self.known(now));
            actions.push(GossipAction::Send(from, reply));
        }
    }

    /// Takes the freshness of a peer that knows nothing newer.
    ///
    /// The peer's read shows that there was nothing newer either, if it knows
    /// as much as this daemon does.
    fn note_age(&mut self, now: MonoTime, known: KnownRevisions) {
        let same = known.config == self.config && known.vms == self.vms;
        let read_at = now - Duration::from_millis(known.age_ms);
        if same && known.age_ms < u64::MAX && Some(read_at) > self.read_at {
            self.read_at = Some(read_at);
            if known.age_ms < FRESH_FOR.as_millis() as u64 {
                self.vain_reads = 0;
            }
        }
    }

    /// Fetches from a peer, unless that was tried just now.
    fn pull(&mut self, now: MonoTime, from: VmId, actions: &mut Vec<GossipAction>) {
        let recent = self
            .pulled_at
            .is_some_and(|time| now.since(time) < PULL_EVERY);
        if !recent {
            self.pulled_at = Some(now);
            actions.push(GossipAction::Pull(from));
        }
    }

    /// Follows the time.
    fn tick(&mut self, now: MonoTime, actions: &mut Vec<GossipAction>) {
        if self.next_exchange <= now {
            self.next_exchange = now + EXCHANGE_EVERY;
            let message = PeerMessage::Exchange(self.known(now));
            actions.extend(self.random_peer().map(|to| GossipAction::Send(to, message)));
        }
        let behind_for = |span| {
            let since = self.behind_since;
            since.is_some_and(|since| now.since(since) >= span)
        };
        let behind = behind_for(BEHIND_FOR);
        if behind_for(NEAR_FIRST)
            && let Some(source) = self.far_source.take()
        {
            self.pull(now, source, actions);
        }
        if self.next_fallback <= now || (behind && self.may_read_again(now)) {
            let jitter = 0.5 + self.rng.random::<f64>();
            let stale = self.age(now) >= FALLBACK_AFTER;
            match behind || (stale && !self.reader) {
                true => {
                    self.read_asked = Some(now);
                    self.vain_reads += 1;
                    self.next_fallback = now + self.fallback_every().mul_f64(jitter);
                    actions.push(GossipAction::ReadPlatform);
                }
                false => self.next_fallback = now + FALLBACK_MIN.mul_f64(jitter),
            }
        }
    }

    /// Whether the platform was not asked just now.
    fn may_read_again(&self, now: MonoTime) -> bool {
        self.read_asked
            .is_none_or(|asked| now.since(asked) >= self.fallback_every())
    }

    /// Mean time between reads of the platform when nobody is heard who read.
    fn fallback_every(&self) -> Duration {
        let daemons = (self.near.len() + self.far.len()) as f64 + 1.0;
        let least = Duration::from_secs_f64(daemons / FALLBACK_PER_S).max(FALLBACK_MIN);
        let grown = least.saturating_mul(FALLBACK_GROWTH.saturating_pow(self.vain_reads));
        grown.min(FALLBACK_MAX.max(least))
    }

    /// Any peer, mostly of the own zone.
    fn random_peer(&mut self) -> Option<VmId> {
        let far = self.near.is_empty() || self.rng.random_bool(FAR_EXCHANGES);
        let peers = match far && !self.far.is_empty() {
            true => &self.far,
            false => &self.near,
        };
        peers.choose(&mut self.rng).cloned()
    }
}
