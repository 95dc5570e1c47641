//! Dissemination of revisions by gossip, and tracking of their freshness.
//!
//! In each zone a few daemons, the readers, watch the platform. A daemon pushes
//! a new revision to random peers, exchanges revisions with a random peer at
//! fixed intervals, and pulls what it lacks. Since each zone has readers of its
//! own, records are pushed inside zones only. Short messages cross zones, for a
//! zone whose readers are cut off from the platform. Each daemon sends them with a
//! probability that makes a zone send as many, whatever its size, and no daemon's
//! failure ends them.

use std::time::Duration;

use config::Delta;
use ids::{MonoTime, Revision, VmId, ZoneId, stable_hash, stable_pair_hash};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};

use crate::{
    event::{Freshness, GossipAction, GossipEvent, GossipPeer},
    message::{DeltaText, KnownRevisions, PeerMessage},
};

/// Number of peers in the same zone to which a new revision is pushed.
const ZONE_FANOUT: usize = 5;
/// Mean number of daemons of a zone that announce a new revision to a peer in
/// another zone, which pulls it unless its own zone tells it soon.
const CROSS_ZONE_ANNOUNCEMENTS: f64 = 4.0;
/// Mean number of daemons of a zone that make an exchange with a peer in another
/// zone in each interval between exchanges.
const CROSS_ZONE_EXCHANGES: f64 = 1.0;
/// Time after the first announcement of a newer revision during which it is
/// pulled only from peers in the same zone: a few round trips and a scheduling
/// delay of a busy process.
const CROSS_ZONE_PULL_DELAY: Duration = Duration::from_millis(60);
/// Time between exchanges with a random peer.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// Age up to which the revisions of a daemon count as fresh.
const MAX_FRESH_AGE: Duration = Duration::from_secs(5);
/// Age from which a daemon that is not a reader reads the platform itself. Readers
/// confirm the revisions more often, and a change has to be in force everywhere
/// within 2 s even if all readers have lost the platform.
const FALLBACK_AGE: Duration = Duration::from_millis(1_200);
/// Minimum time between the confirmations that a daemon passes on.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(400);
/// Number of peers in the same zone to which a daemon passes on the confirmation
/// of a reader.
const CONFIRM_FANOUT: usize = 2;
/// Maximum rate of fallback reads of the platform by all daemons together, in
/// reads per second.
const FLEET_FALLBACKS_PER_S: f64 = 140.0;
/// Minimum mean time between fallback reads of one daemon.
const MIN_FALLBACK_INTERVAL: Duration = Duration::from_secs(1);
/// Factor by which the fallback interval grows with each unsuccessful read.
const FALLBACK_BACKOFF: u32 = 4;
/// Upper bound of the growth of the fallback interval; the readers keep trying
/// in any case.
const MAX_FALLBACK_INTERVAL: Duration = Duration::from_secs(60);
/// Maximum size of a delta in a push, in bytes.
const MAX_PUSHED_DELTA_BYTES: usize = 1_000;
/// Time given to a pull from one peer before another pull may start beside it.
const PULL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which pulls may fail to fetch a revision that peers are known to
/// have before the daemon reads the platform.
const MAX_BEHIND_TIME: Duration = Duration::from_millis(600);

/// Gossip state machine of one daemon.
#[derive(Debug)]
pub struct GossipNode {
    vm: VmId,
    zone: ZoneId,
    rng: StdRng,
    /// Peers in the same zone, from which revisions are pulled first.
    zone_peers: Vec<VmId>,
    /// Peers in other zones.
    remote_peers: Vec<VmId>,
    is_reader: bool,
    readers_per_zone: usize,
    config: Revision,
    vms: Revision,
    /// When the platform was last read, here or at a peer with the same
    /// revisions.
    platform_read_at: Option<MonoTime>,
    started_at: MonoTime,
    /// Read of the platform that was last passed on to peers.
    confirmed_read: MonoTime,
    next_exchange: MonoTime,
    /// Time of the next fallback read; `None` while the revisions are confirmed.
    next_fallback: Option<MonoTime>,
    pulled_at: Option<MonoTime>,
    /// Time since which peers are known to have newer revisions.
    behind_since: Option<MonoTime>,
    /// Peer in another zone that has newer revisions.
    remote_source: Option<VmId>,
    /// Time of the latest fallback read of the platform.
    fallback_at: Option<MonoTime>,
    /// Number of fallback reads since the platform was last known to respond,
    /// to this daemon or to a peer.
    fallback_reads: u32,
}

impl GossipNode {
    /// Default number of readers in each zone.
    pub const READERS_PER_ZONE: usize = 3;

    /// Creates a state machine without peers and revisions; `seed` is random.
    pub fn new(vm: VmId, zone: ZoneId, now: MonoTime, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let first_delay = EXCHANGE_INTERVAL.mul_f64(rng.random());
        Self {
            vm,
            zone,
            rng,
            zone_peers: Vec::new(),
            remote_peers: Vec::new(),
            is_reader: true,
            readers_per_zone: Self::READERS_PER_ZONE,
            config: Revision(0),
            vms: Revision(0),
            platform_read_at: None,
            started_at: now,
            confirmed_read: now,
            next_exchange: now + first_delay,
            next_fallback: None,
            pulled_at: None,
            behind_since: None,
            remote_source: None,
            fallback_at: None,
            fallback_reads: 0,
        }
    }

