//! Response times of customers' lookups that compete with internal work or with
//! bulk transfers. Time is simulated, so the results depend only on the
//! decisions of the queue and not on the load of the machine.
//!
//! `cargo run --release -p admit --example classes`
//!
//! There are six backend servers of five slots; a lookup takes 20 ms, and
//! arrivals are random. A request goes to the less busy of two random queues.

use std::{collections::BTreeMap, time::Duration};

use admit::{Job, JobId, QueueAction, QueueEvent, QueueLimits, SlotQueue, WorkKind};
use ids::{MonoTime, Rank, Slots, Weight, WorkPriority};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Number of backend servers.
const SERVERS: usize = 6;
/// Slots of each backend server.
const SLOTS: u32 = 5;
/// Customers' lookups per second: a fifth of what the pool can run.
const CUSTOMER_RATE: f64 = 300.0;
/// Slot time of a lookup.
const LOOKUP_TIME: Duration = Duration::from_millis(20);
/// Slot time of a bulk transfer.
const TRANSFER_TIME: Duration = Duration::from_millis(400);
/// Time after which a caller gives up.
const DEADLINE: Duration = Duration::from_secs(5);
/// Length of the measurement, in seconds of simulated time. A warm-up of the
/// same length goes before it.
const SPAN_S: f64 = 120.0;

/// Load that competes with the customers' lookups.
#[derive(Clone, Copy, Debug)]
struct OtherLoad {
    name: &'static str,
    rate: f64,
    internal: bool,
    bulk: bool,
    time: Duration,
}

/// Event of the simulation.
#[derive(Clone, Copy, Debug)]
enum SimStep {
    Customer,
    Other,
    Finish(usize, JobId),
}

/// Request that was sent and not refused.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    at: MonoTime,
    lookup: bool,
    time: Duration,
}

/// State of the simulation: queues, requests and events to come.
struct Simulation {
    now: MonoTime,
    rng: StdRng,
    queues: Vec<SlotQueue>,
    steps: BTreeMap<(MonoTime, u64), SimStep>,
    sent: BTreeMap<u64, SentRequest>,
    next: u64,
    times_ms: Vec<f64>,
    others_done: u64,
}

impl Simulation {
    fn new() -> Self {
        let queue = || SlotQueue::new(QueueLimits::for_slots(Slots(SLOTS)));
        Self {
            now: MonoTime::ZERO,
            rng: StdRng::seed_from_u64(20_269),
            queues: (0..SERVERS).map(|_| queue()).collect(),
            steps: BTreeMap::new(),
            sent: BTreeMap::new(),
            next: 0,
            times_ms: Vec::new(),
            others_done: 0,
        }
    }

    /// Schedules a step after a delay.
    fn schedule(&mut self, after: Duration, step: SimStep) {
        self.next += 1;
        self.steps.insert((self.now + after, self.next), step);
    }

