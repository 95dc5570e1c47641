//! Each fault is found, and what is no fault is left alone.

#[path = "traffic/pool.rs"]
mod pool;
mod traffic;

use std::time::Duration;

use health::{
    DetectorOptions, Event, MemberSpec, Observation, OutcomeCounts, PoolDetector, Reason,
};
use ids::{MonoTime, Percent, Slots};
use pool::PoolBench;
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

/// A pool of six with a learnt baseline.
fn warm_pool(false_ejection_interval: Duration, seed: u64, rate: f64) -> PoolBench {
    let mut bench = PoolBench::new(options(false_ejection_interval), seed, 6, 5, rate);
    bench.run(Duration::from_secs_f64(600.0 / rate));
    assert!(bench.ejections.is_empty(), "{:?}", bench.ejections);
    bench
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
fn fault_found(fault: Fault, rate: f64, within_ms: u64) {
    const RUNS: u64 = 15;
    for preference in [FAST, CERTAIN] {
        let mut delays = Vec::new();
        for seed in 0..RUNS {
            let mut bench = warm_pool(preference, seed, rate);
            bench.set_fault(2, fault);
            let found = bench.run_until_ejected(2, Duration::from_millis(20 * within_ms));
            delays.push(found.unwrap_or(Duration::MAX));
            assert!(bench.ejections.iter().all(|(_, server, _)| *server == 2));
        }
        delays.sort_unstable();
        // Arrivals are random, so the stated time is for the median run.
        let median = delays[delays.len() / 2];
        assert!(
            median <= Duration::from_millis(within_ms),
            "{preference:?}: {delays:?}"
        );
        assert!(
            delays.iter().all(|delay| *delay < Duration::MAX),
            "{preference:?}: {delays:?}"
        );
    }
}

#[test_case(Fault::Slow(5.0); "whole pool slow")]
#[test_case(Fault::Errors(1.0); "whole pool fails")]
#[test_case(Fault::Hang; "whole pool hangs")]
#[test_case(Fault::Unreachable; "this daemon is cut off")]
fn shared_fault_ejects_nobody(fault: Fault) {
    for seed in 0..5 {
        let mut bench = warm_pool(FAST, seed, 10.0);
        (0..6).for_each(|server| bench.set_fault(server, fault));
        bench.run(Duration::from_secs(60));
        assert!(bench.ejections.is_empty(), "{:?}", bench.ejections);
    }
}

#[test]
fn two_bad_of_six() {
    let mut bench = warm_pool(FAST, 1, 10.0);
    bench.set_fault(1, Fault::Errors(1.0));
    bench.set_fault(4, Fault::Hang);
    bench.run(Duration::from_secs(3));
    assert_eq!((bench.weight(1), bench.weight(4)), (0.0, 0.0));
    assert_eq!(bench.detector.capacity(), 20);
}

#[test]
fn floor_keeps_least_bad() {
    // Four of six must stay; of three bad ones the slow one does.
    let mut bench = warm_pool(FAST, 1, 10.0);
    bench.set_fault(0, Fault::Slow(5.0));
    bench.run(Duration::from_secs(2));
    bench.set_fault(1, Fault::Errors(1.0));
    bench.set_fault(2, Fault::Errors(1.0));
    bench.run(Duration::from_secs(3));
    assert!(bench.detector.capacity() >= bench.detector.floor());
    assert_eq!((bench.weight(1), bench.weight(2)), (0.0, 0.0));
    assert!(bench.weight(0) > 0.0);
}

#[test]
fn all_but_one_bad() {
    let mut bench = warm_pool(FAST, 1, 10.0);
    (1..6).for_each(|server| bench.set_fault(server, Fault::Errors(1.0)));
    bench.run(Duration::from_secs(30));
    assert!(bench.detector.capacity() >= bench.detector.floor());
}

#[test]
fn pool_of_one() {
    let mut bench = PoolBench::new(options(FAST), 1, 1, 5, 10.0);
    bench.run(Duration::from_secs(60));
    bench.set_fault(0, Fault::Errors(1.0));
    bench.run(Duration::from_secs(60));
    assert!(bench.ejections.is_empty());
}

#[test]
fn returns_after_recovery() {
    let mut bench = warm_pool(FAST, 1, 10.0);
    bench.set_fault(2, Fault::Hang);
    bench.run(Duration::from_secs(3));
    assert_eq!(bench.weight(2), 0.0);
    bench.set_fault(2, Fault::None);
    bench.run(Duration::from_secs(30));
    assert_eq!(bench.weight(2), 1.0);
}

#[test]
fn relapses_wait_longer() {
    let mut bench = warm_pool(FAST, 1, 10.0);
    bench.set_fault(2, Fault::Flaps(Duration::from_secs(20)));
    bench.run(Duration::from_secs(400));
    let times: Vec<MonoTime> = bench.ejections.iter().map(|(time, ..)| *time).collect();
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

/// Six servers, of which some are on live VMs.
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
    // A daemon that has just started gets counters with a bad past.
    let mut detector = PoolDetector::new(options(FAST));
    detector.handle(MonoTime::ZERO, members(|_| true));
    let past = OutcomeCounts {
        epoch: 1,
        samples: 1_000,
        failed: 900,
        ..OutcomeCounts::default()
    };
    for server in 0..6 {
        detector.handle(
            MonoTime::from_millis(5),
            Event::Reported(server_id(server), past),
        );
    }
    // And one whose egress restarts has no past either.
    let restarted = OutcomeCounts { epoch: 2, ..past };
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

/// A report of the first server's egress.
fn report(samples: u64, failed: u64, unhealthy: bool) -> Event {
    let counts = OutcomeCounts {
        epoch: 7,
        samples,
        failed,
        unhealthy,
        ..OutcomeCounts::default()
    };
    Event::Reported(server_id(0), counts)
}

fn check_no_scores(bench: &PoolBench) {
    let dump = bench.detector.dump();
    assert!(dump[0].scores.iter().all(|(_, score)| *score == 0.0));
}

#[test]
fn pause_forgets_scores() {
    let mut bench = warm_pool(FAST, 1, 10.0);
    let now = bench.traffic.now();
    for _ in 0..3 {
        bench.take(now, Event::Observed(server_id(0), Observation::Overdue));
    }
    bench.take(now, Event::Resumed);
    check_no_scores(&bench);
}

#[test]
fn leaving_vm_counts_against_floor() {
    let mut bench = warm_pool(FAST, 1, 10.0);
    bench.set_fault(2, Fault::Errors(1.0));
    bench.run(Duration::from_secs(2));
    assert_eq!(bench.weight(2), 0.0);
    // Two VMs leave: the ejected one is needed again.
    let now = bench.traffic.now();
    bench.take(now, members(|server| server > 1));
    assert_eq!(bench.weight(2), 1.0);
    assert!(bench.detector.capacity() >= bench.detector.floor());
}

#[test]
fn overtaken_report_ignored() {
    let mut bench = warm_pool(FAST, 1, 10.0);
    let now = bench.traffic.now();
    for (samples, failed) in [(100, 0), (110, 0), (105, 0), (111, 0)] {
        bench.take(now, report(samples, failed, false));
    }
    check_no_scores(&bench);
}

#[test]
fn returns_without_canaries() {
    // A service without idempotent requests has nothing to try it with.
    let mut bench = warm_pool(FAST, 1, 10.0);
    bench.set_fault(2, Fault::Errors(1.0));
    bench.run(Duration::from_secs(3));
    assert_eq!(bench.weight(2), 0.0);
    let mut now = bench.traffic.now();
    let mut waited = 0;
    while bench.weight(2) == 0.0 {
        waited += 1;
        assert!(waited < 90, "it never returns");
        now = now + Duration::from_secs(1);
        bench.take(now, Event::Tick);
    }
    assert!(waited > 30, "canaries go first");
    assert!(bench.weight(2) <= 0.2, "a small share first");
}

/// Failed samples in a row, 100 ms apart, until a server is ejected.
fn failures_to_eject(unhealthy: bool) -> u64 {
    let mut bench = warm_pool(CERTAIN, 1, 10.0);
    let start = bench.traffic.now();
    bench.take(start, report(100, 0, unhealthy));
    for failed in 1..20 {
        let now = start + Duration::from_millis(100 * failed);
        bench.take(now, report(100 + failed, failed, unhealthy));
        if bench.weight(0) == 0.0 {
            return failed;
        }
    }
    panic!("not ejected");
}

#[test]
fn bad_word_takes_less_evidence() {
    let (without, with) = (failures_to_eject(false), failures_to_eject(true));
    assert!(with < without, "{with} of {without}");
    assert!(with > 1, "a word and one failure are not enough");
}

#[test]
fn bad_word_alone_ejects_nobody() {
    let mut bench = warm_pool(FAST, 1, 10.0);
    for samples in 100..1_100 {
        bench.step();
        let now = bench.traffic.now();
        bench.take(now, report(samples, 0, true));
    }
    assert!(bench.ejections.is_empty(), "{:?}", bench.ejections);
}
