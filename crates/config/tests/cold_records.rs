//! Records of cold backend servers in text and in packed form.

use config::{
    Backend, ColdTerms, ConfigTable, PackedMap, Record, Service, TableBuilder, check_record,
};
use ids::{RequestRate, Revision, Slots};
use test_case::test_case;

fn backend(number: u32, cold: bool) -> Backend {
    Backend {
        id: format!("server-{number}").parse().unwrap(),
        vm: "vm-1".parse().unwrap(),
        service: "plans".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        slots: Slots(5),
        connections: 300,
        cold,
    }
}

fn table(records: &[Record]) -> ConfigTable {
    let mut builder = TableBuilder::new();
    for record in records {
        builder.put(record.clone()).unwrap();
    }
    let state = builder.state_digest();
    builder.finish(Revision(1), state).unwrap()
}

// Guards against a field that changes the digests of servers without cold terms, so
// that daemons of two versions refuse each other's tables.
#[test]
fn warm_text_unchanged() {
    let text = serde_json::to_string(&backend(1, false)).unwrap();
    let expected = r#"{"id":"server-1","vm":"vm-1","service":"plans","address":"10.0.0.1:80","slots":5,"connections":300}"#;
    assert_eq!(text, expected);
    let service = serde_json::to_string(&Service::with_defaults("plans".parse().unwrap()));
    assert!(!service.unwrap().contains("cold"));
}

#[test_case(false; "warm")]
#[test_case(true; "cold")]
fn text_round_trip(cold: bool) {
    let text = serde_json::to_string(&backend(1, cold)).unwrap();
    let parsed: Backend = serde_json::from_str(&text).unwrap();
    assert_eq!(parsed, backend(1, cold));
}

// Guards against a packed record without the field, which would be read from the bytes
// of the next record.
#[test]
fn packed_round_trip() {
    let mut map = PackedMap::default();
    for number in 0..5_000 {
        map.insert(&backend(number, number % 3 == 0));
    }
    for number in 0..5_000 {
        let name = format!("server-{number}");
        assert_eq!(map.get(&name), Some(backend(number, number % 3 == 0)));
    }
}

#[test]
fn cold_changes_digest() {
    let warm = table(&[Record::Server(backend(1, false))]);
    let cold = table(&[Record::Server(backend(1, true))]);
    assert_ne!(warm.state_digest(), cold.state_digest());
}

#[test_case(3_000, 14_000, true; "usual")]
#[test_case(0, 1, true; "least")]
#[test_case(3_000, 0, false; "no rate")]
#[test_case(3_600_001, 14_000, false; "too long")]
fn terms_checked(after_start_ms: u32, thousandths: u64, valid: bool) {
    let service = Service {
        cold: Some(ColdTerms {
            after_start_ms,
            rate: RequestRate::from_thousandths(thousandths),
        }),
        ..Service::with_defaults("plans".parse().unwrap())
    };
    assert_eq!(check_record(&Record::Service(service)).is_ok(), valid);
}
