//! Numbers of attempts of one request, and what a stalled one leads to.

use std::time::Duration;

use ids::{MonoTime, Percent, Rank};
use route::{
    AttemptEnd, AttemptId, AttemptPlan, FailedOutcome, PlanAction, PlanEvent, PlanOptions,
    RetryBudget,
};

const HEDGE_AFTER: Duration = Duration::from_millis(50);

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Returns a budget that covers any number of retries of one request.
fn full_budget() -> RetryBudget {
    let budget = RetryBudget::new();
    for _ in 0..100 {
        budget.deposit(Percent(100));
    }
    budget
}

fn plan(idempotent: bool, hedge_after: Option<Duration>) -> AttemptPlan {
    AttemptPlan::new(PlanOptions {
        idempotent,
        replayable: true,
        rank: Rank(0),
        target: at(3_000),
        deadline: at(3_000),
        expected_work: Duration::ZERO,
        max_runs: None,
        hedge_after,
    })
}

// Guards against a fifth attempt: a hedge did not look at the number of attempts.
#[test]
fn hedge_is_an_attempt() {
    let budget = full_budget();
    let mut plan = plan(true, Some(HEDGE_AFTER));
    let mut sent = plan.handle(at(0), PlanEvent::Start, &budget);
    for number in 0..3 {
        let ended = PlanEvent::Ended(AttemptId(number), AttemptEnd::Unavailable);
        sent.extend(plan.handle(at(1), ended, &budget));
    }
    sent.extend(plan.handle(at(60), PlanEvent::Tick, &budget));
    let expected: Vec<PlanAction> = (0..4).map(|id| PlanAction::Send(AttemptId(id))).collect();
    assert_eq!(sent, expected);
}

// Guards against running work that is given up because its VM is silent for a while.
#[test]
fn stalled_attempt_goes_on() {
    let budget = full_budget();
    let mut plan = plan(true, None);
    plan.handle(at(0), PlanEvent::Start, &budget);
    let stalled = PlanEvent::Stalled(AttemptId(0));
    let actions = plan.handle(at(700), stalled, &budget);
    assert_eq!(actions, [PlanAction::Send(AttemptId(1))]);
    assert_eq!(plan.handle(at(710), stalled, &budget), [], "one beside it");
    // There is no other server, and the first one wakes up.
    let actions = plan.handle(at(720), PlanEvent::NoServer(AttemptId(1)), &budget);
    assert_eq!(actions, []);
    let actions = plan.handle(at(1_500), PlanEvent::Answered(AttemptId(0)), &budget);
    assert_eq!(actions, [PlanAction::Deliver(AttemptId(0))]);
}

#[test]
fn stalled_attempt_ends_at_the_deadline() {
    let budget = full_budget();
    let mut plan = plan(true, None);
    plan.handle(at(0), PlanEvent::Start, &budget);
    plan.handle(at(700), PlanEvent::Stalled(AttemptId(0)), &budget);
    plan.handle(at(701), PlanEvent::NoServer(AttemptId(1)), &budget);
    let actions = plan.handle(at(3_000), PlanEvent::Tick, &budget);
    let expected = [
        PlanAction::Cancel(AttemptId(0)),
        PlanAction::Fail(FailedOutcome::UnknownTimeout),
    ];
    assert_eq!(actions, expected);
}

#[test]
fn stalled_post_runs_once() {
    let budget = full_budget();
    let mut plan = plan(false, None);
    plan.handle(at(0), PlanEvent::Start, &budget);
    let actions = plan.handle(at(700), PlanEvent::Stalled(AttemptId(0)), &budget);
    assert_eq!(actions, []);
}
