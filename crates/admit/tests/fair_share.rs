//! Accounts share slot time, whatever their requests cost.

use std::{collections::BTreeMap, time::Duration};

use admit::{Job, JobId, QueueAction, QueueEvent, QueueLimits, QueueRefusal, SlotQueue};
use ids::{AccountId, Lot, MonoTime, Rank, Slots, Weight};
use test_case::test_case;

/// An account that always has requests waiting.
#[derive(Clone, Copy)]
struct Load {
    name: &'static str,
    cost_ms: u64,
    weight: u32,
}

/// Runs a queue in virtual time and keeps count.
struct Bench {
    queue: SlotQueue,
    now: MonoTime,
    next: u64,
    jobs: BTreeMap<JobId, &'static Load>,
    ends: BTreeMap<(MonoTime, JobId), ()>,
    used_ms: BTreeMap<&'static str, u64>,
    refused: Vec<QueueRefusal>,
}

impl Bench {
    fn new(slots: u32) -> Self {
        Self {
            queue: SlotQueue::new(QueueLimits::for_slots(Slots(slots))),
            now: MonoTime::from_millis(1),
            next: 0,
            jobs: BTreeMap::new(),
            ends: BTreeMap::new(),
            used_ms: BTreeMap::new(),
            refused: Vec::new(),
        }
    }

    fn arrive(&mut self, load: &'static Load) {
        let id = JobId(self.next);
        self.next += 1;
        self.jobs.insert(id, load);
        let job = Job {
            id,
            rank: Rank(0),
            lot: Lot(0),
            account: Some(load.name.parse::<AccountId>().unwrap()),
            internal: false,
            bulk: false,
            weight: Weight(load.weight),
            target: self.now + Duration::from_secs(3_600),
            deadline: self.now + Duration::from_secs(3_600),
        };
        self.step(QueueEvent::Arrive(job));
    }

    fn step(&mut self, event: QueueEvent) {
        for action in self.queue.handle(self.now, event) {
            match action {
                QueueAction::Dispatch(id) => {
                    let cost = self.jobs[&id].cost_ms;
                    self.ends
                        .insert((self.now + Duration::from_millis(cost), id), ());
                }
                QueueAction::Refuse(_, refusal) => self.refused.push(refusal),
            }
        }
    }

    /// Ends the next job and lets its account send another.
    fn next_end(&mut self) {
        let ((time, id), ()) = self.ends.pop_first().unwrap();
        self.now = time;
        let load = self.jobs[&id];
        *self.used_ms.entry(load.name).or_default() += load.cost_ms;
        self.step(QueueEvent::Finish(id));
        self.arrive(load);
    }
}

static EVEN: [Load; 2] = [
    Load {
        name: "radio-one",
        cost_ms: 10,
        weight: 1,
    },
    Load {
        name: "radio-two",
        cost_ms: 10,
        weight: 1,
    },
];
static UNEVEN: [Load; 2] = [
    Load {
        name: "radio-one",
        cost_ms: 100,
        weight: 1,
    },
    Load {
        name: "radio-two",
        cost_ms: 5,
        weight: 1,
    },
];
static WEIGHTED: [Load; 2] = [
    Load {
        name: "radio-one",
        cost_ms: 20,
        weight: 3,
    },
    Load {
        name: "radio-two",
        cost_ms: 20,
        weight: 1,
    },
];

#[test_case(&EVEN, 1; "same cost")]
#[test_case(&UNEVEN, 1; "twenty times the cost")]
#[test_case(&UNEVEN, 2; "two slots")]
#[test_case(&WEIGHTED, 1; "three times the weight")]
fn slot_time_shared(loads: &'static [Load; 2], slots: u32) {
    let mut bench = Bench::new(slots);
    for load in loads {
        for _ in 0..4 {
            bench.arrive(load);
        }
    }
    for _ in 0..5_000 {
        bench.next_end();
    }
    let [first, second] = loads
        .each_ref()
        .map(|load| bench.used_ms[load.name] as f64 / f64::from(load.weight));
    // Within one request's cost a slot, by weight.
    let cost = loads
        .iter()
        .map(|load| load.cost_ms as f64 / f64::from(load.weight));
    let bound = cost.fold(0.0, f64::max) * f64::from(slots) * 2.0;
    assert!(
        (first - second).abs() <= bound,
        "{first} ms and {second} ms, bound {bound} ms"
    );
    assert!(bench.refused.is_empty());
}

#[test]
fn idle_gains_no_credit() {
    let mut bench = Bench::new(1);
    for _ in 0..4 {
        bench.arrive(&EVEN[0]);
    }
    for _ in 0..1_000 {
        bench.next_end();
    }
    // The newcomer gets its half from now on, and not a thousand turns.
    for _ in 0..4 {
        bench.arrive(&EVEN[1]);
    }
    bench.used_ms.clear();
    for _ in 0..100 {
        bench.next_end();
    }
    let newcomer = bench.used_ms["radio-two"];
    assert!((480..=520).contains(&newcomer), "{newcomer} ms of 1000");
}

#[test]
fn flood_keeps_others_queued() {
    let mut bench = Bench::new(1);
    bench.arrive(&EVEN[0]);
    for _ in 0..100 {
        bench.arrive(&EVEN[0]);
    }
    bench.arrive(&EVEN[1]);
    let refused_before = bench.refused.len();
    assert!(refused_before > 0, "the queue is bounded");
    // The other account was taken in at the cost of the flood, and is next.
    bench.next_end();
    bench.next_end();
    assert_eq!(bench.used_ms.get("radio-two"), Some(&10));
}
