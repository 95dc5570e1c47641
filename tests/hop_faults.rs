//! Faults of the hop from ingress to egress: its connections are cut or held,
//! before or after the request is dispatched. Each test checks the answer and
//! the number of times that the request ran.

mod harness;

use std::time::Duration;

use config::Record;
use fakes::{Behaviour, DropRelay};
use harness::{Answer, Fleet, FleetShape};
use hop::OfferId;
use hyper::{Method, StatusCode};
use serve::{Attempt, HeaderSeal};
use test_case::test_case;

/// Deadline of the service, in milliseconds. It is long enough for a hop that
/// is held and released on a busy machine.
const DEADLINE_MS: u32 = 3_000;

/// Starts a fleet whose only backend server is on the VM of the first daemon.
/// The other daemons reach the first one only through a relay.
async fn relayed_fleet() -> (Fleet, DropRelay) {
    let relay = DropRelay::start().await.unwrap();
    let address = relay.address();
    let shape = FleetShape {
        servers: 1,
        ..FleetShape::default()
    };
    let fleet = Fleet::start_configured(shape, |deployment| {
        for record in &mut deployment.records {
            match record {
                Record::Vm(vm) if vm.id.as_str() == "vm-0" => vm.address = address,
                Record::Service(service) => {
                    service.deadline_ms = DEADLINE_MS;
                    service.hedge = false;
                }
                _ => {}
            }
        }
    })
    .await;
    relay.set_target(fleet.peers[0]);
    fleet.wait_for_tokens().await;
    (fleet, relay)
}

/// Time at which the fault begins.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FaultStart {
    /// Before the request is sent.
    BeforeDispatch,
    /// While the backend server runs the request.
    AfterDispatch,
}

/// Fault of the hop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HopFault {
    /// Its connections are closed, and new ones fail.
    Cut,
    /// Its data is held back for 200 ms.
    Held,
    /// Its data is held back until the caller has its answer.
    HeldTooLong,
}

/// Answers that a caller may get, by status and outcome, and how often the
/// request runs in all.
#[derive(Clone, Copy, Debug)]
struct Expected {
    answers: &'static [(StatusCode, &'static str)],
    runs: u64,
}

const ANSWERED: Expected = Expected {
    answers: &[(StatusCode::OK, "")],
    runs: 1,
};
/// The ingress may detect the cut before it has sent a byte, or only later.
const NOT_RUN: Expected = Expected {
    answers: &[
        (StatusCode::SERVICE_UNAVAILABLE, "not-run"),
        (StatusCode::BAD_GATEWAY, "unknown"),
    ],
    runs: 0,
};
/// The connection is closed, or the egress says that it has answered and the answer does
/// not arrive.
const LOST: Expected = Expected {
    answers: &[(StatusCode::BAD_GATEWAY, "unknown")],
    runs: 1,
};
/// The egress has given the slot to another request and reports that the late
/// request won't run.
const LAPSED: Expected = Expected {
    answers: &[(StatusCode::SERVICE_UNAVAILABLE, "not-run")],
    runs: 0,
};

/// Starts a fault at the relay.
fn start_fault(relay: &DropRelay, fault: HopFault) {
    match fault {
        HopFault::Cut => relay.set_cut(true),
        HopFault::Held | HopFault::HeldTooLong => relay.set_paused(true),
    }
}

/// Sends a POST request through the relay, with a fault before or after its
/// dispatch.
async fn post_with_fault(
    fleet: &Fleet,
    relay: &DropRelay,
    fault: HopFault,
    start: FaultStart,
) -> Answer {
    let backend = &fleet.backends[0];
    let fault_steps = async {
        if start == FaultStart::AfterDispatch {
            fleet
                .wait_until("the request is dispatched", |fleet| {
                    fleet.runs("booking") == 1
                })
                .await;
            start_fault(relay, fault);
            backend.release();
        }
        if fault == HopFault::Held {
            tokio::time::sleep(Duration::from_millis(200)).await;
            relay.set_paused(false);
        }
    };
    if start == FaultStart::BeforeDispatch {
        start_fault(relay, fault);
        backend.release();
    }
    let (answer, ()) = tokio::join!(fleet.post(1, "booking"), fault_steps);
    answer
}

