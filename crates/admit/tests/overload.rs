//! Pattern: sustained overload. More comes than the slots can do; what can
//! still be in time goes first, and what can't be served is told so early.

use std::time::Duration;

use admit::{Job, JobId, QueueAction, QueueEvent, QueueLimits, SlotQueue};
use ids::{AccountId, FastMap, Lot, MonoTime, Rank, Slots, Weight};

/// Slot time of every job.
const WORK: Duration = Duration::from_millis(200);
/// Target and deadline of every job, from its arrival.
const TARGET: Duration = Duration::from_millis(800);
const DEADLINE: Duration = Duration::from_millis(2_500);
const SLOTS: u32 = 5;

/// What became of the jobs of a run.
#[derive(Debug, Default)]
struct Ledger {
    in_time: u32,
    late: u32,
    /// Time that each refused job was held.
    held: Vec<Duration>,
}

/// Offers jobs at a rate for 20 s of virtual time.
fn play(per_second: u64) -> Ledger {
    let mut queue = SlotQueue::new(QueueLimits::for_slots(Slots(SLOTS)));
    let mut ledger = Ledger::default();
    let mut came: FastMap<JobId, MonoTime> = FastMap::default();
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
                match now.since(came[id]) <= TARGET {
                    true => ledger.in_time += 1,
                    false => ledger.late += 1,
                }
            }
            !over
        });
        if millis % gap_ms == 0 {
            number += 1;
            let id = JobId(number);
            came.insert(id, now);
            let account: AccountId = format!("a{}", number % 8).parse().unwrap();
            events.push(QueueEvent::Arrive(Job {
                id,
                account: Some(account),
                rank: Rank(0),
                lot: Lot(0),
                internal: false,
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
                    QueueAction::Refuse(id, _) => ledger.held.push(now.since(came[&id])),
                }
            }
        }
    }
    ledger
}

#[test]
fn most_are_in_time() {
    // Twice what the slots can do: 25 jobs a second fit.
    let ledger = play(50);
    let served = ledger.in_time + ledger.late;
    assert!(served >= 470, "the slots stay busy: {served}");
    assert!(
        f64::from(ledger.in_time) >= 0.9 * f64::from(served),
        "{} in time, {} late",
        ledger.in_time,
        ledger.late
    );
}

#[test]
fn nobody_is_held_to_the_end() {
    let ledger = play(50);
    let long = ledger.held.iter().filter(|held| **held > DEADLINE * 3 / 4);
    let share = long.count() as f64 / ledger.held.len() as f64;
    assert!(share < 0.05, "{share} of {}", ledger.held.len());
}

#[test]
fn light_load_is_not_touched() {
    let ledger = play(20);
    assert!(ledger.held.is_empty(), "{:?}", ledger.held);
    assert_eq!(ledger.late, 0);
}

/// Jobs of the highest rank at a rate, with a patient one of a lower rank two
/// times a second; gives how many of these ran, and how long the others were
/// held.
fn play_ranks(first_per_second: u64) -> (u32, Vec<Duration>) {
    const PATIENT: Duration = Duration::from_secs(12);
    let mut queue = SlotQueue::new(QueueLimits::for_slots(Slots(SLOTS)));
    let mut ends: Vec<(MonoTime, JobId)> = Vec::new();
    let mut patient: FastMap<JobId, MonoTime> = FastMap::default();
    let (mut ran, mut held, mut number) = (0, Vec::new(), 0);
    for millis in 1..30_000_u64 {
        let now = MonoTime::from_millis(millis);
        let mut events = vec![QueueEvent::Tick];
        let over = ends.extract_if(.., |(end, _)| *end <= now);
        events.extend(over.map(|(_, id)| QueueEvent::Finish(id)));
        let mut arrive = |rank: Rank, deadline: Duration| {
            number += 1;
            if rank > Rank(0) {
                patient.insert(JobId(number), now);
            }
            events.push(QueueEvent::Arrive(Job {
                id: JobId(number),
                account: None,
                rank,
                lot: Lot(0),
                internal: false,
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
            arrive(Rank(2), PATIENT);
        }
        for event in events {
            for action in queue.handle(now, event) {
                match action {
                    QueueAction::Dispatch(id) => {
                        ran += u32::from(patient.remove(&id).is_some());
                        ends.push((now + WORK, id));
                    }
                    QueueAction::Refuse(id, _) => {
                        held.extend(patient.remove(&id).map(|came| now.since(came)));
                    }
                }
            }
        }
    }
    (ran, held)
}

#[test]
fn hopeless_rank_is_told_early() {
    // Pattern: calls of running requests take all slots, and go first. What is
    // of a lower rank is not held until its deadline for slots that never come.
    let (ran, held) = play_ranks(32);
    assert!(ran <= 15, "{ran}");
    let late: Vec<_> = held.iter().filter(|held| **held > DEADLINE).collect();
    // The first few wait until the load of the others is known.
    assert!(
        late.len() * 5 <= held.len(),
        "{} of {}",
        late.len(),
        held.len()
    );
}

#[test]
fn lower_rank_runs_beside_the_others() {
    let (ran, held) = play_ranks(20);
    assert_eq!(held, []);
    assert!(ran >= 55, "{ran}");
}
