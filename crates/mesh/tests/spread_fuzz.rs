//! Tests of gossip over a lossy network: revisions never decrease, and all
//! daemons agree soon after the faults end.

use std::{collections::BTreeMap, time::Duration};

use ids::{MonoTime, Revision, VmId};
use mesh::{
    Freshness, GossipAction, GossipEvent, GossipNode, GossipPeer, KnownRevisions, PeerMessage,
};
use proptest::{prelude::*, test_runner::RngSeed};

const DAEMONS: usize = 24;
const ZONES: usize = 3;
const TICK: Duration = Duration::from_millis(20);
/// Time after which the watch of a reader returns without a change.
const WATCH_MS: u64 = 700;
/// Time within which a change has to be known.
const CHANGE_BOUND: Duration = Duration::from_millis(2_000);

fn vm(daemon: usize) -> VmId {
    format!("vm-{daemon}").parse().unwrap()
}

fn index(vm: &VmId) -> usize {
    vm.as_str()[3..].parse().unwrap()
}

/// Fleet of gossip state machines on a simulated network.
struct FakeNet {
    now: MonoTime,
    nodes: Vec<GossipNode>,
    known: Vec<Revision>,
    published: Revision,
    platform_up: bool,
    /// Percentage of messages that are lost.
    loss_percent: u64,
    /// Whether each daemon is cut off from all others and from the platform.
    isolated: Vec<bool>,
    /// Whether each daemon is cut off from the platform only.
    unreachable: Vec<bool>,
    rng_state: u64,
    queue: BTreeMap<(MonoTime, u64), (usize, usize, PeerMessage)>,
    sent: u64,
    fallbacks: u64,
    /// Numbers of pushes and pulls inside zones, and between zones.
    zone_transfers: u64,
    cross_zone_transfers: u64,
}

impl FakeNet {
    fn new() -> Self {
        let zone = |daemon: usize| format!("zone-{}", daemon % ZONES).parse().unwrap();
        let now = MonoTime::from_millis(1);
        let peer = |daemon: usize| GossipPeer {
            vm: vm(daemon),
            zone: zone(daemon),
        };
        let peers: Vec<GossipPeer> = (0..DAEMONS).map(peer).collect();
        let node = |daemon: usize| {
            let mut node = GossipNode::new(vm(daemon), zone(daemon), now, daemon as u64);
            node.handle(now, GossipEvent::Peers(peers.clone()));
            node
        };
        Self {
            now,
            nodes: (0..DAEMONS).map(node).collect(),
            known: vec![Revision(0); DAEMONS],
            published: Revision(0),
            platform_up: true,
            loss_percent: 0,
            isolated: vec![false; DAEMONS],
            unreachable: vec![false; DAEMONS],
            rng_state: 1,
            queue: BTreeMap::new(),
            sent: 0,
            fallbacks: 0,
            zone_transfers: 0,
            cross_zone_transfers: 0,
        }
    }

