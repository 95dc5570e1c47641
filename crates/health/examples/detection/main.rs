//! Measures detection time and false ejections of the detector at several
//! settings and of two baselines, on the same simulated traffic.
//!
//! `cargo run --release -p health --example detection [MILLION_SAMPLES]`
//! writes `docs/figures/detection.csv` and `docs/figures/detection.svg`.

mod baselines;
mod plot;
#[path = "../../tests/traffic/pool.rs"]
mod pool;
#[path = "../../tests/traffic/mod.rs"]
mod traffic;

use std::{fmt, fs, sync::Mutex, time::Duration};

use baselines::{Baseline, BaselineSimulation};
use health::DetectorOptions;
use ids::Percent;
use pool::PoolSimulation;
use traffic::Fault;

/// Directory for the results: `docs/figures` in the root of the workspace.
const FIGURES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/figures");
/// Number of seconds in a month.
const MONTH_S: f64 = 30.0 * 86_400.0;
/// Number of runs for each detection time.
const TRIALS: u64 = 100;
/// Number of samples of one server after which a run without a detection ends.
const MAX_SAMPLES: f64 = 2_000.0;
/// Time from the onset of a fault in which hit requests are counted, unless the
/// detection takes longer. A hit request is one that the fault affects. It is
/// recognized by its outcome: it has no good answer within 200 ms.
const HIT_SPAN: Duration = Duration::from_secs(60);
/// Highest request rate per server for which hit requests are counted over the
/// whole [`HIT_SPAN`]. At higher rates, counting ends when the fault is detected
/// or the run is given up.
const MAX_HIT_RATE: f64 = 10.0;
/// Number of samples of a healthy pool for each rate of false ejections, in
/// millions.
const DEFAULT_MILLIONS: f64 = 30.0;
/// Number of worker threads.
const THREADS: usize = 3;

/// A detector with its parameters.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum DetectorSetup {
    /// The detector of this crate, with a mean time between false ejections.
    Sequential(Duration),
    /// A baseline detector.
    Baseline(Baseline),
}

impl DetectorSetup {
    /// Returns the name of its family of detectors.
    fn family(self) -> &'static str {
        match self {
            Self::Sequential(_) => "sequential",
            Self::Baseline(Baseline::Consecutive { .. }) => "consecutive errors",
            Self::Baseline(Baseline::Window { .. }) => "10 s window",
        }
    }
}

impl fmt::Display for DetectorSetup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Sequential(interval) => write!(f, "{} h", interval.as_secs_f64() / 3_600.0),
            Self::Baseline(baseline) => baseline.fmt(f),
        }
    }
}

/// Size of a pool as in one of the deployments.
#[derive(Clone, Copy, Debug)]
struct PoolShape {
    name: &'static str,
    servers: usize,
    slots: u32,
}

const HANGSOR: PoolShape = PoolShape {
    name: "hangsor",
    servers: 6,
    slots: 5,
};
const COULEE: PoolShape = PoolShape {
    name: "coulee",
    servers: 8,
    slots: 3,
};

/// Faults whose detection time is measured.
const FAULTS: [(&str, Fault); 6] = [
    ("errors 100%", Fault::Errors(1.0)),
    ("hang", Fault::Hang),
    ("slow 5x", Fault::Slow(5.0)),
    ("slow 2x", Fault::Slow(2.0)),
    ("errors 20%", Fault::Errors(0.2)),
    ("errors 5%", Fault::Errors(0.05)),
];

/// One row of the results.
#[derive(Clone, Debug)]
pub(crate) struct ResultRow {
    pub(crate) pool: &'static str,
    pub(crate) rate: f64,
    pub(crate) setup: DetectorSetup,
    pub(crate) false_per_month: f64,
    pub(crate) server_months: f64,
    /// Detection of each fault.
    pub(crate) detections: Vec<Detection>,
}

