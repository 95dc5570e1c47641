//! Simulation of a pool whose detector sets the weights of its servers.

#![allow(dead_code, reason = "tests and the example each use a part")]

use std::time::Duration;

use health::{Action, DetectorOptions, Event, MemberSpec, PoolDetector, Reason};
use ids::{MonoTime, ServerId, Slots};

use super::traffic::{DueEvent, EventQueue, Fault, Outcome, Traffic, server_id};

/// Time between ticks of the detector.
const TICK: Duration = Duration::from_millis(100);

/// A pool under simulated traffic, with a detector that sets the weights.
pub struct PoolSimulation {
    pub detector: PoolDetector,
    pub traffic: Traffic,
    pub names: Vec<ServerId>,
    queue: EventQueue,
    next_tick: MonoTime,
    /// Ejections so far: time, server and reason.
    pub ejections: Vec<(MonoTime, usize, Reason)>,
    /// Returns to full weight so far: time and server.
    pub returns: Vec<(MonoTime, usize)>,
    weights: Vec<f64>,
    canary_in_flight: Vec<bool>,
    /// Number of requests, and of those without a good answer within 200 ms.
    pub requests: u64,
    pub hit_requests: u64,
}

impl PoolSimulation {
    /// Creates a pool of `servers` servers with `slots` slots each, under `rate`
    /// requests per second to each server.
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
            queue: EventQueue::default(),
            next_tick: MonoTime::ZERO,
            ejections: Vec::new(),
            returns: Vec::new(),
            weights: vec![1.0; servers],
            canary_in_flight: vec![false; servers],
            requests: 0,
            hit_requests: 0,
        }
    }

    /// Runs for a span of virtual time.
    pub fn run(&mut self, span: Duration) {
        let end = self.traffic.now() + span;
        while self.traffic.now() < end {
            self.step();
        }
    }

    /// Runs until a server is ejected and returns the delay, or `None` if it is
    /// not ejected within the span.
    pub fn run_until_ejected(&mut self, server: usize, span: Duration) -> Option<Duration> {
        let start = self.traffic.now();
        let old_count = self.ejections.len();
        while self.traffic.now().since(start) < span {
            self.step();
            let new = &self.ejections[old_count..];
            if let Some((time, ..)) = new.iter().find(|(_, which, _)| *which == server) {
                return Some(time.since(start));
            }
        }
        None
    }

    /// Handles the events that are due before the next request, and sends it.
    pub fn step(&mut self) {
        let request = self.traffic.next_request();
        let now = request.sent;
        while self.next_tick <= now {
            let tick = self.next_tick;
            self.handle_due(tick);
            self.handle(tick, Event::Tick);
            self.next_tick = tick + TICK;
        }
        self.handle_due(now);
        self.requests += 1;
        let good =
            matches!(request.outcome, Outcome::Answered(time) if time < Duration::from_millis(200));
        self.hit_requests += u64::from(!good);
        self.queue.push_request(request, self.detector.slow_limit());
        self.send_canaries(now);
    }

    /// Sets the fault of a server.
    pub fn set_fault(&mut self, server: usize, fault: Fault) {
        self.traffic.set_fault(server, fault);
    }

    /// Returns the current weight of a server.
    pub fn weight(&self, server: usize) -> f64 {
        self.weights[server]
    }

    /// Handles the events that are due at `now`.
    fn handle_due(&mut self, now: MonoTime) {
        while let Some((time, due)) = self.queue.pop(now) {
            if let DueEvent::Canary(server, _) = due {
                self.canary_in_flight[server] = false;
            }
            let event = due.to_event(&self.names);
            self.handle(time, event);
        }
    }

    /// Sends a canary to each server on probation that has none in flight.
    fn send_canaries(&mut self, now: MonoTime) {
        for server in 0..self.names.len() {
            if self.weights[server] > 0.0
                || self.canary_in_flight[server]
                || !self.on_probation(server)
            {
                continue;
            }
            let request = self.traffic.canary(server);
            let limit = self.detector.slow_limit().unwrap_or(Duration::from_secs(1));
            let time = request.ended.since(request.sent);
            let good = matches!(request.outcome, Outcome::Answered(_)) && time <= limit * 3;
            self.canary_in_flight[server] = true;
            self.queue.push(now + time, DueEvent::Canary(server, good));
        }
    }

    /// Whether a server is on probation.
    fn on_probation(&self, server: usize) -> bool {
        let dump = self.detector.dump();
        matches!(
            dump[self.index(server)].rotation,
            health::Rotation::Probation { .. }
        )
    }

    /// Index of a server in the detector's dump, which is ordered by name.
    fn index(&self, server: usize) -> usize {
        let dump = self.detector.dump();
        dump.iter()
            .position(|member| member.server == self.names[server])
            .unwrap()
    }

    /// Passes an event to the detector and applies its decisions.
    pub fn handle(&mut self, now: MonoTime, event: Event) {
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
            let index = self.names.iter().position(|name| *name == server).unwrap();
            if weight == 0.0 && self.weights[index] > 0.0 {
                self.ejections.push((now, index, reason));
            }
            if weight == 1.0 && self.weights[index] < 1.0 {
                self.returns.push((now, index));
            }
            self.weights[index] = weight;
            self.traffic.set_weight(index, weight);
        }
    }
}
