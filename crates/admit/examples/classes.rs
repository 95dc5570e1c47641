//! Customers' requests beside internal work, and beside long transfers, in
//! virtual time: no machine noise, only the decisions of the queue.
//!
//! `cargo run --release -p admit --example classes`
//!
//! Six backend servers of five slots, lookups of 20 ms, random arrivals. A
//! request goes to the less busy of two queues taken at random.

use std::{collections::BTreeMap, time::Duration};

use admit::{Job, JobId, QueueAction, QueueEvent, QueueLimits, SlotQueue};
use ids::{Lot, MonoTime, Rank, Slots, Weight};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Backend servers and slots of each.
const SERVERS: usize = 6;
const SLOTS: u32 = 5;
/// Customers' lookups a second, a fifth of what the pool can do.
const CUSTOMER_RATE: f64 = 300.0;
/// Time of a lookup and of a long transfer.
const LOOKUP_TIME: Duration = Duration::from_millis(20);
const TRANSFER_TIME: Duration = Duration::from_millis(400);
/// Time until a caller gives up.
const DEADLINE: Duration = Duration::from_secs(5);
/// Time measured, after as much again to settle.
const SPAN_S: f64 = 120.0;

/// What is beside the customers' lookups.
#[derive(Clone, Copy, Debug)]
struct Beside {
    name: &'static str,
    rate: f64,
    internal: bool,
    bulk: bool,
    time: Duration,
}

/// What happens in the simulation.
#[derive(Clone, Copy, Debug)]
enum Step {
    Customer,
    Other,
    Finish(usize, JobId),
}

/// A request that was not refused yet.
#[derive(Clone, Copy, Debug)]
struct Sent {
    at: MonoTime,
    lookup: bool,
    time: Duration,
}

/// Queues, requests and what is to happen.
struct World {
    now: MonoTime,
    rng: StdRng,
    queues: Vec<SlotQueue>,
    steps: BTreeMap<(MonoTime, u64), Step>,
    sent: BTreeMap<u64, Sent>,
    next: u64,
    times_ms: Vec<f64>,
    others_done: u64,
}

impl World {
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

    /// Puts a step after a time.
    fn plan(&mut self, after: Duration, step: Step) {
        self.next += 1;
        self.steps.insert((self.now + after, self.next), step);
    }

    /// Puts the next arrival of a random stream.
    fn plan_arrival(&mut self, rate: f64, step: Step) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.plan(Duration::from_secs_f64(gap), step);
    }

    /// The less busy of two queues.
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

    /// A request arrives.
    fn arrive(&mut self, beside: Option<Beside>) {
        self.next += 1;
        let id = JobId(self.next);
        let time = beside.map_or(LOOKUP_TIME, |beside| beside.time);
        let sent = Sent {
            at: self.now,
            lookup: beside.is_none(),
            time,
        };
        self.sent.insert(id.0, sent);
        let job = Job {
            id,
            rank: Rank(0),
            lot: Lot(0),
            account: Some("radio-one".parse().expect("a name")),
            internal: beside.is_some_and(|beside| beside.internal),
            bulk: beside.is_some_and(|beside| beside.bulk),
            weight: Weight(1),
            target: self.now + DEADLINE,
            deadline: self.now + DEADLINE,
        };
        let place = self.choose();
        self.step_queue(place, QueueEvent::Arrive(job));
    }

    /// Passes an event to a queue and starts what it dispatches.
    fn step_queue(&mut self, place: usize, event: QueueEvent) {
        for action in self.queues[place].handle(self.now, event) {
            match action {
                QueueAction::Dispatch(id) => {
                    let time = self.sent[&id.0].time;
                    self.plan(time, Step::Finish(place, id));
                }
                QueueAction::Refuse(id, _) => {
                    self.sent.remove(&id.0);
                }
            }
        }
    }

    /// A request ends.
    fn finish(&mut self, place: usize, id: JobId) {
        self.step_queue(place, QueueEvent::Finish(id));
        let sent = self.sent.remove(&id.0).expect("it was dispatched once");
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

    /// Runs to the end.
    fn run(&mut self, beside: Beside) {
        self.plan_arrival(CUSTOMER_RATE, Step::Customer);
        if beside.rate > 0.0 {
            self.plan_arrival(beside.rate, Step::Other);
        }
        while let Some(((time, _), step)) = self.steps.pop_first() {
            self.now = time;
            if time.as_secs_f64() > 2.0 * SPAN_S {
                return;
            }
            match step {
                Step::Customer => {
                    self.arrive(None);
                    self.plan_arrival(CUSTOMER_RATE, Step::Customer);
                }
                Step::Other => {
                    self.arrive(Some(beside));
                    self.plan_arrival(beside.rate, Step::Other);
                }
                Step::Finish(place, id) => self.finish(place, id),
            }
        }
    }
}

fn main() {
    let internal = Beside {
        name: "internal",
        rate: 0.0,
        internal: true,
        bulk: false,
        time: LOOKUP_TIME,
    };
    let transfers = Beside {
        name: "transfers, marked",
        rate: 60.0,
        internal: false,
        bulk: true,
        time: TRANSFER_TIME,
    };
    let rows = [
        Beside {
            name: "nothing",
            ..internal
        },
        Beside {
            rate: 300.0,
            ..internal
        },
        Beside {
            rate: 1_000.0,
            ..internal
        },
        Beside {
            rate: 4_000.0,
            ..internal
        },
        Beside {
            rate: 4_000.0,
            time: LOOKUP_TIME * 5,
            name: "internal of 100 ms",
            ..internal
        },
        transfers,
        Beside {
            name: "transfers, unmarked",
            bulk: false,
            ..transfers
        },
    ];
    println!(
        "beside               /s     customers ms: p50    p99   against none   others done /s"
    );
    let mut base = None;
    for row in rows {
        let mut world = World::new();
        world.run(row);
        let mut times = std::mem::take(&mut world.times_ms);
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
            world.others_done as f64 / SPAN_S
        );
    }
}