    /// Sets the number of readers in each zone.
    pub fn set_readers_per_zone(&mut self, per_zone: usize) {
        self.readers_per_zone = per_zone;
    }

    /// Handles an event at `now` and returns the actions to perform.
    pub fn handle(&mut self, now: MonoTime, event: GossipEvent) -> Vec<GossipAction> {
        let mut actions = Vec::new();
        match event {
            GossipEvent::Peers(peers) => self.set_peers(peers),
            GossipEvent::Adopted { config, vms, delta } => {
                self.adopt(now, config, vms, delta.as_ref(), &mut actions);
            }
            GossipEvent::PlatformRead => {
                self.platform_read_at = Some(now);
                self.fallback_reads = 0;
                self.pass_confirmation(now, ZONE_FANOUT, &mut actions);
            }
            GossipEvent::Message {
                from,
                known,
                wants_reply,
            } => self.receive(now, from, known, wants_reply, &mut actions),
            GossipEvent::Tick => self.handle_tick(now, &mut actions),
        }
        actions
    }

    /// Returns whether this daemon is a reader, which watches the platform.
    pub fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// Returns the time since the read of the platform that confirmed the
    /// revisions, or since the start if there was none.
    pub fn age(&self, now: MonoTime) -> Duration {
        now.since(self.platform_read_at.unwrap_or(self.started_at))
    }

    /// Returns the freshness of the revisions.
    ///
    /// `has_contact` states whether this daemon is in contact with a quorum of
    /// its cells.
    pub fn freshness(&self, now: MonoTime, has_contact: bool) -> Freshness {
        match self.age(now) {
            age if age < MAX_FRESH_AGE => Freshness::Fresh,
            _ if has_contact => Freshness::PlatformDown,
            _ => Freshness::Isolated,
        }
    }

    /// Returns the revisions of this daemon and their age.
    pub fn known(&self, now: MonoTime) -> KnownRevisions {
        KnownRevisions {
            config: self.config,
            vms: self.vms,
            age_ms: match self.platform_read_at {
                Some(_) => self.age(now).as_millis() as u64,
                None => u64::MAX,
            },
        }
    }

    /// Replaces the peers and decides whether this daemon is a reader.
    fn set_peers(&mut self, peers: Vec<GossipPeer>) {
        let rank =
            |vm: &VmId| stable_pair_hash(stable_hash(self.zone.as_str().as_bytes()), vm.as_str());
        let own_rank = rank(&self.vm);
        let others = peers.into_iter().filter(|peer| peer.vm != self.vm);
        let (local, remote): (Vec<_>, Vec<_>) = others.partition(|peer| peer.zone == self.zone);
        self.zone_peers = local.into_iter().map(|peer| peer.vm).collect();
        self.remote_peers = remote.into_iter().map(|peer| peer.vm).collect();
        let higher = self
            .zone_peers
            .iter()
            .filter(|vm| rank(vm) > own_rank)
            .count();
        self.is_reader = higher < self.readers_per_zone;
    }

