//! Account records for tests of tables.

use config::{Account, Record};
use ids::{TokenAmount, TokenRate, Weight};

/// Returns an account record with a rate in requests per second.
pub fn account(number: u16, rate: u64) -> Record {
    Record::Account(Account {
        id: format!("account-{number}").parse().unwrap(),
        rate: TokenRate::per_second(rate),
        burst: TokenAmount::whole(10),
        weight: Weight(1),
        rank: None,
        homes: Vec::new(),
    })
}
