//! Which jobs are delayed or refused where several kinds compete, in simulated time. The
//! kinds are those of two deployments, in front of one backend server that gets more
//! work than it can run.

use std::time::Duration;

use admit::{Job, JobId, QueueAction, QueueEvent, QueueLimits, QueueRefusal, SlotQueue, WorkKind};
use ids::{AccountId, FastMap, MonoTime, Rank, Slots, Weight, WorkPriority};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use test_case::test_case;

/// Length of a run, in milliseconds.
const RUN_MS: u64 = 120_000;
/// Part of its worth that an answer has after the target.
const LATE_WORTH: f64 = 0.3;
/// Least served share of a kind, as a part of that of all.
const LEAST_SHARE: f64 = 0.25;

/// Kind of request with its load.
#[derive(Clone, Copy, Debug)]
struct KindLoad {
    rank: u8,
    /// Whether the rank of the account counts, which is 0, that of the kind or 2.
    account_ranks: bool,
    target_ms: u64,
    deadline_ms: u64,
    work_ms: f64,
    worth: f64,
    idempotent: bool,
    /// Whether it is a call of a running request, which has no account.
    call: bool,
    /// Requests per second.
    rate: f64,
}

const PAYOUT_REQUEST: KindLoad = KindLoad {
    rank: 0,
    account_ranks: false,
    target_ms: 1_500,
    deadline_ms: 6_000,
    work_ms: 490.0,
    worth: 1.0,
    idempotent: false,
    call: false,
    rate: 9.0,
};
const STATS_READ: KindLoad = KindLoad {
    idempotent: true,
    rank: 2,
    target_ms: 8_000,
    deadline_ms: 20_000,
    work_ms: 1_500.0,
    rate: 4.0,
    ..PAYOUT_REQUEST
};
const LOOKUP: KindLoad = KindLoad {
    call: true,
    idempotent: true,
    target_ms: 1_000,
    deadline_ms: 3_000,
    work_ms: 150.0,
    rate: 20.0,
    ..PAYOUT_REQUEST
};
const FEED_READ: KindLoad = KindLoad {
    idempotent: true,
    rank: 1,
    target_ms: 2_000,
    deadline_ms: 6_000,
    work_ms: 610.0,
    rate: 14.0,
    ..PAYOUT_REQUEST
};
const EPISODE_PUBLISH: KindLoad = KindLoad {
    idempotent: false,
    target_ms: 4_000,
    deadline_ms: 10_000,
    work_ms: 780.0,
    worth: 2.0,
    rate: 7.0,
    ..FEED_READ
};
const POSITION_LOOKUP: KindLoad = KindLoad {
    idempotent: true,
    rank: 1,
    target_ms: 1_200,
    deadline_ms: 2_500,
    work_ms: 200.0,
    rate: 10.0,
    ..PAYOUT_REQUEST
};
const GATE_OUT_CONFIRM: KindLoad = KindLoad {
    rank: 0,
    target_ms: 1_200,
    deadline_ms: 4_000,
    work_ms: 350.0,
    worth: 2.0,
    rate: 4.0,
    ..PAYOUT_REQUEST
};
const SENSOR_HISTORY: KindLoad = KindLoad {
    idempotent: true,
    rank: 2,
    target_ms: 2_500,
    deadline_ms: 6_000,
    work_ms: 700.0,
    rate: 4.0,
    ..PAYOUT_REQUEST
};
const CUSTOMS_HOLD: KindLoad = KindLoad {
    rank: 0,
    target_ms: 800,
    deadline_ms: 2_500,
    work_ms: 250.0,
    rate: 2.0,
    ..PAYOUT_REQUEST
};

/// Profiles of the page: two services of the first deployment and one of the second.
const PAYOUTS: &[KindLoad] = &[PAYOUT_REQUEST, STATS_READ, LOOKUP];
const FEEDS: &[KindLoad] = &[FEED_READ, EPISODE_PUBLISH];
const YARD: &[KindLoad] = &[
    POSITION_LOOKUP,
    GATE_OUT_CONFIRM,
    SENSOR_HISTORY,
    CUSTOMS_HOLD,
];

/// Returns the profile with accounts whose ranks go before those of the kinds.
fn with_account_ranks(kinds: &[KindLoad]) -> Vec<KindLoad> {
    let ranked = |kind: &KindLoad| KindLoad {
        account_ranks: true,
        ..*kind
    };
    kinds.iter().map(ranked).collect()
}

/// Counts of the requests of one kind and rank.
#[derive(Clone, Copy, Debug, Default)]
struct KindCounts {
    wanted: u32,
    in_time: u32,
    late: u32,
}

