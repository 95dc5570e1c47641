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
pub const REGRESSIONS: &[FailedRun] = &[FailedRun {
    shape: RunShape {
        seed: 1_289_502_199,
        processes: 4,
        seconds: 8,
    },
    cause: "the soak's own: a daemon was started on the ports of one that was leaving still, \
            and ended with \"can't listen\"; it took part in two of three plays",
}];
