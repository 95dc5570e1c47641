//! Sustained overload: more jobs arrive than the slots can run. Jobs that can
//! still meet their target must go first, and jobs that can't be served must be
//! refused long before their deadline.

use std::time::Duration;

use admit::{Job, JobId, QueueAction, QueueEvent, QueueLimits, SlotQueue, WorkKind};
use ids::{AccountId, FastMap, MonoTime, Rank, Slots, Weight, WorkPriority};

/// Slot time of every job.
const WORK: Duration = Duration::from_millis(200);
/// Time from the arrival of a job to its target.
const TARGET: Duration = Duration::from_millis(800);
/// Time from the arrival of a job to its deadline.
const DEADLINE: Duration = Duration::from_millis(2_500);
/// Slots of the backend server.
const SLOTS: u32 = 5;

/// Outcomes of the jobs of a run.
#[derive(Debug, Default)]
struct RunOutcomes {
    in_time: u32,
    late: u32,
    /// Time from arrival to refusal of each refused job.
    held: Vec<Duration>,
}

/// Sends jobs of eight accounts at a rate for 20 s of simulated time.
fn run_load(per_second: u64) -> RunOutcomes {
    let mut queue = SlotQueue::new(QueueLimits::for_slots(Slots(SLOTS)));
    let mut outcomes = RunOutcomes::default();
    let mut arrivals: FastMap<JobId, MonoTime> = FastMap::default();
    let mut ends: Vec<(MonoTime, JobId)> = Vec::new();
    let mut number = 0;
    let gap_ms = 1_000 / per_second;
    for millis in 1..20_000 {
        let now = MonoTime::from_millis(millis);
        let mut events = Vec::new();
        ends.retain(|(end, id)| {
            let over = *end <= now;
            if over {
                events.push(QueueEvent::Finish(*id));
                match now.since(arrivals[id]) <= TARGET {
                    true => outcomes.in_time += 1,
                    false => outcomes.late += 1,
                }
            }
            !over
        });
        if millis % gap_ms == 0 {
            number += 1;
            let id = JobId(number);
            arrivals.insert(id, now);
            let account: AccountId = format!("a{}", number % 8).parse().unwrap();
            events.push(QueueEvent::Arrive(Job {
                id,
                account: Some(account),
                rank: Rank(0),
                work_priority: WorkPriority(0),
                internal: false,
                kind: WorkKind::UNKNOWN,
                first_offer: true,
                idempotent: true,
                bulk: false,
                weight: Weight(1),
                target: now + TARGET,
                deadline: now + DEADLINE,
            }));
        }
        events.push(QueueEvent::Tick);
        for event in events {
            for action in queue.handle(now, event) {
                match action {
                    QueueAction::Dispatch(id) => ends.push((now + WORK, id)),
                    QueueAction::Refuse(id, _) => outcomes.held.push(now.since(arrivals[&id])),
                }
            }
        }
    }
    outcomes
}

#[test]
fn most_in_time() {
    // The slots can run 25 jobs per second, half of this load.
    let outcomes = run_load(50);
    let served = outcomes.in_time + outcomes.late;
    assert!(
        served >= 470,
        "{served} jobs served, expected at least 470: slots were idle"
    );
    assert!(
        f64::from(outcomes.in_time) >= 0.9 * f64::from(served),
        "{} in time, {} late",
        outcomes.in_time,
        outcomes.late
    );
}

#[test]
fn refused_early() {
    let outcomes = run_load(50);
    let held_long = outcomes
        .held
        .iter()
        .filter(|held| **held > DEADLINE * 3 / 4);
    let share = held_long.count() as f64 / outcomes.held.len() as f64;
    assert!(share < 0.05, "{share} of {}", outcomes.held.len());
}

#[test]
fn light_load_served() {
    let outcomes = run_load(20);
    assert!(outcomes.held.is_empty(), "{:?}", outcomes.held);
    assert_eq!(outcomes.late, 0);
}

/// Sends jobs of the highest rank at a rate, and two jobs per second of a lower
/// rank with a long deadline. Returns how many of the latter ran, and the time
/// from arrival to refusal of the others.
fn run_ranks(first_per_second: u64) -> (u32, Vec<Duration>) {
    const LOW_RANK_DEADLINE: Duration = Duration::from_secs(12);
    let mut queue = SlotQueue::new(QueueLimits::for_slots(Slots(SLOTS)));
    let mut ends: Vec<(MonoTime, JobId)> = Vec::new();
    let mut low_arrivals: FastMap<JobId, MonoTime> = FastMap::default();
    let (mut ran, mut held, mut number) = (0, Vec::new(), 0);
    for millis in 1..30_000_u64 {
        let now = MonoTime::from_millis(millis);
        let mut events = vec![QueueEvent::Tick];
        let over = ends.extract_if(.., |(end, _)| *end <= now);
        events.extend(over.map(|(_, id)| QueueEvent::Finish(id)));
        let mut arrive = |rank: Rank, deadline: Duration| {
            number += 1;
            if rank > Rank(0) {
                low_arrivals.insert(JobId(number), now);
            }
            events.push(QueueEvent::Arrive(Job {
                id: JobId(number),
                account: None,
                rank,
                work_priority: WorkPriority(0),
                internal: false,
                kind: WorkKind::UNKNOWN,
                first_offer: true,
                idempotent: true,
                bulk: false,
                weight: Weight(1),
                target: now + TARGET,
                deadline: now + deadline,
            }));
        };
        if millis % (1_000 / first_per_second) == 0 {
            arrive(Rank(0), DEADLINE);
        }
        if millis % 500 == 0 {
            arrive(Rank(2), LOW_RANK_DEADLINE);
        }
        for event in events {
            for action in queue.handle(now, event) {
                match action {
                    QueueAction::Dispatch(id) => {
                        ran += u32::from(low_arrivals.remove(&id).is_some());
                        ends.push((now + WORK, id));
                    }
                    QueueAction::Refuse(id, _) => {
                        held.extend(low_arrivals.remove(&id).map(|arrival| now.since(arrival)));
                    }
                }
            }
        }
    }
    (ran, held)
}

#[test]
fn hopeless_rank_is_told_early() {
    // Jobs of the highest rank, such as calls of running requests, go first and
    // take all slots. Jobs of a lower rank must be refused early, and not be held
    // until their deadline for slots that never become free.
    let (ran, held) = run_ranks(32);
    assert!(ran <= 15, "{ran}");
    let late: Vec<_> = held.iter().filter(|held| **held > DEADLINE).collect();
    // The first few wait longer, until the load of the highest rank is known.
    assert!(
        late.len() * 5 <= held.len(),
        "{} of {}",
        late.len(),
        held.len()
    );
}

#[test]
fn low_rank_served() {
    let (ran, held) = run_ranks(20);
    assert_eq!(held, []);
    assert!(ran >= 55, "{ran}");
}