impl KindCounts {
    fn served(self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.wanted.max(1))
    }

    fn add(self, other: Self) -> Self {
        Self {
            wanted: self.wanted + other.wanted,
            in_time: self.in_time + other.in_time,
            late: self.late + other.late,
        }
    }
}

/// Result of a run.
#[derive(Debug)]
struct RunCounts {
    /// By number of the kind and rank.
    kinds: FastMap<(usize, Rank), KindCounts>,
    worth: f64,
}

impl RunCounts {
    fn all(&self, of: impl Fn(usize, Rank) -> bool) -> KindCounts {
        let counts = self.kinds.iter();
        let counts = counts.filter(|((kind, rank), _)| of(*kind, *rank));
        counts.fold(KindCounts::default(), |sum, (_, counts)| sum.add(*counts))
    }

    /// Worth that was earned, as a part of that of all requests.
    fn worth_share(&self, kinds: &[KindLoad]) -> f64 {
        let wanted = self.kinds.iter();
        let all: f64 = wanted
            .map(|((kind, _), counts)| f64::from(counts.wanted) * kinds[*kind].worth)
            .sum();
        self.worth / all
    }
}

/// Runs a profile in front of `slots` slots with `load` times its rates. The load swings
/// by half around that if `swings` is set.
fn run(kinds: &[KindLoad], slots: u32, load: f64, swings: bool, seed: u64) -> RunCounts {
    let mut random = StdRng::seed_from_u64(seed);
    let mut queue = SlotQueue::new(QueueLimits::for_slots(Slots(slots)));
    let mut running: Vec<(MonoTime, JobId)> = Vec::new();
    let mut jobs: FastMap<JobId, (usize, Rank, MonoTime, Duration)> = FastMap::default();
    let mut result = RunCounts {
        kinds: FastMap::default(),
        worth: 0.0,
    };
    let mut number = 0;
    for millis in (1..RUN_MS).step_by(2) {
        let now = MonoTime::from_millis(millis);
        let mut events = vec![QueueEvent::Tick];
        for (_, id) in running.extract_if(.., |(end, _)| *end <= now) {
            events.push(QueueEvent::Finish(id));
            let (kind, rank, arrived, _) = jobs[&id];
            let counts = result.kinds.entry((kind, rank)).or_default();
            match now.since(arrived) <= Duration::from_millis(kinds[kind].target_ms) {
                true => counts.in_time += 1,
                false => counts.late += 1,
            }
            result.worth += kinds[kind].worth
                * match now.since(arrived) <= Duration::from_millis(kinds[kind].target_ms) {
                    true => 1.0,
                    false => LATE_WORTH,
                };
        }
        let swing = match swings {
            true => 1.0 + 0.5 * (millis as f64 / 5_000.0).sin(),
            false => 1.0,
        };
        for (index, kind) in kinds.iter().enumerate() {
            if random.random::<f64>() >= kind.rate * load * swing * 0.002 {
                continue;
            }
            number += 1;
            let rank = match (kind.account_ranks && !kind.call, random.random_range(0..10)) {
                (true, 0..3) => Rank(0),
                (true, 7..) => Rank(2),
                _ => Rank(kind.rank),
            };
            // Work with a heavy tail: one in fifty takes ten times as long.
            let factor = match random.random_range(0..50) {
                0 => 10.0,
                _ => random.random_range(0.4..1.2),
            };
            let work = Duration::from_secs_f64(kind.work_ms * factor / 1_000.0);
            jobs.insert(JobId(number), (index, rank, now, work));
            result.kinds.entry((index, rank)).or_default().wanted += 1;
            let account = format!("account-{}", random.random_range(0..300));
            events.push(QueueEvent::Arrive(Job {
                id: JobId(number),
                account: (!kind.call).then(|| account.parse::<AccountId>().unwrap()),
                rank,
                work_priority: match kind.call {
                    true => WorkPriority(random.random_range(1..u32::MAX)),
                    false => WorkPriority(0),
                },
                kind: WorkKind(index as u32 + 1),
                first_offer: true,
                idempotent: kind.idempotent,
                internal: false,
                bulk: false,
                weight: Weight(1),
                target: now + Duration::from_millis(kind.target_ms),
                deadline: now + Duration::from_millis(kind.deadline_ms),
            }));
        }
        for event in events {
            for action in queue.handle(now, event) {
                if let QueueAction::Dispatch(id) = action {
                    let end = now + jobs[&id].3;
                    running.push((end, id));
                }
            }
        }
    }
    result
}