#[test_case(FaultStart::BeforeDispatch, HopFault::Cut, NOT_RUN; "cut before dispatch")]
#[test_case(FaultStart::AfterDispatch, HopFault::Cut, LOST; "cut after dispatch")]
#[test_case(FaultStart::BeforeDispatch, HopFault::Held, ANSWERED; "held and resumed before dispatch")]
#[test_case(FaultStart::AfterDispatch, HopFault::Held, ANSWERED; "held and resumed after dispatch")]
#[test_case(FaultStart::BeforeDispatch, HopFault::HeldTooLong, LAPSED; "arrives late")]
#[test_case(FaultStart::AfterDispatch, HopFault::HeldTooLong, LOST; "answered late")]
#[tokio::test(flavor = "multi_thread")]
async fn post_runs_at_most_once(start: FaultStart, fault: HopFault, expected: Expected) {
    let (fleet, relay) = relayed_fleet().await;
    fleet.backends[0].hold();
    fleet.backends[0].set_behaviour(Behaviour::Held);
    let answer = post_with_fault(&fleet, &relay, fault, start).await;
    let seen = (answer.status, answer.outcome());
    assert!(expected.answers.contains(&seen), "{answer:?}");
    // A late request is not run, and a late answer is not taken for the answer
    // to another request.
    relay.set_cut(false);
    relay.set_paused(false);
    fleet.backends[0].set_behaviour(Behaviour::Answer);
    for daemon in [0, 1, 2] {
        fleet
            .wait_for_answer(daemon, "/plans/tomorrow", StatusCode::OK)
            .await;
    }
    assert_eq!(fleet.runs("booking"), expected.runs);
    fleet.stop().await;
    relay.stop().await;
}

// Guards against an answer between daemons that breaks off and reaches the caller as
// complete, at every byte.
#[tokio::test(flavor = "multi_thread")]
async fn cut_answer_is_no_success() {
    let (fleet, relay) = relayed_fleet().await;
    let mut length = 0;
    let mut reached = 0;
    loop {
        relay.limit_answers(Some(length));
        let id = format!("cut{length}");
        let request = fleet.request(1, Method::POST, "/plans/book").run_id(&id);
        let answer = fleet.send(request).await;
        let runs = fleet.runs(&id);
        assert!(runs <= 1, "{length}: {answer:?}");
        reached += runs;
        match &answer {
            // All of the answer fitted the limit.
            Ok(answer) if answer.status == StatusCode::OK => {
                assert_eq!(answer.body, "break plan", "{length}");
                break;
            }
            Ok(answer) if answer.outcome() == "not-run" => assert_eq!(runs, 0, "{answer:?}"),
            Ok(answer) => assert_eq!(answer.outcome(), "unknown", "{length}: {answer:?}"),
            // The body broke off, and the connection was closed to show it.
            Err(_) => {}
        }
        length += 1;
        assert!(length < 2_000, "no answer was complete");
        // A good answer shows that the path is sound.
        relay.limit_answers(None);
        fleet
            .wait_for_answer(1, "/plans/today", StatusCode::OK)
            .await;
    }
    assert!(
        reached * 10 >= length * 9,
        "{reached} of {length} requests ran"
    );
    fleet.stop().await;
    relay.stop().await;
}

// Guards against work that is given up, or started again, because the VM on which it
// runs is silent for a while.
#[test_case(Method::POST, 500; "post and a short silence")]
#[test_case(Method::POST, 2_200; "post and a long silence")]
#[test_case(Method::GET, 500; "lookup and a short silence")]
#[test_case(Method::GET, 2_200; "lookup and a long silence")]
#[tokio::test(flavor = "multi_thread")]
async fn silent_daemon_finishes_its_work(method: Method, silence_ms: u64) {
    let (fleet, relay) = relayed_fleet().await;
    fleet.backends[0].set_behaviour(Behaviour::Slow(Duration::from_millis(400)));
    let request = fleet.request(1, method, "/plans/today").run_id("silent");
    let silence = async {
        fleet
            .wait_until("the request runs", |fleet| fleet.runs("silent") == 1)
            .await;
        relay.set_frozen(true);
        tokio::time::sleep(Duration::from_millis(silence_ms)).await;
        relay.set_frozen(false);
    };
    let (answer, ()) = tokio::join!(fleet.send(request), silence);
    let answer = answer.expect("the connection was closed without an answer");
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert_eq!(fleet.runs("silent"), 1);
    fleet.stop().await;
    relay.stop().await;
}

// Guards against attempts of daemons of an earlier version, which lack the last field, that
// are refused while a mixed fleet lasts.
#[test]
fn earlier_attempt_is_read() {
    let seal = HeaderSeal::new(b"a secret for tests only");
    let attempt = Attempt {
        request: 7,
        from: "vm-0".parse().unwrap(),
        offer: OfferId(3),
        server: "plans-1".parse().unwrap(),
        account: None,
        caller_service: None,
        idempotent: true,
        remaining_us: 1_000,
        slow_limit_us: 0,
        target_hash: 9,
        answer_us: None,
    };
    let earlier = (
        attempt.request,
        &attempt.from,
        attempt.offer,
        &attempt.server,
        &attempt.account,
        &attempt.caller_service,
        attempt.idempotent,
        attempt.remaining_us,
        attempt.slow_limit_us,
        attempt.target_hash,
    );
    assert_eq!(seal.open(&seal.seal(&earlier)), Some(attempt.clone()));
    let limited = Attempt {
        answer_us: Some(500),
        ..attempt
    };
    assert_eq!(seal.open(&seal.seal(&limited)), Some(limited));
}
