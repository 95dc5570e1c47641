//! Jobs, and the events and actions of the queue.

use std::{fmt, time::Duration};

use ids::{AccountId, Lot, MonoTime, Rank, Slots, Weight};

/// Number of a job, unique within one queue.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "#{}", self.0)
    }
}

/// A request that wants a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Job {
    /// Its number.
    pub id: JobId,
    /// The client account it runs for; `None` on an open route.
    pub account: Option<AccountId>,
    /// Rank among those that wait.
    pub rank: Rank,
    /// Its place where there is no room for all of its rank and account.
    pub lot: Lot,
    /// Whether it is internal work, which must not delay customers.
    pub internal: bool,
    /// Whether it is a long transfer, which may not take every slot.
    pub bulk: bool,
    /// Share of the account where accounts compete.
    pub weight: Weight,
    /// Until when an answer is worth most to the caller.
    pub target: MonoTime,
    /// When the caller gives up.
    pub deadline: MonoTime,
}

/// What happens to a queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QueueEvent {
    /// A job asks for a slot.
    Arrive(Job),
    /// A dispatched job has ended and its slot is free.
    Finish(JobId),
    /// The caller of a waiting job is gone; of a running one nothing changes
    /// until it finishes.
    Cancel(JobId),
    /// Time has passed.
    Tick,
    /// The backend server is leaving: no dispatch from now on.
    Drain,
    /// The backend server is back.
    Resume,
    /// The backend server sheds load: no dispatch for that time.
    Backoff(Duration),
    /// The configured number of slots has changed.
    Resize(Slots),
}

/// What a queue wants done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueAction {
    /// Start the job now; it holds a slot until [`QueueEvent::Finish`].
    Dispatch(JobId),
    /// Tell the caller of the job that it was not run.
    Refuse(JobId, QueueRefusal),
}

/// Why a job was not run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum QueueRefusal {
    /// The queue is full or too slow for the deadline.
    Overloaded,
    /// The deadline passed while the job waited.
    Expired,
    /// The backend server is leaving.
    Leaving,
    /// The backend server asked for a pause that outlasts the deadline.
    Shedding,
}

impl fmt::Display for QueueRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Overloaded => "overloaded",
            Self::Expired => "expired",
            Self::Leaving => "leaving",
            Self::Shedding => "shedding",
        })
    }
}
