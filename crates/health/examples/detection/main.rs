//! Detection time against false ejections: our detector at several
//! preferences, and two baselines, on the same traffic in virtual time.
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

use baselines::{Baseline, BaselineBench};
use health::DetectorOptions;
use ids::Percent;
use pool::PoolBench;
use traffic::Fault;

/// Folder for the results, from the root of the workspace.
const FIGURES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/figures");
/// Seconds of a month.
const MONTH_S: f64 = 30.0 * 86_400.0;
/// Runs for each detection time.
const TRIALS: u64 = 100;
/// Most samples of one server that a detection may take.
const GIVE_UP_SAMPLES: f64 = 2_000.0;
/// Time from the onset over which hit requests are counted.
const HIT_SPAN: Duration = Duration::from_secs(60);
/// Highest rate at which they are counted.
const HIT_RATE: f64 = 10.0;
/// Healthy samples for each rate of false ejections, in millions.
const DEFAULT_MILLIONS: f64 = 30.0;
/// Worker threads.
const THREADS: usize = 3;

/// A detector with its parameters.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Contender {
    /// Ours, with a mean time between false ejections.
    Sequential(Duration),
    /// A baseline.
    Plain(Baseline),
}

impl Contender {
    /// Name of the family.
    fn family(self) -> &'static str {
        match self {
            Self::Sequential(_) => "sequential",
            Self::Plain(Baseline::Consecutive { .. }) => "consecutive errors",
            Self::Plain(Baseline::Window { .. }) => "10 s window",
        }
    }
}

impl fmt::Display for Contender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Sequential(interval) => write!(f, "{} h", interval.as_secs_f64() / 3_600.0),
            Self::Plain(baseline) => baseline.fmt(f),
        }
    }
}

/// A pool as in the deployments.
#[derive(Clone, Copy, Debug)]
struct Shape {
    name: &'static str,
    servers: usize,
    slots: u32,
}

const HANGSOR: Shape = Shape {
    name: "hangsor",
    servers: 6,
    slots: 5,
};
const COULEE: Shape = Shape {
    name: "coulee",
    servers: 8,
    slots: 3,
};

/// Faults whose detection is timed.
const FAULTS: [(&str, Fault); 6] = [
    ("errors 100%", Fault::Errors(1.0)),
    ("hang", Fault::Hang),
    ("slow 5x", Fault::Slow(5.0)),
    ("slow 2x", Fault::Slow(2.0)),
    ("errors 20%", Fault::Errors(0.2)),
    ("errors 5%", Fault::Errors(0.05)),
];

/// One line of the results.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    pub(crate) pool: &'static str,
    pub(crate) rate: f64,
    pub(crate) contender: Contender,
    pub(crate) false_per_month: f64,
    pub(crate) server_months: f64,
    /// By fault: name, median and p99 in seconds, share of trials that found
    /// it, share of the pool's requests hit from onset to a minute later.
    pub(crate) detections: Vec<Detection>,
}

/// Detection of one fault.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Detection {
    pub(crate) fault: &'static str,
    pub(crate) median_s: f64,
    pub(crate) p99_s: f64,
    pub(crate) found: f64,
    pub(crate) hit: f64,
}

fn options(interval: Duration) -> DetectorOptions {
    DetectorOptions {
        false_ejection_interval: interval,
        floor: Percent(60),
    }
}

/// False ejections of a healthy pool: number and server-months watched.
fn false_ejections(contender: Contender, shape: Shape, rate: f64, samples: f64) -> (usize, f64) {
    let span_s = samples / (rate * shape.servers as f64);
    let months = span_s * shape.servers as f64 / MONTH_S;
    let span = Duration::from_secs_f64(span_s);
    let count = match contender {
        Contender::Sequential(interval) => {
            let mut bench = PoolBench::new(options(interval), 11, shape.servers, shape.slots, rate);
            bench.run(span);
            bench.ejections.len()
        }
        Contender::Plain(baseline) => {
            let mut bench = BaselineBench::new(baseline, 11, shape.servers, rate);
            bench.run(span);
            bench.ejections
        }
    };
    (count, months)
}

/// Time until server 0 is out, and the share of requests hit in a minute.
fn one_detection(
    contender: Contender,
    shape: Shape,
    rate: f64,
    fault: Fault,
    seed: u64,
) -> (Option<Duration>, f64) {
    let warm = Duration::from_secs_f64(400.0 / rate);
    let give_up = Duration::from_secs_f64(GIVE_UP_SAMPLES / rate);
    match contender {
        Contender::Sequential(interval) => {
            let mut bench =
                PoolBench::new(options(interval), seed, shape.servers, shape.slots, rate);
            bench.run(warm);
            bench.set_fault(0, fault);
            let (requests, troubled) = (bench.requests, bench.troubled);
            let found = bench.run_until_ejected(0, give_up);
            if rate <= HIT_RATE {
                bench.run(HIT_SPAN.saturating_sub(found.unwrap_or(give_up)));
            }
            let hit = (bench.troubled - troubled) as f64 / (bench.requests - requests) as f64;
            (found, hit)
        }
        Contender::Plain(baseline) => {
            let mut bench = BaselineBench::new(baseline, seed, shape.servers, rate);
            bench.run(warm);
            bench.traffic.set_fault(0, fault);
            (bench.run_until_ejected(0, give_up), f64::NAN)
        }
    }
}

