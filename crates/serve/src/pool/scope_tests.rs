//! Choice of servers in a pool with evacuated zones, of requests with homes, and past
//! daemons that are gone, without a network.

use std::{sync::Arc, time::Duration};

use config::{ConfigTable, Record, TableBuilder};
use fakes::{Deployment, DeploymentShape, ServiceShape};
use hop::SearchReach;
use ids::{Percent, RegionId, Revision};
use route::{HomeRegions, RequestScope};

use super::{ChoiceOptions, PoolState, PoolTable};
use crate::{
    answer::Refusal,
    metrics::MetricSet,
    settings::{Budgets, LogSettings, Policy, Settings, SourceKind},
    task::TaskGroup,
    view::FleetView,
    wire::NotRun,
};

/// Number of choices after which every server that may be chosen was chosen.
const CHOICES: usize = 1_000;
/// The same where few servers may be, and where the choices have to be made within the
/// 80 ms or more for which a server is avoided.
const FEW_CHOICES: usize = 100;

/// View and pools of the daemon on `vm-0` in `zone-0`. VM, zone and server numbers
/// agree modulo the number of zones.
struct Ingress {
    view: Arc<FleetView>,
    pools: PoolTable,
    records: Vec<Record>,
}

/// Returns settings of the daemon; none of its addresses is used.
fn settings() -> Settings {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    Settings {
        vm: "vm-0".parse().unwrap(),
        zone: "zone-0".parse().unwrap(),
        ingress: address,
        peer: address,
        admin: address,
        platform: address,
        source: SourceKind::Published,
        zones: Default::default(),
        service: None,
        secret: None,
        secret_file: None,
        log: LogSettings::default(),
        budgets: Budgets::default(),
        policy: Policy::default(),
    }
}

impl Ingress {
    /// Creates the daemon with a pool of one server on each of `servers` VMs.
    fn new(zones: usize, servers: usize, floor: u8) -> Self {
        let address = |port: usize| std::net::SocketAddr::from(([127, 0, 0, 1], port as u16));
        let shape = DeploymentShape {
            zones,
            daemons: (0..servers).map(|index| address(10_000 + index)).collect(),
            services: vec![ServiceShape {
                name: "plans".to_owned(),
                servers: (0..servers).map(|index| address(20_000 + index)).collect(),
                slots: 4,
            }],
            accounts: Vec::new(),
        };
        let mut records = Deployment::new(&shape, b"a secret for tests only").records;
        for record in &mut records {
            match record {
                Record::Service(service) => service.floor = Percent(floor),
                // Each zone is a region of its own, of the same number.
                Record::Zone(zone) => {
                    let number = zone.id.as_str().replace("zone", "region");
                    zone.region = number.parse().unwrap();
                }
                _ => {}
            }
        }
        let settings = settings();
        let view = Arc::new(FleetView::new(settings.vm.clone(), settings.zone.clone()));
        let pools = PoolTable::new(
            Arc::clone(&view),
            Arc::new(TaskGroup::new()),
            Arc::new(arc_swap::ArcSwap::from_pointee(settings)),
            Arc::new(MetricSet::default()),
        );
        let ingress = Self {
            view,
            pools,
            records,
        };
        ingress.evacuate(&[]);
        ingress
    }

    /// Puts a table in force in which these zones are evacuated, and no others.
    fn evacuate(&self, zones: &[&str]) {
        let mut builder = TableBuilder::new();
        for record in &self.records {
            let mut record = record.clone();
            if let Record::Zone(zone) = &mut record {
                zone.evacuated = zones.contains(&zone.id.as_str());
            }
            builder.put(record).unwrap();
        }
        let state = builder.state_digest();
        let revision = Revision(self.view.table().revision().get() + 1);
        let table: ConfigTable = builder.finish(revision, state).unwrap();
        assert!(self.view.adopt_table(Arc::new(table)));
    }

    fn pool(&self) -> Arc<PoolState> {
        self.pools.pool(&"plans".parse().unwrap()).unwrap()
    }

