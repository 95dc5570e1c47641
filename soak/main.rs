//! Randomized fault soak: real daemons as separate processes, faults from
//! outside them, promises checked by what callers and backend servers see.
//!
//! `cargo test --release --test soak -- --seed 7 --processes 6 --seconds 20`
//! plays one seed, `--fresh 5` five new ones, `--regressions` those that ever
//! failed. Without arguments it is the short run of CI.

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

use crate::{args::SoakArgs, play::play};

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
        .expect("a runtime needs threads and descriptors only");
    let (mut passed, mut failed) = (0, 0);
    for shape in args.shapes() {
        let findings = runtime.block_on(play(shape));
        match findings.is_empty() {
            true => passed += 1,
            false => failed += 1,
        }
        for finding in &findings {
            println!("  FAILED {finding}");
        }
        if !findings.is_empty() {
            println!("  again: cargo test --release --test soak -- {shape}");
        }
    }
    println!("soak: {passed} passed, {failed} failed");
    ExitCode::from(u8::from(failed > 0))
}
