//! Share of requests that a server rejects, as its egress reports it.

use health::RejectionShare;
use ids::{MonoTime, Percent};

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Returns a share after twenty accepted requests in two seconds.
fn accepting() -> RejectionShare {
    let mut share = RejectionShare::default();
    for number in 0..20 {
        share.record(at(number * 100), false);
    }
    share
}

// Guards against one rejection that makes a server look as if it rejects.
#[test]
fn one_is_little() {
    let mut share = accepting();
    let change = share.record(at(2_000), true);
    assert_eq!(change.rejecting, None);
    assert!(share.share(at(2_000)) < Percent(25));
    let mut fresh = RejectionShare::default();
    fresh.record(at(1), true);
    assert!(fresh.share(at(1)) <= Percent(50));
}

// Guards against a server that rejects everything and is known to only after seconds.
#[test]
fn known_within_ten() {
    let mut share = accepting();
    let announced = (1..).find(|number| share.record(at(2_000 + number * 20), true).announce);
    assert!(
        announced.is_some_and(|number| number <= 10),
        "{announced:?}"
    );
}

// Guards against a datagram to each ingress for each rejection.
#[test]
fn announcements_are_bounded() {
    let mut share = accepting();
    let announced =
        (0..1_000).filter(|number| share.record(at(2_000 + number * 10), true).announce);
    assert!((4..=6).contains(&announced.count()));
}

// Guards against log lines that alternate at a share near the bound.
#[test]
fn states_do_not_alternate() {
    let mut share = accepting();
    let rejects = |number: u64| !number.is_multiple_of(2);
    let changes = (0..400).filter(|number| {
        let change = share.record(at(2_000 + number * 50), rejects(*number));
        change.rejecting.is_some()
    });
    assert!(changes.count() <= 1);
}

// Guards against a server that is avoided for ever because it gets no requests.
#[test]
fn forgotten_without_requests() {
    let mut share = accepting();
    (0..50).for_each(|number| {
        share.record(at(2_000 + number * 10), true);
    });
    assert!(share.share(at(2_500)) >= Percent(80));
    assert!(share.share(at(12_500)) <= Percent(10));
}