/// Detection times of one fault.
fn detection(
    contender: Contender,
    shape: Shape,
    rate: f64,
    (name, fault): (&'static str, Fault),
) -> Detection {
    let runs = (0..TRIALS).map(|seed| one_detection(contender, shape, rate, fault, 1_000 + seed));
    let (times, hits): (Vec<Option<Duration>>, Vec<f64>) = runs.unzip();
    let mut seconds: Vec<f64> = times
        .iter()
        .map(|time| time.map_or(f64::INFINITY, |time| time.as_secs_f64()))
        .collect();
    seconds.sort_unstable_by(f64::total_cmp);
    let at = |share: f64| seconds[((TRIALS - 1) as f64 * share).round() as usize];
    Detection {
        fault: name,
        median_s: at(0.5),
        p99_s: at(0.99),
        found: times.iter().flatten().count() as f64 / TRIALS as f64,
        hit: hits.iter().sum::<f64>() / TRIALS as f64,
    }
}

/// One line of the results.
fn measure(contender: Contender, shape: Shape, rate: f64, millions: f64) -> Line {
    // Hangsor's own point is watched for longer, to see less than one a month.
    let longer = match contender == Contender::Sequential(DetectorOptions::CERTAIN) && rate == 10.0
    {
        true => 4.0,
        false => 1.0,
    };
    let (count, months) = false_ejections(contender, shape, rate, millions * longer * 1e6);
    let detections = FAULTS.map(|fault| detection(contender, shape, rate, fault));
    Line {
        pool: shape.name,
        rate,
        contender,
        false_per_month: count as f64 / months,
        server_months: months,
        detections: detections.to_vec(),
    }
}

/// What is to be measured.
fn work() -> Vec<(Contender, Shape, f64)> {
    let hours = |hours: u64| Contender::Sequential(Duration::from_secs(hours * 3_600));
    let preferences = [
        Contender::Sequential(DetectorOptions::FAST),
        Contender::Sequential(DetectorOptions::BALANCED),
        Contender::Sequential(DetectorOptions::CERTAIN),
    ];
    let mut work = Vec::new();
    for contender in [hours(1), hours(24)] {
        work.push((contender, HANGSOR, 10.0));
    }
    for rate in [0.5, 2.0, 10.0, 50.0, 200.0] {
        work.extend(preferences.map(|contender| (contender, HANGSOR, rate)));
    }
    work.extend(preferences.map(|contender| (contender, COULEE, 10.0)));
    for times in [3, 5, 10, 50] {
        for count in [3, 5, 8] {
            let baseline = Baseline::Consecutive { count, times };
            work.push((Contender::Plain(baseline), HANGSOR, 10.0));
        }
        for percent in [20, 50] {
            let baseline = Baseline::Window { percent, times };
            work.push((Contender::Plain(baseline), HANGSOR, 10.0));
        }
    }
    work
}

/// The results as text with commas.
fn to_csv(lines: &[Line]) -> String {
    let mut text = "pool,rate,detector,parameter,false_per_server_month,server_months".to_owned();
    for (fault, _) in FAULTS {
        text += &format!(",{fault} median_s,{fault} p99_s,{fault} found,{fault} hit_60s");
    }
    text.push('\n');
    for line in lines {
        text += &format!(
            "{},{},{},{},{:.3},{:.3}",
            line.pool,
            line.rate,
            line.contender.family(),
            line.contender,
            line.false_per_month,
            line.server_months
        );
        for found in &line.detections {
            text += &format!(
                ",{:.3},{:.3},{:.3},{:.4}",
                found.median_s, found.p99_s, found.found, found.hit
            );
        }
        text.push('\n');
    }
    text
}

fn main() {
    let millions = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let millions: f64 = millions.unwrap_or(DEFAULT_MILLIONS);
    let work: Vec<_> = work().into_iter().enumerate().rev().collect();
    let queue = Mutex::new(work);
    let lines = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let next = queue.lock().unwrap().pop();
                    let Some((place, (contender, shape, rate))) = next else {
                        return;
                    };
                    let line = measure(contender, shape, rate, millions);
                    lines.lock().unwrap().push((place, line));
                }
            });
        }
    });
    let mut lines = lines.into_inner().unwrap();
    lines.sort_by_key(|(place, _)| *place);
    let lines: Vec<Line> = lines.into_iter().map(|(_, line)| line).collect();
    let csv = to_csv(&lines);
    print!("{csv}");
    fs::write(format!("{FIGURES}/detection.csv"), csv).unwrap();
    plot::draw(&lines, &format!("{FIGURES}/detection.svg")).unwrap();
}
