//! A run of the soak: injects faults under traffic, then checks that the fleet
//! recovers, that changes of keys come into force, and that a rolling restart
//! breaks no request off.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use fakes::{Behaviour, DropRelay, PlatformFault};
use futures::future::join_all;
use hyper::{Method, StatusCode};
use rand::{SeedableRng, rngs::StdRng};
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    args::RunOptions,
    callers::{CallOutcome, CallerClient, ClientCall, generate_load, new_client, send},
    checks::{
        Findings, check_calls, check_graceful_stops, check_logs, check_rate, watch_revisions,
    },
    faults::{Fault, PlannedFault, plan_faults},
    fleet::{SoakFleet, UNLIMITED_ACCOUNT, WITHDRAWN_ACCOUNT},
};

/// Time within which all daemons must serve requests after the start and after
/// the faults.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which all daemons must refuse a withdrawn key, or accept a
/// published one.
const KEY_CHANGE_TIMEOUT: Duration = Duration::from_secs(6);
/// Time that a daemon has for a graceful stop, after which it is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between requests that are repeated until one has the wanted outcome.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time between a daemon's start and the next stop in the rolling restart.
const RESTART_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which backend servers answer during the rolling restart.
const RESTART_ANSWER_TIME: Duration = Duration::from_millis(250);

/// Runs the soak and returns its findings. There are none if the run passed.
pub async fn run_soak(options: RunOptions) -> Vec<String> {
    println!("soak: {options}");
    let fleet = SoakFleet::start(options).await;
    let mut findings = wait_until_serving(&fleet, "the start").await;
    let stop = AtomicBool::new(false);
    let faults = async {
        let fault_findings = inject_faults(&fleet, options).await;
        stop.store(true, Ordering::Relaxed);
        fault_findings
    };
    let callers = generate_load(&fleet, "faults", options.seed, &stop);
    let (mut calls, revision_findings, fault_findings) =
        tokio::join!(callers, watch_revisions(&fleet, &stop), faults);
    findings.extend(revision_findings);
    findings.extend(fault_findings);
    findings.extend(wait_until_serving(&fleet, "the faults").await);
    findings.extend(check_key_withdrawal(&fleet).await);
    let (restart_calls, restart_findings) = rolling_restart(&fleet, options.seed).await;
    findings.extend(restart_findings);
    findings.extend(check_graceful_stops(&fleet, &restart_calls));
    calls.extend(restart_calls);
    findings.extend(check_calls(&fleet, &calls));
    findings.extend(check_rate(&calls));
    findings.extend(check_logs(&fleet));
    print_summary(&calls);
    fleet.stop(!findings.is_empty()).await;
    findings
}

/// Prints the number of requests by the outcome that callers observed.
fn print_summary(calls: &[ClientCall]) {
    let count = |wanted: fn(&CallOutcome) -> bool| {
        let outcomes = calls.iter().map(|call| &call.outcome);
        outcomes.filter(|outcome| wanted(outcome)).count()
    };
    println!(
        "  {} requests: {} served, {} errors of backend servers, {} not run, {} unknown, {} failed",
        calls.len(),
        count(|outcome| matches!(outcome, CallOutcome::Answered(StatusCode::OK))),
        count(
            |outcome| matches!(outcome, CallOutcome::Answered(status) if *status != StatusCode::OK)
        ),
        count(|outcome| matches!(outcome, CallOutcome::NotRun(_))),
        count(|outcome| *outcome == CallOutcome::Unknown),
        count(|outcome| *outcome == CallOutcome::Failed),
    );
}

