//! Randomized fault soak: runs daemons as separate processes, injects faults
//! from outside, and checks the fleet's guarantees against what callers and
//! backend servers observe.
//!
//! `cargo test --release --test soak -- --seed 7 --processes 6 --seconds 20`
//! runs one seed, `--fresh 5` five random seeds, and `--regressions` the seeds
//! that failed before. Without arguments it does the short run of CI.

mod args;
mod callers;
mod checks;
mod faults;
mod fleet;
mod play;
#[path = "../tests/harness/process.rs"]
mod process;
mod seeds;

use std::process::ExitCode;

use crate::{args::SoakArgs, play::run_soak};

fn main() -> ExitCode {
    let args = match SoakArgs::read(std::env::args().skip(1)) {
        Ok(args) => args,
        Err(error) => {
            eprintln!("soak: {error}");
            return ExitCode::from(2);
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("the runtime needs only threads and file descriptors");
    let (mut passed, mut failed) = (0, 0);
    for options in args.runs() {
        let findings = runtime.block_on(run_soak(options));
        match findings.is_empty() {
            true => passed += 1,
            false => failed += 1,
        }
        for finding in &findings {
            println!("  FAILED {finding}");
        }
        if !findings.is_empty() {
            println!("  again: cargo test --release --test soak -- {options}");
        }
    }
    println!("soak: {passed} passed, {failed} failed");
    ExitCode::from(u8::from(failed > 0))
}
