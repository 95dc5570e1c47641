//! Traffic of one pool in virtual time: arrivals, heavy-tailed service times,
//! correlated stalls and faults.

#![allow(dead_code, reason = "tests and the experiment each use a part")]

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use health::{Event, Observation, STUCK_FACTOR};
use ids::{MonoTime, ServerId};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

/// Median service time of a healthy server.
pub const MEDIAN: Duration = Duration::from_millis(10);
/// Spread of the logarithm of service times.
const SIGMA: f64 = 0.6;
/// Share of requests from the heavy tail, and its exponent.
const TAIL_SHARE: f64 = 0.01;
const TAIL_EXPONENT: f64 = 1.5;
/// Mean time between pauses of a server's runtime, and their mean length.
const STALL_INTERVAL_S: f64 = 120.0;
const STALL_LENGTH_S: f64 = 0.05;
/// Time after which a request without an answer is given up.
pub const TIMEOUT: Duration = Duration::from_secs(2);

/// What is wrong with a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Nothing.
    None,
    /// A share of requests fails at once.
    Errors(f64),
    /// No request is answered.
    Hang,
    /// Requests take that many times as long.
    Slow(f64),
    /// A share of requests takes that many times as long.
    SomeSlow(f64, f64),
    /// A share of answers breaks off.
    Truncates(f64),
    /// No connection from here.
    Unreachable,
    /// Fails for one period, then works for one.
    Flaps(Duration),
}

/// What became of one request, for detectors of any kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// A good answer after that time.
    Answered(Duration),
    /// An error.
    Failed,
    /// It broke off.
    Truncated,
    /// No connection.
    Unreachable,
    /// Not answered in [`TIMEOUT`].
    TimedOut,
}

/// One request with its fate decided.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub server: usize,
    pub sent: MonoTime,
    pub ended: MonoTime,
    pub outcome: Outcome,
}

/// Traffic of one pool.
pub struct Traffic {
    rng: SmallRng,
    now_s: f64,
    rate: f64,
    weights: Vec<f64>,
    faults: Vec<Fault>,
    stalls: Vec<(f64, f64)>,
}

impl Traffic {
    /// Traffic of `rate` requests per second to each of `servers`.
    pub fn new(seed: u64, servers: usize, rate: f64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let stalls = (0..servers).map(|_| (exponential(&mut rng, STALL_INTERVAL_S), 0.0));
        let stalls = stalls.collect();
        Self {
            rng,
            now_s: 1.0,
            rate: rate * servers as f64,
            weights: vec![1.0; servers],
            faults: vec![Fault::None; servers],
            stalls,
        }
    }

    /// Time of the latest arrival.
    pub fn now(&self) -> MonoTime {
        time_of(self.now_s)
    }

    /// Sets what is wrong with a server.
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

    /// The next request.
    pub fn next_request(&mut self) -> Request {
        self.now_s += exponential(&mut self.rng, 1.0 / self.rate);
        let server = self.pick();
        self.fate(server)
    }

    /// A canary request to a server just now.
    pub fn canary(&mut self, server: usize) -> Request {
        self.fate(server)
    }

    /// A server by weight.
    fn pick(&mut self) -> usize {
        let total: f64 = self.weights.iter().sum();
        let mut left = self.rng.random::<f64>() * total;
        for (server, weight) in self.weights.iter().enumerate() {
            left -= weight;
            if left < 0.0 {
                return server;
            }
        }
        0
    }

