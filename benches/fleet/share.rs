//! Who gets the slots: accounts, internal work, long transfers.

use std::time::Duration;

use config::{Access, Record, Route, TrafficClass};
use fakes::Behaviour;

use crate::{
    ACCOUNT, OTHER, PLENTY, SPAN,
    bed::{Bench, BenchShape},
    load::Stream,
};

/// Time of a lookup: six backend servers of five slots do 1,500 a second.
const LOOKUP_TIME: Duration = Duration::from_millis(20);
/// Time for which a long transfer holds a slot.
const TRANSFER_TIME: Duration = Duration::from_millis(400);

/// Three daemons, and six backend servers of five slots for each of two
/// services: the one measured, and one that takes the same load elsewhere.
async fn shared_bench() -> Bench {
    let shape = BenchShape {
        daemons: 3,
        services: &[("plans", 6), ("others", 6)],
        slots: 5,
        accounts: &[(ACCOUNT, PLENTY), (OTHER, PLENTY)],
    };
    let add_routes = |records: &mut Vec<Record>| {
        for service in ["plans", "others"] {
            records.push(route("internal", service, TrafficClass::Internal, false));
            records.push(route("bulk", service, TrafficClass::Customer, true));
            records.push(route("unmarked", service, TrafficClass::Customer, false));
        }
    };
    let bench = Bench::start_with(&shape, add_routes).await;
    for backend in &bench.backends {
        backend.set_behaviour(Behaviour::Slow(LOOKUP_TIME));
        for path in ["/bulk", "/unmarked"] {
            backend.set_path_behaviour(path, Behaviour::Slow(TRANSFER_TIME));
        }
    }
    bench
}

/// A route `/KIND-SERVICE`.
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

/// Two streams side by side; the second one may have no requests.
async fn run_both(first: &Stream, second: &Stream) {
    tokio::join!(first.run(SPAN), async {
        if second.rate > 0.0 {
            second.run(SPAN).await;
        }
    });
}

/// One account over its share beside one within it.
pub(crate) async fn fair() {
    println!("noisy x  other: good  p50 ms  p99 ms  goodput ratio  noisy: good  refused");
    let mut alone = None;
    for noise in [0.0, 1.0, 3.0, 10.0] {
        let bench = shared_bench().await;
        let other = Stream::new(bench.targets("/plans/today"), OTHER, 300.0);
        let noisy = Stream::new(bench.targets("/plans/today"), ACCOUNT, 600.0 * noise);
        run_both(&other, &noisy).await;
        print_fairness(noise, &mut alone, &other, &noisy);
        bench.stop().await;
    }
}

/// Prints how the other account fares beside the noisy one.
fn print_fairness(noise: f64, alone: &mut Option<u64>, other: &Stream, noisy: &Stream) {
    let (other, noisy) = (other.tally.lock().unwrap(), noisy.tally.lock().unwrap());
    let base = *alone.get_or_insert(other.good);
    println!(
        "{noise:>7}  {:>11}  {:>6.1}  {:>6.1}  {:>13.3}  {:>11}  {:>7}",
        other.good,
        other.at(0.5),
        other.at(0.99),
        other.good as f64 / base as f64,
        noisy.good,
        noisy.refused
    );
}

/// Customers beside internal work that asks for more than there is: against
/// none, and against the same work at another service, which loads the
/// machine alike and takes no slot.
pub(crate) async fn internal() {
    print_header("internal");
    for (service, rate) in [
        ("plans", 0.0),
        ("others", 500.0),
        ("plans", 500.0),
        ("others", 2_000.0),
        ("plans", 2_000.0),
    ] {
        beside(&format!("/internal-{service}/segment"), rate, 300.0).await;
    }
}

/// Short requests beside long transfers: at another service, marked as such,
/// and not marked.
pub(crate) async fn bulk() {
    print_header("transfers");
    for (path, rate) in [
        ("/bulk-plans/file", 0.0),
        ("/bulk-others/file", 100.0),
        ("/bulk-plans/file", 100.0),
        ("/unmarked-plans/file", 100.0),
    ] {
        beside(path, rate, 300.0).await;
    }
}

fn print_header(what: &str) {
    println!(
        "{what} at, /s             customers: good  p50 ms  p99 ms  p99.9 ms  {what}: good  refused"
    );
}

/// Customers' requests, and others beside them.
async fn beside(path: &str, rate: f64, customer_rate: f64) {
    let bench = shared_bench().await;
    let inside = Stream::new(bench.targets(path), ACCOUNT, rate);
    let customers = Stream::new(bench.targets("/plans/today"), OTHER, customer_rate);
    run_both(&customers, &inside).await;
    print_classes(path, &customers, &inside);
    bench.stop().await;
}

/// Prints how customers fare beside the others.
fn print_classes(path: &str, customers: &Stream, inside: &Stream) {
    let rate = inside.rate;
    let (customers, inside) = (
        customers.tally.lock().unwrap(),
        inside.tally.lock().unwrap(),
    );
    println!(
        "{path:<22} {rate:>5}  {:>14}  {:>6.1}  {:>6.1}  {:>8.1}  {:>9}  {:>7}",
        customers.good,
        customers.at(0.5),
        customers.at(0.99),
        customers.at(0.999),
        inside.good,
        inside.refused
    );
}
