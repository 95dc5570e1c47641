//! Settings that bound what clients may take.

use serve::Settings;
use test_case::test_case;

/// Returns the field that is at fault in settings with these budgets, if one is.
fn fault(budgets: &str) -> Option<String> {
    let text = format!(
        r#"{{ "vm": "vm-0", "zone": "zone-0", "ingress": "127.0.0.1:1", "peer": "127.0.0.1:2",
            "admin": "127.0.0.1:3", "platform": "127.0.0.1:4",
            "secret": "a secret for tests only", "budgets": {{ {budgets} }} }}"#
    );
    let parsed = Settings::parse("settings.json", &text);
    parsed.err().map(|fault| fault.to_string())
}

/// Guards against settings that bound nothing or leave no room to serve.
#[test_case("", None; "no bound")]
#[test_case(r#""memory_mb": 160, "connections": 3000, "descriptors": 4100"#, None; "small machine")]
#[test_case(r#""memory_mb": 15"#, Some("budgets.memory_mb"); "too little memory")]
#[test_case(r#""connections": 100, "descriptors": 255"#, Some("budgets.descriptors"); "few descriptors")]
#[test_case(r#""connections": 4100, "descriptors": 4100"#, Some("budgets.descriptors"); "all for callers")]
fn ranges_are_checked(budgets: &str, expected: Option<&str>) {
    let fault = fault(budgets);
    assert_eq!(fault.is_some(), expected.is_some(), "{fault:?}");
    let named = fault.unwrap_or_default();
    assert!(named.contains(expected.unwrap_or_default()), "{named}");
}
