//! One run: faults under traffic, then a calm in which all must be well again.

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
    args::RunShape,
    callers::{CallerClient, Claim, Outcome, call_until, new_client, send},
    checks::{Findings, check_cuts, check_logs, check_outcomes, check_rate, watch_revisions},
    faults::{Fault, PlannedFault, plan_faults},
    fleet::{FREE_ACCOUNT, SoakFleet, WITHDRAWN_ACCOUNT},
};

/// Time in which all daemons must serve again after the faults.
const RECOVERY: Duration = Duration::from_secs(20);
/// Time in which a withdrawn key must be refused, or a given one accepted.
const IN_FORCE: Duration = Duration::from_secs(6);
/// Time that a daemon has to end by itself.
const GRACE: Duration = Duration::from_secs(30);
/// Time between two tries of the same thing.
const RETRY_EVERY: Duration = Duration::from_millis(100);
/// Traffic between the graceful ends of the calm.
const CALM: Duration = Duration::from_millis(500);
/// Work of a request in the calm.
const CALM_WORK: Duration = Duration::from_millis(250);

/// Plays a run and gives what was found wrong.
pub async fn play(shape: RunShape) -> Vec<String> {
    println!("soak: {shape}");
    let fleet = SoakFleet::start(shape).await;
    let mut findings = wait_all_served(&fleet, "the start").await;
    let over = AtomicBool::new(false);
    let faults = async {
        let told = inject(&fleet, shape).await;
        over.store(true, Ordering::Relaxed);
        told
    };
    let callers = call_until(&fleet, "faults", shape.seed, &over);
    let (mut outcomes, watched, told) =
        tokio::join!(callers, watch_revisions(&fleet, &over), faults);
    findings.extend(watched);
    findings.extend(told);
    findings.extend(wait_all_served(&fleet, "the faults").await);
    findings.extend(check_keys(&fleet).await);
    let (calm, told) = end_in_turn(&fleet, shape.seed).await;
    findings.extend(told);
    findings.extend(check_cuts(&fleet, &calm));
    outcomes.extend(calm);
    findings.extend(check_outcomes(&fleet, &outcomes));
    findings.extend(check_rate(&outcomes));
    findings.extend(check_logs(&fleet));
    report(&outcomes);
    fleet.stop(!findings.is_empty()).await;
    findings
}

/// Prints what callers were told.
fn report(outcomes: &[Outcome]) {
    let count = |wanted: fn(&Claim) -> bool| {
        let claims = outcomes.iter().map(|outcome| &outcome.claim);
        claims.filter(|claim| wanted(claim)).count()
    };
    println!(
        "  {} requests: {} served, {} errors of servers, {} not run, {} unknown, {} failed",
        outcomes.len(),
        count(|claim| matches!(claim, Claim::Answered(StatusCode::OK))),
        count(|claim| matches!(claim, Claim::Answered(status) if *status != StatusCode::OK)),
        count(|claim| matches!(claim, Claim::NotRun(_))),
        count(|claim| *claim == Claim::Unknown),
        count(|claim| *claim == Claim::Failed),
    );
}

/// Plays the faults of a run to their end, and takes all of them back.
async fn inject(fleet: &SoakFleet, shape: RunShape) -> Vec<String> {
    let mut random = StdRng::seed_from_u64(shape.seed);
    let length = Duration::from_secs(shape.seconds);
    let plan = plan_faults(&mut random, shape.processes, length);
    println!("  {} faults", plan.len());
    let began = Instant::now();
    let findings = Findings::default();
    let run = async |planned: &PlannedFault| {
        sleep_until(began + planned.at).await;
        if std::env::var_os("SOAK_FAULTS").is_some() {
            println!("  {planned}");
        }
        if let Some(finding) = inject_one(fleet, planned).await {
            let mut findings = findings.lock().expect("no holder panics");
            findings.push(finding);
        }
    };
    join_all(plan.iter().map(run)).await;
    for place in 0..shape.processes {
        fleet.signal(place, "CONT");
        fleet.start_daemon(place);
    }
    fleet.publish(&fleet.deployment.records);
    findings.into_inner().expect("no holder panics")
}

