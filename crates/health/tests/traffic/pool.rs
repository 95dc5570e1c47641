//! A pool under traffic with a detector in the loop.

#![allow(dead_code, reason = "tests and the experiment each use a part")]

use std::time::Duration;

use health::{Action, DetectorOptions, Event, MemberSpec, PoolDetector, Reason};
use ids::{MonoTime, ServerId, Slots};

use super::traffic::{Agenda, Due, Fault, Outcome, Traffic, server_id};

/// Time between ticks of the detector.
const TICK: Duration = Duration::from_millis(100);

/// A pool whose weights follow its detector.
pub struct PoolBench {
    pub detector: PoolDetector,
    pub traffic: Traffic,
    pub names: Vec<ServerId>,
    agenda: Agenda,
    next_tick: MonoTime,
    /// Ejections so far: when, which, why.
    pub ejections: Vec<(MonoTime, usize, Reason)>,
    /// Returns to full weight so far.
    pub returns: Vec<(MonoTime, usize)>,
    weights: Vec<f64>,
    canary: Vec<bool>,
    /// Requests and those that met trouble.
    pub requests: u64,
    pub troubled: u64,
}

impl PoolBench {
    /// A pool of `servers` with `slots` each under `rate` requests per second
    /// a server.
    pub fn new(options: DetectorOptions, seed: u64, servers: usize, slots: u32, rate: f64) -> Self {
        let names: Vec<ServerId> = (0..servers).map(server_id).collect();
        let spec = |server: &ServerId| MemberSpec {
            server: server.clone(),
            slots: Slots(slots),
            usable: true,
        };
        let specs = names.iter().map(spec).collect();
        let mut detector = PoolDetector::new(options);
        detector.handle(MonoTime::ZERO, Event::Members(specs));
        Self {
            detector,
            traffic: Traffic::new(seed, servers, rate),
            names,
            agenda: Agenda::default(),
            next_tick: MonoTime::ZERO,
            ejections: Vec::new(),
            returns: Vec::new(),
            weights: vec![1.0; servers],
            canary: vec![false; servers],
            requests: 0,
            troubled: 0,
        }
    }

    /// Runs for a time of the pool's own.
    pub fn run(&mut self, span: Duration) {
        let end = self.traffic.now() + span;
        while self.traffic.now() < end {
            self.step();
        }
    }

    /// Runs until a server is ejected or the time is over; gives the delay.
    pub fn run_until_ejected(&mut self, server: usize, span: Duration) -> Option<Duration> {
        let start = self.traffic.now();
        let before = self.ejections.len();
        while self.traffic.now().since(start) < span {
            self.step();
            let new = &self.ejections[before..];
            if let Some((time, ..)) = new.iter().find(|(_, which, _)| *which == server) {
                return Some(time.since(start));
            }
        }
        None
    }

    /// Sends the next request and handles what is due before it.
    pub fn step(&mut self) {
        let request = self.traffic.next_request();
        let now = request.sent;
        while self.next_tick <= now {
            let tick = self.next_tick;
            self.handle_due(tick);
            self.take(tick, Event::Tick);
            self.next_tick = tick + TICK;
        }
        self.handle_due(now);
        self.requests += 1;
        let fine =
            matches!(request.outcome, Outcome::Answered(time) if time < Duration::from_millis(200));
        self.troubled += u64::from(!fine);
        self.agenda
            .push_request(request, self.detector.slow_limit());
        self.send_canaries(now);
    }

    /// Sets what is wrong with a server.
    pub fn set_fault(&mut self, server: usize, fault: Fault) {
        self.traffic.set_fault(server, fault);
    }

    /// Current weight of a server.
    pub fn weight(&self, server: usize) -> f64 {
        self.weights[server]
    }

    /// Handles what is due up to `now`.
    fn handle_due(&mut self, now: MonoTime) {
        while let Some((time, due)) = self.agenda.pop(now) {
            if let Due::Canary(server, _) = due {
                self.canary[server] = false;
            }
            let event = due.event(&self.names);
            self.take(time, event);
        }
    }

    /// Sends one canary to each server on probation that has none.
    fn send_canaries(&mut self, now: MonoTime) {
        for dump in 0..self.names.len() {
            if self.weights[dump] > 0.0 || self.canary[dump] || !self.on_probation(dump) {
                continue;
            }
            let request = self.traffic.canary(dump);
            let limit = self.detector.slow_limit().unwrap_or(Duration::from_secs(1));
            let time = request.ended.since(request.sent);
            let good = matches!(request.outcome, Outcome::Answered(_)) && time <= limit * 3;
            self.canary[dump] = true;
            self.agenda.push(now + time, Due::Canary(dump, good));
        }
    }

    /// Whether a server is on probation.
    fn on_probation(&self, server: usize) -> bool {
        let dump = self.detector.dump();
        matches!(
            dump[self.place(server)].rotation,
            health::Rotation::Probation { .. }
        )
    }

    /// Place of a server in the detector's order of names.
    fn place(&self, server: usize) -> usize {
        let dump = self.detector.dump();
        dump.iter()
            .position(|member| member.server == self.names[server])
            .unwrap()
    }

    /// Passes an event on and follows the decisions.
    pub fn take(&mut self, now: MonoTime, event: Event) {
        for action in self.detector.handle(now, event) {
            let Action::SetWeight {
                server,
                weight,
                reason,
                ..
            } = action
            else {
                continue;
            };
            let place = self.names.iter().position(|name| *name == server).unwrap();
            if weight == 0.0 && self.weights[place] > 0.0 {
                self.ejections.push((now, place, reason));
            }
            if weight == 1.0 && self.weights[place] < 1.0 {
                self.returns.push((now, place));
            }
            self.weights[place] = weight;
            self.traffic.set_weight(place, weight);
        }
    }
}