    /// Returns the names of all servers that are chosen, and whether each is forced.
    fn chosen(&self, scope: &RequestScope, reach: SearchReach) -> Vec<(String, bool)> {
        self.chosen_of(CHOICES, scope, reach)
    }

    /// Returns the same of this number of choices.
    fn chosen_of(
        &self,
        choices: usize,
        scope: &RequestScope,
        reach: SearchReach,
    ) -> Vec<(String, bool)> {
        let pool = self.pool();
        let options = ChoiceOptions {
            idempotent: true,
            reach,
            zone_penalty: Duration::from_millis(10),
            last_resort: false,
            avoids_cold: false,
        };
        let choices = (0..choices).filter_map(|_| pool.choose(&self.view, scope, &[], options));
        let mut names: Vec<(String, bool)> = choices
            .map(|choice| (choice.server.backend.id.to_string(), choice.forced))
            .collect();
        names.sort();
        names.dedup();
        names
    }

    /// Returns the names of all servers that are chosen for ordinary requests.
    fn chosen_names(&self) -> Vec<String> {
        let chosen = self.chosen(&RequestScope::default(), SearchReach::Fleet);
        chosen.into_iter().map(|(name, _)| name).collect()
    }
}

/// Refusal of a request whose servers are all in evacuated zones.
fn is_evacuated(refusal: Option<Refusal>) -> bool {
    matches!(refusal, Some(Refusal::NotRun(NotRun::Evacuated, _)))
}

// Guards against requests to an evacuated zone, and against a zone that is left out
// after the evacuation has ended.
#[test]
fn evacuated_zone_left_out() {
    let ingress = Ingress::new(3, 6, 60);
    let scope = RequestScope::default();
    assert!(
        ingress
            .pool()
            .scope_refusal(&ingress.view, &scope)
            .is_none()
    );
    ingress.evacuate(&["zone-0"]);
    let expected = ["plans-1", "plans-2", "plans-4", "plans-5"];
    assert_eq!(ingress.chosen_names(), expected);
    // There is none in the zone of the ingress, so the search goes elsewhere.
    assert!(ingress.chosen(&scope, SearchReach::Zone).is_empty());
    assert!(
        ingress
            .pool()
            .scope_refusal(&ingress.view, &scope)
            .is_none()
    );
    ingress.evacuate(&[]);
    assert!(ingress.chosen_names().contains(&"plans-0".to_owned()));
}

// Guards against an evacuated server that is chosen as the last resort, because it is
// considered failing or silent as all others are.
#[test]
fn no_last_resort() {
    let ingress = Ingress::new(3, 6, 60);
    for server in &ingress.pool().servers {
        server.record_gate(true);
        server.record_silence();
    }
    ingress.evacuate(&["zone-0"]);
    let chosen = ingress.chosen_of(FEW_CHOICES, &RequestScope::default(), SearchReach::Fleet);
    assert!(!chosen.is_empty());
    for (name, forced) in chosen {
        assert!(
            forced && !["plans-0", "plans-3"].contains(&name.as_str()),
            "{name}"
        );
    }
}

// Guards against a canary to a server on probation in an evacuated zone.
#[test]
fn no_canary() {
    let ingress = Ingress::new(3, 3, 60);
    let scope = RequestScope::default();
    let pool = ingress.pool();
    pool.servers[1].set_canary(true);
    ingress.evacuate(&["zone-1"]);
    assert!(pool.choose_canary(&ingress.view, &scope).is_none());
    ingress.evacuate(&[]);
    let canary = pool.choose_canary(&ingress.view, &scope).unwrap();
    assert_eq!(canary.backend.id.as_str(), "plans-1");
}

// Guards against requests that search for a server where none may get them.
#[test]
fn last_zone_refused() {
    let ingress = Ingress::new(2, 4, 60);
    let scope = RequestScope::default();
    ingress.evacuate(&["zone-0", "zone-1"]);
    assert!(ingress.chosen_names().is_empty());
    let refusal = ingress.pool().scope_refusal(&ingress.view, &scope);
    assert!(is_evacuated(refusal), "{refusal:?}");
    assert!(refusal.unwrap().retry_after().is_some());
    ingress.evacuate(&["zone-0"]);
    assert_eq!(ingress.chosen_names(), ["plans-1", "plans-3"]);
}

