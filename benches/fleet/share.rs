//! Measurements of how slots are shared between accounts, between customers and
//! internal requests, and between short requests and long transfers.

use std::time::Duration;

use config::{Access, Record, Route, TrafficClass};
use fakes::Behaviour;

use crate::{
    ACCOUNT, MEASUREMENT_TIME, OTHER_ACCOUNT, UNLIMITED_RATE,
    bed::{BenchFleet, BenchShape},
    load::RequestStream,
};

/// Time after which a short request is answered. With it, six backend servers
/// of five slots serve 1,500 requests per second.
const ANSWER_TIME: Duration = Duration::from_millis(20);
/// Time for which a long transfer holds a slot.
const TRANSFER_TIME: Duration = Duration::from_millis(400);

/// Starts three daemons and six backend servers of five slots for each of two
/// services. `plans` is measured. Requests to `others` load the machine as much
/// as requests to `plans`, but use none of its slots.
async fn shared_fleet() -> BenchFleet {
    let shape = BenchShape {
        daemons: 3,
        services: &[("plans", 6), ("others", 6)],
        slots: 5,
        accounts: &[(ACCOUNT, UNLIMITED_RATE), (OTHER_ACCOUNT, UNLIMITED_RATE)],
    };
    let add_routes = |records: &mut Vec<Record>| {
        for service in ["plans", "others"] {
            records.push(route("internal", service, TrafficClass::Internal, false));
            records.push(route("bulk", service, TrafficClass::Customer, true));
            records.push(route("unmarked", service, TrafficClass::Customer, false));
        }
    };
    let fleet = BenchFleet::start_with(&shape, add_routes).await;
    for backend in &fleet.backends {
        backend.set_behaviour(Behaviour::Slow(ANSWER_TIME));
        for path in ["/bulk", "/unmarked"] {
            backend.set_path_behaviour(path, Behaviour::Slow(TRANSFER_TIME));
        }
    }
    fleet
}

/// Returns a record of the route `/KIND-SERVICE`.
fn route(kind: &str, service: &str, class: TrafficClass, bulk: bool) -> Record {
    Record::Route(Route {
        host: "*".into(),
        prefix: format!("/{kind}-{service}").into(),
        service: service.parse().unwrap(),
        class,
        access: Access::Keyed,
        idempotent: None,
        bulk,
        terms: Default::default(),
    })
}

/// Runs two streams at the same time. The second one is skipped if its rate is 0.
async fn run_both(first: &RequestStream, second: &RequestStream) {
    tokio::join!(first.run(MEASUREMENT_TIME), async {
        if second.rate > 0.0 {
            second.run(MEASUREMENT_TIME).await;
        }
    });
}

/// Measures an account that stays within its fair share, while a noisy account
/// sends up to ten times 600 requests per second.
pub(crate) async fn fair() {
    println!("noisy x  other: good  p50 ms  p99 ms  goodput ratio  noisy: good  refused");
    let mut alone = None;
    for load_factor in [0.0, 1.0, 3.0, 10.0] {
        let fleet = shared_fleet().await;
        let other = RequestStream::new(fleet.targets("/plans/today"), OTHER_ACCOUNT, 300.0);
        let noisy = RequestStream::new(fleet.targets("/plans/today"), ACCOUNT, 600.0 * load_factor);
        run_both(&other, &noisy).await;
        print_accounts(load_factor, &mut alone, &other, &noisy);
        fleet.stop().await;
    }
}

/// Prints results of both accounts, with the goodput of the other one in
/// proportion to its goodput without the noisy one.
fn print_accounts(
    load_factor: f64,
    alone: &mut Option<u64>,
    other: &RequestStream,
    noisy: &RequestStream,
) {
    let (other, noisy) = (other.tally.lock().unwrap(), noisy.tally.lock().unwrap());
    let base = *alone.get_or_insert(other.good);
    println!(
        "{load_factor:>7}  {:>11}  {:>6.1}  {:>6.1}  {:>13.3}  {:>11}  {:>7}",
        other.good,
        other.quantile_ms(0.5),
        other.quantile_ms(0.99),
        other.good as f64 / base as f64,
        noisy.good,
        noisy.refused
    );
}

/// Measures customers' requests while internal requests are sent, which at the
/// highest rate exceed what the slots can serve. The baselines are a run without
/// internal requests, and runs with the same rate of them to another service:
/// these load the machine as much, but use no slot of the measured service.
pub(crate) async fn internal() {
    print_header("internal");
    for (service, rate) in [
        ("plans", 0.0),
        ("others", 500.0),
        ("plans", 500.0),
        ("others", 2_000.0),
        ("plans", 2_000.0),
    ] {
        measure_customers(&format!("/internal-{service}/segment"), rate, 300.0).await;
    }
}

/// Measures short requests while long transfers run: without transfers, with
/// transfers of another service, with transfers on a bulk route, and with
/// transfers on a route that is not marked as bulk.
pub(crate) async fn bulk() {
    print_header("transfers");
    for (path, rate) in [
        ("/bulk-plans/file", 0.0),
        ("/bulk-others/file", 100.0),
        ("/bulk-plans/file", 100.0),
        ("/unmarked-plans/file", 100.0),
    ] {
        measure_customers(path, rate, 300.0).await;
    }
}

/// Prints the head of the table; `what` names the background requests.
fn print_header(what: &str) {
    println!(
        "{what} at, /s             customers: good  p50 ms  p99 ms  p99.9 ms  {what}: good  refused"
    );
}

/// Runs customers' requests at `customer_rate` and, at the same time, background
/// requests to `path` at `rate`. Prints the results.
async fn measure_customers(path: &str, rate: f64, customer_rate: f64) {
    let fleet = shared_fleet().await;
    let background = RequestStream::new(fleet.targets(path), ACCOUNT, rate);
    let customers = RequestStream::new(fleet.targets("/plans/today"), OTHER_ACCOUNT, customer_rate);
    run_both(&customers, &background).await;
    print_classes(path, &customers, &background);
    fleet.stop().await;
}

/// Prints results of customers' requests and of the background requests.
fn print_classes(path: &str, customers: &RequestStream, background: &RequestStream) {
    let rate = background.rate;
    let (customers, background) = (
        customers.tally.lock().unwrap(),
        background.tally.lock().unwrap(),
    );
    println!(
        "{path:<22} {rate:>5}  {:>14}  {:>6.1}  {:>6.1}  {:>8.1}  {:>9}  {:>7}",
        customers.good,
        customers.quantile_ms(0.5),
        customers.quantile_ms(0.99),
        customers.quantile_ms(0.999),
        background.good,
        background.refused
    );
}
