//! Rates that a backend server names for all its callers together.

use std::time::Duration;

use admit::{Job, JobId, QueueAction, QueueEvent, QueueLimits, QueueRefusal, SlotQueue, WorkKind};
use ids::{MonoTime, Rank, RequestRate, Slots, Weight, WorkPriority};
use test_case::test_case;

/// Span over which the operators count, and what they allow in it: one and a half
/// times the rate, and five requests more.
const SPAN: Duration = Duration::from_secs(4);
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_MORE: f64 = 5.0;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Returns a job that arrives at `millis` and may wait for `budget_ms`.
fn job(id: u64, millis: u64, budget_ms: u64) -> Job {
    Job {
        id: JobId(id),
        account: None,
        rank: Rank(0),
        work_priority: WorkPriority(0),
        internal: false,
        kind: WorkKind::UNKNOWN,
        first_offer: true,
        idempotent: true,
        bulk: false,
        weight: Weight(1),
        target: at(millis + budget_ms / 2),
        deadline: at(millis + budget_ms),
    }
}

/// Queue with the times at which its running jobs end.
struct PlayedQueue {
    queue: SlotQueue,
    ends: Vec<(u64, JobId)>,
}

impl PlayedQueue {
    fn new() -> Self {
        Self {
            queue: SlotQueue::new(QueueLimits::for_slots(Slots(5))),
            ends: Vec::new(),
        }
    }

    /// Plays arrivals every 10 ms, each running for 100 ms, and returns the times
    /// of all dispatches.
    fn play(&mut self, from_ms: u64, to_ms: u64) -> Vec<u64> {
        let mut dispatched = Vec::new();
        for millis in from_ms..to_ms {
            let mut events = vec![QueueEvent::Tick];
            if millis % 10 == 0 {
                events.push(QueueEvent::Arrive(job(millis, millis, 3_000)));
            }
            let due = self.ends.iter().filter(|(end, _)| *end == millis);
            events.extend(due.map(|(_, id)| QueueEvent::Finish(*id)));
            for event in events {
                let count = self.handle(millis, event);
                dispatched.extend(std::iter::repeat_n(millis, count));
            }
        }
        dispatched
    }

    /// Passes an event to the queue and returns the number of jobs that it
    /// dispatches.
    fn handle(&mut self, millis: u64, event: QueueEvent) -> usize {
        let before = self.ends.len();
        for action in self.queue.handle(at(millis), event) {
            if let QueueAction::Dispatch(id) = action {
                self.ends.push((millis + 100, id));
            }
        }
        self.ends.len() - before
    }
}

// Guards against servers that get more than the rate that they have named.
#[test_case("0.4"; "less than one")]
#[test_case("1"; "one")]
#[test_case("3.2"; "some")]
#[test_case("20"; "many")]
fn named_rate_holds(rate: &str) {
    let rate: RequestRate = rate.parse().unwrap();
    let mut played = PlayedQueue::new();
    played.play(0, 2_000);
    played.handle(2_000, QueueEvent::Limit(Some(rate)));
    let dispatched = played.play(2_000, 22_000);
    let span = SPAN.as_millis() as u64;
    for start in 2_000..22_000 - span {
        let inside = |millis: &&u64| (start..start + span).contains(*millis);
        let count = dispatched.iter().filter(inside).count() as f64;
        let allowed = rate.as_f64() * SPAN.as_secs_f64() * ALLOWED_FACTOR + ALLOWED_MORE;
        assert!(count <= allowed, "{count} of {allowed} from {start} ms");
    }
    let served = dispatched.len() as f64;
    // The first request has to wait for one interval.
    assert!(
        served >= (rate.as_f64() * 20.0 - 1.0) * 0.95,
        "{served} served"
    );
    played.handle(22_000, QueueEvent::Limit(None));
    let after = played.play(22_000, 24_000).len();
    assert!(after >= 80, "{after} served after the limit has ended");
}

#[test]
fn hopeless_job_is_refused_at_once() {
    let mut queue = SlotQueue::new(QueueLimits::for_slots(Slots(5)));
    queue.handle(at(0), QueueEvent::Limit(Some("1".parse().unwrap())));
    for id in 0..8 {
        queue.handle(at(1), QueueEvent::Arrive(job(id, 1, 20_000)));
    }
    let actions = queue.handle(at(2), QueueEvent::Arrive(job(8, 2, 1_500)));
    assert!(actions.contains(&QueueAction::Refuse(JobId(8), QueueRefusal::Limited)));
    let delay = queue.report(at(2)).delay;
    assert!(delay >= Duration::from_secs(7), "{delay:?}");
}

#[test]
fn unused_slot_is_not_counted() {
    let mut queue = SlotQueue::new(QueueLimits::for_slots(Slots(5)));
    queue.handle(at(0), QueueEvent::Limit(Some("1".parse().unwrap())));
    let mut dispatched = 0;
    for id in 0..20 {
        let actions = queue.handle(at(2_000), QueueEvent::Arrive(job(id, 2_000, 9_000)));
        if actions == [QueueAction::Dispatch(JobId(id))] {
            dispatched += 1;
            queue.handle(at(2_000), QueueEvent::Release(JobId(id)));
        }
    }
    assert_eq!(dispatched, 20);
}
