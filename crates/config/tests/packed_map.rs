//! Compares the packed map with a `BTreeMap`, and route lookups with a linear
//! search.

use std::collections::BTreeMap;

use config::{
    Access, Account, ConfigTable, PackedMap, PackedRecord, Record, Route, TableBuilder,
    TrafficClass,
};
use ids::{RegionId, Revision, TokenAmount, TokenRate, Weight};
use proptest::{prelude::*, test_runner::RngSeed};

/// Number of account names in the fuzz test.
const NAMES: u16 = 60;

fn account(name: u16, rate: u64) -> Account {
    Account {
        id: format!("account-{name}").parse().unwrap(),
        rate: TokenRate::per_second(rate),
        burst: TokenAmount::whole(rate),
        weight: Weight(1),
        rank: None,
        homes: (0..rate % 3).map(region).collect(),
    }
}

fn region(number: u64) -> RegionId {
    format!("region-{number}").parse().unwrap()
}

/// Operation on the map: inserts or removes an account, or clones the map.
#[derive(Clone, Debug)]
enum MapOperation {
    Put(u16, u64),
    Remove(u16),
    Snapshot,
}

fn operations() -> impl Strategy<Value = Vec<MapOperation>> {
    let operation = prop_oneof![
        6 => (0..NAMES, 1..1_000_000_u64).prop_map(|(name, rate)| MapOperation::Put(name, rate)),
        5 => (0..NAMES).prop_map(MapOperation::Remove),
        1 => Just(MapOperation::Snapshot),
    ];
    prop::collection::vec(operation, 1..300)
}

fn assert_same(map: &PackedMap<Account>, oracle: &BTreeMap<u16, Account>) {
    assert_eq!(map.len(), oracle.len());
    for name in 0..NAMES {
        let wanted = account(name, 1);
        let found = map.get(wanted.key());
        assert_eq!(found.as_ref(), oracle.get(&name));
        assert_eq!(map.contains(wanted.key()), oracle.contains_key(&name));
    }
    assert_eq!(map.iter().count(), oracle.len());
}

#[test]
fn many_records_per_shard() {
    let mut map = PackedMap::default();
    let mut oracle = BTreeMap::new();
    for name in 0..20_000 {
        map.insert(&account(name, 1));
        oracle.insert(name, account(name, 1));
    }
    let snapshot = map.clone();
    for name in (0..20_000).filter(|name| name % 3 > 0) {
        // The record is removed, or replaced by a longer one.
        match name % 3 {
            1 => {
                assert_eq!(map.remove(account(name, 1).key()), oracle.remove(&name));
            }
            _ => {
                map.insert(&account(name, 1_000_000));
                oracle.insert(name, account(name, 1_000_000));
            }
        }
    }
    assert_eq!(map.len(), oracle.len());
    for name in 0..20_000 {
        let wanted = account(name, 1);
        assert_eq!(map.get(wanted.key()).as_ref(), oracle.get(&name));
        assert_eq!(snapshot.get(wanted.key()), Some(wanted));
    }
}

/// Finds the route with the longest matching prefix by comparing all routes,
/// first those of the host, then those of any host.
fn linear_search<'a>(routes: &'a [Route], host: &str, path: &str) -> Option<&'a Route> {
    let covers = |route: &&Route| {
        let rest = path.strip_prefix(route.prefix.as_ref());
        rest.is_some_and(|rest| {
            route.prefix.ends_with('/') || rest.is_empty() || rest.starts_with('/')
        })
    };
    let best = |host: &str| {
        let of_host = routes.iter().filter(|route| route.host.as_ref() == host);
        of_host
            .filter(covers)
            .max_by_key(|route| route.prefix.len())
    };
    best(host).or_else(|| best("*"))
}

fn routes_table(routes: &[Route]) -> ConfigTable {
    let mut builder = TableBuilder::new();
    for route in routes {
        builder.put(Record::Route(route.clone())).unwrap();
    }
    let state = builder.state_digest();
    builder.finish(Revision(1), state).unwrap()
}

fn path() -> impl Strategy<Value = String> {
    prop::collection::vec(prop_oneof!["a", "b", "ab", ""], 0..5)
        .prop_map(|parts| format!("/{}", parts.join("/")))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_268),
        ..ProptestConfig::default()
    })]

    #[test]
    fn matches_btree_map(operations in operations()) {
        let mut map = PackedMap::default();
        let mut oracle = BTreeMap::new();
        let mut snapshots = Vec::new();
        for operation in operations {
            match operation {
                MapOperation::Put(name, rate) => {
                    map.insert(&account(name, rate));
                    oracle.insert(name, account(name, rate));
                }
                MapOperation::Remove(name) => {
                    let removed = map.remove(account(name, 1).key());
                    assert_eq!(removed, oracle.remove(&name));
                }
                MapOperation::Snapshot => snapshots.push((map.clone(), oracle.clone())),
            }
        }
        assert_same(&map, &oracle);
        // Later changes to the map do not change its clones.
        for (map, oracle) in snapshots {
            assert_same(&map, &oracle);
        }
    }

    #[test]
    fn routes_match_search(
        prefixes in prop::collection::btree_set((prop_oneof!["[*]", "one", "two"], path()), 0..12),
        host in prop_oneof!["one", "two", "three"],
        path in path(),
    ) {
        let route = |(host, prefix): (String, String)| Route {
            host: host.into(),
            prefix: prefix.into(),
            service: "service".parse().unwrap(),
            class: TrafficClass::Customer,
            access: Access::Keyed,
            idempotent: None,
            bulk: false,
            terms: Default::default(),
        };
        let routes: Vec<Route> = prefixes.into_iter().map(route).collect();
        let table = routes_table(&routes);
        let found = table.route(&host, &path);
        prop_assert_eq!(found.as_ref(), linear_search(&routes, &host, &path));
    }
}