    /// Returns a pseudorandom percentage.
    fn random_percent(&mut self) -> u64 {
        self.rng_state = self
            .rng_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.rng_state >> 33) % 100
    }

    /// Puts a revision in force at a daemon.
    fn adopt(&mut self, daemon: usize, revision: Revision) {
        let before = self.known[daemon];
        assert!(
            revision >= before,
            "the revision of daemon {daemon} decreased"
        );
        self.known[daemon] = revision;
        let event = GossipEvent::Adopted {
            config: revision,
            vms: Revision(1),
            delta: None,
        };
        self.step(daemon, event);
    }

    fn read_platform(&mut self, daemon: usize) {
        if self.platform_up && !self.isolated[daemon] && !self.unreachable[daemon] {
            self.adopt(daemon, self.published);
            self.step(daemon, GossipEvent::PlatformRead);
        }
    }

    /// Counts a push or a pull, which carry records between two daemons.
    fn count_transfer(&mut self, action: &GossipAction, daemon: usize) {
        let peer = match action {
            GossipAction::Send(to, PeerMessage::Push { .. }) => to,
            GossipAction::Pull(from) => from,
            _ => return,
        };
        match index(peer) % ZONES == daemon % ZONES {
            true => self.zone_transfers += 1,
            false => self.cross_zone_transfers += 1,
        }
    }

    fn step(&mut self, daemon: usize, event: GossipEvent) {
        for action in self.nodes[daemon].handle(self.now, event) {
            self.count_transfer(&action, daemon);
            match action {
                GossipAction::Send(to, message) => {
                    let to = index(&to);
                    let lost = self.random_percent() < self.loss_percent
                        || self.isolated[daemon]
                        || self.isolated[to];
                    if !lost {
                        self.sent += 1;
                        let at = self.now + Duration::from_millis(1);
                        self.queue.insert((at, self.sent), (daemon, to, message));
                    }
                }
                GossipAction::Pull(from) => {
                    let from = index(&from);
                    if !self.isolated[from] && !self.isolated[daemon] {
                        let newer = self.known[from].max(self.known[daemon]);
                        self.adopt(daemon, newer);
                    }
                }
                GossipAction::ReadPlatform => {
                    self.fallbacks += 1;
                    self.read_platform(daemon);
                }
            }
        }
    }

    /// Advances the time in steps of [`TICK`] and delivers messages.
    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            while let Some(entry) = self.queue.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let (from, to, message) = entry.remove();
                let (known, wants_reply) = match message {
                    PeerMessage::Exchange(known) => (known, true),
                    PeerMessage::ExchangeReply(known) | PeerMessage::Push { known, .. } => {
                        (known, false)
                    }
                    _ => unreachable!("gossip sends no other message"),
                };
                let from = vm(from);
                self.step(
                    to,
                    GossipEvent::Message {
                        from,
                        known,
                        wants_reply,
                    },
                );
            }
            for daemon in 0..DAEMONS {
                self.step(daemon, GossipEvent::Tick);
                // The watch of a reader returns at once when there is a newer
                // revision, and otherwise at the end of its wait.
                let newer = self.published > self.known[daemon];
                let watch_ended =
                    self.now.as_nanos() % (WATCH_MS * 1_000_000) < TICK.as_nanos() as u64;
                if self.nodes[daemon].is_reader() && (newer || watch_ended) {
                    self.read_platform(daemon);
                }
            }
        }
    }
}

#[test]
fn all_know_within_seconds() {
    let mut net = FakeNet::new();
    net.published = Revision(1);
    net.advance(Duration::from_secs(3));
    net.published = Revision(2);
    net.advance(Duration::from_secs(1));
    let late = net
        .known
        .iter()
        .filter(|known| **known < Revision(2))
        .count();
    assert!(late <= 1, "{late} daemons lack the revision after 1 s");
    net.advance(Duration::from_secs(1));
    assert!(net.known.iter().all(|known| *known == Revision(2)));
    let readers = net.nodes.iter().filter(|node| node.is_reader()).count();
    assert_eq!(readers, 3 * ZONES);
}

#[test]
fn zones_carry_their_own_news() {
    // The configuration changes often. Each zone has readers of its own, so few
    // records need to cross zones.
    let mut net = FakeNet::new();
    for revision in 1..30 {
        net.published = Revision(revision);
        net.advance(Duration::from_secs(1));
    }
    let share =
        net.cross_zone_transfers as f64 / (net.zone_transfers + net.cross_zone_transfers) as f64;
    assert!(
        share < 0.25,
        "{share} of {} transfers cross zones",
        net.zone_transfers + net.cross_zone_transfers
    );
}

#[test]
fn zone_without_readers_hears() {
    // The readers of one zone are cut off before any daemon has noticed it.
    let mut net = FakeNet::new();
    net.published = Revision(1);
    net.advance(Duration::from_secs(3));
    let readers = (0..DAEMONS).step_by(ZONES);
    let readers: Vec<usize> = readers.filter(|at| net.nodes[*at].is_reader()).collect();
    for reader in &readers {
        net.isolated[*reader] = true;
    }
    net.published = Revision(2);
    net.advance(Duration::from_secs(1));
    let connected = |daemon: &usize| !readers.contains(daemon);
    let late = (0..DAEMONS)
        .filter(connected)
        .filter(|at| net.known[*at] < Revision(2));
    assert_eq!(late.count(), 0);
}

// Guards against changes that come late where all readers have lost the platform
// and other daemons have not.
#[test]
fn lost_readers_are_replaced() {
    for offset in 0..20 {
        let mut net = FakeNet::new();
        net.published = Revision(1);
        net.advance(Duration::from_millis(3_000 + offset * 40));
        let spared = [1, 11, 21].map(|at| (at..DAEMONS).find(|at| !net.nodes[*at].is_reader()));
        net.unreachable = (0..DAEMONS).map(|at| !spared.contains(&Some(at))).collect();
        net.published = Revision(2);
        net.advance(CHANGE_BOUND);
        let late = net.known.iter().filter(|known| **known < Revision(2));
        assert_eq!(late.count(), 0, "offset {offset}");
    }
}

