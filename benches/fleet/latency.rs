//! Latency that the fleet adds to requests, and CPU time that it uses for them.

use std::{sync::Arc, time::Duration};

use crate::{
    ACCOUNT, MEASUREMENT_TIME, UNLIMITED_RATE,
    bed::{BenchFleet, target},
    load::{RequestStream, ResponseTally},
};

/// Measures the same requests sent directly to a backend server and through
/// ingress and egress.
pub(crate) async fn latency() {
    println!("rate/s  path     p50 ms  p99 ms  p99.9 ms  good  refused  lost");
    for rate in [600.0, 1_800.0] {
        // The backend server is on the VM of daemon 0, and requests go to daemon
        // 1, so that they cross an ingress and an egress.
        let fleet = BenchFleet::start(2, 1, 64, &[(ACCOUNT, UNLIMITED_RATE)]).await;
        let direct = format!("http://{}/plans/today", fleet.backends[0].address());
        let direct = RequestStream::new(vec![direct], ACCOUNT, rate);
        let proxied = RequestStream::new(vec![target(&fleet.daemons[1])], ACCOUNT, rate);
        proxied.run(Duration::from_secs(2)).await;
        *proxied.tally.lock().unwrap() = Arc::into_inner(ResponseTally::new())
            .unwrap()
            .into_inner()
            .unwrap();
        let before = fleet.cpu_times();
        // The streams run in turn, a second each, so that both meet the same
        // conditions of the machine.
        for _ in 0..MEASUREMENT_TIME.as_secs() {
            direct.run(Duration::from_secs(1)).await;
            proxied.run(Duration::from_secs(1)).await;
        }
        let after = fleet.cpu_times();
        let used = [0, 1].map(|index| after[index] - before[index]);
        print_latency(rate, &direct, &proxied, used);
        fleet.stop().await;
    }
}

/// Prints latencies of both paths, their differences, and the CPU time per
/// request of egress and ingress.
fn print_latency(rate: f64, direct: &RequestStream, proxied: &RequestStream, used: [Duration; 2]) {
    let (direct, proxied) = (direct.tally.lock().unwrap(), proxied.tally.lock().unwrap());
    for (path, tally) in [("direct", &direct), ("proxied", &proxied)] {
        println!(
            "{rate:>6}  {path:<8} {:>6.2}  {:>6.2}  {:>8.2}  {}  {}  {}",
            tally.quantile_ms(0.5),
            tally.quantile_ms(0.99),
            tally.quantile_ms(0.999),
            tally.good,
            tally.refused,
            tally.lost
        );
    }
    let added = |quantile| proxied.quantile_ms(quantile) - direct.quantile_ms(quantile);
    println!(
        "{rate:>6}  added    {:>6.2}  {:>6.2}  {:>8.2}",
        added(0.5),
        added(0.99),
        added(0.999)
    );
    for (role, used) in ["egress", "ingress"].into_iter().zip(used) {
        let micros = used.as_micros() as f64 / proxied.good as f64;
        println!("{rate:>6}  {role}: {micros:.0} us of CPU time per request");
    }
}