// Guards against long jobs and jobs that can wait which take the slots of short and
// urgent ones. The bounds lie between the worth by rank and fair share alone (in turn
// 0.90, 0.77, 0.51, 0.71, 0.67, 0.43, 0.91, 0.85 and 0.72) and that by the present order.
#[test_case(PAYOUTS, 10, 0.7, false, 0.93; "payouts beside stats and lookups")]
#[test_case(PAYOUTS, 10, 1.0, false, 0.81; "payouts beside more")]
#[test_case(PAYOUTS, 10, 1.6, false, 0.58; "payouts on the worst day")]
#[test_case(PAYOUTS, 10, 1.0, true, 0.77; "payouts by ranks of accounts")]
#[test_case(FEEDS, 10, 1.0, false, 0.68; "feeds beside publishing")]
#[test_case(FEEDS, 10, 1.6, false, 0.46; "feeds on the worst day")]
#[test_case(YARD, 5, 0.7, false, 0.92; "yard")]
#[test_case(YARD, 5, 0.7, true, 0.87; "yard by ranks of accounts")]
#[test_case(YARD, 5, 1.0, true, 0.745; "yard at its peak by ranks of accounts")]
fn worth_is_kept(kinds: &[KindLoad], slots: u32, load: f64, ranked: bool, least: f64) {
    let kinds = match ranked {
        true => with_account_ranks(kinds),
        false => kinds.to_vec(),
    };
    let runs = (1..4).map(|seed| run(&kinds, slots, load, true, seed).worth_share(&kinds));
    let worth = runs.sum::<f64>() / 3.0;
    assert!(worth >= least, "{worth}");
}

// Guards against a rank or kind that gets nothing for as long as the load lasts.
#[test_case(PAYOUTS, 10, false; "payouts")]
#[test_case(PAYOUTS, 10, true; "payouts by ranks of accounts")]
#[test_case(FEEDS, 10, true; "feeds by ranks of accounts")]
#[test_case(YARD, 5, false; "yard")]
#[test_case(YARD, 5, true; "yard by ranks of accounts")]
fn least_share_is_kept(kinds: &[KindLoad], slots: u32, ranked: bool) {
    let kinds = match ranked {
        true => with_account_ranks(kinds),
        false => kinds.to_vec(),
    };
    for load in [1.0, 1.6, 2.5] {
        let counts = run(&kinds, slots, load, false, 4);
        let least = LEAST_SHARE * counts.all(|_, _| true).served();
        for ((kind, rank), of_kind) in &counts.kinds {
            assert!(
                of_kind.served() >= least || of_kind.wanted < 50,
                "{load}: kind {kind} of {rank:?}: {of_kind:?}, least {least}"
            );
        }
    }
}

