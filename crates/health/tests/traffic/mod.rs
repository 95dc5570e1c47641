//! Simulated traffic of one pool in virtual time: random arrivals, heavy-tailed
//! service times, pauses that delay all requests of a server, and faults.

#![allow(dead_code, reason = "tests and the example each use a part")]

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use health::{Event, Observation, STUCK_FACTOR};
use ids::{MonoTime, ServerId};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

/// Median service time of a healthy server.
pub const MEDIAN_TIME: Duration = Duration::from_millis(10);
/// Standard deviation of the logarithm of service times.
const SIGMA: f64 = 0.6;
/// Share of requests in the heavy tail, and the exponent of the tail.
const TAIL_SHARE: f64 = 0.01;
const TAIL_EXPONENT: f64 = 1.5;
/// Mean time between pauses of a server's runtime, and their mean length, in
/// seconds.
const PAUSE_INTERVAL_S: f64 = 120.0;
const PAUSE_LENGTH_S: f64 = 0.05;
/// Time after which a request without an answer is abandoned.
pub const TIMEOUT: Duration = Duration::from_secs(2);

/// Fault of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// No fault.
    None,
    /// A share of requests fails quickly.
    Errors(f64),
    /// No request is answered.
    Hang,
    /// All requests take longer by a factor.
    Slow(f64),
    /// A share of requests takes longer by a factor.
    SomeSlow(f64, f64),
    /// A share of answers ends early.
    Truncates(f64),
    /// No connection can be made.
    Unreachable,
    /// The server alternately works for one period and fails for one.
    Flaps(Duration),
}

/// Outcome of one request, independent of a detector's limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// A good answer after that time.
    Answered(Duration),
    /// An error.
    Failed,
    /// The answer ended early.
    Truncated,
    /// No connection could be made.
    Unreachable,
    /// No answer within [`TIMEOUT`].
    TimedOut,
}

/// One request with its outcome, which is decided when it is sent.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub server: usize,
    pub sent: MonoTime,
    pub ended: MonoTime,
    pub outcome: Outcome,
}

/// Simulated traffic of one pool.
pub struct Traffic {
    rng: SmallRng,
    now_s: f64,
    rate: f64,
    weights: Vec<f64>,
    faults: Vec<Fault>,
    pauses: Vec<(f64, f64)>,
}

impl Traffic {
    /// Creates traffic of `rate` requests per second to each of `servers`.
    pub fn new(seed: u64, servers: usize, rate: f64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let pauses = (0..servers).map(|_| (exponential(&mut rng, PAUSE_INTERVAL_S), 0.0));
        let pauses = pauses.collect();
        Self {
            rng,
            now_s: 1.0,
            rate: rate * servers as f64,
            weights: vec![1.0; servers],
            faults: vec![Fault::None; servers],
            pauses,
        }
    }

    /// Returns the time of the latest arrival.
    pub fn now(&self) -> MonoTime {
        time_of(self.now_s)
    }

    /// Sets the fault of a server.
    pub fn set_fault(&mut self, server: usize, fault: Fault) {
        self.faults[server] = fault;
    }

    /// Sets the share of traffic of a server.
    pub fn set_weight(&mut self, server: usize, weight: f64) {
        self.weights[server] = weight;
    }

    /// Multiplies the total rate.
    pub fn scale_rate(&mut self, factor: f64) {
        self.rate *= factor;
    }

    /// Sends the next request to a server that is chosen by weight.
    pub fn next_request(&mut self) -> Request {
        self.now_s += exponential(&mut self.rng, 1.0 / self.rate);
        let server = self.pick();
        self.simulate(server)
    }

    /// Sends a canary request to a server at the time of the latest arrival.
    pub fn canary(&mut self, server: usize) -> Request {
        self.simulate(server)
    }

    /// Returns a random server by weight.
    fn pick(&mut self) -> usize {
        let total: f64 = self.weights.iter().sum();
        let mut remaining = self.rng.random::<f64>() * total;
        for (server, weight) in self.weights.iter().enumerate() {
            remaining -= weight;
            if remaining < 0.0 {
                return server;
            }
        }
        0
    }

    /// Decides the outcome of a request to a server.
    fn simulate(&mut self, server: usize) -> Request {
        let healthy = self.service_s(server);
        let draw: f64 = self.rng.random();
        let answered = |seconds: f64| match Duration::from_secs_f64(seconds) {
            time if time >= TIMEOUT => (Outcome::TimedOut, TIMEOUT),
            time => (Outcome::Answered(time), time),
        };
        let quick = Duration::from_secs_f64(healthy.min(0.1));
        let (outcome, time) = match self.faults[server] {
            Fault::Errors(share) if draw < share => (Outcome::Failed, quick),
            Fault::Truncates(share) if draw < share => (Outcome::Truncated, quick),
            Fault::Unreachable => (Outcome::Unreachable, quick),
            Fault::Hang => (Outcome::TimedOut, TIMEOUT),
            Fault::Slow(factor) => answered(healthy * factor),
            Fault::SomeSlow(share, factor) if draw < share => answered(healthy * factor),
            Fault::Flaps(period) if self.in_bad_phase(period) => (Outcome::Failed, quick),
            _ => answered(healthy),
        };
        let sent = self.now();
        Request {
            server,
            sent,
            ended: sent + time,
            outcome,
        }
    }

