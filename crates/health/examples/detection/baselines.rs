//! The two baselines that the detector is compared with: consecutive errors, and
//! a fixed share of errors in a window of 10 s.

use std::{collections::VecDeque, fmt, time::Duration};

use ids::MonoTime;

use crate::traffic::{MEDIAN_TIME, Outcome, Request, Traffic};

/// Length of the window.
const WINDOW: Duration = Duration::from_secs(10);
/// Number of samples in a window from which a server can be ejected.
const MIN_SAMPLES: usize = 5;
/// Time out of rotation.
const EJECTION: Duration = Duration::from_secs(30);

/// A baseline detector. A request counts as an error as soon as it takes longer
/// than `factor` times the median service time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Baseline {
    /// Ejects after `count` consecutive errors.
    Consecutive { count: usize, factor: u32 },
    /// Ejects when at least `percent` of the requests of 10 s are errors.
    Window { percent: usize, factor: u32 },
}

impl Baseline {
    /// Returns the time after which a request counts as an error.
    fn limit(self) -> Duration {
        match self {
            Self::Consecutive { factor, .. } | Self::Window { factor, .. } => MEDIAN_TIME * factor,
        }
    }
}

impl fmt::Display for Baseline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Consecutive { count, factor } => write!(f, "{count} over {factor}x"),
            Self::Window { percent, factor } => write!(f, "{percent}% over {factor}x"),
        }
    }
}

/// State that a baseline keeps of one server.
#[derive(Clone, Debug, Default)]
struct Member {
    consecutive_errors: usize,
    window: VecDeque<(MonoTime, bool)>,
    errors: usize,
    ejected_until: Option<MonoTime>,
}

impl Member {
    /// Records a sample and returns whether the server is to be ejected.
    fn record(&mut self, baseline: Baseline, now: MonoTime, error: bool) -> bool {
        match baseline {
            Baseline::Consecutive { count, .. } => {
                self.consecutive_errors = if error {
                    self.consecutive_errors + 1
                } else {
                    0
                };
                self.consecutive_errors >= count
            }
            Baseline::Window { percent, .. } => {
                self.window.push_back((now, error));
                self.errors += usize::from(error);
                while let Some((time, old)) = self.window.front().copied() {
                    if now.since(time) <= WINDOW {
                        break;
                    }
                    self.window.pop_front();
                    self.errors -= usize::from(old);
                }
                let samples = self.window.len();
                samples >= MIN_SAMPLES && self.errors * 100 >= samples * percent
            }
        }
    }
}

/// A pool under simulated traffic, with a baseline that ejects servers.
pub(crate) struct BaselineSimulation {
    baseline: Baseline,
    pub(crate) traffic: Traffic,
    members: Vec<Member>,
    /// Server and error flag of future samples, by time and number.
    pending_samples: std::collections::BTreeMap<(MonoTime, u64), (usize, bool)>,
    next_number: u64,
    /// Number of ejections so far.
    pub(crate) ejections: usize,
    last_ejection: Option<(MonoTime, usize)>,
}

impl BaselineSimulation {
    /// Creates a healthy pool.
    pub(crate) fn new(baseline: Baseline, seed: u64, servers: usize, rate: f64) -> Self {
        Self {
            baseline,
            traffic: Traffic::new(seed, servers, rate),
            members: vec![Member::default(); servers],
            pending_samples: std::collections::BTreeMap::new(),
            next_number: 0,
            ejections: 0,
            last_ejection: None,
        }
    }

    /// Runs for a span of virtual time.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.traffic.now() + span;
        while self.traffic.now() < end {
            self.step();
        }
    }

    /// Runs until a server is ejected and returns the delay, or `None` if it is
    /// not ejected within the span.
    pub(crate) fn run_until_ejected(&mut self, server: usize, span: Duration) -> Option<Duration> {
        let start = self.traffic.now();
        self.last_ejection = None;
        while self.traffic.now().since(start) < span {
            self.step();
            match self.last_ejection {
                Some((time, which)) if which == server => return Some(time.since(start)),
                _ => {}
            }
        }
        None
    }

    /// Sends the next request, after the samples and returns that are due.
    fn step(&mut self) {
        let request = self.traffic.next_request();
        let now = request.sent;
        while let Some(entry) = self.pending_samples.first_entry() {
            let time = entry.key().0;
            if time > now {
                break;
            }
            let (server, error) = entry.remove();
            self.record_sample(time, server, error);
        }
        for server in 0..self.members.len() {
            let member = &mut self.members[server];
            if member.ejected_until.is_some_and(|until| until <= now) {
                *member = Member::default();
                self.traffic.set_weight(server, 1.0);
            }
        }
        self.push(request);
    }

    /// Adds the future sample of a request.
    fn push(&mut self, request: Request) {
        let limit = self.baseline.limit();
        let time = request.ended.since(request.sent);
        let error = !matches!(request.outcome, Outcome::Answered(_)) || time > limit;
        let due = request.sent + time.min(limit);
        self.pending_samples
            .insert((due, self.next_number), (request.server, error));
        self.next_number += 1;
    }

    /// Records a sample, and ejects the server if the baseline asks for it.
    fn record_sample(&mut self, now: MonoTime, server: usize, error: bool) {
        let baseline = self.baseline;
        let member = &mut self.members[server];
        if member.ejected_until.is_none() && member.record(baseline, now, error) {
            member.ejected_until = Some(now + EJECTION);
            self.traffic.set_weight(server, 0.0);
            self.ejections += 1;
            self.last_ejection = Some((now, server));
        }
    }
}
