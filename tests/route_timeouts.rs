//! Timeouts of routes, which apply to whole answers.

mod harness;

use std::time::Duration;

use config::Record;
use fakes::Behaviour;
use harness::{Fleet, FleetShape};
use hyper::Method;
use tokio::time::timeout;

/// Timeout of the route.
const ROUTE_TIMEOUT_MS: u32 = 600;
/// Time limit for the end of an answer: far above the timeout of the route and far
/// below that of a body without progress.
const END_LIMIT: Duration = Duration::from_secs(15);

// Guards against answers that stop in the middle and keep their caller waiting beyond
// the timeout of the route. Requests that must not run twice get their answer
// unbuffered.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_answer_ends() {
    let fleet = Fleet::start_with(FleetShape::single(), |deployment| {
        for record in &mut deployment.records {
            if let Record::Route(route) = record {
                route.terms.timeout_ms = Some(ROUTE_TIMEOUT_MS);
            }
        }
    })
    .await;
    fleet.backends[0].set_behaviour(Behaviour::HangMidBody);
    let request = fleet.request(0, Method::POST, "/plans/today");
    let answer = timeout(END_LIMIT, fleet.send(request.run_id("stopped"))).await;
    let answer = answer.expect("the answer must end by the timeout of the route");
    assert!(answer.is_err(), "a truncated answer must not look complete");
    assert_eq!(fleet.runs("stopped"), 1);
    fleet.stop().await;
}
