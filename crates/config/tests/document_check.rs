//! The example documents load, and each fault is reported with its line and a
//! remedy.

use config::{ConfigTable, Record, TableBuilder, load_records};
use ids::{Revision, ServiceId};
use test_case::test_case;

const HANGSOR: [&str; 2] = [
    include_str!("../../../examples/hangsor/inventory.json"),
    include_str!("../../../examples/hangsor/rules.json"),
];
const COULEE: [&str; 2] = [
    include_str!("../../../examples/coulee/inventory.json"),
    include_str!("../../../examples/coulee/rules.json"),
];

fn load(texts: [&str; 2]) -> Result<Vec<Record>, Vec<config::DocFault>> {
    load_records(("inventory.json", texts[0]), ("rules.json", texts[1]))
}

fn table(records: &[Record]) -> ConfigTable {
    let mut builder = TableBuilder::new();
    for record in records {
        builder.put(record.clone()).unwrap();
    }
    let state = builder.state_digest();
    builder.finish(Revision(1), state).unwrap()
}

#[test_case(HANGSOR, 3, 5, &[("break-plans", 6), ("booking", 15), ("audio-storage", 6), ("airing-proof", 6)]; "hangsor")]
#[test_case(COULEE, 4, 3, &[("route-lookup", 8), ("easements", 11), ("plan-documents", 8), ("locates", 8)]; "coulee")]
fn examples_load(texts: [&str; 2], zones: usize, slots: u32, services: &[(&str, usize)]) {
    let table = table(&load(texts).unwrap());
    assert_eq!(table.zones().count(), zones);
    assert_eq!(table.accounts().count(), 8);
    for (service, servers) in services {
        let id: ServiceId = service.parse().unwrap();
        let pool = table.pool_servers(&id);
        assert_eq!(pool.len(), *servers);
        assert!(pool.iter().all(|server| server.slots.get() == slots));
        assert!(pool.iter().all(|server| server.connections >= 330));
    }
    assert!(
        texts[1].lines().count() <= 60,
        "the rules must fit on one page of 60 lines"
    );
}

#[test_case("\"rate\": 400", "\"rate\": 0", "rate must be at least 1"; "rate zero")]
#[test_case("\"rate\": 400", "\"rat\": 400", "unknown field `rat`"; "unknown field")]
#[test_case("\"rate\": 400", "\"rate\": -1", "invalid value"; "negative rate")]
#[test_case("\"burst\": 400", "\"burst\": 0", "burst must be 1"; "burst zero")]
#[test_case("\"service\": \"booking\" }", "\"service\": \"bookings\" }", "names service bookings"; "unknown service")]
#[test_case("\"account\": \"radio-danube\",", "\"account\": \"radio-d\",", "names account radio-d"; "key without account")]
#[test_case("9a02", "9a01", "stands twice"; "digest twice")]
#[test_case("9a02", "9a0", "not a digest"; "digest too short")]
#[test_case("\"prefix\": \"/plans\"", "\"prefix\": \"plans\"", "prefix must start with `/`"; "prefix without slash")]
#[test_case("\"floor\": 70", "\"floor\": 101", "floor must be 0 to 100"; "floor over 100")]
#[test_case("\"detection\": \"certain\", \"floor\": 70", "\"detection\": \"sure\", \"floor\": 70", "unknown variant `sure`"; "unknown preference")]
#[test_case("\"deadline_ms\": 2000", "\"deadline_ms\": 0", "deadline_ms must be 1"; "deadline zero")]
#[test_case("\"services\": {", "\"services\": ", "correct the JSON"; "broken json")]
fn rules_fault(good: &str, bad: &str, message: &str) {
    let rules = HANGSOR[1].replacen(good, bad, 1);
    assert_ne!(rules, HANGSOR[1]);
    let faults = load([HANGSOR[0], &rules]).unwrap_err();
    let fault = &faults[0];
    assert!(fault.to_string().contains(message), "{fault}");
    // The fault is at the changed line, or at the next one if parsing ends there.
    let offset = HANGSOR[1].find(good).unwrap();
    let line = 1 + HANGSOR[1][..offset].matches('\n').count();
    assert_eq!(fault.file, "rules.json");
    assert!((line..=line + 1).contains(&fault.line), "{line}: {fault}");
}

#[test_case("\"slots\": 5", "\"slots\": 0", "slots must be 1"; "no slots")]
#[test_case("\"connections\": 350", "\"connections\": 4", "at least the number of slots"; "fewer connections than slots")]
#[test_case("\"zone\": \"hu-a\"", "\"zone\": \"hu-x\"", "names zone hu-x"; "unknown zone")]
#[test_case("10.1.0.1:9001", "10.1.0.1:0", "port other than 0"; "port zero")]
#[test_case("10.1.0.1:9001", "somewhere", "invalid socket address"; "invalid address")]
#[test_case("\"name\": \"vm-02\"", "\"name\": \"vm-01\"", "stands twice"; "name twice")]
#[test_case("\"name\": \"vm-02\"", "\"name\": \"vm 02\"", "not a name"; "space in a name")]
fn inventory_fault(good: &str, bad: &str, message: &str) {
    let inventory = HANGSOR[0].replacen(good, bad, 1);
    assert_ne!(inventory, HANGSOR[0]);
    let faults = load([&inventory, HANGSOR[1]]).unwrap_err();
    assert!(faults[0].to_string().contains(message), "{}", faults[0]);
    assert!(faults[0].line > 1, "{}", faults[0]);
}

#[test]
fn every_fault_listed() {
    let rules = HANGSOR[1].replace("\"rate\": 40,", "\"rate\": 0,");
    assert_eq!(load([HANGSOR[0], &rules]).unwrap_err().len(), 4);
}

#[test_case("/plans", true)]
#[test_case("/plans/today", true)]
#[test_case("/plansx", false)]
#[test_case("/", false)]
fn longest_prefix(path: &str, found: bool) {
    let table = table(&load(HANGSOR).unwrap());
    let route = table.route("traffic.hangsor.example", path);
    assert_eq!(route.is_some(), found);
    assert!(table.route("elsewhere.example", path).is_none());
}
