//! Accounts for tests of tables.

use config::{Account, Record};
use ids::{TokenAmount, TokenRate, Weight};

/// An account of that rate, in tokens a second.
pub fn account(number: u16, rate: u64) -> Record {
    Record::Account(Account {
        id: format!("account-{number}").parse().unwrap(),
        rate: TokenRate::per_second(rate),
        burst: TokenAmount::whole(10),
        weight: Weight(1),
        rank: None,
    })
}