    /// Records the revisions in force and pushes new ones to peers.
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
        self.remote_source = None;
        let text = delta.map(|delta| Box::new(DeltaText::new(delta)));
        let known = self.known(now);
        let message = PeerMessage::Push {
            known,
            delta: text.filter(|text| text.len() <= MAX_PUSHED_DELTA_BYTES),
        };
        let peers = self.zone_peers.sample(&mut self.rng, ZONE_FANOUT).cloned();
        actions.extend(peers.map(|to| GossipAction::Send(to, message.clone())));
        if self.is_drawn(CROSS_ZONE_ANNOUNCEMENTS) {
            let peer = self.remote_peers.choose(&mut self.rng).cloned();
            let message = PeerMessage::Push { known, delta: None };
            actions.extend(peer.map(|to| GossipAction::Send(to, message)));
        }
    }

    /// Draws whether this daemon sends a message to another zone, so that `mean`
    /// daemons of its zone do so on average.
    fn is_drawn(&mut self, mean: f64) -> bool {
        let daemons = self.zone_peers.len() as f64 + 1.0;
        self.rng.random_bool((mean / daemons).min(1.0))
    }

    /// Handles the revisions of a peer.
    fn receive(
        &mut self,
        now: MonoTime,
        from: VmId,
        known: KnownRevisions,
        wants_reply: bool,
        actions: &mut Vec<GossipAction>,
    ) {
        let behind = known.config > self.config || known.vms > self.vms;
        if !behind && self.adopt_age(now, known) {
            self.pass_confirmation(now, CONFIRM_FANOUT, actions);
        }
        if behind {
            let since = *self.behind_since.get_or_insert(now);
            let local = self.zone_peers.contains(&from) || self.zone_peers.is_empty();
            match local || now.since(since) >= CROSS_ZONE_PULL_DELAY {
                true => self.pull(now, from.clone(), actions),
                false => self.remote_source = Some(from.clone()),
            }
        }
        if wants_reply {
            let reply = PeerMessage::ExchangeReply(self.known(now));
            actions.push(GossipAction::Send(from, reply));
        }
    }

    /// Adopts the time at which a peer without newer revisions read the
    /// platform, and returns whether it is later than what was known.
    ///
    /// If the peer has the same revisions as this daemon, its read shows that
    /// the platform had nothing newer at that time.
    fn adopt_age(&mut self, now: MonoTime, known: KnownRevisions) -> bool {
        let same = known.config == self.config && known.vms == self.vms;
        let read_at = now - Duration::from_millis(known.age_ms);
        let later = same && known.age_ms < u64::MAX && Some(read_at) > self.platform_read_at;
        if later {
            self.platform_read_at = Some(read_at);
            if known.age_ms < MAX_FRESH_AGE.as_millis() as u64 {
                self.fallback_reads = 0;
            }
        }
        later
    }

    /// Tells peers in the same zone when the platform was last read, unless they
    /// were told of a read not much earlier.
    fn pass_confirmation(&mut self, now: MonoTime, fanout: usize, actions: &mut Vec<GossipAction>) {
        let Some(read_at) = self.platform_read_at else {
            return;
        };
        if read_at < self.confirmed_read + CONFIRM_INTERVAL {
            return;
        }
        self.confirmed_read = read_at;
        let message = PeerMessage::Push {
            known: self.known(now),
            delta: None,
        };
        let peers = self.zone_peers.sample(&mut self.rng, fanout).cloned();
        actions.extend(peers.map(|to| GossipAction::Send(to, message.clone())));
    }

    /// Pulls from a peer unless a pull started within [`PULL_INTERVAL`].
    fn pull(&mut self, now: MonoTime, from: VmId, actions: &mut Vec<GossipAction>) {
        let recent = self
            .pulled_at
            .is_some_and(|time| now.since(time) < PULL_INTERVAL);
        if !recent {
            self.pulled_at = Some(now);
            actions.push(GossipAction::Pull(from));
        }
    }

    /// Performs what is due at `now`.
    fn handle_tick(&mut self, now: MonoTime, actions: &mut Vec<GossipAction>) {
        if self.next_exchange <= now {
            self.next_exchange = now + EXCHANGE_INTERVAL;
            let message = PeerMessage::Exchange(self.known(now));
            actions.extend(self.random_peer().map(|to| GossipAction::Send(to, message)));
        }
        let behind_for = |span| {
            let since = self.behind_since;
            since.is_some_and(|since| now.since(since) >= span)
        };
        let behind = behind_for(MAX_BEHIND_TIME);
        if behind_for(CROSS_ZONE_PULL_DELAY)
            && let Some(source) = self.remote_source.take()
        {
            self.pull(now, source, actions);
        }
        if (behind && self.may_fall_back(now)) || self.is_fallback_due(now) {
            let jitter = 0.5 + self.rng.random::<f64>();
            self.fallback_at = Some(now);
            self.fallback_reads += 1;
            self.next_fallback = Some(now + self.fallback_interval().mul_f64(jitter));
            actions.push(GossipAction::ReadPlatform);
        }
    }

    /// Returns whether a fallback read is due because no reader has confirmed the
    /// revisions for too long. The first reads of all daemons are spread over the
    /// time that the fleet's rate of reads allows.
    fn is_fallback_due(&mut self, now: MonoTime) -> bool {
        if self.is_reader || self.age(now) < FALLBACK_AGE {
            self.next_fallback = None;
            return false;
        }
        let spread = self.fleet_fallback_time().mul_f64(self.rng.random());
        now >= *self.next_fallback.get_or_insert(now + spread)
    }

    /// Returns whether the fallback interval has passed since the latest
    /// fallback read.
    fn may_fall_back(&self, now: MonoTime) -> bool {
        self.fallback_at
            .is_none_or(|time| now.since(time) >= self.fallback_interval())
    }

    /// Returns the mean time between fallback reads, which are made while no
    /// peer reports a recent read of the platform.
    fn fallback_interval(&self) -> Duration {
        let base = self.fleet_fallback_time().max(MIN_FALLBACK_INTERVAL);
        let backoff = base.saturating_mul(FALLBACK_BACKOFF.saturating_pow(self.fallback_reads));
        backoff.min(MAX_FALLBACK_INTERVAL.max(base))
    }

    /// Returns the time in which each daemon can make one fallback read.
    fn fleet_fallback_time(&self) -> Duration {
        let daemons = (self.zone_peers.len() + self.remote_peers.len()) as f64 + 1.0;
        Duration::from_secs_f64(daemons / FLEET_FALLBACKS_PER_S)
    }

    /// Returns a random peer, in most cases one in the same zone if there is any.
    fn random_peer(&mut self) -> Option<VmId> {
        let remote = self.is_drawn(CROSS_ZONE_EXCHANGES);
        let peers = match remote && !self.remote_peers.is_empty() {
            true => &self.remote_peers,
            false => &self.zone_peers,
        };
        peers.choose(&mut self.rng).cloned()
    }
}
