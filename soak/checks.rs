//! Checks of the fleet's guarantees: compares what callers observed with what
//! backend servers ran.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use hyper::StatusCode;
use ids::FastMap;
use tokio::time::sleep;

use crate::{
    callers::{CallOutcome, ClientCall},
    fleet::{LIMITED_RATE, SoakFleet},
};

/// Window in which the served requests of an account are counted.
const RATE_WINDOW: Duration = Duration::from_secs(5);
/// Fraction by which an account may exceed its rate and burst in a window, a
/// tolerance that the users accept.
const RATE_TOLERANCE: f64 = 0.25;
/// Number of requests that the users tolerate in a window in addition to
/// [`RATE_TOLERANCE`].
const RATE_SLACK: f64 = 20.0;
/// Time between polls of the daemons for their revision in force.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Checks each call against the runs of its request. Must be called after all
/// requests have ended.
pub fn check_calls(fleet: &SoakFleet, calls: &[ClientCall]) -> Vec<String> {
    let mut findings = Vec::new();
    for call in calls {
        let runs = fleet.runs(&call.id);
        let violation = match call.outcome {
            _ if call.wrong_answer => {
                Some("the answer belongs to another request or is not complete")
            }
            _ if call.post && runs > 1 => Some("a POST ran more than once"),
            CallOutcome::NotRun(_) if runs > 0 => Some("a request reported as not run did run"),
            CallOutcome::Answered(_) if runs == 0 => Some("a request that never ran was answered"),
            _ => None,
        };
        findings.extend(violation.map(|text| format!("{text}: {call:?}, {runs} runs")));
    }
    findings
}

/// Checks that no window has more served requests of the limited account than
/// its rate, its burst and the tolerance allow. The burst is that of one second.
pub fn check_rate(calls: &[ClientCall]) -> Vec<String> {
    let served = |call: &&ClientCall| {
        call.limited && matches!(call.outcome, CallOutcome::Answered(StatusCode::OK))
    };
    let mut times: Vec<_> = calls.iter().filter(served).map(|call| call.ended).collect();
    times.sort();
    let allowed = LIMITED_RATE as f64 * (RATE_WINDOW.as_secs_f64() + 1.0);
    let limit = allowed * (1.0 + RATE_TOLERANCE) + RATE_SLACK;
    let mut start = 0;
    for (index, time) in times.iter().enumerate() {
        while *time - times[start] > RATE_WINDOW {
            start += 1;
        }
        let count = index + 1 - start;
        if count as f64 > limit {
            return vec![format!(
                "{count} requests of the limited account served in 5 s, at most {limit} allowed"
            )];
        }
    }
    Vec::new()
}

/// Checks that graceful stops broke no request off: reports each request that a
/// backend server ran and whose caller received no complete answer.
pub fn check_graceful_stops(fleet: &SoakFleet, calls: &[ClientCall]) -> Vec<String> {
    let broken_off =
        |call: &&ClientCall| call.outcome == CallOutcome::Failed && fleet.runs(&call.id) > 0;
    let broken_calls = calls.iter().filter(broken_off);
    broken_calls
        .map(|call| format!("a graceful stop broke off a request: {call:?}"))
        .collect()
}

/// Polls the revisions in force until `stop` is set, and reports each daemon
/// process whose revision went down.
pub async fn watch_revisions(fleet: &SoakFleet, stop: &AtomicBool) -> Vec<String> {
    let mut findings = Vec::new();
    // Latest revision of each daemon process, by process id.
    let mut revisions: FastMap<u32, u64> = FastMap::default();
    while !stop.load(Ordering::Relaxed) {
        for index in 0..fleet.daemons.len() {
            let Some(process_id) = fleet.process_id(index) else {
                continue;
            };
            let Some(revision) = revision_of(fleet, index).await else {
                continue;
            };
            // The process may have been replaced while the dump was fetched.
            if fleet.process_id(index) != Some(process_id) {
                continue;
            }
            let previous = revisions.insert(process_id, revision).unwrap_or(0);
            if revision < previous {
                findings.push(format!(
                    "daemon {index} went back from revision {previous} to {revision}"
                ));
            }
        }
        sleep(POLL_INTERVAL).await;
    }
    findings
}

/// Returns the revision of the configuration in force at a daemon, or `None` if
/// it doesn't answer in time.
async fn revision_of(fleet: &SoakFleet, index: usize) -> Option<u64> {
    let uri = format!("http://{}/dump", fleet.addresses[index].admin);
    let request = hyper::Request::get(uri)
        .body(http_body_util::Full::default())
        .ok()?;
    let client = crate::callers::new_client();
    let fetched = async {
        let response = client.request(request).await.ok()?;
        let body = http_body_util::BodyExt::collect(response.into_body())
            .await
            .ok()?;
        let dump: serde_json::Value = serde_json::from_slice(&body.to_bytes()).ok()?;
        dump["config"]["revision"].as_u64()
    };
    tokio::time::timeout(POLL_INTERVAL * 4, fetched)
        .await
        .ok()?
}

/// Reports the lines about panics in the logs of all daemons.
pub fn check_logs(fleet: &SoakFleet) -> Vec<String> {
    let mut findings = Vec::new();
    for index in 0..fleet.daemons.len() {
        let text = std::fs::read_to_string(fleet.log_path(index)).unwrap_or_default();
        let lines = text.lines().filter(|line| line.contains("panicked"));
        findings.extend(lines.map(|line| format!("daemon {index}: {line}")));
    }
    findings
}

/// Findings that several tasks collect.
pub type Findings = Mutex<Vec<String>>;
