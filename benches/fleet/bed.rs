//! Fleet for benches: daemons as processes of their own, with stubs of the
//! backend servers and of the platform.

use std::{net::SocketAddr, time::Duration};

use config::{Record, publish_set};
use fakes::{BackendStub, Deployment, DeploymentShape, PlatformStub, ServiceShape};
use http_body_util::Full;
use hyper::{Request, StatusCode};

use crate::{
    ACCOUNT, SECRET,
    load::{new_client, send_request},
    process::{DaemonProcess, FreeAddresses},
};

/// Returns the loopback address that stands for any free port.
fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Size and accounts of a fleet.
pub(crate) struct BenchShape<'a> {
    /// Number of daemons.
    pub(crate) daemons: usize,
    /// Services by name, each with its number of backend servers.
    pub(crate) services: &'a [(&'a str, usize)],
    /// Number of slots of each backend server.
    pub(crate) slots: u32,
    /// Accounts by name, each with its rate, which is its burst too.
    pub(crate) accounts: &'a [(&'a str, u64)],
}

/// Running daemons with their stubs.
pub(crate) struct BenchFleet {
    pub(crate) platform: PlatformStub,
    pub(crate) backends: Vec<BackendStub>,
    pub(crate) daemons: Vec<DaemonProcess>,
    pub(crate) deployment: Deployment,
}

impl BenchFleet {
    /// Starts daemons in up to three availability zones, with one service
    /// `plans`.
    pub(crate) async fn start(
        daemons: usize,
        servers: usize,
        slots: u32,
        accounts: &[(&str, u64)],
    ) -> Self {
        let shape = BenchShape {
            daemons,
            services: &[("plans", servers)],
            slots,
            accounts,
        };
        Self::start_with(&shape, |_| {}).await
    }

    /// Starts a fleet after `change` has edited its records, and waits until all
    /// daemons serve requests.
    pub(crate) async fn start_with(
        shape: &BenchShape<'_>,
        change: impl FnOnce(&mut Vec<Record>),
    ) -> Self {
        let platform = PlatformStub::start(any_port()).await.unwrap();
        let mut backends = Vec::new();
        let mut services = Vec::new();
        for (name, servers) in shape.services {
            let first = backends.len();
            for _ in 0..*servers {
                let backend = BackendStub::start(any_port(), vec![b'x'; 1_000]).await;
                backends.push(backend.unwrap());
            }
            services.push(ServiceShape {
                name: (*name).to_owned(),
                servers: backends[first..].iter().map(BackendStub::address).collect(),
                slots: shape.slots,
            });
        }
        let daemons = shape.daemons;
        let first_service = shape.services[0].0;
        let zones = daemons.min(3);
        let addresses: Vec<FreeAddresses> = (0..daemons).map(|_| FreeAddresses::find()).collect();
        let shape = DeploymentShape {
            zones,
            daemons: addresses.iter().map(|addresses| addresses.peer).collect(),
            services,
            accounts: shape
                .accounts
                .iter()
                .map(|(name, rate)| ((*name).to_owned(), *rate, *rate))
                .collect(),
        };
        let mut deployment = Deployment::new(&shape, SECRET.as_bytes());
        change(&mut deployment.records);
        platform.publish_vms(&deployment.vms);
        platform.publish(&publish_set(None, &deployment.records).unwrap());
        let start = |(index, addresses): (usize, &FreeAddresses)| {
            DaemonProcess::start(index, zones, *addresses, platform.address(), SECRET)
        };
        let daemons: Vec<DaemonProcess> = addresses.iter().enumerate().map(start).collect();
        let fleet = Self {
            platform,
            backends,
            daemons,
            deployment,
        };
        fleet.wait_ready(first_service).await;
        fleet
    }

    /// Waits until every daemon serves a request of the service, for which it
    /// needs tokens of the account. Gives up after 1,200 tries for each.
    async fn wait_ready(&self, service: &str) {
        let client = new_client();
        for daemon in &self.daemons {
            for _ in 0..1_200 {
                let uri = format!("http://{}/{service}/today", daemon.ingress);
                let request = Request::get(uri).header("x-api-key", format!("key-of-{ACCOUNT}"));
                let request = request.body(Full::default()).unwrap();
                match send_request(&client, request).await {
                    Some(StatusCode::OK) => break,
                    _ => tokio::time::sleep(Duration::from_millis(50)).await,
                }
            }
        }
    }

    /// Ends a daemon by a signal and starts it again at the same addresses.
    pub(crate) fn restart(&mut self, index: usize, signal: &str) {
        let daemon = &mut self.daemons[index];
        daemon.signal(signal);
        daemon.wait();
        let addresses = FreeAddresses {
            ingress: daemon.ingress,
            peer: daemon.peer,
            admin: daemon.admin,
        };
        let platform = self.platform.address();
        self.daemons[index] = DaemonProcess::start(index, 3, addresses, platform, SECRET);
    }

    /// Returns the URIs of a path at the ingress of each daemon.
    pub(crate) fn targets(&self, path: &str) -> Vec<String> {
        let daemons = self.daemons.iter();
        daemons
            .map(|daemon| format!("http://{}{path}", daemon.ingress))
            .collect()
    }

    /// Returns the dumps of all daemons that answer.
    pub(crate) async fn dumps(&self) -> Vec<serde_json::Value> {
        let pages = self.daemons.iter().map(|daemon| daemon.admin_page("/dump"));
        let pages = futures::future::join_all(pages).await;
        let texts = pages.into_iter().flatten();
        texts
            .map(|(_, text)| serde_json::from_str(&text).unwrap())
            .collect()
    }

    /// Returns the CPU time that each daemon has used.
    pub(crate) fn cpu_times(&self) -> Vec<Duration> {
        self.daemons.iter().map(DaemonProcess::cpu_time).collect()
    }

    /// Stops daemons and stubs.
    pub(crate) async fn stop(self) {
        drop(self.daemons);
        for backend in self.backends {
            backend.stop().await;
        }
        self.platform.stop().await;
    }
}

/// Returns the URI of a request to the service `plans` at a daemon's ingress.
pub(crate) fn target(daemon: &DaemonProcess) -> String {
    format!("http://{}/plans/today", daemon.ingress)
}

/// Returns whether a daemon's dump lists a backend server with a weight of 0.
pub(crate) fn is_ejected(dump: &serde_json::Value, server: &str) -> bool {
    let pools = dump["pools"].as_array().into_iter().flatten();
    let mut servers = pools.flat_map(|pool| pool["servers"].as_array().into_iter().flatten());
    servers.any(|entry| entry["server"] == server && entry["weight"] == 0.0)
}
