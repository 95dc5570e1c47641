//! The command line of the soak.

use std::fmt;

use getopts::Options;
use rustix::process::{Resource, getrlimit};

use crate::seeds::REGRESSIONS;

/// Seed of the short run.
const SHORT_SEED: u64 = 1;
/// Processes and seconds where nothing else is asked for.
const PROCESSES: usize = 3;
const SECONDS: u64 = 6;
/// Bounds of what may be asked for; a few hundred processes are the most that
/// a machine is to bear.
const MAX_PROCESSES: usize = 200;
const MAX_SECONDS: u64 = 600;
/// Files that the relays of one pair of daemons hold open, with some to spare:
/// a run of 100 daemons had 10,380 open.
const FILES_PER_PAIR: f64 = 1.2;

/// One run of the soak.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunShape {
    /// Seed of the faults and the traffic.
    pub seed: u64,
    /// Daemons, each a process, with a backend server beside it.
    pub processes: usize,
    /// Time during which faults are injected, in seconds.
    pub seconds: u64,
}

impl fmt::Display for RunShape {
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

/// What the command line asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SoakArgs {
    seeds: Vec<u64>,
    processes: usize,
    seconds: u64,
    regressions: bool,
}

impl SoakArgs {
    /// Reads arguments.
    ///
    /// # Errors
    ///
    /// What is wrong with them, and what to give instead.
    pub fn read(args: impl Iterator<Item = String>) -> Result<Self, String> {
        let mut options = Options::new();
        options.optopt("", "seed", "seed of one run", "N");
        options.optopt("", "fresh", "number of runs with new seeds", "M");
        options.optopt("", "processes", "daemons", "P");
        options.optopt("", "seconds", "time of faults", "S");
        options.optflag("", "regressions", "seeds that failed before");
        // `.ci/run` passes known red tests to all test programs.
        options.optmulti("", "skip", "ignored", "NAME");
        options.optflag("q", "quiet", "ignored");
        let matches = options
            .parse(args)
            .map_err(|error| format!("{error}; {}", options.short_usage("soak")))?;
        let number = |name: &str, least: u64, most: u64, usual: u64| match matches.opt_str(name) {
            None => Ok(usual),
            Some(text) => match text.parse::<u64>() {
                Ok(number) if (least..=most).contains(&number) => Ok(number),
                _ => Err(format!("--{name} `{text}`: give {least} to {most}")),
            },
        };
        let processes = number("processes", 2, MAX_PROCESSES as u64, PROCESSES as u64)?;
        check_files(processes)?;
        let fresh = number("fresh", 1, 10_000, 0)?;
        let seed = number("seed", 0, u64::MAX, SHORT_SEED)?;
        let seeds = match fresh {
            0 => vec![seed],
            count => (0..count)
                .map(|_| u64::from(rand::random::<u32>()))
                .collect(),
        };
        Ok(Self {
            seeds,
            processes: processes as usize,
            seconds: number("seconds", 1, MAX_SECONDS, SECONDS)?,
            regressions: matches.opt_present("regressions"),
        })
    }

    /// The runs, in order.
    pub fn shapes(&self) -> Vec<RunShape> {
        if self.regressions {
            return REGRESSIONS.iter().map(|case| case.shape).collect();
        }
        let shape = |seed: &u64| RunShape {
            seed: *seed,
            processes: self.processes,
            seconds: self.seconds,
        };
        self.seeds.iter().map(shape).collect()
    }
}

/// Checks that the relays of so many daemons may have their files open.
fn check_files(processes: u64) -> Result<(), String> {
    let Some(limit) = getrlimit(Resource::Nofile).current else {
        return Ok(());
    };
    let most = (limit as f64 / FILES_PER_PAIR).sqrt() as u64;
    match processes <= most {
        true => Ok(()),
        false => Err(format!(
            "--processes {processes}: this process may have {limit} files open; give {most} at most"
        )),
    }
}
