//! Seeds that failed once, each with its cause.

use crate::args::RunShape;

/// A run that failed.
pub struct FailedRun {
    /// What to play.
    pub shape: RunShape,
    /// Why it failed.
    #[expect(dead_code, reason = "for readers")]
    pub cause: &'static str,
}

/// All of them.
pub const REGRESSIONS: &[FailedRun] = &[];
