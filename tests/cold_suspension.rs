//! A daemon process that is suspended while its backend server starts again.

mod harness;
#[path = "harness/process.rs"]
mod process;

use std::time::{Duration, Instant};

use config::{ColdTerms, Record, publish_set};
use fakes::{BackendStub, Deployment, DeploymentShape, PlatformStub, ServiceShape};
use futures::future::join_all;
use harness::{KEY, SECRET, any_port, new_client};
use ids::RequestRate;
use process::{DaemonProcess, FreeAddresses};

/// Most requests that a cold server may get in a second at 14/s.
const ALLOWED: u64 = 29;

// Guards against a daemon that is suspended while its server starts again, and sends
// what has piled up before it knows that the server is cold.
#[tokio::test(flavor = "multi_thread")]
async fn suspended_daemon_starts_low() {
    let platform = PlatformStub::start(any_port()).await.unwrap();
    let backend = BackendStub::start(any_port(), "break plan").await.unwrap();
    let addresses = FreeAddresses::find();
    let shape = DeploymentShape {
        zones: 1,
        daemons: vec![addresses.peer],
        services: vec![ServiceShape {
            name: "plans".to_owned(),
            servers: vec![backend.address()],
            slots: 64,
        }],
        accounts: vec![("radio-one".to_owned(), 10_000, 10_000)],
    };
    let mut deployment = Deployment::new(&shape, SECRET.as_bytes());
    for record in &mut deployment.records {
        if let Record::Service(service) = record {
            service.cold = Some(ColdTerms {
                after_start_ms: 1_500,
                rate: RequestRate::from_thousandths(14_000),
            });
        }
    }
    platform.publish_vms(&deployment.vms);
    platform.publish(&publish_set(None, &deployment.records).unwrap());
    let daemon = DaemonProcess::start(0, 1, addresses, platform.address(), SECRET);
    let client = new_client();
    let send = || async {
        let request = hyper::Request::builder()
            .uri(format!("http://{}/plans/x", daemon.ingress))
            .header("x-api-key", KEY)
            .body(Default::default());
        let response = client.request(request.unwrap()).await;
        response.is_ok_and(|response| response.status().is_success())
    };
    // The account may have few tokens right after the start, and the server counts as
    // cold in the first second.
    let end = Instant::now() + Duration::from_secs(20);
    loop {
        let served = join_all((0..60).map(|_| send())).await;
        if served.iter().filter(|served| **served).count() as u64 > ALLOWED {
            break;
        }
        assert!(Instant::now() < end, "a warm server is throttled");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    daemon.signal("STOP");
    let before = backend.count();
    let requests = async {
        for _ in 0..5 {
            join_all((0..60).map(|_| send())).await;
        }
    };
    let resume = async {
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        daemon.signal("CONT");
        // The notice that the server is cold again would come later.
        tokio::time::sleep(Duration::from_millis(900)).await;
        backend.count() - before
    };
    let ((), sent) = tokio::join!(requests, resume);
    assert!(sent <= ALLOWED, "{sent} in the second after the suspension");
    drop(daemon);
    backend.stop().await;
    platform.stop().await;
}
