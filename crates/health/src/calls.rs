//! Failed calls of requests that run on this VM.
//!
//! Pattern: fault attribution. A backend server whose own call to another
//! service fails answers with an error. Taken as evidence against it, one
//! overloaded service would have all servers that depend on it ejected. So
//! each failed call explains one error of a request that ran meanwhile.

use std::{collections::VecDeque, time::Duration};

use ids::MonoTime;

/// Time for which a failed call can explain an error: longer than requests
/// usually run.
const REMEMBER: Duration = Duration::from_secs(15);
/// Failed calls that are remembered, far more than run at a time.
const MOST_CALLS: usize = 256;

/// Calls that failed of late and explain no error yet.
#[derive(Clone, Debug, Default)]
pub struct FailedCalls {
    failed: VecDeque<MonoTime>,
}

impl FailedCalls {
    /// A call from this VM failed.
    pub fn record_failure(&mut self, now: MonoTime) {
        self.forget(now);
        if self.failed.len() >= MOST_CALLS {
            self.failed.pop_front();
        }
        self.failed.push_back(now);
    }

    /// Whether the error of a request that began at `started` is explained by
    /// a call that failed since, which then explains no other.
    pub fn attribute_error(&mut self, now: MonoTime, started: MonoTime) -> bool {
        self.forget(now);
        match self.failed.back() {
            // The latest one: earlier ones are left for those that began earlier.
            Some(failed) if *failed >= started => self.failed.pop_back().is_some(),
            _ => false,
        }
    }

    /// Number of failed calls that are remembered.
    pub fn len(&self) -> usize {
        self.failed.len()
    }

    /// Whether no failed call is remembered.
    pub fn is_empty(&self) -> bool {
        self.failed.is_empty()
    }

    /// Forgets what is too old to explain anything.
    fn forget(&mut self, now: MonoTime) {
        while let Some(failed) = self.failed.front()
            && now.since(*failed) > REMEMBER
        {
            self.failed.pop_front();
        }
    }
}
