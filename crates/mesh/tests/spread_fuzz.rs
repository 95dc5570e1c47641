//! Dissemination over a network that loses: revisions never fall, and all
//! agree soon after the faults end.

use std::{collections::BTreeMap, time::Duration};

use ids::{MonoTime, Revision, VmId};
use mesh::{
    Freshness, GossipAction, GossipEvent, GossipNode, GossipPeer, KnownRevisions, PeerMessage,
};
use proptest::{prelude::*, test_runner::RngSeed};

const DAEMONS: usize = 24;
const ZONES: usize = 3;
const TICK: Duration = Duration::from_millis(20);

fn vm(daemon: usize) -> VmId {
    format!("vm-{daemon}").parse().unwrap()
}

fn index(vm: &VmId) -> usize {
    vm.as_str()[3..].parse().unwrap()
}

/// A fleet of dissemination machines on a fake network.
struct Net {
    now: MonoTime,
    nodes: Vec<GossipNode>,
    known: Vec<Revision>,
    published: Revision,
    platform_up: bool,
    /// Percent of messages that are lost.
    lose: u64,
    /// Daemons that hear nobody and are heard by nobody.
    cut: Vec<bool>,
    dice: u64,
    queue: BTreeMap<(MonoTime, u64), (usize, usize, PeerMessage)>,
    sent: u64,
    fallbacks: u64,
    /// Pushes and pulls inside zones, and between them.
    own: u64,
    far: u64,
}