#[test]
fn calm_fleet_reads_little() {
    let mut net = FakeNet::new();
    net.published = Revision(1);
    net.loss_percent = 1;
    net.advance(Duration::from_secs(3));
    let before = net.fallbacks;
    net.advance(Duration::from_secs(60));
    let fallbacks = net.fallbacks - before;
    let watches = 3 * ZONES as u64 * 60_000 / WATCH_MS;
    assert!(
        fallbacks * 10 < watches,
        "{fallbacks} fallback reads beside {watches} watches"
    );
}

#[test]
fn isolation_is_detected() {
    let mut net = FakeNet::new();
    net.published = Revision(1);
    net.advance(Duration::from_secs(3));
    net.isolated[5] = true;
    net.advance(Duration::from_secs(10));
    let now = net.now;
    assert_eq!(net.nodes[5].freshness(now, false), Freshness::Isolated);
    assert_eq!(net.nodes[6].freshness(now, true), Freshness::Fresh);
    // The platform is down for all daemons, but the cell is heard.
    net.isolated[5] = false;
    net.platform_up = false;
    net.advance(Duration::from_secs(10));
    let now = net.now;
    assert_eq!(net.nodes[6].freshness(now, true), Freshness::PlatformDown);
}

#[test]
fn outage_reads_are_limited() {
    let mut net = FakeNet::new();
    net.published = Revision(1);
    net.advance(Duration::from_secs(3));
    net.platform_up = false;
    net.advance(Duration::from_secs(10));
    let before = net.fallbacks;
    net.advance(Duration::from_secs(60));
    let fallbacks = net.fallbacks - before;
    assert!(
        fallbacks > 0,
        "no daemon except the readers read the platform"
    );
    // Each daemon reads once a minute on average, with a jitter of half.
    assert!(
        fallbacks <= 2 * DAEMONS as u64,
        "{fallbacks} fallback reads in a minute"
    );
}

#[test]
fn unknown_age_is_not_fresh() {
    let mut net = FakeNet::new();
    let known = KnownRevisions {
        age_ms: u64::MAX,
        ..KnownRevisions::default()
    };
    let from = vm(1);
    net.step(
        0,
        GossipEvent::Message {
            from,
            known,
            wants_reply: false,
        },
    );
    net.now = net.now + Duration::from_secs(10);
    assert_eq!(net.nodes[0].freshness(net.now, false), Freshness::Isolated);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 40,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_266),
        ..ProptestConfig::default()
    })]

    #[test]
    fn converges_after_faults(
        steps in proptest::collection::vec((0..5_u8, 0..DAEMONS, 0..90_u64, 1..2_000_u64), 1..25)
    ) {
        let mut net = FakeNet::new();
        net.published = Revision(1);
        net.advance(Duration::from_secs(2));
        for (kind, daemon, percent, millis) in steps {
            match kind {
                0 => net.published = Revision(net.published.get() + 1),
                1 => net.isolated[daemon] = !net.isolated[daemon],
                2 => net.loss_percent = percent,
                3 => net.platform_up = !net.platform_up,
                _ => {}
            }
            net.advance(Duration::from_millis(millis));
        }
        net.isolated.fill(false);
        net.loss_percent = 0;
        net.platform_up = true;
        net.advance(Duration::from_secs(12));
        let published = net.published;
        prop_assert!(net.known.iter().all(|known| *known == published), "{:?}", net.known);
    }
}

#[test]
fn failed_pulls_read_platform() {
    // Peers have a newer revision, but no pull from them succeeds, so the
    // daemon reads the platform.
    let mut node = GossipNode::new(vm(1), "zone-1".parse().unwrap(), MonoTime::ZERO, 1);
    let peer = |daemon: usize| GossipPeer {
        vm: vm(daemon),
        zone: "zone-1".parse().unwrap(),
    };
    let peers = (0..DAEMONS).map(peer).collect();
    node.handle(MonoTime::ZERO, GossipEvent::Peers(peers));
    let newer = KnownRevisions {
        config: Revision(7),
        vms: Revision(0),
        age_ms: 10,
    };
    let mut read_at = None;
    for millis in (20..1_500).step_by(20) {
        let now = MonoTime::from_millis(millis);
        let event = match millis % 100 {
            0 => GossipEvent::Message {
                from: vm(millis as usize / 100 % DAEMONS),
                known: newer,
                wants_reply: false,
            },
            _ => GossipEvent::Tick,
        };
        let actions = node.handle(now, event);
        if read_at.is_none() && actions.contains(&GossipAction::ReadPlatform) {
            read_at = Some(millis);
        }
    }
    assert!(read_at.is_some_and(|millis| millis < 1_000), "{read_at:?}");
}
