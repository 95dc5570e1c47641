//! The detector ejects a server with any of the tested faults in time, and
//! ejects no server without a fault of its own.

#[path = "traffic/pool.rs"]
mod pool;
mod traffic;

use std::time::Duration;

use health::{
    DetectorOptions, Event, MemberSpec, Observation, OutcomeCounts, PoolDetector, Reason,
};
use ids::{MonoTime, Percent, Slots};
use pool::PoolSimulation;
use test_case::test_case;
use traffic::{Fault, server_id};

const FAST: Duration = DetectorOptions::FAST;
const CERTAIN: Duration = DetectorOptions::CERTAIN;

fn options(false_ejection_interval: Duration) -> DetectorOptions {
    DetectorOptions {
        false_ejection_interval,
        floor: Percent(60),
    }
}

/// Returns a healthy pool of six servers that has run until the slow limit is
/// known.
fn warm_pool(false_ejection_interval: Duration, seed: u64, rate: f64) -> PoolSimulation {
    let mut simulation = PoolSimulation::new(options(false_ejection_interval), seed, 6, 5, rate);
    simulation.run(Duration::from_secs_f64(600.0 / rate));
    assert!(
        simulation.ejections.is_empty(),
        "{:?}",
        simulation.ejections
    );
    simulation
}

#[test_case(Fault::Errors(1.0), 10.0, 1_000; "dead")]
#[test_case(Fault::Unreachable, 10.0, 1_000; "refuses or one way cut")]
#[test_case(Fault::Hang, 10.0, 1_000; "hangs")]
#[test_case(Fault::Slow(20.0), 10.0, 2_000; "slow 20x")]
#[test_case(Fault::Slow(5.0), 10.0, 2_000; "slow 5x")]
#[test_case(Fault::Slow(2.0), 10.0, 60_000; "slow 2x")]
#[test_case(Fault::SomeSlow(0.3, 20.0), 10.0, 20_000; "slow for some")]
#[test_case(Fault::Errors(0.2), 10.0, 30_000; "errors at 20 percent")]
#[test_case(Fault::Errors(0.05), 10.0, 240_000; "errors at 5 percent")]
#[test_case(Fault::Truncates(0.5), 10.0, 10_000; "truncates")]
#[test_case(Fault::Flaps(Duration::from_secs(1)), 10.0, 4_000; "flaps every second")]
#[test_case(Fault::Flaps(Duration::from_secs(60)), 10.0, 64_000; "flaps every minute")]
#[test_case(Fault::Errors(1.0), 0.3, 40_000; "dead at a request every few seconds")]
fn fault_detected(fault: Fault, rate: f64, within_ms: u64) {
    const RUNS: u64 = 15;
    for interval in [FAST, CERTAIN] {
        let mut delays = Vec::new();
        for seed in 0..RUNS {
            let mut simulation = warm_pool(interval, seed, rate);
            simulation.set_fault(2, fault);
            let delay = simulation.run_until_ejected(2, Duration::from_millis(20 * within_ms));
            delays.push(delay.unwrap_or(Duration::MAX));
            assert!(
                simulation
                    .ejections
                    .iter()
                    .all(|(_, server, _)| *server == 2)
            );
        }
        delays.sort_unstable();
        // Arrivals are random, so the time limit applies to the median run.
        let median = delays[delays.len() / 2];
        assert!(
            median <= Duration::from_millis(within_ms),
            "{interval:?}: {delays:?}"
        );
        assert!(
            delays.iter().all(|delay| *delay < Duration::MAX),
            "{interval:?}: {delays:?}"
        );
    }
}

#[test_case(Fault::Slow(5.0); "whole pool slow")]
#[test_case(Fault::Errors(1.0); "whole pool fails")]
#[test_case(Fault::Hang; "whole pool hangs")]
#[test_case(Fault::Unreachable; "this daemon is cut off")]
fn shared_fault_ejects_nobody(fault: Fault) {
    for seed in 0..5 {
        let mut simulation = warm_pool(FAST, seed, 10.0);
        (0..6).for_each(|server| simulation.set_fault(server, fault));
        simulation.run(Duration::from_secs(60));
        assert!(
            simulation.ejections.is_empty(),
            "{:?}",
            simulation.ejections
        );
    }
}

