//! Failed calls that backend servers of this VM made to other services.
//!
//! They are used for fault attribution. A backend server whose own call to
//! another service fails answers with an error. If such errors counted as
//! evidence against it, one overloaded service would cause the ejection of all
//! servers that depend on it. Therefore each failed call explains one error of
//! a request that was running when the call failed.

use std::{collections::VecDeque, time::Duration};

use ids::MonoTime;

/// Time for which a failed call can explain an error. It is longer than
/// requests usually run.
const MAX_CALL_AGE: Duration = Duration::from_secs(15);
/// Maximum number of failed calls that are kept, which is far more than run at
/// a time.
const MAX_CALLS: usize = 256;

/// Calls that failed recently and do not explain an error yet.
#[derive(Clone, Debug, Default)]
pub struct FailedCalls {
    failed: VecDeque<MonoTime>,
}

impl FailedCalls {
    /// Records that a call from this VM failed.
    pub fn record_failure(&mut self, now: MonoTime) {
        self.drop_expired(now);
        if self.failed.len() >= MAX_CALLS {
            self.failed.pop_front();
        }
        self.failed.push_back(now);
    }

    /// Attributes the error of a request that began at `started` to the latest
    /// failed call, and returns whether it can: the call has to have failed
    /// since `started`. That call explains no other error.
    pub fn attribute_error(&mut self, now: MonoTime, started: MonoTime) -> bool {
        self.drop_expired(now);
        match self.failed.back() {
            // The latest failed call is used up, because earlier ones can still
            // explain errors of requests that began earlier.
            Some(failed) if *failed >= started => self.failed.pop_back().is_some(),
            _ => false,
        }
    }

    /// Number of failed calls that are kept.
    pub fn len(&self) -> usize {
        self.failed.len()
    }

    /// Whether no failed call is kept.
    pub fn is_empty(&self) -> bool {
        self.failed.is_empty()
    }

    /// Removes the calls that are too old to explain an error.
    fn drop_expired(&mut self, now: MonoTime) {
        while let Some(failed) = self.failed.front()
            && now.since(*failed) > MAX_CALL_AGE
        {
            self.failed.pop_front();
        }
    }
}
