//! The hop from ingress to egress: cut and held before and after dispatch,
//! with the number of times that each request was run.

mod harness;

use std::time::Duration;

use config::Record;
use fakes::{Behaviour, DropRelay};
use harness::{Answer, Fleet, FleetShape};
use hyper::StatusCode;
use test_case::test_case;

/// Deadline of the service, in milliseconds: long enough that a hop held and
/// released stays within it on a busy machine.
const DEADLINE_MS: u32 = 3_000;

/// A fleet whose only backend server stands beside the first daemon, which
/// the others reach through a relay only.
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

/// When the fault begins.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Begin {
    /// Before the request is sent.
    BeforeDispatch,
    /// While the backend server runs it.
    AfterDispatch,
}

/// What becomes of the hop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    /// Its connections end, and new ones fail.
    Cut,
    /// It is held for a moment.
    Held,
    /// It is held until the caller has its answer.
    HeldTooLong,
}

/// What a caller is told, and how often the request ran in the end.
#[derive(Clone, Copy, Debug)]
struct Expected {
    answers: &'static [(StatusCode, &'static str)],
    runs: u64,
}

const ANSWERED: Expected = Expected {
    answers: &[(StatusCode::OK, "")],
    runs: 1,
};
/// A cut may be seen before a byte is sent, or only after that.
const NOT_RUN: Expected = Expected {
    answers: &[
        (StatusCode::SERVICE_UNAVAILABLE, "not-run"),
        (StatusCode::BAD_GATEWAY, "unknown"),
    ],
    runs: 0,
};
const LOST: Expected = Expected {
    answers: &[(StatusCode::BAD_GATEWAY, "unknown")],
    runs: 1,
};
const LATE: Expected = Expected {
    answers: &[(StatusCode::GATEWAY_TIMEOUT, "unknown")],
    runs: 1,
};
/// The egress gave the slot on, and says that what comes late won't run.
const LAPSED: Expected = Expected {
    answers: &[(StatusCode::SERVICE_UNAVAILABLE, "not-run")],
    runs: 0,
};

/// Begins a fault.
fn begin(relay: &DropRelay, fault: Fault) {
    match fault {
        Fault::Cut => relay.set_cut(true),
        Fault::Held | Fault::HeldTooLong => relay.set_paused(true),
    }
}

/// Sends a booking through the relay while the fault lasts.
async fn book(fleet: &Fleet, relay: &DropRelay, fault: Fault, when: Begin) -> Answer {
    let backend = &fleet.backends[0];
    let trouble = async {
        if when == Begin::AfterDispatch {
            fleet
                .wait_until("dispatched", |fleet| fleet.runs("booking") == 1)
                .await;
            begin(relay, fault);
            backend.release();
        }
        if fault == Fault::Held {
            tokio::time::sleep(Duration::from_millis(200)).await;
            relay.set_paused(false);
        }
    };
    if when == Begin::BeforeDispatch {
        begin(relay, fault);
        backend.release();
    }
    let (answer, ()) = tokio::join!(fleet.post(1, "booking"), trouble);
    answer
}

#[test_case(Begin::BeforeDispatch, Fault::Cut, NOT_RUN; "cut before dispatch")]
#[test_case(Begin::AfterDispatch, Fault::Cut, LOST; "cut after dispatch")]
#[test_case(Begin::BeforeDispatch, Fault::Held, ANSWERED; "held and resumed before dispatch")]
#[test_case(Begin::AfterDispatch, Fault::Held, ANSWERED; "held and resumed after dispatch")]
#[test_case(Begin::BeforeDispatch, Fault::HeldTooLong, LAPSED; "arrives late")]
#[test_case(Begin::AfterDispatch, Fault::HeldTooLong, LATE; "answered late")]
#[tokio::test(flavor = "multi_thread")]
async fn booking_runs_at_most_once(when: Begin, fault: Fault, expected: Expected) {
    let (fleet, relay) = relayed_fleet().await;
    fleet.backends[0].hold();
    fleet.backends[0].set_behaviour(Behaviour::Held);
    let answer = book(&fleet, &relay, fault, when).await;
    let seen = (answer.status, answer.outcome());
    assert!(expected.answers.contains(&seen), "{answer:?}");
    // What comes late finds nobody: it is not run, nor taken for the answer
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
