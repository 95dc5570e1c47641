//! The detector of one pool.

use std::{collections::BTreeMap, time::Duration};

use ids::{MonoTime, Percent, ServerId};

use crate::{
    baseline::{mean_of_lower_half, median},
    event::{Action, Event, MemberSpec, Observation, OutcomeCounts, Reason},
    member::{Member, Rotation},
    score::{SampleKind, Signal},
};

/// Multiple of the slow limit after which a request counts as stuck.
pub const STUCK_FACTOR: u32 = 4;
/// Margin of the slow limit over the pool's 95th percentile.
const LIMIT_MARGIN: f64 = 1.1;
/// Share of the threshold from which a server is suspect, as a divisor.
const SUSPECT_SHARE: f64 = 3.0;
/// Margin over the share of bad samples that the pool has had for long.
const USUAL_MARGIN: f64 = 1.2;
/// Shortest slow limit; below it the network's own jitter is seen.
const MIN_LIMIT: Duration = Duration::from_millis(5);
/// Service times after which the limit is worked out again.
const LIMIT_EVERY: u64 = 8;
/// Change of the slow limit that is worth telling.
const LIMIT_CHANGE: f64 = 0.1;

/// Options of a detector.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DetectorOptions {
    /// Mean time between false ejections of one healthy server.
    pub false_ejection_interval: Duration,
    /// Share of the pool's slots that stays in rotation.
    pub floor: Percent,
}

impl Default for DetectorOptions {
    fn default() -> Self {
        Self {
            false_ejection_interval: Self::BALANCED,
            floor: Percent(60),
        }
    }
}

impl DetectorOptions {
    /// Few false ejections: one in three months.
    pub const CERTAIN: Duration = Duration::from_secs(90 * 86_400);
    /// A middle way: one in a week.
    pub const BALANCED: Duration = Duration::from_secs(7 * 86_400);
    /// Fast detection: one in six hours.
    pub const FAST: Duration = Duration::from_secs(6 * 3_600);
}

/// State of a server, for the dump.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberDump {
    /// The backend server.
    pub server: ServerId,
    /// Whether and how it takes traffic.
    pub rotation: Rotation,
    /// Why.
    pub reason: Reason,
    /// Scores by signal, in nats.
    pub scores: Vec<(Signal, f64)>,
    /// Threshold that a score has to pass, in nats.
    pub threshold: f64,
}

/// Detector of one pool as seen from one daemon.
#[derive(Clone, Debug)]
pub struct PoolDetector {
    options: DetectorOptions,
    members: BTreeMap<ServerId, Member>,
    limit: Option<Duration>,
    /// Service times taken so far.
    timed: u64,
}

impl PoolDetector {
    /// A detector without members.
    pub fn new(options: DetectorOptions) -> Self {
        Self {
            options,
            members: BTreeMap::new(),
            limit: None,
            timed: 0,
        }
    }

    /// Changes the options; evidence stays.
    pub fn set_options(&mut self, options: DetectorOptions) {
        self.options = options;
    }