/// Injects the faults of a run, waits for their ends, restarts or continues all
/// daemons, and publishes the original configuration. Returns the findings.
async fn inject_faults(fleet: &SoakFleet, options: RunOptions) -> Vec<String> {
    let mut random = StdRng::seed_from_u64(options.seed);
    let length = Duration::from_secs(options.seconds);
    let plan = plan_faults(&mut random, options.processes, length);
    println!("  {} faults", plan.len());
    let start = Instant::now();
    let findings = Findings::default();
    let inject = async |planned: &PlannedFault| {
        sleep_until(start + planned.start).await;
        if std::env::var_os("SOAK_FAULTS").is_some() {
            println!("  {planned}");
        }
        if let Some(finding) = inject_fault(fleet, planned).await {
            let mut findings = findings
                .lock()
                .expect("no task panics while it holds the lock");
            findings.push(finding);
        }
    };
    join_all(plan.iter().map(inject)).await;
    for index in 0..options.processes {
        fleet.signal(index, "CONT");
        fleet.start_daemon(index);
    }
    fleet.publish(&fleet.deployment.records);
    findings
        .into_inner()
        .expect("no task panics while it holds the lock")
}

/// Injects a fault, waits for its duration, and ends it. Returns a finding if a
/// graceful stop failed.
async fn inject_fault(fleet: &SoakFleet, planned: &PlannedFault) -> Option<String> {
    let PlannedFault {
        index,
        duration,
        fault,
        ..
    } = *planned;
    let backend = &fleet.backends[index];
    let hold_behaviour = async |behaviour: Behaviour| {
        backend.set_behaviour(behaviour);
        sleep(duration).await;
        backend.set_behaviour(Behaviour::Answer);
    };
    match fault {
        Fault::Terminate => {
            let stopped = fleet.terminate(index, STOP_TIMEOUT).await;
            sleep(duration / 4).await;
            fleet.start_daemon(index);
            return (!stopped).then(|| format!("daemon {index} did not stop cleanly"));
        }
        Fault::Kill => {
            fleet.kill(index);
            sleep(duration / 4).await;
            fleet.start_daemon(index);
        }
        Fault::Suspend => {
            fleet.signal(index, "STOP");
            sleep(duration).await;
            fleet.signal(index, "CONT");
        }
        Fault::ReloadSettings => fleet.signal(index, "HUP"),
        Fault::CutPeer => cut_relay(&fleet.peer_relays[index], duration).await,
        Fault::StallPeer => stall_relay(&fleet.peer_relays[index], duration).await,
        Fault::ResetPeer => cut_relay(&fleet.peer_relays[index], Duration::ZERO).await,
        Fault::CutServer => cut_relay(&fleet.server_relays[index], duration).await,
        Fault::StallServer => stall_relay(&fleet.server_relays[index], duration).await,
        Fault::ResetServer => cut_relay(&fleet.server_relays[index], Duration::ZERO).await,
        Fault::SlowServer => hold_behaviour(Behaviour::Slow(Duration::from_millis(400))).await,
        Fault::FailServer => hold_behaviour(Behaviour::Status(500)).await,
        Fault::CloseServer => hold_behaviour(Behaviour::CloseBeforeHead).await,
        Fault::TruncateServer => hold_behaviour(Behaviour::CloseMidBody).await,
        Fault::ShedServer => hold_behaviour(Behaviour::Shed(None)).await,
        Fault::Store(fault) => {
            fleet.platform.set_fault(fault);
            sleep(duration).await;
            fleet.platform.set_fault(PlatformFault::None);
        }
        Fault::Publish => {
            let rate = planned.start.as_millis() as u64;
            fleet.publish(&fleet.changed_records(Some(index), rate));
            sleep(duration).await;
            fleet.publish(&fleet.changed_records(None, rate));
        }
    }
    None
}

/// Drops everything that is sent to a relay's target for `duration`, and resets
/// the relay's streams.
async fn cut_relay(relay: &DropRelay, duration: Duration) {
    relay.set_cut(true);
    sleep(duration).await;
    relay.set_cut(false);
}

/// Holds back the data of a relay's streams for `duration`.
async fn stall_relay(relay: &DropRelay, duration: Duration) {
    relay.set_paused(true);
    sleep(duration).await;
    relay.set_paused(false);
}

