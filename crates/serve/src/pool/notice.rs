//! What a backend server says about itself, as an ingress has heard it.

use std::time::{Duration, Instant};

use hop::ServerNotice;

/// Time for which a limit lowers the share of a server after it was last heard. A server
/// that gets few requests from here may have ended it meanwhile.
const LIMIT_TIME: Duration = Duration::from_secs(10);
/// Time for which the egress of a server is told a limit that it may have forgotten by a
/// restart, and for which a server counts as leaving. It may have been started again
/// under the same name after that.
const REPEAT_TIME: Duration = Duration::from_secs(60);

/// Latest notice of a backend server.
#[derive(Debug, Default)]
pub(super) struct HeardNotice {
    notice: ServerNotice,
    heard_at: Option<Instant>,
    /// Time at which the server was first heard to be leaving.
    leaving_since: Option<Instant>,
}

impl HeardNotice {
    /// Records a notice that was heard at `now`. A server that leaves does not take that
    /// back: answers can arrive in another order than they were sent in.
    pub(super) fn record(&mut self, now: Instant, notice: ServerNotice) {
        if notice.leaving && !self.is_leaving(now) {
            self.leaving_since = Some(now);
        }
        self.notice = notice;
        self.heard_at = Some(now);
    }

    /// Returns the notice by which the server is chosen.
    pub(super) fn current(&self, now: Instant) -> ServerNotice {
        self.within(now, LIMIT_TIME)
    }

    /// Returns the notice that the egress of the server is told again.
    pub(super) fn repeated(&self, now: Instant) -> ServerNotice {
        self.within(now, REPEAT_TIME)
    }

    /// Returns the notice, with a limit only if it was heard within `limit_time`.
    fn within(&self, now: Instant, limit_time: Duration) -> ServerNotice {
        let is_recent = self.heard_at.is_some_and(|at| now - at < limit_time);
        ServerNotice {
            limit: self.notice.limit.filter(|_| is_recent),
            leaving: self.is_leaving(now),
        }
    }

    /// Whether the server is leaving.
    fn is_leaving(&self, now: Instant) -> bool {
        self.leaving_since
            .is_some_and(|since| now - since < REPEAT_TIME)
    }
}
