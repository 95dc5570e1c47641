//! Configurations without accounts, and accounts without a limit.

mod harness;

use config::{Account, Record};
use harness::{Fleet, FleetShape};
use hyper::{Method, StatusCode};

#[tokio::test(flavor = "multi_thread")]
async fn keys_need_accounts() {
    // Guards against requests that are refused for want of a key that the
    // configuration gives to nobody.
    let shape = FleetShape {
        accounts: Vec::new(),
        ..FleetShape::single()
    };
    let fleet = Fleet::start_configured(shape, |_| {}).await;
    let keyless = fleet.request(0, Method::GET, "/plans/today").no_key();
    let answer = fleet.send(keyless).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    let any_key = fleet.request(0, Method::GET, "/plans/today").key("any");
    let answer = fleet.send(any_key).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unlimited_needs_no_tokens() {
    // Guards against an account without a limit that is refused because no home of
    // its tokens can be reached: right after a start, and while other daemons
    // restart.
    let mut fleet = Fleet::start_configured(FleetShape::default(), |deployment| {
        for record in &mut deployment.records {
            if let Record::Account(account) = record {
                (account.rate, account.burst) = Account::unlimited();
            }
        }
    })
    .await;
    for index in [1, 2] {
        fleet.daemons[index].take().unwrap().kill().await;
    }
    for _ in 0..20 {
        let answer = fleet.get(0, "/plans/today").await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
    fleet.stop().await;
}