    /// Schedules the next arrival of a Poisson process.
    fn schedule_arrival(&mut self, rate: f64, step: SimStep) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.schedule(Duration::from_secs_f64(gap), step);
    }

    /// Returns the index of the less busy of two random queues.
    fn choose(&mut self) -> usize {
        let pair = [0, 1].map(|_| self.rng.random_range(0..SERVERS));
        let busy = |place: usize| {
            let report = self.queues[place].report(self.now);
            (report.delay, report.running)
        };
        match busy(pair[0]) <= busy(pair[1]) {
            true => pair[0],
            false => pair[1],
        }
    }

    /// Sends a request to a queue: a lookup, or a request of the other load.
    fn arrive(&mut self, other: Option<OtherLoad>) {
        self.next += 1;
        let id = JobId(self.next);
        let time = other.map_or(LOOKUP_TIME, |other| other.time);
        let sent = SentRequest {
            at: self.now,
            lookup: other.is_none(),
            time,
        };
        self.sent.insert(id.0, sent);
        let job = Job {
            id,
            rank: Rank(0),
            work_priority: WorkPriority(0),
            account: Some("radio-one".parse().expect("a valid account name")),
            internal: other.is_some_and(|other| other.internal),
            kind: WorkKind::UNKNOWN,
            first_offer: true,
            idempotent: true,
            bulk: other.is_some_and(|other| other.bulk),
            weight: Weight(1),
            target: self.now + DEADLINE,
            deadline: self.now + DEADLINE,
        };
        let place = self.choose();
        self.step_queue(place, QueueEvent::Arrive(job));
    }

    /// Passes an event to a queue and starts the jobs that it dispatches.
    fn step_queue(&mut self, place: usize, event: QueueEvent) {
        for action in self.queues[place].handle(self.now, event) {
            match action {
                QueueAction::Dispatch(id) => {
                    let time = self.sent[&id.0].time;
                    self.schedule(time, SimStep::Finish(place, id));
                }
                QueueAction::Refuse(id, _) => {
                    self.sent.remove(&id.0);
                }
            }
        }
    }

    /// Ends a request and records its response time after the warm-up.
    fn finish(&mut self, place: usize, id: JobId) {
        self.step_queue(place, QueueEvent::Finish(id));
        let sent = self
            .sent
            .remove(&id.0)
            .expect("a job finishes only once after its dispatch");
        if self.now.as_secs_f64() < SPAN_S {
            return;
        }
        match sent.lookup {
            true => self
                .times_ms
                .push(self.now.since(sent.at).as_secs_f64() * 1e3),
            false => self.others_done += 1,
        }
    }

    /// Runs the warm-up and the measurement.
    fn run(&mut self, other: OtherLoad) {
        self.schedule_arrival(CUSTOMER_RATE, SimStep::Customer);
        if other.rate > 0.0 {
            self.schedule_arrival(other.rate, SimStep::Other);
        }
        while let Some(((time, _), step)) = self.steps.pop_first() {
            self.now = time;
            if time.as_secs_f64() > 2.0 * SPAN_S {
                return;
            }
            match step {
                SimStep::Customer => {
                    self.arrive(None);
                    self.schedule_arrival(CUSTOMER_RATE, SimStep::Customer);
                }
                SimStep::Other => {
                    self.arrive(Some(other));
                    self.schedule_arrival(other.rate, SimStep::Other);
                }
                SimStep::Finish(place, id) => self.finish(place, id),
            }
        }
    }
}

fn main() {
    let internal = OtherLoad {
        name: "internal",
        rate: 0.0,
        internal: true,
        bulk: false,
        time: LOOKUP_TIME,
    };
    let transfers = OtherLoad {
        name: "transfers, marked",
        rate: 60.0,
        internal: false,
        bulk: true,
        time: TRANSFER_TIME,
    };
    let rows = [
        OtherLoad {
            name: "nothing",
            ..internal
        },
        OtherLoad {
            rate: 300.0,
            ..internal
        },
        OtherLoad {
            rate: 1_000.0,
            ..internal
        },
        OtherLoad {
            rate: 4_000.0,
            ..internal
        },
        OtherLoad {
            rate: 4_000.0,
            time: LOOKUP_TIME * 5,
            name: "internal of 100 ms",
            ..internal
        },
        transfers,
        OtherLoad {
            name: "transfers, unmarked",
            bulk: false,
            ..transfers
        },
    ];
    println!(
        "other load           /s     customers ms: p50    p99   against none   others done /s"
    );
    let mut base = None;
    for row in rows {
        let mut simulation = Simulation::new();
        simulation.run(row);
        let mut times = std::mem::take(&mut simulation.times_ms);
        times.sort_unstable_by(f64::total_cmp);
        let at = |quantile: f64| times[((times.len() - 1) as f64 * quantile) as usize];
        let base = *base.get_or_insert(at(0.99));
        println!(
            "{:<20} {:>5}  {:>17.1}  {:>6.1}  {:>12.2}  {:>14.0}",
            row.name,
            row.rate,
            at(0.5),
            at(0.99),
            at(0.99) / base,
            simulation.others_done as f64 / SPAN_S
        );
    }
}
