//! Command line of the soak.

use std::fmt;

use getopts::Options;
use rustix::process::{Resource, getrlimit};

use crate::seeds::REGRESSIONS;

/// Default seed, which the short run in CI uses.
const DEFAULT_SEED: u64 = 1;
/// Default number of daemons.
const DEFAULT_PROCESSES: usize = 3;
/// Default time during which faults are injected, in seconds.
const DEFAULT_SECONDS: u64 = 6;
/// Largest number of daemons; a few hundred processes are the most that one
/// machine should run.
const MAX_PROCESSES: usize = 200;
/// Longest time during which faults are injected, in seconds.
const MAX_SECONDS: u64 = 600;
/// Files that the relays hold open for each ordered pair of daemons, with a
/// margin: a run of 100 daemons had 10,380 open.
const FILES_PER_DAEMON_PAIR: f64 = 1.2;

/// Options of one run of the soak.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunOptions {
    /// Seed of the random choice of faults and requests.
    pub seed: u64,
    /// Number of daemons, each a process with a backend server on the same VM.
    pub processes: usize,
    /// Time during which faults are injected, in seconds.
    pub seconds: u64,
}

impl fmt::Display for RunOptions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            seed,
            processes,
            seconds,
        } = self;
        write!(
            f,
            "--seed {seed} --processes {processes} --seconds {seconds}"
        )
    }
}

/// Parsed command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SoakArgs {
    seeds: Vec<u64>,
    processes: usize,
    seconds: u64,
    regressions: bool,
}

impl SoakArgs {
    /// Parses the arguments after the program's name.
    ///
    /// # Errors
    ///
    /// Returns which argument is wrong, and which values it accepts.
    pub fn read(args: impl Iterator<Item = String>) -> Result<Self, String> {
        let mut options = Options::new();
        options.optopt("", "seed", "seed of one run", "N");
        options.optopt("", "fresh", "number of runs with new seeds", "M");
        options.optopt("", "processes", "daemons", "P");
        options.optopt(
            "",
            "seconds",
            "time during which faults are injected, in seconds",
            "S",
        );
        options.optflag("", "regressions", "run the seeds that failed before");
        // `.ci/test` passes these to all test programs for tests known to fail.
        options.optmulti("", "skip", "ignored", "NAME");
        options.optflag("", "exact", "ignored");
        options.optflag("q", "quiet", "ignored");
        let matches = options
            .parse(args)
            .map_err(|error| format!("{error}; {}", options.short_usage("soak")))?;
        let number = |name: &str, min: u64, max: u64, default: u64| match matches.opt_str(name) {
            None => Ok(default),
            Some(text) => match text.parse::<u64>() {
                Ok(number) if (min..=max).contains(&number) => Ok(number),
                _ => Err(format!("--{name} `{text}`: give {min} to {max}")),
            },
        };
        let processes = number(
            "processes",
            2,
            MAX_PROCESSES as u64,
            DEFAULT_PROCESSES as u64,
        )?;
        check_open_files(processes)?;
        let fresh = number("fresh", 1, 10_000, 0)?;
        let seed = number("seed", 0, u64::MAX, DEFAULT_SEED)?;
        let seeds = match fresh {
            0 => vec![seed],
            count => (0..count)
                .map(|_| u64::from(rand::random::<u32>()))
                .collect(),
        };
        Ok(Self {
            seeds,
            processes: processes as usize,
            seconds: number("seconds", 1, MAX_SECONDS, DEFAULT_SECONDS)?,
            regressions: matches.opt_present("regressions"),
        })
    }

    /// Returns the options of each run, in order.
    pub fn runs(&self) -> Vec<RunOptions> {
        if self.regressions {
            return REGRESSIONS.iter().map(|case| case.options).collect();
        }
        let options = |seed: &u64| RunOptions {
            seed: *seed,
            processes: self.processes,
            seconds: self.seconds,
        };
        self.seeds.iter().map(options).collect()
    }
}

/// Checks that the limit of open files suffices for the relays of that many
/// daemons.
fn check_open_files(processes: u64) -> Result<(), String> {
    let Some(limit) = getrlimit(Resource::Nofile).current else {
        return Ok(());
    };
    let max = (limit as f64 / FILES_PER_DAEMON_PAIR).sqrt() as u64;
    match processes <= max {
        true => Ok(()),
        false => Err(format!(
            "--processes {processes}: this process may have {limit} files open; give {max} at most"
        )),
    }
}
