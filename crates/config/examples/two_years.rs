//! Measures the configuration at the size expected in two years: memory, time to
//! build the table, time of the lookups for a request, time to apply a delta.
//!
//! Run with `cargo run --release -p config --example two_years [SHARE]`, where
//! SHARE is a fraction of the full size and defaults to 1.

use std::time::Instant;

use config::{
    Access, Account, Backend, CallerKey, ConfigTable, Delta, KeyHasher, Record, Route, Service,
    TableBuilder, TrafficClass, Vm, Zone,
};
use ids::{Revision, Slots, TokenAmount, TokenRate, Weight};

/// Returns the resident memory of the process in megabytes.
fn memory_mb() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) / 1_024.0
}

/// Adds `count` records, and prints their memory and the time to add them.
fn add(builder: &mut TableBuilder, kind: &str, count: usize, make: impl Fn(usize) -> Record) {
    let (memory, start) = (memory_mb(), Instant::now());
    for number in 0..count {
        builder
            .put(make(number))
            .expect("generated records are valid");
    }
    let (grown, time) = (memory_mb() - memory, start.elapsed());
    println!(
        "{kind:<9} {count:>7}  {grown:>6.1} MB  {:>5.0} bytes each  {:>6.2} us each",
        grown * 1_048_576.0 / count as f64,
        time.as_secs_f64() * 1e6 / count as f64
    );
}

fn main() {
    let share: f64 = std::env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(1.0);
    let sized = |full: usize| ((full as f64 * share) as usize).max(20);
    let (vms, servers) = (sized(4_100), sized(200_000));
    let (services, routes, accounts) = (sized(13_000), sized(220_000), sized(440_000));
    let hasher = KeyHasher::new(b"a secret for examples");
    let mut builder = TableBuilder::new();
    let base = memory_mb();
    add(&mut builder, "zones", 11, |n| {
        Record::Zone(Zone {
            id: format!("zone-{n}").parse().unwrap(),
            region: format!("region-{}", n % 5).parse().unwrap(),
            evacuated: false,
        })
    });
    add(&mut builder, "vms", vms, |n| {
        Record::Vm(Vm {
            id: format!("vm-{n}").parse().unwrap(),
            zone: format!("zone-{}", n % 11).parse().unwrap(),
            rack: format!("rack-{}", n % 300).parse().unwrap(),
            address: ([10, 0, (n / 250) as u8, (n % 250) as u8], 7_000).into(),
        })
    });
    add(&mut builder, "services", services, |n| {
        Record::Service(Service::with_defaults(
            format!("service-{n}").parse().unwrap(),
        ))
    });
    add(&mut builder, "servers", servers, |n| {
        Record::Server(Backend {
            id: format!("server-{n}").parse().unwrap(),
            vm: format!("vm-{}", n % vms).parse().unwrap(),
            service: format!("service-{}", n % services).parse().unwrap(),
            address: ([10, 0, (n % vms / 250) as u8, (n % vms % 250) as u8], 9_000).into(),
            slots: Slots(4),
            connections: 300,
            cold: false,
        })
    });
    add(&mut builder, "routes", routes, |n| {
        Record::Route(Route {
            host: format!("host-{}.example", n % services).into(),
            prefix: format!("/part-{}", n / services).into(),
            service: format!("service-{}", n % services).parse().unwrap(),
            class: TrafficClass::Customer,
            access: Access::Keyed,
            idempotent: None,
            bulk: false,
            terms: Default::default(),
        })
    });
    add(&mut builder, "accounts", accounts, |n| {
        Record::Account(Account {
            id: format!("account-{n}").parse().unwrap(),
            rate: TokenRate::per_second(100),
            burst: TokenAmount::whole(100),
            weight: Weight(1),
            rank: None,
            homes: Vec::new(),
        })
    });
    add(&mut builder, "keys", accounts, |n| {
        Record::Key(CallerKey {
            digest: hasher.digest(&n.to_le_bytes()),
            id: format!("key-{n}").parse().unwrap(),
            account: format!("account-{n}").parse().unwrap(),
        })
    });
    let state = builder.state_digest();
    let table = builder
        .finish(Revision(1), state)
        .expect("the digest is that of the builder itself");
    println!("in all {:.1} MB", memory_mb() - base);
    look_up(&table, &hasher, accounts, services);
    apply_deltas(table, accounts);
}

/// Measures the lookups for a request: its route, key and account.
fn look_up(table: &ConfigTable, hasher: &KeyHasher, accounts: usize, services: usize) {
    const LOOKUPS: usize = 200_000;
    let digests: Vec<_> = (0..LOOKUPS)
        .map(|n| hasher.digest(&(n * 7_919 % accounts).to_le_bytes()))
        .collect();
    let hosts: Vec<String> = (0..LOOKUPS)
        .map(|n| format!("host-{}.example", n * 31 % services))
        .collect();
    let start = Instant::now();
    for (digest, host) in digests.iter().zip(&hosts) {
        let route = table
            .route(host, "/part-1/of/a/path")
            .expect("the route exists");
        let key = table.key(digest).expect("the key exists");
        let account = table.account(&key.account).expect("the account exists");
        std::hint::black_box((route, account));
    }
    println!(
        "route, key and account of a request: {:.2} us",
        start.elapsed().as_secs_f64() * 1e6 / LOOKUPS as f64
    );
}

/// Measures a thousand deltas of one record each.
fn apply_deltas(mut table: ConfigTable, accounts: usize) {
    const DELTAS: u64 = 1_000;
    let (before, mut longest, mut total) = (memory_mb(), 0.0_f64, 0.0);
    for number in 0..DELTAS {
        let record = Record::Account(Account {
            id: format!("account-{}", number as usize * 7 % accounts)
                .parse()
                .unwrap(),
            rate: TokenRate::per_second(200 + number),
            burst: TokenAmount::whole(100),
            weight: Weight(1),
            rank: None,
            homes: Vec::new(),
        });
        let mut builder = TableBuilder::from_table(&table);
        builder.put(record.clone()).expect("the record is valid");
        let delta = Delta {
            previous: table.revision(),
            revision: Revision(table.revision().get() + 1),
            state: builder.state_digest(),
            removes: Vec::new(),
            puts: vec![record],
        };
        drop(builder);
        let start = Instant::now();
        table = table
            .with_delta(&delta)
            .expect("the delta starts from the table's revision");
        let seconds = start.elapsed().as_secs_f64();
        total += seconds;
        longest = longest.max(seconds);
    }
    println!(
        "{DELTAS} deltas: {:.0} us each, longest {:.0} us, {:.1} MB more",
        total * 1e6 / DELTAS as f64,
        longest * 1e6,
        memory_mb() - before
    );
}
