//! How long an ingress uses what a backend server has said about itself.

use std::time::{Duration, Instant};

use hop::ServerNotice;
use ids::RequestRate;

use super::notice::HeardNotice;

const LEAVING: ServerNotice = ServerNotice {
    limit: None,
    leaving: true,
};

/// Returns the notice of a server that names a limit.
fn limited() -> ServerNotice {
    ServerNotice {
        limit: Some(RequestRate::from_thousandths(500)),
        leaving: false,
    }
}

// Guards against requests to a leaving server after an answer that it had sent before.
#[test]
fn leaving_is_not_taken_back() {
    let start = Instant::now();
    let mut heard = HeardNotice::default();
    heard.record(start, LEAVING);
    heard.record(start + Duration::from_millis(1), ServerNotice::default());
    let later = start + Duration::from_secs(30);
    assert_eq!(heard.current(later), LEAVING);
    assert_eq!(heard.repeated(later), LEAVING);
}

#[test]
fn leaving_ends() {
    let start = Instant::now();
    let mut heard = HeardNotice::default();
    heard.record(start, LEAVING);
    heard.record(start + Duration::from_secs(50), LEAVING);
    let later = start + Duration::from_secs(61);
    assert_eq!(heard.current(later), ServerNotice::default());
    heard.record(later, LEAVING);
    assert_eq!(heard.current(later), LEAVING);
}

// Guards against a burst at a limited server after its egress has restarted, from an
// ingress that has heard nothing of it for some time.
#[test]
fn limit_is_repeated_longer() {
    let start = Instant::now();
    let mut heard = HeardNotice::default();
    heard.record(start, limited());
    assert_eq!(heard.current(start + Duration::from_secs(9)), limited());
    let later = start + Duration::from_secs(30);
    assert_eq!(heard.current(later), ServerNotice::default());
    assert_eq!(heard.repeated(later), limited());
    heard.record(later, ServerNotice::default());
    assert_eq!(heard.repeated(later), ServerNotice::default());
}
