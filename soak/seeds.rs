//! Runs that failed before, each with its cause.

use crate::args::RunOptions;

/// A run that failed, and the cause.
pub struct FailedRun {
    /// Options that reproduce the run.
    pub options: RunOptions,
    /// Cause of the failure.
    #[expect(dead_code, reason = "documentation only")]
    pub cause: &'static str,
}

/// Runs that `--regressions` repeats.
pub const REGRESSIONS: &[FailedRun] = &[FailedRun {
    options: RunOptions {
        seed: 1_289_502_199,
        processes: 4,
        seconds: 8,
    },
    cause: "a fault of the soak itself: it started a daemon on ports that a daemon in a graceful \
            stop still had, and the new daemon ended with \"can't listen\"; seen in two of three \
            runs of this seed",
}];
