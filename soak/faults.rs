//! What goes wrong, when, and for how long: drawn from the seed.

use std::{fmt, time::Duration};

use fakes::PlatformFault;
use rand::{RngExt, rngs::StdRng};

/// Mean time between faults, in milliseconds, at three processes; more
/// processes have more of them.
const GAP_MS: u64 = 700;
/// Shortest and longest time of a fault, in milliseconds. The longest is above
/// the time after which daemons give a silent peer up.
const SPAN_MS: std::ops::Range<u64> = 150..3_500;

/// Something that goes wrong with one daemon, server or the store.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The daemon is asked to end, and started again.
    Terminate,
    /// It is killed, and started again.
    Kill,
    /// It stands still.
    Pause,
    /// It is told that its settings have changed.
    HangUp,
    /// Nothing that others send reaches it, and streams to it are reset.
    CutPeer,
    /// Streams to it fall silent.
    HoldPeer,
    /// Streams to it are reset once.
    ResetPeer,
    /// Nothing reaches the backend server beside it.
    CutServer,
    /// Connections to the backend server fall silent.
    HoldServer,
    /// Connections to the backend server are reset once.
    ResetServer,
    /// The backend server is slow.
    SlowServer,
    /// It answers with errors.
    FailServer,
    /// It closes connections in place of answers.
    CloseServer,
    /// It breaks its answers off.
    BreakServer,
    /// It sheds load.
    ShedServer,
    /// The store misbehaves.
    Store(PlatformFault),
    /// The operators publish another rate, or take a server off for a while.
    Publish,
}

impl Fault {
    /// All kinds.
    pub const ALL: [Self; 21] = [
        Self::Terminate,
        Self::Kill,
        Self::Pause,
        Self::HangUp,
        Self::CutPeer,
        Self::HoldPeer,
        Self::ResetPeer,
        Self::CutServer,
        Self::HoldServer,
        Self::ResetServer,
        Self::SlowServer,
        Self::FailServer,
        Self::CloseServer,
        Self::BreakServer,
        Self::ShedServer,
        Self::Store(PlatformFault::Down),
        Self::Store(PlatformFault::Hang),
        Self::Store(PlatformFault::HalfAnswer),
        Self::Store(PlatformFault::Errors),
        Self::Store(PlatformFault::Garbage),
        Self::Publish,
    ];
}

/// A fault with its time and place.
#[derive(Clone, Copy, Debug)]
pub struct PlannedFault {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts, where it does.
    pub span: Duration,
    /// Place of the daemon or backend server.
    pub place: usize,
    /// What it is.
    pub fault: Fault,
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            at,
            span,
            place,
            fault,
        } = self;
        let (at, span) = (at.as_millis(), span.as_millis());
        write!(f, "{at} ms: {fault:?} at {place} for {span} ms")
    }
}

/// Draws the faults of a run, in order of time. They overlap, and now and then
/// a whole series of one kind goes through the places.
pub fn plan_faults(random: &mut StdRng, places: usize, length: Duration) -> Vec<PlannedFault> {
    let mut plan = Vec::new();
    let gap = (GAP_MS * 3 / places as u64).max(20);
    let mut at = Duration::from_millis(random.random_range(0..gap));
    while at < length {
        let fault = Fault::ALL[random.random_range(0..Fault::ALL.len())];
        let series = if random.random_bool(0.15) {
            places.min(5)
        } else {
            1
        };
        let first = random.random_range(0..places);
        for step in 0..series {
            plan.push(PlannedFault {
                at: at + Duration::from_millis(100) * step as u32,
                span: Duration::from_millis(random.random_range(SPAN_MS)),
                place: (first + step) % places,
                fault,
            });
        }
        at += Duration::from_millis(random.random_range(gap / 2..gap * 3 / 2));
    }
    plan.sort_by_key(|planned| planned.at);
    plan
}