#[test]
fn two_bad_of_six() {
    let mut simulation = warm_pool(FAST, 1, 10.0);
    simulation.set_fault(1, Fault::Errors(1.0));
    simulation.set_fault(4, Fault::Hang);
    simulation.run(Duration::from_secs(3));
    assert_eq!((simulation.weight(1), simulation.weight(4)), (0.0, 0.0));
    assert_eq!(simulation.detector.capacity(), 20);
}

#[test]
fn floor_keeps_least_severe() {
    // Four of six servers must stay in rotation. Of the three bad ones this is
    // the slow one.
    let mut simulation = warm_pool(FAST, 1, 10.0);
    simulation.set_fault(0, Fault::Slow(5.0));
    simulation.run(Duration::from_secs(2));
    simulation.set_fault(1, Fault::Errors(1.0));
    simulation.set_fault(2, Fault::Errors(1.0));
    simulation.run(Duration::from_secs(3));
    assert!(simulation.detector.capacity() >= simulation.detector.floor());
    assert_eq!((simulation.weight(1), simulation.weight(2)), (0.0, 0.0));
    assert!(simulation.weight(0) > 0.0);
}

#[test]
fn all_but_one_bad() {
    let mut simulation = warm_pool(FAST, 1, 10.0);
    (1..6).for_each(|server| simulation.set_fault(server, Fault::Errors(1.0)));
    simulation.run(Duration::from_secs(30));
    assert!(simulation.detector.capacity() >= simulation.detector.floor());
}

#[test]
fn pool_of_one() {
    let mut simulation = PoolSimulation::new(options(FAST), 1, 1, 5, 10.0);
    simulation.run(Duration::from_secs(60));
    simulation.set_fault(0, Fault::Errors(1.0));
    simulation.run(Duration::from_secs(60));
    assert!(simulation.ejections.is_empty());
}

#[test]
fn returns_after_recovery() {
    let mut simulation = warm_pool(FAST, 1, 10.0);
    simulation.set_fault(2, Fault::Hang);
    simulation.run(Duration::from_secs(3));
    assert_eq!(simulation.weight(2), 0.0);
    simulation.set_fault(2, Fault::None);
    simulation.run(Duration::from_secs(30));
    assert_eq!(simulation.weight(2), 1.0);
}

#[test]
fn ejections_lengthen() {
    let mut simulation = warm_pool(FAST, 1, 10.0);
    simulation.set_fault(2, Fault::Flaps(Duration::from_secs(20)));
    simulation.run(Duration::from_secs(400));
    let times: Vec<MonoTime> = simulation
        .ejections
        .iter()
        .map(|(time, ..)| *time)
        .collect();
    let gaps: Vec<Duration> = times
        .windows(2)
        .map(|pair| pair[1].since(pair[0]))
        .collect();
    assert!(gaps.len() >= 3, "{gaps:?}");
    assert!(
        gaps.is_sorted_by(|a, b| *a <= *b + Duration::from_secs(1)),
        "{gaps:?}"
    );
    assert!(gaps[gaps.len() - 1] >= gaps[0] * 2, "{gaps:?}");
}

/// Returns an event with six servers, of which those that are `usable` are on
/// live VMs.
fn members(usable: impl Fn(usize) -> bool) -> Event {
    let spec = |server| MemberSpec {
        server: server_id(server),
        slots: Slots(5),
        usable: usable(server),
    };
    Event::Members((0..6).map(spec).collect())
}

#[test]
fn restart_ejects_nobody() {
    // A daemon that has just started receives counters that include old
    // failures.
    let mut detector = PoolDetector::new(options(FAST));
    detector.handle(MonoTime::ZERO, members(|_| true));
    let old_counts = OutcomeCounts {
        incarnation: 1,
        samples: 1_000,
        failed: 900,
        ..OutcomeCounts::default()
    };
    for server in 0..6 {
        detector.handle(
            MonoTime::from_millis(5),
            Event::Reported(server_id(server), old_counts),
        );
    }
    // The counters of an egress that has restarted are not compared with those
    // of its previous incarnation either.
    let restarted = OutcomeCounts {
        incarnation: 2,
        ..old_counts
    };
    detector.handle(
        MonoTime::from_millis(9),
        Event::Reported(server_id(0), restarted),
    );
    assert!(
        detector
            .dump()
            .iter()
            .all(|member| member.reason == Reason::Healthy)
    );
    assert_eq!(detector.capacity(), 30);
}