/// Begins one fault, waits, and ends it; what is wrong with how it went.
async fn inject_one(fleet: &SoakFleet, planned: &PlannedFault) -> Option<String> {
    let PlannedFault {
        place, span, fault, ..
    } = *planned;
    let backend = &fleet.backends[place];
    let behave = async |behaviour: Behaviour| {
        backend.set_behaviour(behaviour);
        sleep(span).await;
        backend.set_behaviour(Behaviour::Answer);
    };
    match fault {
        Fault::Terminate => {
            let ended = fleet.terminate(place, GRACE).await;
            sleep(span / 4).await;
            fleet.start_daemon(place);
            return (!ended).then(|| format!("daemon {place} did not end well"));
        }
        Fault::Kill => {
            fleet.kill(place);
            sleep(span / 4).await;
            fleet.start_daemon(place);
        }
        Fault::Pause => {
            fleet.signal(place, "STOP");
            sleep(span).await;
            fleet.signal(place, "CONT");
        }
        Fault::HangUp => fleet.signal(place, "HUP"),
        Fault::CutPeer => cut(&fleet.peer_relays[place], span).await,
        Fault::HoldPeer => hold(&fleet.peer_relays[place], span).await,
        Fault::ResetPeer => cut(&fleet.peer_relays[place], Duration::ZERO).await,
        Fault::CutServer => cut(&fleet.server_relays[place], span).await,
        Fault::HoldServer => hold(&fleet.server_relays[place], span).await,
        Fault::ResetServer => cut(&fleet.server_relays[place], Duration::ZERO).await,
        Fault::SlowServer => behave(Behaviour::Slow(Duration::from_millis(400))).await,
        Fault::FailServer => behave(Behaviour::Status(500)).await,
        Fault::CloseServer => behave(Behaviour::CloseBeforeHead).await,
        Fault::BreakServer => behave(Behaviour::CloseMidBody).await,
        Fault::ShedServer => behave(Behaviour::Shed(None)).await,
        Fault::Store(fault) => {
            fleet.platform.set_fault(fault);
            sleep(span).await;
            fleet.platform.set_fault(PlatformFault::None);
        }
        Fault::Publish => {
            let rate = planned.at.as_millis() as u64;
            fleet.publish(&fleet.changed_records(Some(place), rate));
            sleep(span).await;
            fleet.publish(&fleet.changed_records(None, rate));
        }
    }
    None
}

/// Drops what a relay carries for a time.
async fn cut(relay: &DropRelay, span: Duration) {
    relay.set_cut(true);
    sleep(span).await;
    relay.set_cut(false);
}

/// Holds what a relay's streams carry for a time.
async fn hold(relay: &DropRelay, span: Duration) {
    relay.set_paused(true);
    sleep(span).await;
    relay.set_paused(false);
}

/// Waits until every daemon serves lookups again.
async fn wait_all_served(fleet: &SoakFleet, after: &str) -> Vec<String> {
    let end = Instant::now() + RECOVERY;
    let wait = async |place: usize| {
        let served = Claim::Answered(StatusCode::OK);
        wait_for_claim(fleet, (place, FREE_ACCOUNT), served, end)
            .await
            .err()
            .map(|last| format!("daemon {place} serves nothing after {after}: {last:?}"))
    };
    let waits = join_all((0..fleet.daemons.len()).map(wait)).await;
    waits.into_iter().flatten().collect()
}

/// Sends lookups of an account to a daemon until one has that claim; else the
/// last one.
async fn wait_for_claim(
    fleet: &SoakFleet,
    (place, account): (usize, &str),
    wanted: Claim,
    end: Instant,
) -> Result<(), Claim> {
    let client = new_client();
    loop {
        let request = (place, account, Method::GET, "wait");
        match send(fleet, &client, request).await.claim {
            claim if claim == wanted => return Ok(()),
            claim if Instant::now() >= end => return Err(claim),
            _ => sleep(RETRY_EVERY).await,
        }
    }
}

/// Withdraws a key and gives it back: both are in force soon, on connections
/// that were open before too.
async fn check_keys(fleet: &SoakFleet) -> Vec<String> {
    let mut findings = Vec::new();
    let clients: Vec<CallerClient> = fleet.daemons.iter().map(|_| new_client()).collect();
    let steps = [
        (
            fleet.deployment.records.clone(),
            Claim::Answered(StatusCode::OK),
        ),
        (
            fleet.without_key(WITHDRAWN_ACCOUNT),
            Claim::NotRun(StatusCode::UNAUTHORIZED),
        ),
        (
            fleet.deployment.records.clone(),
            Claim::Answered(StatusCode::OK),
        ),
    ];
    for (records, wanted) in steps {
        fleet.publish(&records);
        let end = Instant::now() + IN_FORCE;
        for (place, client) in clients.iter().enumerate() {
            loop {
                let request = (place, WITHDRAWN_ACCOUNT, Method::GET, "key");
                match send(fleet, client, request).await.claim {
                    claim if claim == wanted => break,
                    claim if Instant::now() >= end => {
                        findings.push(format!("daemon {place}: {claim:?} in place of {wanted:?}"));
                        break;
                    }
                    _ => sleep(RETRY_EVERY).await,
                }
            }
        }
    }
    findings
}

/// Ends each daemon in turn under traffic, and starts it again. Servers take
/// their time, so that there is always something in flight.
async fn end_in_turn(fleet: &SoakFleet, seed: u64) -> (Vec<Outcome>, Vec<String>) {
    let over = AtomicBool::new(false);
    for backend in &fleet.backends {
        backend.set_behaviour(Behaviour::Slow(CALM_WORK));
    }
    let ends = async {
        let mut findings = Vec::new();
        for place in 0..fleet.daemons.len().min(8) {
            sleep(CALM).await;
            if !fleet.terminate(place, GRACE).await {
                findings.push(format!("daemon {place} did not end well in the calm"));
            }
            fleet.start_daemon(place);
        }
        sleep(CALM).await;
        over.store(true, Ordering::Relaxed);
        findings
    };
    tokio::join!(call_until(fleet, "calm", seed, &over), ends)
}
