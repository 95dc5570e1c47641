//! Benches of a fleet under open-loop load, with each daemon in a process of
//! its own.
//!
//! `cargo bench --bench fleet -- NAME...` runs the measurements with these names,
//! see [`Measurement::ALL`]. The modules explain them.

mod bed;
mod churn;
mod control;
mod latency;
mod load;
#[path = "../../tests/harness/process.rs"]
mod process;
mod share;
mod slow;

use std::time::Duration;

/// Secret that all daemons share.
const SECRET: &str = "a secret for benches only";
/// Account of most requests.
const ACCOUNT: &str = "radio-one";
/// Second account, for measurements in which two accounts send requests at the
/// same time.
const OTHER_ACCOUNT: &str = "radio-two";
/// Rate and burst of accounts without a limit, too high to be reached.
const UNLIMITED_RATE: u64 = 1_000_000;
/// Time of a measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(10);

/// A measurement that the command line can name.
#[derive(Clone, Copy, Debug)]
enum Measurement {
    Latency,
    Control,
    Churn,
    Internal,
    Fair,
    Bulk,
    Hedge,
    Detect,
}

impl Measurement {
    /// Measurements by their names on the command line.
    const ALL: [(&str, Self); 8] = [
        ("latency", Self::Latency),
        ("control", Self::Control),
        ("churn", Self::Churn),
        ("internal", Self::Internal),
        ("fair", Self::Fair),
        ("bulk", Self::Bulk),
        ("hedge", Self::Hedge),
        ("detect", Self::Detect),
    ];

    /// Runs the measurement and prints the results.
    async fn run(self) {
        match self {
            Self::Latency => latency::latency().await,
            Self::Control => control::control().await,
            Self::Churn => churn::churn().await,
            Self::Internal => share::internal().await,
            Self::Fair => share::fair().await,
            Self::Bulk => share::bulk().await,
            Self::Hedge => slow::hedge().await,
            Self::Detect => slow::detect().await,
        }
    }
}

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .unwrap();
    let args: Vec<String> = std::env::args().collect();
    let wanted = |(name, _): &&(&str, Measurement)| args.iter().any(|arg| arg == name);
    let measurements: Vec<_> = Measurement::ALL.iter().filter(wanted).collect();
    if measurements.is_empty() {
        let names = Measurement::ALL.map(|(name, _)| name);
        println!("name one or more measurements: {}", names.join(", "));
    }
    for (_, measurement) in measurements {
        runtime.block_on(measurement.run());
    }
}