/// Waits until every daemon serves GET requests, and reports the daemons that
/// do not within [`RECOVERY_TIMEOUT`].
async fn wait_until_serving(fleet: &SoakFleet, after: &str) -> Vec<String> {
    let end = Instant::now() + RECOVERY_TIMEOUT;
    let wait = async |index: usize| {
        let served = CallOutcome::Answered(StatusCode::OK);
        wait_for_outcome(fleet, (index, UNLIMITED_ACCOUNT), served, end)
            .await
            .err()
            .map(|last| {
                format!("daemon {index} serves no request after {after}; last outcome: {last:?}")
            })
    };
    let waits = join_all((0..fleet.daemons.len()).map(wait)).await;
    waits.into_iter().flatten().collect()
}

/// Sends GET requests of an account to a daemon until one has the outcome
/// `wanted`. Returns the last outcome if none has it by `end`.
async fn wait_for_outcome(
    fleet: &SoakFleet,
    (index, account): (usize, &str),
    wanted: CallOutcome,
    end: Instant,
) -> Result<(), CallOutcome> {
    let client = new_client();
    loop {
        let request = (index, account, Method::GET, "wait");
        match send(fleet, &client, request).await.outcome {
            outcome if outcome == wanted => return Ok(()),
            outcome if Instant::now() >= end => return Err(outcome),
            _ => sleep(RETRY_INTERVAL).await,
        }
    }
}

/// Withdraws a key and publishes it again. Checks that both changes come into
/// force in time, also on connections that were open before.
async fn check_key_withdrawal(fleet: &SoakFleet) -> Vec<String> {
    let mut findings = Vec::new();
    let clients: Vec<CallerClient> = fleet.daemons.iter().map(|_| new_client()).collect();
    let steps = [
        (
            fleet.deployment.records.clone(),
            CallOutcome::Answered(StatusCode::OK),
        ),
        (
            fleet.without_key(WITHDRAWN_ACCOUNT),
            CallOutcome::NotRun(StatusCode::UNAUTHORIZED),
        ),
        (
            fleet.deployment.records.clone(),
            CallOutcome::Answered(StatusCode::OK),
        ),
    ];
    for (records, wanted) in steps {
        fleet.publish(&records);
        let end = Instant::now() + KEY_CHANGE_TIMEOUT;
        for (index, client) in clients.iter().enumerate() {
            loop {
                let request = (index, WITHDRAWN_ACCOUNT, Method::GET, "key");
                match send(fleet, client, request).await.outcome {
                    outcome if outcome == wanted => break,
                    outcome if Instant::now() >= end => {
                        findings.push(format!(
                            "daemon {index}: {outcome:?}, not {wanted:?}, after a key change"
                        ));
                        break;
                    }
                    _ => sleep(RETRY_INTERVAL).await,
                }
            }
        }
    }
    findings
}

/// Stops up to eight daemons gracefully in turn under traffic, and starts each
/// again. Backend servers answer slowly, so that requests are always in flight.
async fn rolling_restart(fleet: &SoakFleet, seed: u64) -> (Vec<ClientCall>, Vec<String>) {
    let stop = AtomicBool::new(false);
    for backend in &fleet.backends {
        backend.set_behaviour(Behaviour::Slow(RESTART_ANSWER_TIME));
    }
    let restarts = async {
        let mut findings = Vec::new();
        for index in 0..fleet.daemons.len().min(8) {
            sleep(RESTART_INTERVAL).await;
            if !fleet.terminate(index, STOP_TIMEOUT).await {
                findings.push(format!(
                    "daemon {index} did not stop cleanly in the rolling restart"
                ));
            }
            fleet.start_daemon(index);
        }
        sleep(RESTART_INTERVAL).await;
        stop.store(true, Ordering::Relaxed);
        findings
    };
    tokio::join!(generate_load(fleet, "calm", seed, &stop), restarts)
}