    /// Takes an event at `now` and returns what has changed.
    pub fn handle(&mut self, now: MonoTime, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Members(specs) => self.set_members(now, specs),
            Event::Observed(server, observation) => self.observe(now, &server, observation),
            Event::Reported(server, counts) => self.report(now, &server, counts),
            Event::ServiceTime(server, time) => self.note_time(&server, time, &mut actions),
            Event::Canary(server, good) => {
                if let Some(member) = self.members.get_mut(&server) {
                    member.note_canary(now, good);
                }
            }
            Event::Tick => self
                .members
                .values_mut()
                .for_each(|member| member.tick(now)),
            Event::Resumed => self.members.values_mut().for_each(Member::reset_scores),
        }
        self.keep_floor(now);
        self.tell(now, &mut actions);
        actions
    }

    /// Time after which an unanswered request counts as slow.
    pub fn slow_limit(&self) -> Option<Duration> {
        self.limit
    }

    /// Slots in rotation, dead and leaving VMs deducted.
    pub fn capacity(&self) -> u32 {
        self.members.values().map(Member::capacity).sum()
    }

    /// Slots that ejections must leave in rotation.
    ///
    /// The floor is a share of what is configured; where dead VMs have taken
    /// the pool below it already, no ejection is allowed.
    pub fn floor(&self) -> u32 {
        let total: u32 = self.members.values().map(|member| member.slots.get()).sum();
        (f64::from(total) * self.options.floor.fraction()).ceil() as u32
    }

    /// State of all servers.
    pub fn dump(&self) -> Vec<MemberDump> {
        let dump = |(server, member): (&ServerId, &Member)| MemberDump {
            server: server.clone(),
            rotation: member.rotation,
            reason: member.reason,
            scores: Signal::ALL
                .map(|signal| (signal, member.score(signal)))
                .to_vec(),
            threshold: self.threshold(member.rate()),
        };
        self.members.iter().map(dump).collect()
    }

    /// Threshold in nats at a sample rate.
    ///
    /// A CUSUM of log-likelihood ratios passes `h` by chance after `e^h`
    /// samples in the mean or later; there is one for each signal.
    fn threshold(&self, rate: f64) -> f64 {
        let samples = self.options.false_ejection_interval.as_secs_f64() * rate.max(0.1);
        (samples * Signal::ALL.len() as f64).ln().max(1.0)
    }

    /// Follows configuration and VM list.
    fn set_members(&mut self, now: MonoTime, specs: Vec<MemberSpec>) {
        let known = !self.members.is_empty();
        let mut before = std::mem::take(&mut self.members);
        for spec in specs {
            let member = match before.remove(&spec.server) {
                Some(mut member) => {
                    if spec.usable && !member.usable && member.in_rotation() {
                        member.ramp(now);
                    }
                    member.slots = spec.slots;
                    member.usable = spec.usable;
                    member
                }
                None => {
                    let mut member = Member::new(spec.slots, spec.usable);
                    // One that joins a known pool starts cold; a daemon that
                    // has just started knows nobody and ramps nobody.
                    if known {
                        member.ramp(now);
                    }
                    member
                }
            };
            self.members.insert(spec.server, member);
        }
    }

    /// Takes what this daemon saw.
    fn observe(&mut self, now: MonoTime, server: &ServerId, observation: Observation) {
        let limit = self.limit;
        if let Some(member) = self.members.get_mut(server) {
            member.note_rate(now, 1);
        }
        match observation {
            Observation::Answered(time) => {
                let slow = limit.is_some_and(|limit| time > limit);
                let stuck = limit.is_some_and(|limit| time > limit * STUCK_FACTOR);
                self.note(
                    now,
                    server,
                    SampleKind::Hang,
                    u64::from(!stuck),
                    u64::from(stuck),
                );
                self.note(now, server, SampleKind::Failure, 1, 0);
                self.note(now, server, SampleKind::Truncation, 1, 0);
                self.note(now, server, SampleKind::Path, 1, 0);
                self.note(
                    now,
                    server,
                    SampleKind::Slowness,
                    u64::from(!slow),
                    u64::from(slow),
                );
            }
            Observation::Failed => {
                self.note(now, server, SampleKind::Slowness, 1, 0);
                self.note(now, server, SampleKind::Failure, 0, 1);
            }
            Observation::Stuck => self.note(now, server, SampleKind::Hang, 0, 1),
            Observation::Truncated => self.note(now, server, SampleKind::Truncation, 0, 1),
            Observation::Overdue => self.note(now, server, SampleKind::Slowness, 0, 1),
            Observation::Unreachable => self.note(now, server, SampleKind::Path, 0, 1),
        }
    }

    /// Takes what an egress counted since its last report.
    fn report(&mut self, now: MonoTime, server: &ServerId, counts: OutcomeCounts) {
        let Some(member) = self.members.get_mut(server) else {
            return;
        };
        member.note_hint(now, counts.unhealthy);
        let Some(new) = member.advance(counts).filter(|new| new.samples > 0) else {
            return;
        };
        member.note_rate(now, new.samples);
        let good = |bad: u64| new.samples.saturating_sub(bad);
        self.note(
            now,
            server,
            SampleKind::Failure,
            good(new.failed),
            new.failed,
        );
        self.note(now, server, SampleKind::Slowness, good(new.slow), new.slow);
        self.note(now, server, SampleKind::Hang, good(new.stuck), new.stuck);
    }

    /// Moves the scores of a server, and ejects it if one passes.
    fn note(&mut self, now: MonoTime, server: &ServerId, kind: SampleKind, good: u64, bad: u64) {
        let pool_share = match bad {
            0 => 0.0,
            _ => self.pool_share(server, kind),
        };
        let Some(member) = self.members.get(server) else {
            return;
        };
        let full = self.threshold(member.rate());
        let threshold = full - member.hint_nats(now, full);
        let Some(member) = self.members.get_mut(server) else {
            return;
        };
        member.note(now, kind, (good, bad), pool_share, threshold);
        let (signal, score) = member.worst();
        match member.reason {
            Reason::HeldByFloor(_) if score < threshold => member.reason = Reason::Healthy,
            _ => {}
        }
        let convicted = bad > 0 && score >= threshold && member.in_rotation();
        if convicted && !self.is_shared(server, signal, threshold) {
            self.try_eject(now, server, signal);
        }
    }

    /// Share of bad samples that is no sign of a fault of this server: what
    /// the others have just now, or what the pool has had for long.
    ///
    /// The better half of the others and the median of the usual, so that less
    /// than half of the servers bad explain nothing.
    fn pool_share(&self, server: &ServerId, kind: SampleKind) -> f64 {
        let usable = || self.members.iter().filter(|(_, member)| member.usable);
        let others = usable().filter(|(id, _)| *id != server);
        let mut recent: Vec<f64> = others.map(|(_, member)| member.share(kind)).collect();
        let mut usual: Vec<f64> = usable().map(|(_, member)| member.usual(kind)).collect();
        // Alone there is nothing to compare with, so nothing is held against it.
        let recent = mean_of_lower_half(&mut recent).unwrap_or(1.0);
        let usual = median(&mut usual).unwrap_or(0.0);
        recent.max(usual * USUAL_MARGIN)
    }

    /// Whether half of the other servers are on their way to the same verdict.
    ///
    /// The recent shares lag a little when the whole pool fails at once, or
    /// when this daemon is the one at fault; the first server to pass the
    /// threshold would be ejected for it.
    fn is_shared(&self, server: &ServerId, signal: Signal, threshold: f64) -> bool {
        let others = self
            .members
            .iter()
            .filter(|(id, member)| *id != server && member.usable);
        let scores: Vec<f64> = others.map(|(_, member)| member.score(signal)).collect();
        let suspect = scores
            .iter()
            .filter(|score| **score >= threshold / SUSPECT_SHARE);
        2 * suspect.count() >= scores.len()
    }

    /// Ejects a server if the floor allows, else in place of a less bad one.
    fn try_eject(&mut self, now: MonoTime, server: &ServerId, signal: Signal) {
        let Some(member) = self.members.get(server) else {
            return;
        };
        let own = member.capacity();
        let badness = member.badness();
        let mut left = self.capacity() - own;
        let floor = self.floor();
        let swap = self.less_bad(badness).filter(|_| left < floor);
        if let Some(other) = &swap {
            left += self.members[other].slots.get();
        }
        let allowed = left >= floor && left > 0;
        match swap {
            Some(other) if allowed => {
                if let Some(member) = self.members.get_mut(&other) {
                    member.return_by_floor(now);
                }
            }
            _ => {}
        }
        let Some(member) = self.members.get_mut(server) else {
            return;
        };
        match allowed {
            true => member.eject(now, signal),
            false => member.reason = Reason::HeldByFloor(signal),
        }
    }

    /// The least bad ejected server, if it is better than `badness` by a
    /// margin; without one two equally bad servers would take turns.
    fn less_bad(&self, badness: f64) -> Option<ServerId> {
        const MARGIN: f64 = 0.6;
        let (server, member) = self.least_bad()?;
        (member.badness() < badness * MARGIN).then(|| server.clone())
    }

    /// The least bad ejected server whose VM is live.
    fn least_bad(&self) -> Option<(&ServerId, &Member)> {
        let ejected = self
            .members
            .iter()
            .filter(|(_, m)| !m.in_rotation() && m.usable);
        ejected.min_by(|a, b| a.1.badness().total_cmp(&b.1.badness()))
    }

    /// Returns servers while ejections hold the pool below its floor.
    fn keep_floor(&mut self, now: MonoTime) {
        let floor = self.floor();
        while self.capacity() < floor {
            let Some(server) = self.least_bad().map(|(server, _)| server.clone()) else {
                return;
            };
            if let Some(member) = self.members.get_mut(&server) {
                member.return_by_floor(now);
            }
        }
    }

    /// Moves the baseline of service times.
    fn note_time(&mut self, server: &ServerId, time: Duration, actions: &mut Vec<Action>) {
        if let Some(member) = self.members.get_mut(server) {
            member.times.note(time);
        }
        self.timed += 1;
        if !self.timed.is_multiple_of(LIMIT_EVERY) {
            return;
        }
        let mut times: Vec<f64> = self
            .members
            .values()
            .filter_map(|m| m.times.get())
            .collect();
        let Some(nanos) = median(&mut times) else {
            return;
        };
        let limit = Duration::from_nanos((nanos * LIMIT_MARGIN) as u64).max(MIN_LIMIT);
        let change = self
            .limit
            .map_or(1.0, |old| (limit.as_secs_f64() / old.as_secs_f64()).ln());
        if change.abs() >= LIMIT_CHANGE {
            self.limit = Some(limit);
            actions.push(Action::SetSlowLimit(limit));
        }
    }

    /// Tells weights that have changed.
    fn tell(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        for (server, member) in &mut self.members {
            let weight = (member.weight(now) * 100.0).round() / 100.0;
            let canary = matches!(member.rotation, Rotation::Probation { .. });
            let told = (weight, canary, member.reason);
            if member.told != Some(told) {
                member.told = Some(told);
                actions.push(Action::SetWeight {
                    server: server.clone(),
                    weight,
                    canary,
                    reason: member.reason,
                });
            }
        }
    }
}
