//! Implements `try`: a small fleet with stubs and a little traffic, all in one
//! process.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use config::publish_set;
use fakes::{BackendStub, Deployment, DeploymentShape, PlatformStub, ServiceShape};
use http_body_util::{BodyExt, Empty};
use hyper::{Request, StatusCode, body::Bytes};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use ids::FastMap;
use reader::HttpPlatformBuilder;
use serve::{
    Budgets, Daemon, DaemonBuilder, FleetSecret, LogSettings, Policy, Settings, SourceKind,
};
use tokio::time::Instant;

use crate::commands::{CommandError, start_runtime};

/// Number of daemons in the fleet.
const DAEMONS: usize = 3;
/// Number of backend servers of the service.
const SERVERS: usize = 6;
/// Requests per second.
const RATE: u64 = 100;
/// Rate per second and burst of the account, which the traffic does not exceed.
const ACCOUNT_LIMIT: (u64, u64) = (500, 500);
/// Fleet secret of the trial.
const SECRET: &str = "a secret for trials only";
/// Number of worker threads of the trial.
const TRIAL_THREADS: usize = 4;
/// Time limit until all daemons have a configuration and tokens.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs the trial until it ends or is interrupted.
pub fn run(time: Duration) -> Result<(), CommandError> {
    start_runtime(TRIAL_THREADS)?.block_on(async {
        tokio::select! {
            result = run_trial(time) => result,
            _ = tokio::signal::ctrl_c() => {
                println!("interrupted; the trial ends early");
                Ok(())
            }
        }
    })
}

/// Returns the loopback address with port 0, which binds any free port.
fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns the settings of a daemon of the trial.
fn trial_settings(index: usize, platform: SocketAddr) -> Result<Settings, CommandError> {
    Ok(Settings {
        vm: format!("vm-{index}").parse().map_err(CommandError::other)?,
        zone: format!("zone-{}", index % DAEMONS)
            .parse()
            .map_err(CommandError::other)?,
        ingress: any_port(),
        peer: any_port(),
        admin: any_port(),
        platform,
        source: SourceKind::Published,
        zones: Default::default(),
        service: None,
        secret: Some(FleetSecret::new(SECRET)),
        secret_file: None,
        log: LogSettings::default(),
        budgets: Budgets::default(),
        policy: Policy::default(),
    })
}

/// Starts the fleet, sends traffic, prints a summary and stops the fleet.
async fn run_trial(time: Duration) -> Result<(), CommandError> {
    let platform = PlatformStub::start(any_port())
        .await
        .map_err(CommandError::other)?;
    let mut backends = Vec::new();
    for _ in 0..SERVERS {
        let stub = BackendStub::start(any_port(), "break plan\n").await;
        backends.push(stub.map_err(CommandError::other)?);
    }
    let mut builders = Vec::new();
    for index in 0..DAEMONS {
        let settings = trial_settings(index, platform.address())?;
        let builder = DaemonBuilder::bind(settings);
        builders.push(builder.map_err(|report| CommandError::other(report.current_context()))?);
    }
    let shape = DeploymentShape {
        zones: DAEMONS,
        daemons: builders
            .iter()
            .map(|builder| builder.addresses().peer)
            .collect(),
        services: vec![ServiceShape {
            name: "plans".to_owned(),
            servers: backends.iter().map(BackendStub::address).collect(),
            slots: 5,
        }],
        accounts: vec![("radio-one".to_owned(), ACCOUNT_LIMIT.0, ACCOUNT_LIMIT.1)],
    };
    let deployment = Deployment::new(&shape, SECRET.as_bytes());
    let values = publish_set(None, &deployment.records).map_err(CommandError::other)?;
    platform.publish_vms(&deployment.vms);
    platform.publish(&values);
    // A feed remembers which changes it has read, so daemons can't share one.
    let start = |builder: DaemonBuilder| {
        let feed = HttpPlatformBuilder::new(platform.address()).feed();
        builder.start(Arc::new(feed))
    };
    let daemons: Vec<Daemon> = builders.into_iter().map(start).collect();
    wait_ready(&daemons).await?;
    println!(
        "{DAEMONS} daemons serve {SERVERS} backend servers; traffic for {} s",
        time.as_secs()
    );
    let tally = send_traffic(&daemons, time).await;
    print_summary(&tally, &backends);
    for daemon in daemons {
        daemon.stop().await;
    }
    for backend in backends {
        backend.stop().await;
    }
    platform.stop().await;
    println!("the daemons, the backend servers and the platform have stopped");
    Ok(())
}

