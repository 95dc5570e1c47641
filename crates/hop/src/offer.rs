//! One offer of a search, and the times at which something is due for it.

use std::time::Duration;

use ids::MonoTime;

use crate::{OfferId, SearchReach};

/// Time without a reply after which an offer is sent again for the first time. The
/// time doubles with each repetition, up to the maximum, so that little is sent
/// into a partition.
const REPEAT_AFTER: Duration = Duration::from_millis(25);
const MAX_REPEAT_AFTER: Duration = Duration::from_millis(200);
/// Time without a reply after which a daemon counts as silent and another
/// server is asked as well.
const SILENT_AFTER: Duration = Duration::from_millis(40);
/// Time without a reply, in addition to the heartbeat interval of the offer,
/// after which the search gives up on a daemon.
const GIVE_UP_AFTER: Duration = Duration::from_millis(550);
/// Bounds of the time between heartbeats of a waiting offer. The interval grows
/// with the age of the offer, so that a long queue does not cost its egress
/// more messages than new offers do.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Ratio of the age of a waiting offer to its heartbeat interval.
const HEARTBEAT_DIVISOR: u32 = 2;
/// Time that an offer waits before a second server is asked.
const TIE_AFTER: Duration = Duration::from_millis(15);
/// Offer without a final reply.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenOffer {
    pub(crate) id: OfferId,
    pub(crate) made_at: MonoTime,
    pub(crate) sent_at: MonoTime,
    pub(crate) replied_at: Option<MonoTime>,
    /// Number of repetitions since the offer was made or last replied to.
    pub(crate) repeats: u32,
    /// Wait for a slot that the egress last reported, in microseconds.
    pub(crate) delay_us: u64,
    pub(crate) reach: SearchReach,
    /// Whether another server was asked in addition.
    pub(crate) tied: bool,
    /// Whether the daemon counts as silent, so that another server may be asked
    /// in its place.
    pub(crate) silent: bool,
}

impl OpenOffer {
    /// Returns when the offer must be sent again.
    pub(crate) fn repeat_at(&self) -> MonoTime {
        match self.replied_at {
            Some(_) => self.sent_at + self.heartbeat_interval(),
            None => {
                let interval = REPEAT_AFTER * 2_u32.saturating_pow(self.repeats);
                self.sent_at + interval.min(MAX_REPEAT_AFTER)
            }
        }
    }

    /// Returns when another server may be asked in addition.
    pub(crate) fn tie_at(&self) -> MonoTime {
        match self.replied_at {
            Some(_) => self.made_at + TIE_AFTER,
            None => self.made_at + SILENT_AFTER,
        }
    }

    /// Returns when the search gives up on the daemon.
    pub(crate) fn give_up_at(&self) -> MonoTime {
        self.replied_at.unwrap_or(self.made_at) + self.heartbeat_interval() + GIVE_UP_AFTER
    }

    /// Returns the time between heartbeats, from the time between the making of
    /// the offer and its latest reply.
    fn heartbeat_interval(&self) -> Duration {
        let age = self
            .replied_at
            .map_or(Duration::ZERO, |time| time.since(self.made_at));
        (age / HEARTBEAT_DIVISOR).clamp(MIN_HEARTBEAT_INTERVAL, MAX_HEARTBEAT_INTERVAL)
    }
}
