//! Places that a request may be sent to: its homes, and zones that are not evacuated.

use ids::{RegionId, ZoneId};
use route::{HomeRegions, RequestScope, ServerPlace};
use test_case::test_case;

/// Returns the regions with these names.
fn regions(names: &[&str]) -> Vec<RegionId> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

/// Returns the places, of `north`, `south` and `west`, that a scope contains.
fn contained(scope: &RequestScope, evacuated: &str) -> Vec<String> {
    let places = ["north", "south", "west"].into_iter().filter(|name| {
        let (zone, region): (ZoneId, RegionId) = (name.parse().unwrap(), name.parse().unwrap());
        scope.contains(Some(ServerPlace {
            zone: &zone,
            region: &region,
            evacuated: *name == evacuated,
        }))
    });
    places.map(str::to_owned).collect()
}

// Guards against homes of which only those of the route or of the account apply, and
// against lists without a common region that allow everything.
#[test_case(&[], &[], &["north", "south", "west"]; "neither")]
#[test_case(&["north"], &[], &["north"]; "route")]
#[test_case(&[], &["south"], &["south"]; "account")]
#[test_case(&["north", "south"], &["south", "west"], &["south"]; "both")]
#[test_case(&["north"], &["north"], &["north"]; "the same")]
#[test_case(&["north"], &["south"], &[]; "nothing in common")]
#[test_case(&["elsewhere"], &[], &[]; "region without servers")]
fn route_and_account(route: &[&str], account: &[&str], expected: &[&str]) {
    let homes = HomeRegions::new(&regions(route), &regions(account));
    assert_eq!(
        homes.is_unrestricted(),
        route.is_empty() && account.is_empty()
    );
    let scope = RequestScope::new(homes);
    assert_eq!(contained(&scope, ""), expected);
}

// Guards against a home that is used although it is evacuated.
#[test_case("", &["north", "south"]; "none")]
#[test_case("north", &["south"]; "a home")]
#[test_case("west", &["north", "south"]; "another region")]
fn evacuated_home(evacuated: &str, expected: &[&str]) {
    let homes = HomeRegions::new(&regions(&["north", "south"]), &[]);
    assert_eq!(contained(&RequestScope::new(homes), evacuated), expected);
}

// Guards against a request that goes on asking a zone that has refused it, and against
// one that then leaves its homes.
#[test]
fn refused_zone() {
    let mut scope = RequestScope::new(HomeRegions::new(&regions(&["north", "south"]), &[]));
    scope.exclude_zone(&"north".parse().unwrap());
    assert_eq!(contained(&scope, ""), ["south"]);
    scope.exclude_zone(&"south".parse().unwrap());
    assert!(contained(&scope, "").is_empty());
    assert!(!scope.is_unrestricted());
}

// Guards against a server that is used although nobody knows where it is.
#[test]
fn unknown_place() {
    assert!(!RequestScope::default().contains(None));
    let homes = HomeRegions::new(&regions(&["north"]), &[]);
    assert!(!RequestScope::new(homes).contains(None));
}
