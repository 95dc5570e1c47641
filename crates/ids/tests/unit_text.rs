//! Tests of the parsing and printing of names and units, and of token
//! arithmetic.

use std::time::Duration;

use ids::{AccountId, Percent, Slots, TokenAmount, TokenRate};
use test_case::test_case;

#[test_case("radio-one"; "plain")]
#[test_case("a"; "short")]
#[test_case("Hu.A_1"; "all characters")]
fn name_round_trip(text: &str) {
    let account: AccountId = text.parse().unwrap();
    assert_eq!(account.to_string(), text);
}

#[test_case(""; "empty")]
#[test_case("a b"; "space")]
#[test_case("ü"; "not ascii")]
#[test_case("a\r\nb"; "line break")]
fn invalid_name(text: &str) {
    let error = text.parse::<AccountId>().unwrap_err();
    assert!(error.to_string().contains("use 1 to 100"));
}

#[test]
fn number_round_trip() {
    assert_eq!("60%".parse::<Percent>().unwrap().to_string(), "60%");
    assert_eq!("5".parse::<Slots>().unwrap(), Slots(5));
    assert!("five".parse::<Slots>().is_err());
}

#[test]
fn shares_add_no_tokens() {
    let burst = TokenAmount::whole(5);
    let shares = burst.share(3) + burst.share(3) + burst.share(3);
    assert!(shares <= burst);
    assert!(burst.saturating_sub(shares).as_microtokens() < 3);
}

#[test]
fn tokens_accrue() {
    let rate = TokenRate::per_second(10);
    assert_eq!(
        rate.tokens_in(Duration::from_millis(250)),
        TokenAmount::from_microtokens(2_500_000)
    );
    assert_eq!(
        rate.time_for(TokenAmount::ONE),
        Some(Duration::from_millis(100))
    );
    assert_eq!(TokenRate::default().time_for(TokenAmount::ONE), None);
}
