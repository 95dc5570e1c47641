//! Count of what cold backend servers are sent, without a network.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use config::{ColdTerms, Record, TableBuilder};
use fakes::{Deployment, DeploymentShape, ServiceShape};
use hop::{OfferId, OfferJob};
use hyper::Request;
use ids::{RequestRate, Revision, ServerId};
use tokio::sync::oneshot;

use super::{EgressHub, offer_key, server::EgressServer};
use crate::{
    body::empty_body,
    clock::MonoClock,
    control::control_queue,
    edge::DefaultCodec,
    metrics::MetricSet,
    settings::{Budgets, LogSettings, Policy, Settings, SourceKind},
    task::TaskGroup,
    view::FleetView,
    wire::{Attempt, EgressOutcome, NotRun},
};

/// Number of requests, which is more than the server may be sent at once.
const REQUESTS: u64 = 3;

/// Creates the egress of a VM with one cold server, to which no connection may be
/// opened.
fn egress_of_cold() -> EgressHub {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let settings = Settings {
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
    };
    let shape = DeploymentShape {
        zones: 1,
        daemons: vec![address],
        services: vec![ServiceShape {
            name: "plans".to_owned(),
            servers: vec![address],
            slots: 4,
        }],
        accounts: Vec::new(),
    };
    let mut builder = TableBuilder::new();
    for mut record in Deployment::new(&shape, b"a secret for tests only").records {
        match &mut record {
            Record::Service(service) => {
                service.cold = Some(ColdTerms {
                    after_start_ms: 60_000,
                    rate: RequestRate::from_thousandths(1_000),
                });
            }
            Record::Server(server) => server.cold = true,
            _ => {}
        }
        builder.put(record).unwrap();
    }
    let view = Arc::new(FleetView::new(settings.vm.clone(), settings.zone.clone()));
    let state = builder.state_digest();
    assert!(view.adopt_table(Arc::new(builder.finish(Revision(1), state).unwrap())));
    let hub = EgressHub::new(
        view,
        MonoClock::default(),
        Arc::new(TaskGroup::new()),
        control_queue().0,
        Arc::new(ArcSwap::from_pointee(settings)),
        Arc::new(MetricSet::default()),
        Arc::new(DefaultCodec),
    );
    let mut backend = hub.view.table().servers().next().unwrap();
    // A table allows no fewer connections than slots.
    backend.connections = 0;
    let server = Arc::new(hub.make_server(&backend));
    hub.apply_cold(&server, &backend);
    let servers = [(backend.id.clone(), server)];
    hub.servers.store(Arc::new(servers.into_iter().collect()));
    hub
}

/// Waits until the server may be sent one request. There is none to spare for a second
/// one, whose token takes about a second more.
async fn wait_for_token(server: &EgressServer) {
    while !server.cold_wait(server.clock.now()).is_zero() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns a request for a slot of a server.
fn job(server: &ServerId) -> OfferJob {
    OfferJob {
        server: server.clone(),
        account: None,
        key: None,
        weight: ids::Weight(1),
        rank: Default::default(),
        work_priority: Default::default(),
        kind: 0,
        first_offer: true,
        internal: false,
        bulk: false,
        idempotent: true,
        forced: false,
        target_us: 5_000_000,
        remaining_us: 5_000_000,
    }
}

/// Returns the attempt of an offer.
fn attempt(hub: &EgressHub, server: &ServerId, offer: OfferId) -> Attempt {
    Attempt {
        request: offer.0,
        from: hub.view.vm.clone(),
        offer,
        server: server.clone(),
        account: None,
        caller_service: None,
        idempotent: true,
        remaining_us: 5_000_000,
        slow_limit_us: 0,
        target_hash: 0,
        answer_us: None,
    }
}

// Guards against requests that use up the rate of a cold server although no connection
// was ready for them: what was counted while one was opened would be sent at once.
#[tokio::test]
async fn counted_when_ready() {
    let hub = egress_of_cold();
    let id: ServerId = "plans-0".parse().unwrap();
    let server = hub.server(&id).unwrap();
    assert!(server.is_cold());
    wait_for_token(&server).await;
    for number in 0..REQUESTS {
        let offer = OfferId(number);
        let key = offer_key(&hub.view.vm, offer);
        let now = hub.clock.now();
        hub.offers()
            .offer(now, key.clone(), || oneshot::channel().0);
        let held = hub.hold_slot(&server, &job(&id), || {}).await;
        let held = held.unwrap_or_else(|reason| panic!("request {number}: {reason}"));
        assert!(hub.offers().grant(now, &key, held).is_ok());
        let attempt = attempt(&hub, &id, offer);
        let answer = hub.commit(&attempt, Request::new(empty_body())).await;
        let expected = EgressOutcome::NotRun(NotRun::Overloaded);
        assert_eq!(answer.report.outcome, expected);
    }
}

// Guards against a request that is counted once for each connection that turns out to be
// closed, and against a cold server that is sent more than its rate.
#[tokio::test]
async fn counted_once() {
    let hub = egress_of_cold();
    let server = hub.server(&"plans-0".parse().unwrap()).unwrap();
    wait_for_token(&server).await;
    let mut pass = hub.reserve_cold(&server).unwrap();
    for _ in 0..REQUESTS {
        assert!(pass.send());
    }
    // It has used the one token.
    assert!(!server.count_cold(false));
    assert!(hub.reserve_cold(&server).is_err());
}
