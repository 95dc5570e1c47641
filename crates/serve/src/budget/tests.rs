//! Tests of the module `budget`.

use super::*;

/// Guards against bytes that stay charged after their holder is gone.
#[test]
fn charges_return() {
    let account = Arc::new(ByteAccount::new(100_000));
    let mut charge = account.open();
    assert!(charge.grow(50_000) && charge.grow(30_000));
    assert!(!charge.grow(30_000));
    assert_eq!(account.used(), 80_000);
    charge.clear();
    assert_eq!(account.used(), 0);
    charge.force(200_000);
    drop(charge);
    assert_eq!(account.used(), 0);
}

/// Guards against large charges that leave nothing to ordinary requests.
#[test]
fn small_charges_keep_reserve() {
    let account = Arc::new(ByteAccount::new(160_000));
    let mut large = account.open();
    while large.grow(1_000) {}
    assert_eq!(account.used(), 140_000);
    assert!(account.open().grow(SMALL_BYTES));
    assert!(!account.open().grow(SMALL_BYTES + 1));
}

/// Guards against limits of connections that exceed the descriptors.
#[test]
fn peers_fit_descriptors() {
    let limit = |descriptors| {
        let budgets = Budgets {
            connections: 3_000,
            descriptors,
            ..Budgets::default()
        };
        peer_connections(&budgets, 64)
    };
    assert_eq!(limit(0), MAX_PEER_CONNECTIONS);
    assert_eq!(limit(4_100), 623);
    assert_eq!(limit(3_100), 1);
}

// Guards against a machine whose memory is read in the wrong unit, or a report
// without a total that ends the daemon.
#[test]
fn system_memory() {
    let text = "MemFree:  1 kB\nMemTotal:       163840 kB\n";
    assert_eq!(parse_memory_mb(text), Some(167));
    assert_eq!(parse_memory_mb("MemTotal: much"), None);
    assert_eq!(parse_memory_mb("MemFree: 1 kB"), None);
}