/// Waits until all daemons have a configuration and answer a request with 200.
async fn wait_ready(daemons: &[Daemon]) -> Result<(), CommandError> {
    let end = Instant::now() + READY_TIMEOUT;
    while !daemons.iter().all(|daemon| daemon.view().is_ready()) {
        if Instant::now() > end {
            return Err(CommandError::other(
                "the daemons received no configuration in time; check that loopback works",
            ));
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
    for daemon in daemons {
        let address = daemon.addresses().ingress;
        let request = || {
            Request::get(format!("http://{address}/plans/today"))
                .header("x-api-key", "key-of-radio-one")
                .body(Empty::new())
                .map_err(CommandError::other)
        };
        while response_status(&client, request()?).await != Some(StatusCode::OK) {
            if Instant::now() > end {
                return Err(CommandError::other(
                    "a daemon did not answer with status 200 in time; \
                     check that UDP on loopback works",
                ));
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    Ok(())
}

/// Counts of responses by status, lost requests and the slowest request.
#[derive(Debug, Default)]
struct Tally {
    statuses: FastMap<u16, u64>,
    lost: u64,
    slowest: Duration,
}

/// Sends requests to the daemons round-robin, one in ten with a wrong key.
async fn send_traffic(daemons: &[Daemon], time: Duration) -> Tally {
    let client =
        Client::builder(TokioExecutor::new()).build::<_, Empty<Bytes>>(HttpConnector::new());
    let mut ticks = tokio::time::interval(Duration::from_millis(1_000 / RATE));
    let mut tally = Tally::default();
    let end = Instant::now() + time;
    let mut number = 0_usize;
    while Instant::now() < end {
        ticks.tick().await;
        let address = daemons[number % daemons.len()].addresses().ingress;
        let key = match number % 10 {
            9 => "a wrong key",
            _ => "key-of-radio-one",
        };
        number += 1;
        let request = Request::get(format!("http://{address}/plans/today"))
            .header("authorization", format!("Bearer {key}"))
            .body(Empty::new());
        let Ok(request) = request else {
            continue;
        };
        let sent = Instant::now();
        match response_status(&client, request).await {
            Some(status) => *tally.statuses.entry(status.as_u16()).or_default() += 1,
            None => tally.lost += 1,
        }
        tally.slowest = tally.slowest.max(sent.elapsed());
    }
    tally
}

/// Returns the status of a response, or `None` if it did not arrive whole.
async fn response_status(
    client: &Client<HttpConnector, Empty<Bytes>>,
    request: Request<Empty<Bytes>>,
) -> Option<StatusCode> {
    let response = client.request(request).await.ok()?;
    let status = response.status();
    response.into_body().collect().await.ok()?;
    Some(status)
}

/// Prints the outcomes of the traffic.
fn print_summary(tally: &Tally, backends: &[BackendStub]) {
    let mut statuses: Vec<(u16, u64)> = tally.statuses.iter().map(|(k, v)| (*k, *v)).collect();
    statuses.sort_unstable();
    for (status, count) in statuses {
        let meaning = match status {
            200 => "complete responses",
            401 => "refused, wrong key, not run",
            429 => "refused, rate limit exceeded, not run",
            503 => "refused, service unavailable, not run",
            _ => "other status",
        };
        println!("{count:>6}  {status}  {meaning}");
    }
    println!("{:>6}  lost, no complete response", tally.lost);
    println!(
        "slowest request: {:.1} ms",
        tally.slowest.as_secs_f64() * 1e3
    );
    for (index, backend) in backends.iter().enumerate() {
        println!(
            "backend server plans-{index}: {} requests run",
            backend.count()
        );
    }
}