// Guards against a low rank that is served where a higher one is not.
#[test_case(PAYOUTS, 10; "payouts")]
#[test_case(FEEDS, 10; "feeds")]
#[test_case(YARD, 5; "yard")]
fn higher_rank_first(kinds: &[KindLoad], slots: u32) {
    let kinds = with_account_ranks(kinds);
    for load in [0.7, 1.0, 1.6] {
        let counts = run(&kinds, slots, load, true, 5);
        let served = |rank| counts.all(|_, other| other == Rank(rank)).served();
        let ranks: Vec<f64> = (0..3)
            .filter(|rank| counts.all(|_, other| other == Rank(*rank)).wanted > 50)
            .map(served)
            .collect();
        assert!(
            ranks.windows(2).all(|pair| pair[0] >= pair[1] - 0.02),
            "{load}: {ranks:?}"
        );
    }
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Returns a job of rank 0 that arrives at `millis`.
fn job(id: u64, kind: u32, millis: u64, target_ms: u64, deadline_ms: u64) -> Job {
    Job {
        id: JobId(id),
        account: None,
        rank: Rank(0),
        work_priority: WorkPriority(0),
        kind: WorkKind(kind),
        first_offer: true,
        idempotent: true,
        internal: false,
        bulk: false,
        weight: Weight(1),
        target: at(millis + target_ms),
        deadline: at(millis + deadline_ms),
    }
}

/// Returns a queue with one slot that knows the work of kinds 1 (100 ms) and 2 (2 s),
/// and the time.
fn trained_queue(tail: impl Fn(u64) -> u64) -> (SlotQueue, u64) {
    let mut queue = SlotQueue::new(QueueLimits::for_slots(Slots(1)));
    let mut millis = 1;
    for number in 0..60 {
        let kind = 1 + (number % 2) as u32;
        let work = match kind {
            1 => 100 * tail(number),
            _ => 2_000,
        };
        queue.handle(
            at(millis),
            QueueEvent::Arrive(job(number, kind, millis, 60_000, 90_000)),
        );
        millis += work;
        queue.handle(at(millis), QueueEvent::Finish(JobId(number)));
    }
    (queue, millis)
}

// Guards against an estimate of work that a few very long requests decide.
#[test]
fn tail_keeps_order() {
    let tail = |number: u64| if number % 20 == 18 { 50 } else { 1 };
    let (mut queue, now) = trained_queue(tail);
    queue.handle(at(now), QueueEvent::Arrive(job(100, 1, now, 9_000, 20_000)));
    queue.handle(at(now), QueueEvent::Arrive(job(101, 2, now, 9_000, 20_000)));
    queue.handle(at(now), QueueEvent::Arrive(job(102, 1, now, 9_000, 20_000)));
    let actions = queue.handle(at(now + 100), QueueEvent::Finish(JobId(100)));
    assert_eq!(actions, [QueueAction::Dispatch(JobId(102))]);
}

// Guards against a rejection that is taken for a very short request.
#[test]
fn rejection_is_no_work() {
    let (mut queue, mut now) = trained_queue(|_| 1);
    for number in 200..230 {
        queue.handle(
            at(now),
            QueueEvent::Arrive(job(number, 2, now, 60_000, 90_000)),
        );
        now += 1;
        queue.handle(at(now), QueueEvent::Abort(JobId(number)));
    }
    queue.handle(at(now), QueueEvent::Arrive(job(300, 1, now, 9_000, 20_000)));
    queue.handle(at(now), QueueEvent::Arrive(job(301, 2, now, 9_000, 20_000)));
    queue.handle(at(now), QueueEvent::Arrive(job(302, 1, now, 9_000, 20_000)));
    let actions = queue.handle(at(now + 100), QueueEvent::Finish(JobId(300)));
    assert_eq!(actions, [QueueAction::Dispatch(JobId(302))]);
}

// Guards against a request that waits although the work before it and its own take
// longer than its caller does.
#[test]
fn hopeless_job_is_refused_at_once() {
    let (mut queue, now) = trained_queue(|_| 1);
    for number in 400..404 {
        queue.handle(
            at(now),
            QueueEvent::Arrive(job(number, 2, now, 60_000, 90_000)),
        );
    }
    let late = job(404, 1, now, 1_000, 3_000);
    let actions = queue.handle(at(now), QueueEvent::Arrive(late));
    assert_eq!(
        actions,
        [QueueAction::Refuse(JobId(404), QueueRefusal::Overloaded)]
    );
    let delay = queue.report(at(now)).delay;
    assert!(delay >= Duration::from_secs(3), "{delay:?}");
    // Its own work alone takes longer than the caller does.
    let short = job(405, 2, now, 500, 700);
    let actions = queue.handle(at(now), QueueEvent::Arrive(short));
    assert_eq!(
        actions,
        [QueueAction::Refuse(JobId(405), QueueRefusal::Overloaded)]
    );
}

// Guards against a short job that is refused for the long ones of its account, which it
// goes before.
#[test]
fn short_job_is_not_refused() {
    let (mut queue, now) = trained_queue(|_| 1);
    for number in 800..803 {
        let long = job(number, 2, now, 60_000, 90_000);
        queue.handle(at(now), QueueEvent::Arrive(long));
    }
    let short = job(803, 1, now, 3_900, 3_900);
    assert_eq!(queue.handle(at(now), QueueEvent::Arrive(short)), []);
    let actions = queue.handle(at(now + 2_000), QueueEvent::Finish(JobId(800)));
    assert_eq!(actions, [QueueAction::Dispatch(JobId(803))]);
}

// Guards against a kind that is never run again because it once held its slot for longer
// than the deadlines of its requests.
#[test]
fn long_kind_is_tried() {
    let (mut queue, now) = trained_queue(|_| 200);
    let mut millis = now;
    for number in 700..710 {
        let download = job(number, 1, millis, 2_000, 4_000);
        let actions = queue.handle(at(millis), QueueEvent::Arrive(download));
        assert_eq!(actions, [QueueAction::Dispatch(JobId(number))]);
        millis += 20_000;
        queue.handle(at(millis), QueueEvent::Finish(JobId(number)));
    }
}

// Guards against a full queue that refuses the more urgent of two ranks.
#[test]
fn full_queue_refuses_the_last() {
    let (mut queue, now) = trained_queue(|_| 1);
    let limit = QueueLimits::for_slots(Slots(1)).waiting as u64;
    for number in 500..=500 + limit {
        let flood = job(number, 1, now, 60_000, 90_000);
        queue.handle(
            at(now),
            QueueEvent::Arrive(Job {
                rank: Rank(2),
                ..flood
            }),
        );
    }
    let urgent = job(600, 1, now, 60_000, 90_000);
    let actions = queue.handle(at(now), QueueEvent::Arrive(urgent));
    let [QueueAction::Refuse(refused, QueueRefusal::Overloaded)] = actions[..] else {
        panic!("{actions:?}");
    };
    assert_ne!(refused, JobId(600));
}