// Guards against a zone that a daemon there has reported as evacuated, and that the
// table here does not have as evacuated yet.
#[test]
fn refused_zone_left_out() {
    let ingress = Ingress::new(2, 4, 60);
    let mut scope = RequestScope::default();
    scope.exclude_zone(&"zone-0".parse().unwrap());
    let chosen = ingress.chosen(&scope, SearchReach::Fleet);
    let names: Vec<&str> = chosen.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(names, ["plans-1", "plans-3"]);
    scope.exclude_zone(&"zone-1".parse().unwrap());
    assert!(ingress.chosen(&scope, SearchReach::Fleet).is_empty());
}

// Guards against a floor that is computed from servers that the operator has taken
// out: at a floor of 60% of 9 servers in 3 zones, of which one is evacuated, 2 of the
// other 6 may be ejected. Counted with the evacuated zone, 4 would be fewer than the
// floor, and the ejected ones would be returned to rotation.
#[test]
fn floor_without_evacuated() {
    let ingress = Ingress::new(3, 9, 60);
    for server in [&ingress.pool().servers[1], &ingress.pool().servers[2]] {
        server.set_weight(0.0);
    }
    ingress.evacuate(&["zone-0"]);
    let expected = ["plans-4", "plans-5", "plans-7", "plans-8"];
    assert_eq!(ingress.chosen_names(), expected);
    // One ejection more is below the floor, within the zones that are left.
    ingress.pool().servers[4].set_weight(0.0);
    let expected = [
        "plans-1", "plans-2", "plans-4", "plans-5", "plans-7", "plans-8",
    ];
    assert_eq!(ingress.chosen_names(), expected);
}

/// Returns the scope of a request with homes.
fn with_homes(names: &[&str]) -> RequestScope {
    let regions: Vec<RegionId> = names.iter().map(|name| name.parse().unwrap()).collect();
    RequestScope::new(HomeRegions::new(&regions, &[]))
}

// Guards against requests that leave their homes, in a choice of any kind: ordinary,
// as last resort, or as a canary.
#[test]
fn homes_kept() {
    let ingress = Ingress::new(3, 6, 60);
    let scope = with_homes(&["region-1", "region-2"]);
    let names = |forced: bool| {
        let chosen = ingress.chosen_of(FEW_CHOICES, &scope, SearchReach::Fleet);
        assert!(chosen.iter().all(|(_, other)| *other == forced));
        chosen.into_iter().map(|(name, _)| name).collect::<Vec<_>>()
    };
    let expected = ["plans-1", "plans-2", "plans-4", "plans-5"];
    assert_eq!(names(false), expected);
    assert!(ingress.chosen(&scope, SearchReach::Zone).is_empty());
    let pool = ingress.pool();
    pool.servers[0].set_canary(true);
    assert!(pool.choose_canary(&ingress.view, &scope).is_none());
    for server in &pool.servers {
        server.record_silence();
    }
    assert_eq!(names(true), expected);
}

// Guards against a refusal that names the wrong reason, or none although no server is
// left.
#[test]
fn home_without_servers() {
    let ingress = Ingress::new(2, 4, 60);
    let refusal = |scope: &RequestScope| ingress.pool().scope_refusal(&ingress.view, scope);
    let (home, elsewhere) = (with_homes(&["region-1"]), with_homes(&["region-7"]));
    assert!(refusal(&home).is_none());
    assert_eq!(refusal(&elsewhere), Some(Refusal::OutsideHomes));
    assert!(Refusal::OutsideHomes.retry_after().is_some());
    ingress.evacuate(&["zone-1"]);
    assert!(is_evacuated(refusal(&home)));
    assert!(refusal(&RequestScope::default()).is_none());
    assert_eq!(refusal(&elsewhere), Some(Refusal::OutsideHomes));
}