/// Detection of one fault.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Detection {
    /// Name of the fault.
    pub(crate) fault: &'static str,
    /// Median detection time in seconds.
    pub(crate) median_s: f64,
    /// 99th percentile of the detection time in seconds.
    pub(crate) p99_s: f64,
    /// Share of the runs that detected the fault.
    pub(crate) found_share: f64,
    /// Share of hit requests among the requests to the pool, in [`HIT_SPAN`] from
    /// the onset of the fault. It has another span above [`MAX_HIT_RATE`].
    pub(crate) hit_share: f64,
}

fn options(interval: Duration) -> DetectorOptions {
    DetectorOptions {
        false_ejection_interval: interval,
        floor: Percent(60),
    }
}

/// Returns the number of false ejections of a healthy pool, and the
/// server-months in which they were counted.
fn false_ejections(
    setup: DetectorSetup,
    shape: PoolShape,
    rate: f64,
    samples: f64,
) -> (usize, f64) {
    let span_s = samples / (rate * shape.servers as f64);
    let months = span_s * shape.servers as f64 / MONTH_S;
    let span = Duration::from_secs_f64(span_s);
    let count = match setup {
        DetectorSetup::Sequential(interval) => {
            let mut simulation =
                PoolSimulation::new(options(interval), 11, shape.servers, shape.slots, rate);
            simulation.run(span);
            simulation.ejections.len()
        }
        DetectorSetup::Baseline(baseline) => {
            let mut simulation = BaselineSimulation::new(baseline, 11, shape.servers, rate);
            simulation.run(span);
            simulation.ejections
        }
    };
    (count, months)
}

/// Returns the time until server 0 is ejected for a fault, and the share of hit
/// requests among all. The share is not a number for a baseline.
fn measure_detection(
    setup: DetectorSetup,
    shape: PoolShape,
    rate: f64,
    fault: Fault,
    seed: u64,
) -> (Option<Duration>, f64) {
    let warm_up = Duration::from_secs_f64(400.0 / rate);
    let give_up = Duration::from_secs_f64(MAX_SAMPLES / rate);
    match setup {
        DetectorSetup::Sequential(interval) => {
            let mut simulation =
                PoolSimulation::new(options(interval), seed, shape.servers, shape.slots, rate);
            simulation.run(warm_up);
            simulation.set_fault(0, fault);
            let (requests, hit_requests) = (simulation.requests, simulation.hit_requests);
            let delay = simulation.run_until_ejected(0, give_up);
            if rate <= MAX_HIT_RATE {
                simulation.run(HIT_SPAN.saturating_sub(delay.unwrap_or(give_up)));
            }
            let hit_share = (simulation.hit_requests - hit_requests) as f64
                / (simulation.requests - requests) as f64;
            (delay, hit_share)
        }
        DetectorSetup::Baseline(baseline) => {
            let mut simulation = BaselineSimulation::new(baseline, seed, shape.servers, rate);
            simulation.run(warm_up);
            simulation.traffic.set_fault(0, fault);
            (simulation.run_until_ejected(0, give_up), f64::NAN)
        }
    }
}

