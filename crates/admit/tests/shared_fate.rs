//! Subsequent overload: each piece of work makes two calls to an overloaded
//! service and needs both, while the service can run two calls in three. If each
//! call is refused independently, most pieces of work lose one of theirs. If
//! both calls share a work priority, most of the calls that run belong to work
//! that succeeds.

use std::time::Duration;

use admit::{Job, JobId, QueueAction, QueueEvent, QueueLimits, SlotQueue, WorkKind};
use ids::{FastMap, MonoTime, Rank, Slots, Weight, WorkPriority};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use test_case::test_case;

/// Slots of each backend server.
const SLOTS: u32 = 5;
/// Mean slot time of a call, in milliseconds.
const WORK_MS: u64 = 200;
/// Time from the arrival of a call to its target.
const TARGET: Duration = Duration::from_millis(600);
/// Time from the arrival of a call to its deadline.
const DEADLINE: Duration = Duration::from_millis(2_000);
/// Number of pieces of work; each makes one call to each of two servers.
const PIECES: u64 = 3_000;
/// Mean time between pieces of work, in milliseconds: a server can run 25 calls
/// per second and gets 37.5.
const GAP_MS: f64 = 1_000.0 / 37.5;

/// Numbers of calls that ran, and of pieces of work of which both ran.
#[derive(Debug, Default)]
struct RunCounts {
    calls: u64,
    pieces: u64,
}

/// Backend server with its queue, in simulated time.
struct SimServer {
    queue: SlotQueue,
    ends: Vec<(u64, JobId)>,
}

impl SimServer {
    fn new() -> Self {
        Self {
            queue: SlotQueue::new(QueueLimits::for_slots(Slots(SLOTS))),
            ends: Vec::new(),
        }
    }

    /// Passes an event to the queue, and starts the calls that it dispatches.
    fn handle(&mut self, millis: u64, event: QueueEvent, random: &mut StdRng) {
        for action in self.queue.handle(MonoTime::from_millis(millis), event) {
            if let QueueAction::Dispatch(id) = action {
                let work = random.random_range(WORK_MS / 2..WORK_MS * 3 / 2);
                self.ends.push((millis + work, id));
            }
        }
    }

    /// Finishes the calls that are due to end, and returns them.
    fn finish(&mut self, millis: u64, random: &mut StdRng) -> Vec<JobId> {
        let over = |end: &(u64, JobId)| end.0 <= millis;
        let done: Vec<JobId> = self
            .ends
            .iter()
            .filter(|end| over(end))
            .map(|end| end.1)
            .collect();
        self.ends.retain(|end| !over(end));
        for id in &done {
            self.handle(millis, QueueEvent::Finish(*id), random);
        }
        done
    }
}

/// Runs all pieces of work, with a shared work priority for the calls of each if
/// `shared` is set.
fn run_work(shared: bool) -> RunCounts {
    let mut random = StdRng::seed_from_u64(7);
    let mut servers = [SimServer::new(), SimServer::new()];
    let mut served: FastMap<JobId, u64> = FastMap::default();
    let mut next_at = 0.0;
    let mut pieces = 0;
    for millis in 0.. {
        for server in &mut servers {
            for id in server.finish(millis, &mut random) {
                *served.entry(id).or_default() += 1;
            }
            server.handle(millis, QueueEvent::Tick, &mut random);
        }
        while pieces < PIECES && next_at <= millis as f64 {
            pieces += 1;
            next_at += -GAP_MS * random.random::<f64>().max(1e-9).ln();
            let priority = if shared {
                random.random_range(1..u32::MAX)
            } else {
                0
            };
            for server in &mut servers {
                let now = MonoTime::from_millis(millis);
                let job = Job {
                    id: JobId(pieces),
                    account: None,
                    rank: Rank(0),
                    work_priority: WorkPriority(priority),
                    internal: false,
                    kind: WorkKind::UNKNOWN,
                    first_offer: true,
                    idempotent: true,
                    bulk: false,
                    weight: Weight(1),
                    target: now + TARGET,
                    deadline: now + DEADLINE,
                };
                server.handle(millis, QueueEvent::Arrive(job), &mut random);
            }
        }
        let idle = servers.iter().all(|server| server.queue.is_idle());
        if pieces == PIECES && idle {
            break;
        }
    }
    RunCounts {
        calls: served.values().sum(),
        pieces: served.values().filter(|count| **count == 2).count() as u64,
    }
}

#[test_case(true, 0.85; "with shared priority")]
fn calls_share_fate(shared: bool, least: f64) {
    let counts = run_work(shared);
    // The servers are kept busy: they can run two calls in three.
    assert!(counts.calls >= PIECES * 2 * 6 / 10, "{counts:?}");
    let useful = (2 * counts.pieces) as f64 / counts.calls as f64;
    assert!(useful >= least, "{useful} {counts:?}");
}
