//! Jobs, and the events and actions of a slot queue.

use std::{fmt, time::Duration};

use ids::{AccountId, MonoTime, Rank, RequestRate, Slots, Weight, WorkPriority};

/// Number of a job, which is unique within its queue.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "#{}", self.0)
    }
}

/// Kind of a request, such as its route, by which its slot time is learned.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkKind(pub u32);

impl WorkKind {
    /// Kind of requests about which nothing is known.
    pub const UNKNOWN: Self = Self(0);
}

impl fmt::Display for WorkKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// A request that needs a slot of the backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Job {
    /// Number of the job.
    pub id: JobId,
    /// Client account on whose behalf it runs; `None` on an open route.
    pub account: Option<AccountId>,
    /// Priority among waiting jobs; the lowest number goes first.
    pub rank: Rank,
    /// Random number that the requests of one piece of work share. It decides
    /// which jobs of one rank and account run if not all of them can; the
    /// higher goes first.
    pub work_priority: WorkPriority,
    /// Kind of the request.
    pub kind: WorkKind,
    /// Whether the request was offered to no other server before.
    pub first_offer: bool,
    /// Whether it may run more than once. One that may not usually changes something for
    /// its caller, and is worth more.
    pub idempotent: bool,
    /// Whether it is internal work, which must not delay customers' requests.
    pub internal: bool,
    /// Whether it is a bulk transfer, which holds its slot for long. Bulk
    /// transfers may not take every slot while there are short requests.
    pub bulk: bool,
    /// Weight of the account in the fair share of slot time.
    pub weight: Weight,
    /// Time until which an answer has its full value for the caller.
    pub target: MonoTime,
    /// Time at which the caller gives up.
    pub deadline: MonoTime,
}

/// Input of a slot queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QueueEvent {
    /// A job requests a slot.
    Arrive(Job),
    /// A dispatched job has ended and releases its slot.
    Finish(JobId),
    /// A dispatched job was rejected by the backend server, or its connection was lost,
    /// and it releases its slot. The time until then says nothing about its kind.
    Abort(JobId),
    /// A dispatched job releases its slot, and nothing of it was sent to the
    /// backend server.
    Release(JobId),
    /// The caller of a job has given it up. A waiting job is removed; a running
    /// one keeps its slot until it finishes.
    Cancel(JobId),
    /// Time has passed.
    Tick,
    /// The backend server is draining: nothing is dispatched from now on.
    Drain,
    /// The backend server is no longer draining.
    Resume,
    /// The backend server sheds load: nothing is dispatched for this time.
    Backoff(Duration),
    /// The configured number of slots has changed.
    Resize(Slots),
    /// The backend server has named the rate at which it takes requests, or names
    /// none any more.
    Limit(Option<RequestRate>),
}

/// Output of a slot queue, an action that its owner must perform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueAction {
    /// Starts the job, which holds a slot until [`QueueEvent::Finish`].
    Dispatch(JobId),
    /// Tells the caller that the job was not run.
    Refuse(JobId, QueueRefusal),
}

/// Reason why a job was not run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum QueueRefusal {
    /// The queue is full, or the job could not end before its deadline.
    Overloaded,
    /// The deadline passed before the job was dispatched.
    Expired,
    /// The backend server is draining.
    Leaving,
    /// The backend server sheds load until after the deadline.
    Shedding,
    /// At the rate that the backend server has named, the job could not end before
    /// its deadline.
    Limited,
}

impl fmt::Display for QueueRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Overloaded => "overloaded",
            Self::Expired => "expired",
            Self::Leaving => "leaving",
            Self::Shedding => "shedding",
            Self::Limited => "limited",
        })
    }
}