/// Returns a report of the egress of server 0.
fn report(samples: u64, failed: u64, unhealthy: bool) -> Event {
    let counts = OutcomeCounts {
        incarnation: 7,
        samples,
        failed,
        unhealthy,
        ..OutcomeCounts::default()
    };
    Event::Reported(server_id(0), counts)
}

fn assert_scores_zero(simulation: &PoolSimulation) {
    let dump = simulation.detector.dump();
    assert!(dump[0].scores.iter().all(|(_, score)| *score == 0.0));
}

#[test]
fn suspension_resets_scores() {
    let mut simulation = warm_pool(FAST, 1, 10.0);
    let now = simulation.traffic.now();
    for _ in 0..3 {
        simulation.handle(now, Event::Observed(server_id(0), Observation::Overdue));
    }
    simulation.handle(now, Event::Resumed);
    assert_scores_zero(&simulation);
}

#[test]
fn leaving_vm_counts_against_floor() {
    let mut simulation = warm_pool(FAST, 1, 10.0);
    simulation.set_fault(2, Fault::Errors(1.0));
    simulation.run(Duration::from_secs(2));
    assert_eq!(simulation.weight(2), 0.0);
    // Two VMs leave, so that the floor needs the ejected server.
    let now = simulation.traffic.now();
    simulation.handle(now, members(|server| server > 1));
    assert_eq!(simulation.weight(2), 1.0);
    assert!(simulation.detector.capacity() >= simulation.detector.floor());
}

#[test]
fn overtaken_report_ignored() {
    let mut simulation = warm_pool(FAST, 1, 10.0);
    let now = simulation.traffic.now();
    for (samples, failed) in [(100, 0), (110, 0), (105, 0), (111, 0)] {
        simulation.handle(now, report(samples, failed, false));
    }
    assert_scores_zero(&simulation);
}

#[test]
fn returns_without_canaries() {
    // A service without idempotent requests sends no canaries.
    let mut simulation = warm_pool(FAST, 1, 10.0);
    simulation.set_fault(2, Fault::Errors(1.0));
    simulation.run(Duration::from_secs(3));
    assert_eq!(simulation.weight(2), 0.0);
    let mut now = simulation.traffic.now();
    let mut waited_s = 0;
    while simulation.weight(2) == 0.0 {
        waited_s += 1;
        assert!(waited_s < 90, "the server never returns to rotation");
        now = now + Duration::from_secs(1);
        simulation.handle(now, Event::Tick);
    }
    assert!(
        waited_s > 30,
        "the server returned before the wait for canaries was over"
    );
    assert!(
        simulation.weight(2) <= 0.2,
        "the server did not begin with a small share"
    );
}

/// Returns how many consecutive failed samples, 100 ms apart, eject server 0.
fn failures_to_eject(unhealthy: bool) -> u64 {
    let mut simulation = warm_pool(CERTAIN, 1, 10.0);
    let start = simulation.traffic.now();
    simulation.handle(start, report(100, 0, unhealthy));
    for failed in 1..20 {
        let now = start + Duration::from_millis(100 * failed);
        simulation.handle(now, report(100 + failed, failed, unhealthy));
        if simulation.weight(0) == 0.0 {
            return failed;
        }
    }
    panic!("19 failed samples did not eject the server");
}

#[test]
fn unhealthy_endpoint_lowers_threshold() {
    let (without, with) = (failures_to_eject(false), failures_to_eject(true));
    assert!(
        with < without,
        "{with} failures with an unhealthy endpoint, {without} without"
    );
    assert!(
        with > 1,
        "an unhealthy endpoint and one failure must not eject"
    );
}

#[test]
fn unhealthy_endpoint_ejects_nobody() {
    let mut simulation = warm_pool(FAST, 1, 10.0);
    for samples in 100..1_100 {
        simulation.step();
        let now = simulation.traffic.now();
        simulation.handle(now, report(samples, 0, true));
    }
    assert!(
        simulation.ejections.is_empty(),
        "{:?}",
        simulation.ejections
    );
}