impl Net {
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
            lose: 0,
            cut: vec![false; DAEMONS],
            dice: 1,
            queue: BTreeMap::new(),
            sent: 0,
            fallbacks: 0,
            own: 0,
            far: 0,
        }
    }

    fn roll(&mut self) -> u64 {
        self.dice = self
            .dice
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.dice >> 33) % 100
    }

    /// Puts a revision in force at a daemon.
    fn adopt(&mut self, daemon: usize, revision: Revision) {
        let before = self.known[daemon];
        assert!(revision >= before, "the revision fell at {daemon}");
        self.known[daemon] = revision;
        let event = GossipEvent::Adopted {
            config: revision,
            vms: Revision(1),
            delta: None,
        };
        self.step(daemon, event);
    }

    fn read_platform(&mut self, daemon: usize) {
        if self.platform_up && !self.cut[daemon] {
            self.adopt(daemon, self.published);
            self.step(daemon, GossipEvent::PlatformRead);
        }
    }

    /// Counts what carries records between two daemons.
    fn count(&mut self, action: &GossipAction, daemon: usize) {
        let peer = match action {
            GossipAction::Send(to, PeerMessage::Push { .. }) => to,
            GossipAction::Pull(from) => from,
            _ => return,
        };
        match index(peer) % ZONES == daemon % ZONES {
            true => self.own += 1,
            false => self.far += 1,
        }
    }

    fn step(&mut self, daemon: usize, event: GossipEvent) {
        for action in self.nodes[daemon].handle(self.now, event) {
            self.count(&action, daemon);
            match action {
                GossipAction::Send(to, message) => {
                    let to = index(&to);
                    let lost = self.roll() < self.lose || self.cut[daemon] || self.cut[to];
                    if !lost {
                        self.sent += 1;
                        let at = self.now + Duration::from_millis(1);
                        self.queue.insert((at, self.sent), (daemon, to, message));
                    }
                }
                GossipAction::Pull(from) => {
                    let from = index(&from);
                    if !self.cut[from] && !self.cut[daemon] {
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

    fn pass(&mut self, span: Duration) {
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
                    _ => unreachable!("dissemination sends no other message"),
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
                // A reader's watch answers at once when there is news, and
                // shows each second that there is none.
                let news = self.published > self.known[daemon];
                let second = self.now.as_nanos() % 1_000_000_000 < TICK.as_nanos() as u64;
                if self.nodes[daemon].is_reader() && (news || second) {
                    self.read_platform(daemon);
                }
            }
        }
    }
}

#[test]
fn all_know_within_seconds() {
    let mut net = Net::new();
    net.published = Revision(1);
    net.pass(Duration::from_secs(3));
    net.published = Revision(2);
    net.pass(Duration::from_secs(1));
    let late = net
        .known
        .iter()
        .filter(|known| **known < Revision(2))
        .count();
    assert!(late <= 1, "{late} do not know after a second");
    net.pass(Duration::from_secs(1));
    assert!(net.known.iter().all(|known| *known == Revision(2)));
    let readers = net.nodes.iter().filter(|node| node.is_reader()).count();
    assert_eq!(readers, 3 * ZONES);
}

#[test]
fn zones_carry_their_own_news() {
    // Pattern: a day of many changes. Each zone has readers of its own, so
    // hardly any record needs to cross between zones.
    let mut net = Net::new();
    for revision in 1..30 {
        net.published = Revision(revision);
        net.pass(Duration::from_secs(1));
    }
    let share = net.far as f64 / (net.own + net.far) as f64;
    assert!(
        share < 0.25,
        "{share} of {} between zones",
        net.own + net.far
    );
}

#[test]
fn zone_without_readers_hears() {
    // The readers of one zone are cut off, and nobody knows it yet.
    let mut net = Net::new();
    net.published = Revision(1);
    net.pass(Duration::from_secs(3));
    let readers = (0..DAEMONS).step_by(ZONES);
    let readers: Vec<usize> = readers.filter(|at| net.nodes[*at].is_reader()).collect();
    for reader in &readers {
        net.cut[*reader] = true;
    }
    net.published = Revision(2);
    net.pass(Duration::from_secs(1));
    let hears = |daemon: &usize| !readers.contains(daemon);
    let late = (0..DAEMONS)
        .filter(hears)
        .filter(|at| net.known[*at] < Revision(2));
    assert_eq!(late.count(), 0);
}

#[test]
fn isolated_knows_it() {
    let mut net = Net::new();
    net.published = Revision(1);
    net.pass(Duration::from_secs(3));
    net.cut[5] = true;
    net.pass(Duration::from_secs(10));
    let now = net.now;
    assert_eq!(net.nodes[5].freshness(now, false), Freshness::Isolated);
    assert_eq!(net.nodes[6].freshness(now, true), Freshness::Fresh);
    // The platform is down for everybody, the cell can be heard.
    net.cut[5] = false;
    net.platform_up = false;
    net.pass(Duration::from_secs(10));
    let now = net.now;
    assert_eq!(net.nodes[6].freshness(now, true), Freshness::PlatformDown);
}

#[test]
fn outage_does_not_storm() {
    let mut net = Net::new();
    net.published = Revision(1);
    net.pass(Duration::from_secs(3));
    net.platform_up = false;
    net.pass(Duration::from_secs(10));
    let before = net.fallbacks;
    net.pass(Duration::from_secs(60));
    let fallbacks = net.fallbacks - before;
    assert!(fallbacks > 0, "somebody beside the readers tries");
    // One a minute each in the mean, jittered by half.
    assert!(
        fallbacks <= 2 * DAEMONS as u64,
        "{fallbacks} reads beside the watches"
    );
}

#[test]
fn unknown_age_is_not_fresh() {
    let mut net = Net::new();
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
        let mut net = Net::new();
        net.published = Revision(1);
        net.pass(Duration::from_secs(2));
        for (kind, daemon, percent, millis) in steps {
            match kind {
                0 => net.published = Revision(net.published.get() + 1),
                1 => net.cut[daemon] = !net.cut[daemon],
                2 => net.lose = percent,
                3 => net.platform_up = !net.platform_up,
                _ => {}
            }
            net.pass(Duration::from_millis(millis));
        }
        net.cut.fill(false);
        net.lose = 0;
        net.platform_up = true;
        net.pass(Duration::from_secs(12));
        let published = net.published;
        prop_assert!(net.known.iter().all(|known| *known == published), "{:?}", net.known);
    }
}

#[test]
fn failing_pulls_are_given_up() {
    // Peers know more, but no pull from them succeeds: the platform is asked.
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
    let mut asked = None;
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
        if asked.is_none() && actions.contains(&GossipAction::ReadPlatform) {
            asked = Some(millis);
        }
    }
    assert!(asked.is_some_and(|millis| millis < 1_000), "{asked:?}");
}