    /// Whether a flapping server is in its bad phase.
    fn in_bad_phase(&self, period: Duration) -> bool {
        (self.now_s / period.as_secs_f64()) as u64 % 2 == 1
    }

    /// Returns a random service time of a healthy server, in seconds.
    fn service_s(&mut self, server: usize) -> f64 {
        let body = MEDIAN_TIME.as_secs_f64() * (SIGMA * normal(&mut self.rng)).exp();
        let tail = match self.rng.random::<f64>() {
            draw if draw < TAIL_SHARE => {
                let uniform: f64 = self.rng.random::<f64>().max(1e-9);
                uniform.powf(-1.0 / TAIL_EXPONENT)
            }
            _ => 1.0,
        };
        body * tail + self.remaining_pause(server)
    }

    /// Returns the remaining time of the server's pause in seconds, and plans
    /// its next pause when one is over.
    fn remaining_pause(&mut self, server: usize) -> f64 {
        let (start, length) = self.pauses[server];
        match self.now_s {
            now if now < start => 0.0,
            now if now < start + length => start + length - now,
            now => {
                let gap = exponential(&mut self.rng, PAUSE_INTERVAL_S);
                let length = exponential(&mut self.rng, PAUSE_LENGTH_S);
                self.pauses[server] = (now + gap, length);
                0.0
            }
        }
    }
}

/// Converts seconds to a time.
fn time_of(seconds: f64) -> MonoTime {
    MonoTime::ZERO + Duration::from_secs_f64(seconds)
}

/// Returns a random number from an exponential distribution.
fn exponential(rng: &mut SmallRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Returns a random number from the standard normal distribution.
fn normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

/// Returns the name of a server by its number.
pub fn server_id(server: usize) -> ServerId {
    format!("server-{server}").parse().unwrap()
}

/// A future event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DueEvent {
    /// A daemon observes a request.
    Observed(usize, Observation),
    /// A service time for the slow limit is known.
    ServiceTime(usize, Duration),
    /// A canary ends, with a good answer or without.
    Canary(usize, bool),
}

impl DueEvent {
    /// Converts it to an event for the detector.
    pub fn to_event(self, names: &[ServerId]) -> Event {
        match self {
            Self::Observed(server, seen) => Event::Observed(names[server].clone(), seen),
            Self::ServiceTime(server, time) => Event::ServiceTime(names[server].clone(), time),
            Self::Canary(server, good) => Event::Canary(names[server].clone(), good),
        }
    }
}

/// Queue of future events, ordered by time.
#[derive(Default)]
pub struct EventQueue {
    order: BinaryHeap<Reverse<(MonoTime, u64)>>,
    events: std::collections::HashMap<u64, DueEvent>,
    next_number: u64,
}

impl EventQueue {
    /// Adds an event at `time`.
    pub fn push(&mut self, time: MonoTime, event: DueEvent) {
        self.order.push(Reverse((time, self.next_number)));
        self.events.insert(self.next_number, event);
        self.next_number += 1;
    }

    /// Adds the events by which a daemon with this slow limit observes a request.
    pub fn push_request(&mut self, request: Request, limit: Option<Duration>) {
        let server = request.server;
        let time = request.ended.since(request.sent);
        // A request that never reached the server cannot be slow there.
        let reached = request.outcome != Outcome::Unreachable;
        let slow_at = limit.filter(|limit| reached && time > *limit);
        if let Some(limit) = slow_at {
            self.push(
                request.sent + limit,
                DueEvent::Observed(server, Observation::Overdue),
            );
        }
        if let Some(limit) = slow_at.filter(|limit| time > *limit * STUCK_FACTOR) {
            let at = request.sent + limit * STUCK_FACTOR;
            self.push(at, DueEvent::Observed(server, Observation::Stuck));
        }
        if let Outcome::Answered(time) = request.outcome {
            self.push(request.ended, DueEvent::ServiceTime(server, time));
        }
        let seen = match request.outcome {
            // The request was counted when it passed the slow limit.
            _ if slow_at.is_some() => return,
            Outcome::Answered(time) => Observation::Answered(time),
            Outcome::Failed | Outcome::TimedOut => Observation::Failed,
            Outcome::Truncated => Observation::Truncated,
            Outcome::Unreachable => Observation::Unreachable,
        };
        self.push(request.ended, DueEvent::Observed(server, seen));
    }

    /// Removes and returns the next event that is due at `now` or earlier.
    pub fn pop(&mut self, now: MonoTime) -> Option<(MonoTime, DueEvent)> {
        let Reverse((time, _)) = self.order.peek()?;
        if *time > now {
            return None;
        }
        let Reverse((time, number)) = self.order.pop()?;
        Some((time, self.events.remove(&number)?))
    }
}