// Guards against a floor that is computed from servers that the request can't use: of
// the three in its home, one may be ejected at 60%, but not two.
#[test]
fn floor_within_homes() {
    let ingress = Ingress::new(3, 9, 60);
    let scope = with_homes(&["region-1"]);
    let names = || {
        let chosen = ingress.chosen(&scope, SearchReach::Fleet);
        chosen.into_iter().map(|(name, _)| name).collect::<Vec<_>>()
    };
    ingress.pool().servers[1].set_weight(0.0);
    assert_eq!(names(), ["plans-4", "plans-7"]);
    ingress.pool().servers[4].set_weight(0.0);
    assert_eq!(names(), ["plans-1", "plans-4", "plans-7"]);
}

/// Makes the daemon of a server silent for `rounds` offers, each noticed after the time
/// for which the server was avoided because of the one before.
async fn silence(ingress: &Ingress, server: usize, rounds: u64) {
    let pool = ingress.pool();
    for round in 0..rounds {
        pool.servers[server].record_silence();
        tokio::time::sleep(Duration::from_millis(160 << round)).await;
    }
}

/// Creates the daemon with three servers in its zone. Of two candidates, the server on
/// its own VM is always better, so another one is chosen only if all three may be.
fn one_zone() -> Ingress {
    Ingress::new(1, 3, 0)
}

// Guards against requests that all wait for a daemon that is gone, each time that it is
// tried again: only one finds out whether it replies.
#[tokio::test]
async fn single_probe() {
    let ingress = one_zone();
    let scope = RequestScope::default();
    let is_chosen = || {
        let chosen = ingress.chosen_of(FEW_CHOICES, &scope, SearchReach::Fleet);
        chosen.iter().any(|(name, _)| name == "plans-1")
    };
    silence(&ingress, 1, 1).await;
    assert!(is_chosen(), "it is not tried again");
    let server = &ingress.pool().servers[1];
    server.record_offer();
    assert!(!is_chosen(), "a second request waits for it");
    server.record_reply();
    server.record_offer();
    assert!(is_chosen(), "it is avoided after its reply");
}

// Guards against a last resort to a daemon that is gone while another is there, and
// against a pool that refuses everything because all its daemons were silent.
#[tokio::test]
async fn gone_is_no_last_resort() {
    let ingress = one_zone();
    let scope = RequestScope::default();
    let pool = ingress.pool();
    let gone = |server: usize| pool.is_gone(&ingress.view, &scope, &pool.servers[server]);
    let record_all = || {
        pool.servers
            .iter()
            .for_each(|server| server.record_silence())
    };
    silence(&ingress, 1, 3).await;
    assert!(gone(1) && !gone(0) && !gone(2));
    record_all();
    let chosen = ingress.chosen_of(FEW_CHOICES, &scope, SearchReach::Fleet);
    let is_other = |(name, forced): &(String, bool)| name != "plans-1" && *forced;
    assert!(
        !chosen.is_empty() && chosen.iter().all(is_other),
        "{chosen:?}"
    );
    tokio::join!(silence(&ingress, 0, 3), silence(&ingress, 2, 3));
    record_all();
    let any_gone = (0..3).any(gone);
    assert!(!any_gone, "the request has nothing else to wait for");
    assert!(
        !ingress
            .chosen_of(FEW_CHOICES, &scope, SearchReach::Fleet)
            .is_empty()
    );
}

// Guards against a floor that is computed with the servers that reject requests, which
// are not among the candidates: of ten servers at 50%, six reject, and of the other four
// one may be ejected. If all ten were counted, it would return to rotation.
#[test]
fn floor_without_rejecting() {
    let ingress = Ingress::new(1, 10, 50);
    let pool = ingress.pool();
    for server in &pool.servers[4..] {
        server.record_rejections(Percent(100));
    }
    pool.servers[0].set_weight(0.0);
    assert_eq!(ingress.chosen_names(), ["plans-1", "plans-2", "plans-3"]);
    // The floor holds among the four: with three of them ejected, all return.
    pool.servers[1].set_weight(0.0);
    pool.servers[2].set_weight(0.0);
    let expected = ["plans-0", "plans-1", "plans-2", "plans-3"];
    assert_eq!(ingress.chosen_names(), expected);
}