    /// Decides what becomes of a request to a server.
    fn fate(&mut self, server: usize) -> Request {
        let healthy = self.service_s(server);
        let chance: f64 = self.rng.random();
        let answered = |seconds: f64| match Duration::from_secs_f64(seconds) {
            time if time >= TIMEOUT => (Outcome::TimedOut, TIMEOUT),
            time => (Outcome::Answered(time), time),
        };
        let quick = Duration::from_secs_f64(healthy.min(0.1));
        let (outcome, time) = match self.faults[server] {
            Fault::Errors(share) if chance < share => (Outcome::Failed, quick),
            Fault::Truncates(share) if chance < share => (Outcome::Truncated, quick),
            Fault::Unreachable => (Outcome::Unreachable, quick),
            Fault::Hang => (Outcome::TimedOut, TIMEOUT),
            Fault::Slow(factor) => answered(healthy * factor),
            Fault::SomeSlow(share, factor) if chance < share => answered(healthy * factor),
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

    /// Service time of a healthy server, in seconds.
    fn service_s(&mut self, server: usize) -> f64 {
        let body = MEDIAN.as_secs_f64() * (SIGMA * normal(&mut self.rng)).exp();
        let tail = match self.rng.random::<f64>() {
            chance if chance < TAIL_SHARE => {
                let uniform: f64 = self.rng.random::<f64>().max(1e-9);
                uniform.powf(-1.0 / TAIL_EXPONENT)
            }
            _ => 1.0,
        };
        body * tail + self.stall_left(server)
    }

    /// Time that a pause of the server still lasts.
    fn stall_left(&mut self, server: usize) -> f64 {
        let (start, length) = self.stalls[server];
        match self.now_s {
            now if now < start => 0.0,
            now if now < start + length => start + length - now,
            now => {
                let gap = exponential(&mut self.rng, STALL_INTERVAL_S);
                let length = exponential(&mut self.rng, STALL_LENGTH_S);
                self.stalls[server] = (now + gap, length);
                0.0
            }
        }
    }
}

/// Seconds as a time.
fn time_of(seconds: f64) -> MonoTime {
    MonoTime::ZERO + Duration::from_secs_f64(seconds)
}

/// An exponential variate.
fn exponential(rng: &mut SmallRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// A normal variate.
fn normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

/// Name of a server by number.
pub fn server_id(server: usize) -> ServerId {
    format!("server-{server}").parse().unwrap()
}

/// An event that is due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Due {
    /// What a daemon sees at that moment.
    Observed(usize, Observation),
    /// A service time for the baseline.
    Timed(usize, Duration),
    /// A canary has ended.
    Canary(usize, bool),
}

impl Due {
    /// The event for a detector.
    pub fn event(self, names: &[ServerId]) -> Event {
        match self {
            Self::Observed(server, seen) => Event::Observed(names[server].clone(), seen),
            Self::Timed(server, time) => Event::ServiceTime(names[server].clone(), time),
            Self::Canary(server, good) => Event::Canary(names[server].clone(), good),
        }
    }
}

/// Events in the order in which they are due.
#[derive(Default)]
pub struct Agenda {
    heap: BinaryHeap<Reverse<(MonoTime, u64)>>,
    due: std::collections::HashMap<u64, Due>,
    next: u64,
}

impl Agenda {
    /// Adds an event.
    pub fn push(&mut self, time: MonoTime, due: Due) {
        self.heap.push(Reverse((time, self.next)));
        self.due.insert(self.next, due);
        self.next += 1;
    }

    /// Adds what a daemon sees of a request, given its slow limit.
    pub fn push_request(&mut self, request: Request, limit: Option<Duration>) {
        let server = request.server;
        let time = request.ended.since(request.sent);
        // A request that never reached the server can't be slow there.
        let reached = request.outcome != Outcome::Unreachable;
        let slow_at = limit.filter(|limit| reached && time > *limit);
        if let Some(limit) = slow_at {
            self.push(
                request.sent + limit,
                Due::Observed(server, Observation::Overdue),
            );
        }
        if let Some(limit) = slow_at.filter(|limit| time > *limit * STUCK_FACTOR) {
            let at = request.sent + limit * STUCK_FACTOR;
            self.push(at, Due::Observed(server, Observation::Stuck));
        }
        if let Outcome::Answered(time) = request.outcome {
            self.push(request.ended, Due::Timed(server, time));
        }
        let seen = match request.outcome {
            // It was counted when it passed the limit.
            _ if slow_at.is_some() => return,
            Outcome::Answered(time) => Observation::Answered(time),
            Outcome::Failed | Outcome::TimedOut => Observation::Failed,
            Outcome::Truncated => Observation::Truncated,
            Outcome::Unreachable => Observation::Unreachable,
        };
        self.push(request.ended, Due::Observed(server, seen));
    }

    /// The next event due up to `now`.
    pub fn pop(&mut self, now: MonoTime) -> Option<(MonoTime, Due)> {
        let Reverse((time, _)) = self.heap.peek()?;
        if *time > now {
            return None;
        }
        let Reverse((time, number)) = self.heap.pop()?;
        Some((time, self.due.remove(&number)?))
    }
}
