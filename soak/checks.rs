//! The promises, checked against what was told and what ran.

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
    callers::{Claim, Outcome},
    fleet::{LIMITED_RATE, SoakFleet},
};

/// Window in which an account's requests are counted, and what of them may run
/// beyond rate and burst: the users' tolerance.
const RATE_WINDOW: Duration = Duration::from_secs(5);
const RATE_OVER: f64 = 0.25;
const RATE_SLACK: f64 = 20.0;
/// Time between looks at the revisions in force.
const WATCH_EVERY: Duration = Duration::from_millis(250);

/// Checks each request by itself, once nothing runs any more.
pub fn check_outcomes(fleet: &SoakFleet, outcomes: &[Outcome]) -> Vec<String> {
    let mut findings = Vec::new();
    for outcome in outcomes {
        let runs = fleet.runs(&outcome.id);
        let broken = match outcome.claim {
            _ if outcome.wrong_answer => Some("an answer that is not its own or not whole"),
            _ if outcome.booking && runs > 1 => Some("a booking that ran more than once"),
            Claim::NotRun(_) if runs > 0 => Some("a request that is said not to have run, and ran"),
            Claim::Answered(_) if runs == 0 => Some("an answer to a request that never ran"),
            _ => None,
        };
        findings.extend(broken.map(|what| format!("{what}: {outcome:?}, {runs} runs")));
    }
    findings
}

/// Checks that the limited account got no more than its rate.
pub fn check_rate(outcomes: &[Outcome]) -> Vec<String> {
    let served = |outcome: &&Outcome| {
        outcome.limited && matches!(outcome.claim, Claim::Answered(StatusCode::OK))
    };
    let mut times: Vec<_> = outcomes
        .iter()
        .filter(served)
        .map(|item| item.ended)
        .collect();
    times.sort();
    let whole = LIMITED_RATE as f64 * (RATE_WINDOW.as_secs_f64() + 1.0);
    let most = whole * (1.0 + RATE_OVER) + RATE_SLACK;
    let mut first = 0;
    for (place, time) in times.iter().enumerate() {
        while *time - times[first] > RATE_WINDOW {
            first += 1;
        }
        let count = place + 1 - first;
        if count as f64 > most {
            return vec![format!(
                "{count} requests of an account in 5 s, {most} may be"
            )];
        }
    }
    Vec::new()
}

/// Requests that a graceful end cut: a backend server ran them and their
/// callers heard nothing.
pub fn check_cuts(fleet: &SoakFleet, outcomes: &[Outcome]) -> Vec<String> {
    let cut = |outcome: &&Outcome| outcome.claim == Claim::Failed && fleet.runs(&outcome.id) > 0;
    let cuts = outcomes.iter().filter(cut);
    cuts.map(|outcome| format!("a graceful end cut {outcome:?}"))
        .collect()
}

/// Watches the revisions in force until `over`: none may fall within an
/// incarnation of a daemon.
pub async fn watch_revisions(fleet: &SoakFleet, over: &AtomicBool) -> Vec<String> {
    let mut findings = Vec::new();
    let mut seen: FastMap<u32, u64> = FastMap::default();
    while !over.load(Ordering::Relaxed) {
        for place in 0..fleet.daemons.len() {
            let Some(id) = fleet.process_id(place) else {
                continue;
            };
            let Some(revision) = revision_of(fleet, place).await else {
                continue;
            };
            // It may have been replaced while it was asked.
            if fleet.process_id(place) != Some(id) {
                continue;
            }
            let before = seen.insert(id, revision).unwrap_or(0);
            if revision < before {
                findings.push(format!(
                    "daemon {place} went from revision {before} to {revision}"
                ));
            }
        }
        sleep(WATCH_EVERY).await;
    }
    findings
}

/// Revision of the configuration in force at a daemon.
async fn revision_of(fleet: &SoakFleet, place: usize) -> Option<u64> {
    let uri = format!("http://{}/dump", fleet.addresses[place].admin);
    let request = hyper::Request::get(uri)
        .body(http_body_util::Full::default())
        .ok()?;
    let client = crate::callers::new_client();
    let asked = async {
        let response = client.request(request).await.ok()?;
        let body = http_body_util::BodyExt::collect(response.into_body())
            .await
            .ok()?;
        let dump: serde_json::Value = serde_json::from_slice(&body.to_bytes()).ok()?;
        dump["config"]["revision"].as_u64()
    };
    tokio::time::timeout(WATCH_EVERY * 4, asked).await.ok()?
}

/// Daemons that wrote of a panic.
pub fn check_logs(fleet: &SoakFleet) -> Vec<String> {
    let mut findings = Vec::new();
    for place in 0..fleet.daemons.len() {
        let text = std::fs::read_to_string(fleet.log_path(place)).unwrap_or_default();
        let lines = text.lines().filter(|line| line.contains("panicked"));
        findings.extend(lines.map(|line| format!("daemon {place}: {line}")));
    }
    findings
}

/// Findings of several tasks.
pub type Findings = Mutex<Vec<String>>;
