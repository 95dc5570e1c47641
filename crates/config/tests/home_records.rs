//! Records with and without homes, in the forms in which they are published, spread
//! and stored.

use config::{
    Access, Account, BucketDigests, ConfigTable, Record, Route, RouteTerms, Service, TableBuilder,
    TablePatch, TrafficClass, delta_between, diff_records,
};
use ids::{RegionId, Revision, TokenAmount, TokenRate, Weight};

/// Returns the names of homes.
fn homes(names: &[&str]) -> Vec<RegionId> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

/// Returns an account record.
fn account(names: &[&str]) -> Record {
    Record::Account(Account {
        id: "radio".parse().unwrap(),
        rate: TokenRate::per_second(3),
        burst: TokenAmount::whole(4),
        weight: Weight(1),
        rank: None,
        homes: homes(names),
    })
}

/// Returns a route record.
fn route(prefix: &str, names: &[&str]) -> Record {
    Record::Route(Route {
        host: "a.example".into(),
        prefix: prefix.into(),
        service: "plans".parse().unwrap(),
        class: TrafficClass::Customer,
        access: Access::Open,
        idempotent: None,
        bulk: false,
        terms: RouteTerms {
            timeout_ms: Some(3_000),
            homes: homes(names),
            ..RouteTerms::default()
        },
    })
}

/// Builds a table.
fn table(revision: u64, records: &[Record]) -> ConfigTable {
    let mut builder = TableBuilder::new();
    for record in records {
        builder.put(record.clone()).unwrap();
    }
    let state = builder.state_digest();
    builder.finish(Revision(revision), state).unwrap()
}

/// Returns the records of a table with one account and two routes.
fn records(names: &[&str]) -> Vec<Record> {
    let service = Service::with_defaults("plans".parse().unwrap());
    vec![
        Record::Service(service),
        route("/one", names),
        route("/two", &["south"]),
        account(names),
    ]
}

// Guards against records whose text, and with it their digests, changes in deployments
// without homes: daemons of two versions would not agree on any table.
#[test]
fn absent_when_unset() {
    let text = |record: Record| String::from_utf8(record.to_bytes()).unwrap();
    assert_eq!(
        text(account(&[])),
        r#"{"account":{"id":"radio","rate":3000,"burst":4000,"weight":1,"rank":null}}"#
            .replace("3000", &raw(TokenRate::per_second(3)))
            .replace("4000", &raw(TokenAmount::whole(4)))
    );
    assert_eq!(
        text(route("/one", &[])),
        r#"{"route":{"host":"a.example","prefix":"/one","service":"plans","class":"customer","access":"open","idempotent":null,"bulk":false,"terms":{"timeout_ms":3000,"target_ms":null,"max_attempts":null,"rank":0,"split":[]}}}"#
    );
    assert!(text(account(&["north"])).ends_with(r#""rank":null,"homes":["north"]}}"#));
    assert!(text(route("/one", &["north"])).ends_with(r#""split":[],"homes":["north"]}}}"#));
}

/// Returns the JSON text of a value.
fn raw<T: serde::Serialize>(value: T) -> String {
    serde_json::to_string(&value).unwrap()
}

// Guards against packed records that are decoded with the bytes of the next one,
// because a field is left out in the binary form too.
#[test]
fn packed_with_and_without() {
    for names in [&[][..], &["north"][..], &["north", "south"][..]] {
        let table = table(1, &records(names));
        let found = table.account(&"radio".parse().unwrap()).unwrap();
        assert_eq!(Record::Account(found), account(names));
        for (path, expected) in [("/one/x", names), ("/two/x", &["south"])] {
            let found = table.route("a.example", path).unwrap();
            assert_eq!(found.terms.homes, homes(expected));
        }
    }
}

// Guards against homes that get lost, or don't end, on the way between daemons.
#[test]
fn delta_and_patch() {
    let sets = [&[][..], &["north"][..], &["north", "south"][..], &[][..]];
    for (revision, pair) in sets.windows(2).enumerate() {
        let revision = revision as u64 + 1;
        let (old, new) = (records(pair[0]), records(pair[1]));
        let (before, after) = (table(revision, &old), table(revision + 1, &new));
        let delta = delta_between(&before, &after, diff_records(&old, &new)).unwrap();
        let delta = serde_json::from_str(&raw(&delta)).unwrap();
        let applied = before.with_delta(&delta).unwrap();
        assert_eq!(applied.state_digest(), after.state_digest());
        assert_eq!(
            applied.account(&"radio".parse().unwrap()).unwrap().homes,
            homes(pair[1])
        );
        let patch = TablePatch::new(&after, &BucketDigests::of(&old));
        let patch: TablePatch = serde_json::from_str(&raw(&patch)).unwrap();
        let (patched, _) = patch.apply(&before).unwrap();
        assert_eq!(patched.state_digest(), after.state_digest());
    }
}
