//! The detector of one pool: scores, ejections, the floor and the slow limit.

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
/// Ratio of the slow limit to the pool's 95th percentile of the service time.
const LIMIT_MARGIN: f64 = 1.1;
/// A server is suspect if its score reaches the threshold divided by this.
const SUSPECT_DIVISOR: f64 = 3.0;
/// Shares up to this multiple of the pool's long-term share are usual.
const LONG_TERM_MARGIN: f64 = 1.2;
/// Shortest slow limit. A shorter one would measure the jitter of the network.
const MIN_SLOW_LIMIT: Duration = Duration::from_millis(5);
/// Number of service times after which the slow limit is computed again.
const SAMPLES_PER_LIMIT_UPDATE: u64 = 8;
/// Smallest relative change of the slow limit that is applied, as a logarithm.
const MIN_LIMIT_CHANGE: f64 = 0.1;

/// Options of a detector.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DetectorOptions {
    /// Mean time between false ejections of one healthy server.
    pub false_ejection_interval: Duration,
    /// Share of the pool's slots that ejections leave in rotation.
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
    /// Few false ejections: one per server in three months.
    pub const CERTAIN: Duration = Duration::from_secs(90 * 86_400);
    /// A compromise: one false ejection per server in a week.
    pub const BALANCED: Duration = Duration::from_secs(7 * 86_400);
    /// Fast detection: one false ejection per server in six hours.
    pub const FAST: Duration = Duration::from_secs(6 * 3_600);
}

/// State of a server, for the state dump.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberDump {
    /// The backend server.
    pub server: ServerId,
    /// Whether and how it receives traffic.
    pub rotation: Rotation,
    /// Why it is in this state.
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
    slow_limit: Option<Duration>,
    /// Number of service times recorded so far.
    service_time_count: u64,
}

impl PoolDetector {
    /// Creates a detector without members.
    pub fn new(options: DetectorOptions) -> Self {
        Self {
            options,
            members: BTreeMap::new(),
            slow_limit: None,
            service_time_count: 0,
        }
    }

    /// Changes the options and keeps the evidence.
    pub fn set_options(&mut self, options: DetectorOptions) {
        self.options = options;
    }

