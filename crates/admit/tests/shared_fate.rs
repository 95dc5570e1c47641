//! Pattern: subsequent overload. Each piece of work makes two calls to a service
//! that can serve two calls in three, and needs both. Calls that are shed one
//! by one fail most of it; shed by a shared lot, most calls that are served
//! belong to work that succeeds.

use std::time::Duration;

use admit::{Job, JobId, QueueAction, QueueEvent, QueueLimits, SlotQueue};
use ids::{FastMap, Lot, MonoTime, Rank, Slots, Weight};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use test_case::test_case;

const SLOTS: u32 = 5;
/// Mean slot time of a call, in milliseconds.
const WORK_MS: u64 = 200;
const TARGET: Duration = Duration::from_millis(600);
const DEADLINE: Duration = Duration::from_millis(2_000);
/// Pieces of work; each makes a call to each of two servers.
const PIECES: u64 = 3_000;
/// Mean time between pieces of work, in milliseconds: one server does 25 calls
/// a second, and 37.5 come.
const GAP_MS: f64 = 1_000.0 / 37.5;

/// Served calls, and pieces of work with both.
#[derive(Debug, Default)]
struct Ledger {
    calls: u64,
    pieces: u64,
}

/// One server's queue in virtual time.
struct Server {
    queue: SlotQueue,
    ends: Vec<(u64, JobId)>,
}

impl Server {
    fn new() -> Self {
        Self {
            queue: SlotQueue::new(QueueLimits::for_slots(Slots(SLOTS))),
            ends: Vec::new(),
        }
    }

    /// Passes an event on, and gives the calls that it lets run.
    fn handle(&mut self, millis: u64, event: QueueEvent, random: &mut StdRng) {
        for action in self.queue.handle(MonoTime::from_millis(millis), event) {
            if let QueueAction::Dispatch(id) = action {
                let work = random.random_range(WORK_MS / 2..WORK_MS * 3 / 2);
                self.ends.push((millis + work, id));
            }
        }
    }

    /// Ends what is done, and gives its calls.
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

fn play(lots: bool) -> Ledger {
    let mut random = StdRng::seed_from_u64(7);
    let mut servers = [Server::new(), Server::new()];
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
            let lot = if lots {
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
                    lot: Lot(lot),
                    internal: false,
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
    Ledger {
        calls: served.values().sum(),
        pieces: served.values().filter(|count| **count == 2).count() as u64,
    }
}

#[test_case(true, 0.85; "with lots")]
fn served_calls_make_whole_work(lots: bool, least: f64) {
    let ledger = play(lots);
    // The servers stay busy: both could serve two calls in three.
    assert!(ledger.calls >= PIECES * 2 * 6 / 10, "{ledger:?}");
    let useful = (2 * ledger.pieces) as f64 / ledger.calls as f64;
    assert!(useful >= least, "{useful} {ledger:?}");
}
