//! Client accounts get equal slot time by weight, whatever the slot time of
//! their requests.

use std::{collections::BTreeMap, time::Duration};

use admit::{Job, JobId, QueueAction, QueueEvent, QueueLimits, QueueRefusal, SlotQueue, WorkKind};
use ids::{AccountId, MonoTime, Rank, Slots, Weight, WorkPriority};
use test_case::test_case;

/// Load of an account that always has requests waiting.
#[derive(Clone, Copy)]
struct AccountLoad {
    name: &'static str,
    slot_time_ms: u64,
    weight: u32,
}

/// Runs a queue in simulated time and counts the slot time of each account.
struct QueueSim {
    queue: SlotQueue,
    now: MonoTime,
    next: u64,
    jobs: BTreeMap<JobId, &'static AccountLoad>,
    ends: BTreeMap<(MonoTime, JobId), ()>,
    used_ms: BTreeMap<&'static str, u64>,
    refused: Vec<QueueRefusal>,
}

impl QueueSim {
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

    fn arrive(&mut self, load: &'static AccountLoad) {
        let id = JobId(self.next);
        self.next += 1;
        self.jobs.insert(id, load);
        let job = Job {
            id,
            rank: Rank(0),
            work_priority: WorkPriority(0),
            account: Some(load.name.parse::<AccountId>().unwrap()),
            internal: false,
            kind: WorkKind::UNKNOWN,
            first_offer: true,
            idempotent: true,
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
                    let millis = self.jobs[&id].slot_time_ms;
                    self.ends
                        .insert((self.now + Duration::from_millis(millis), id), ());
                }
                QueueAction::Refuse(_, refusal) => self.refused.push(refusal),
            }
        }
    }

    /// Finishes the next job to end, then sends another one of its account.
    fn finish_next(&mut self) {
        let ((time, id), ()) = self.ends.pop_first().unwrap();
        self.now = time;
        let load = self.jobs[&id];
        *self.used_ms.entry(load.name).or_default() += load.slot_time_ms;
        self.step(QueueEvent::Finish(id));
        self.arrive(load);
    }
}

static EVEN: [AccountLoad; 2] = [
    AccountLoad {
        name: "radio-one",
        slot_time_ms: 10,
        weight: 1,
    },
    AccountLoad {
        name: "radio-two",
        slot_time_ms: 10,
        weight: 1,
    },
];
static UNEVEN: [AccountLoad; 2] = [
    AccountLoad {
        name: "radio-one",
        slot_time_ms: 100,
        weight: 1,
    },
    AccountLoad {
        name: "radio-two",
        slot_time_ms: 5,
        weight: 1,
    },
];
static WEIGHTED: [AccountLoad; 2] = [
    AccountLoad {
        name: "radio-one",
        slot_time_ms: 20,
        weight: 3,
    },
    AccountLoad {
        name: "radio-two",
        slot_time_ms: 20,
        weight: 1,
    },
];

#[test_case(&EVEN, 1; "same slot time")]
#[test_case(&UNEVEN, 1; "twenty times the slot time")]
#[test_case(&UNEVEN, 2; "two slots")]
#[test_case(&WEIGHTED, 1; "three times the weight")]
fn slot_time_shared(loads: &'static [AccountLoad; 2], slots: u32) {
    let mut sim = QueueSim::new(slots);
    for load in loads {
        for _ in 0..4 {
            sim.arrive(load);
        }
    }
    for _ in 0..5_000 {
        sim.finish_next();
    }
    let [first, second] = loads
        .each_ref()
        .map(|load| sim.used_ms[load.name] as f64 / f64::from(load.weight));
    // The difference is bounded by one request of each account per slot, both at
    // the larger slot time divided by weight.
    let ratios = loads
        .iter()
        .map(|load| load.slot_time_ms as f64 / f64::from(load.weight));
    let bound = ratios.fold(0.0, f64::max) * f64::from(slots) * 2.0;
    assert!(
        (first - second).abs() <= bound,
        "{first} ms and {second} ms, bound {bound} ms"
    );
    assert!(sim.refused.is_empty());
}

#[test]
fn idle_gains_no_credit() {
    let mut sim = QueueSim::new(1);
    for _ in 0..4 {
        sim.arrive(&EVEN[0]);
    }
    for _ in 0..1_000 {
        sim.finish_next();
    }
    // The new account gets half of the slot time from now on. It does not catch
    // up on the thousand requests that the other account has run.
    for _ in 0..4 {
        sim.arrive(&EVEN[1]);
    }
    sim.used_ms.clear();
    for _ in 0..100 {
        sim.finish_next();
    }
    let new_account_ms = sim.used_ms["radio-two"];
    assert!(
        (480..=520).contains(&new_account_ms),
        "{new_account_ms} ms of 1000"
    );
}

#[test]
fn flood_keeps_others_queued() {
    let mut sim = QueueSim::new(1);
    sim.arrive(&EVEN[0]);
    for _ in 0..100 {
        sim.arrive(&EVEN[0]);
    }
    sim.arrive(&EVEN[1]);
    let refused_before = sim.refused.len();
    assert!(refused_before > 0, "the queue is bounded");
    // The job of the other account was queued in place of one of the flood, and
    // it runs next.
    sim.finish_next();
    sim.finish_next();
    assert_eq!(sim.used_ms.get("radio-two"), Some(&10));
}