/// Measures the detection of one fault over all runs.
fn measure_fault(
    setup: DetectorSetup,
    shape: PoolShape,
    rate: f64,
    (name, fault): (&'static str, Fault),
) -> Detection {
    let runs = (0..TRIALS).map(|seed| measure_detection(setup, shape, rate, fault, 1_000 + seed));
    let (delays, hits): (Vec<Option<Duration>>, Vec<f64>) = runs.unzip();
    let mut delays_s: Vec<f64> = delays
        .iter()
        .map(|time| time.map_or(f64::INFINITY, |time| time.as_secs_f64()))
        .collect();
    delays_s.sort_unstable_by(f64::total_cmp);
    let at = |share: f64| delays_s[((TRIALS - 1) as f64 * share).round() as usize];
    Detection {
        fault: name,
        median_s: at(0.5),
        p99_s: at(0.99),
        found_share: delays.iter().flatten().count() as f64 / TRIALS as f64,
        hit_share: hits.iter().sum::<f64>() / TRIALS as f64,
    }
}

/// Measures one row of the results.
fn measure_row(setup: DetectorSetup, shape: PoolShape, rate: f64, millions: f64) -> ResultRow {
    // The point of the Hangsor deployment is simulated for longer, so that less
    // than one false ejection per month can be measured.
    let span_factor =
        match setup == DetectorSetup::Sequential(DetectorOptions::CERTAIN) && rate == 10.0 {
            true => 4.0,
            false => 1.0,
        };
    let (count, months) = false_ejections(setup, shape, rate, millions * span_factor * 1e6);
    let detections = FAULTS.map(|fault| measure_fault(setup, shape, rate, fault));
    ResultRow {
        pool: shape.name,
        rate,
        setup,
        false_per_month: count as f64 / months,
        server_months: months,
        detections: detections.to_vec(),
    }
}

/// Returns the detectors, pools and request rates of all rows.
fn planned_rows() -> Vec<(DetectorSetup, PoolShape, f64)> {
    let hours = |hours: u64| DetectorSetup::Sequential(Duration::from_secs(hours * 3_600));
    let preferences = [
        DetectorSetup::Sequential(DetectorOptions::FAST),
        DetectorSetup::Sequential(DetectorOptions::BALANCED),
        DetectorSetup::Sequential(DetectorOptions::CERTAIN),
    ];
    let mut planned_rows = Vec::new();
    for setup in [hours(1), hours(24)] {
        planned_rows.push((setup, HANGSOR, 10.0));
    }
    for rate in [0.5, 2.0, 10.0, 50.0, 200.0] {
        planned_rows.extend(preferences.map(|setup| (setup, HANGSOR, rate)));
    }
    planned_rows.extend(preferences.map(|setup| (setup, COULEE, 10.0)));
    for factor in [3, 5, 10, 50] {
        for count in [3, 5, 8] {
            let baseline = Baseline::Consecutive { count, factor };
            planned_rows.push((DetectorSetup::Baseline(baseline), HANGSOR, 10.0));
        }
        for percent in [20, 50] {
            let baseline = Baseline::Window { percent, factor };
            planned_rows.push((DetectorSetup::Baseline(baseline), HANGSOR, 10.0));
        }
    }
    planned_rows
}

/// Returns the results as comma-separated values.
fn to_csv(rows: &[ResultRow]) -> String {
    let mut text = "pool,rate,detector,parameter,false_per_server_month,server_months".to_owned();
    for (fault, _) in FAULTS {
        text += &format!(",{fault} median_s,{fault} p99_s,{fault} found,{fault} hit_60s");
    }
    text.push('\n');
    for row in rows {
        text += &format!(
            "{},{},{},{},{:.3},{:.3}",
            row.pool,
            row.rate,
            row.setup.family(),
            row.setup,
            row.false_per_month,
            row.server_months
        );
        for detection in &row.detections {
            text += &format!(
                ",{:.3},{:.3},{:.3},{:.4}",
                detection.median_s, detection.p99_s, detection.found_share, detection.hit_share
            );
        }
        text.push('\n');
    }
    text
}

fn main() {
    let millions = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let millions: f64 = millions.unwrap_or(DEFAULT_MILLIONS);
    let planned_rows: Vec<_> = planned_rows().into_iter().enumerate().rev().collect();
    let queue = Mutex::new(planned_rows);
    let rows = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let next = queue.lock().unwrap().pop();
                    let Some((index, (setup, shape, rate))) = next else {
                        return;
                    };
                    let row = measure_row(setup, shape, rate, millions);
                    rows.lock().unwrap().push((index, row));
                }
            });
        }
    });
    let mut rows = rows.into_inner().unwrap();
    rows.sort_by_key(|(index, _)| *index);
    let rows: Vec<ResultRow> = rows.into_iter().map(|(_, row)| row).collect();
    let csv = to_csv(&rows);
    print!("{csv}");
    fs::write(format!("{FIGURES}/detection.csv"), csv).unwrap();
    plot::draw(&rows, &format!("{FIGURES}/detection.svg")).unwrap();
}