    /// Handles an event at `now` and returns the resulting decisions.
    pub fn handle(&mut self, now: MonoTime, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Members(specs) => self.set_members(now, specs),
            Event::Observed(server, observation) => self.observe(now, &server, observation),
            Event::Reported(server, counts) => self.apply_report(now, &server, counts),
            Event::ServiceTime(server, time) => {
                self.record_service_time(&server, time, &mut actions)
            }
            Event::Canary(server, good) => {
                if let Some(member) = self.members.get_mut(&server) {
                    member.record_canary(now, good);
                }
            }
            Event::Tick => self
                .members
                .values_mut()
                .for_each(|member| member.tick(now)),
            Event::Resumed => self.members.values_mut().for_each(Member::reset_scores),
        }
        self.enforce_floor(now);
        self.emit_weights(now, &mut actions);
        actions
    }

    /// Returns the slow limit: the time after which an unanswered request
    /// counts as slow. It is `None` until there are enough service times.
    pub fn slow_limit(&self) -> Option<Duration> {
        self.slow_limit
    }

    /// Returns the number of slots in rotation, without those of dead and
    /// leaving VMs.
    pub fn capacity(&self) -> u32 {
        self.members.values().map(Member::capacity).sum()
    }

    /// Returns the number of slots that ejections must leave in rotation.
    ///
    /// The floor is a share of all configured slots. If dead VMs have already
    /// taken the pool below it, no ejection is allowed.
    pub fn floor(&self) -> u32 {
        let total: u32 = self.members.values().map(|member| member.slots.get()).sum();
        (f64::from(total) * self.options.floor.fraction()).ceil() as u32
    }

    /// Returns the state of all servers.
    pub fn dump(&self) -> Vec<MemberDump> {
        let dump = |(server, member): (&ServerId, &Member)| MemberDump {
            server: server.clone(),
            rotation: member.rotation,
            reason: member.reason,
            scores: Signal::ALL
                .map(|signal| (signal, member.score(signal)))
                .to_vec(),
            threshold: self.threshold(member.weighted_rate()),
        };
        self.members.iter().map(dump).collect()
    }

    /// Returns the threshold in nats at a rate of samples per second.
    ///
    /// By chance, a CUSUM of log-likelihood ratios passes `h` after `e^h`
    /// samples or more on average. Each signal has a CUSUM of its own.
    fn threshold(&self, rate: f64) -> f64 {
        let samples = self.options.false_ejection_interval.as_secs_f64() * rate.max(0.1);
        (samples * Signal::ALL.len() as f64).ln().max(1.0)
    }

    /// Replaces the members after a change of the configuration or VM list.
    fn set_members(&mut self, now: MonoTime, specs: Vec<MemberSpec>) {
        let had_members = !self.members.is_empty();
        let mut previous = std::mem::take(&mut self.members);
        for spec in specs {
            let member = match previous.remove(&spec.server) {
                Some(mut member) => {
                    if spec.usable && !member.usable && member.in_rotation() {
                        member.begin_slow_start(now);
                    }
                    member.slots = spec.slots;
                    member.usable = spec.usable;
                    member
                }
                None => {
                    let mut member = Member::new(spec.slots, spec.usable);
                    // A server that joins a known pool is cold and begins
                    // slowly. A daemon that has just started cannot tell which
                    // servers are new, and gives all of them full weight.
                    if had_members {
                        member.begin_slow_start(now);
                    }
                    member
                }
            };
            self.members.insert(spec.server, member);
        }
    }

    /// Records an observation of this daemon.
    fn observe(&mut self, now: MonoTime, server: &ServerId, observation: Observation) {
        let limit = self.slow_limit;
        if let Some(member) = self.members.get_mut(server) {
            member.update_rate(now, 1);
        }
        match observation {
            Observation::Answered(time) => {
                let slow = limit.is_some_and(|limit| time > limit);
                let stuck = limit.is_some_and(|limit| time > limit * STUCK_FACTOR);
                self.record(
                    now,
                    server,
                    SampleKind::Hang,
                    u64::from(!stuck),
                    u64::from(stuck),
                );
                self.record(now, server, SampleKind::Failure, 1, 0);
                self.record(now, server, SampleKind::Truncation, 1, 0);
                self.record(now, server, SampleKind::Path, 1, 0);
                self.record(
                    now,
                    server,
                    SampleKind::Slowness,
                    u64::from(!slow),
                    u64::from(slow),
                );
            }
            Observation::Failed => {
                self.record(now, server, SampleKind::Slowness, 1, 0);
                self.record(now, server, SampleKind::Failure, 0, 1);
            }
            Observation::Stuck => self.record(now, server, SampleKind::Hang, 0, 1),
            Observation::Truncated => self.record(now, server, SampleKind::Truncation, 0, 1),
            Observation::Overdue => self.record(now, server, SampleKind::Slowness, 0, 1),
            Observation::Unreachable => self.record(now, server, SampleKind::Path, 0, 1),
        }
    }

    /// Records what an egress has counted since its previous report.
    fn apply_report(&mut self, now: MonoTime, server: &ServerId, counts: OutcomeCounts) {
        let Some(member) = self.members.get_mut(server) else {
            return;
        };
        member.record_endpoint_state(now, counts.unhealthy);
        let Some(new) = member.update_counts(counts).filter(|new| new.samples > 0) else {
            return;
        };
        member.update_rate(now, new.samples);
        let good = |bad: u64| new.samples.saturating_sub(bad);
        self.record(
            now,
            server,
            SampleKind::Failure,
            good(new.failed),
            new.failed,
        );
        self.record(now, server, SampleKind::Slowness, good(new.slow), new.slow);
        self.record(now, server, SampleKind::Hang, good(new.stuck), new.stuck);
    }

    /// Updates the scores of a server, and ejects it if one passes the threshold.
    fn record(&mut self, now: MonoTime, server: &ServerId, kind: SampleKind, good: u64, bad: u64) {
        let pool_share = match bad {
            0 => 0.0,
            _ => self.pool_share(server, kind),
        };
        let Some(member) = self.members.get(server) else {
            return;
        };
        let full_threshold = self.threshold(member.weighted_rate());
        let threshold = full_threshold - member.endpoint_nats(now, full_threshold);
        let Some(member) = self.members.get_mut(server) else {
            return;
        };
        member.record(now, kind, (good, bad), pool_share, threshold);
        let (signal, score) = member.highest_score();
        match member.reason {
            Reason::HeldByFloor(_) if score < threshold => member.reason = Reason::Healthy,
            _ => {}
        }
        let over_threshold = bad > 0 && score >= threshold && member.in_rotation();
        if over_threshold && !self.is_pool_wide(server, signal, threshold) {
            self.try_eject(now, server, signal);
        }
    }

    /// Returns the share of bad samples that is usual in the pool, and thus no
    /// sign of a fault of this server: the larger of the recent share of the
    /// other servers and the long-term share of the pool.
    ///
    /// The recent share is the mean of the better half of the other servers and
    /// the long-term share is a median. So bad servers do not raise the result
    /// while they are less than half of the pool.
    fn pool_share(&self, server: &ServerId, kind: SampleKind) -> f64 {
        let usable = || self.members.iter().filter(|(_, member)| member.usable);
        let others = usable().filter(|(id, _)| *id != server);
        let mut recent: Vec<f64> = others
            .map(|(_, member)| member.recent_share(kind))
            .collect();
        let mut long_term: Vec<f64> = usable()
            .map(|(_, member)| member.long_term_share(kind))
            .collect();
        // A single server cannot be compared with others, so that all of its
        // bad samples count as usual.
        let recent = mean_of_lower_half(&mut recent).unwrap_or(1.0);
        let long_term = median(&mut long_term).unwrap_or(0.0);
        recent.max(long_term * LONG_TERM_MARGIN)
    }

    /// Whether at least half of the other servers are suspect for the same
    /// signal.
    ///
    /// When the whole pool fails at once, or this daemon itself is at fault, the
    /// recent shares rise with a delay. Without this check the first server that
    /// passes the threshold would be ejected.
    fn is_pool_wide(&self, server: &ServerId, signal: Signal, threshold: f64) -> bool {
        let others = self
            .members
            .iter()
            .filter(|(id, member)| *id != server && member.usable);
        let scores: Vec<f64> = others.map(|(_, member)| member.score(signal)).collect();
        let suspect = scores
            .iter()
            .filter(|score| **score >= threshold / SUSPECT_DIVISOR);
        2 * suspect.count() >= scores.len()
    }

    /// Ejects a server if the floor allows it. Otherwise it returns an ejected
    /// server with a less severe fault in exchange, if there is one.
    fn try_eject(&mut self, now: MonoTime, server: &ServerId, signal: Signal) {
        let Some(member) = self.members.get(server) else {
            return;
        };
        let own = member.capacity();
        let severity = member.severity();
        let mut remaining = self.capacity() - own;
        let floor = self.floor();
        let swap = self
            .less_severe_than(severity)
            .filter(|_| remaining < floor);
        if let Some(other) = &swap {
            remaining += self.members[other].slots.get();
        }
        let allowed = remaining >= floor && remaining > 0;
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

    /// Returns the ejected server with the least severe fault, if its severity
    /// is below `severity` by a margin. Without the margin two servers with
    /// equally severe faults would be exchanged again and again.
    fn less_severe_than(&self, severity: f64) -> Option<ServerId> {
        const SEVERITY_RATIO: f64 = 0.6;
        let (server, member) = self.least_severe()?;
        (member.severity() < severity * SEVERITY_RATIO).then(|| server.clone())
    }

    /// Returns the ejected server on a live VM with the least severe fault.
    fn least_severe(&self) -> Option<(&ServerId, &Member)> {
        let ejected = self
            .members
            .iter()
            .filter(|(_, m)| !m.in_rotation() && m.usable);
        ejected.min_by(|a, b| a.1.severity().total_cmp(&b.1.severity()))
    }

    /// Returns ejected servers to rotation while the pool is below its floor.
    fn enforce_floor(&mut self, now: MonoTime) {
        let floor = self.floor();
        while self.capacity() < floor {
            let Some(server) = self.least_severe().map(|(server, _)| server.clone()) else {
                return;
            };
            if let Some(member) = self.members.get_mut(&server) {
                member.return_by_floor(now);
            }
        }
    }

    /// Records a service time and updates the slow limit.
    fn record_service_time(
        &mut self,
        server: &ServerId,
        time: Duration,
        actions: &mut Vec<Action>,
    ) {
        if let Some(member) = self.members.get_mut(server) {
            member.service_times.record(time);
        }
        self.service_time_count += 1;
        if !self
            .service_time_count
            .is_multiple_of(SAMPLES_PER_LIMIT_UPDATE)
        {
            return;
        }
        let mut times: Vec<f64> = self
            .members
            .values()
            .filter_map(|m| m.service_times.get())
            .collect();
        let Some(nanos) = median(&mut times) else {
            return;
        };
        let limit = Duration::from_nanos((nanos * LIMIT_MARGIN) as u64).max(MIN_SLOW_LIMIT);
        let change = self
            .slow_limit
            .map_or(1.0, |old| (limit.as_secs_f64() / old.as_secs_f64()).ln());
        if change.abs() >= MIN_LIMIT_CHANGE {
            self.slow_limit = Some(limit);
            actions.push(Action::SetSlowLimit(limit));
        }
    }

    /// Adds an action for each server whose decision has changed.
    fn emit_weights(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        for (server, member) in &mut self.members {
            let weight = (member.weight(now) * 100.0).round() / 100.0;
            let canary = matches!(member.rotation, Rotation::Probation { .. });
            let decision = (weight, canary, member.reason);
            if member.last_decision != Some(decision) {
                member.last_decision = Some(decision);
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
