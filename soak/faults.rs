//! Faults of a run, with their times and durations, drawn from the seed.

use std::{fmt, time::Duration};

use fakes::PlatformFault;
use rand::{RngExt, rngs::StdRng};

/// Mean time between faults with three daemons, in milliseconds. It falls as
/// the number of daemons grows.
const MEAN_GAP_MS: u64 = 700;
/// Range of the duration of a fault, in milliseconds. Its end exceeds the time
/// after which daemons give up on a silent peer.
const DURATION_MS: std::ops::Range<u64> = 150..3_500;

/// Kind of fault that the soak injects into a daemon, a backend server or the
/// store.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The daemon gets SIGTERM, and is started again after its graceful stop.
    Terminate,
    /// The daemon is killed with SIGKILL, and started again.
    Kill,
    /// The daemon is suspended with SIGSTOP, and later continued.
    Suspend,
    /// The daemon gets SIGHUP, by which it reads its settings again.
    ReloadSettings,
    /// Nothing that peers send reaches the daemon, and streams to it are reset.
    CutPeer,
    /// Streams from peers to the daemon stay open and carry nothing.
    StallPeer,
    /// Streams from peers to the daemon are reset once.
    ResetPeer,
    /// Nothing reaches the backend server, and connections to it are reset.
    CutServer,
    /// Connections to the backend server stay open and carry nothing.
    StallServer,
    /// Connections to the backend server are reset once.
    ResetServer,
    /// The backend server answers slowly.
    SlowServer,
    /// The backend server answers with status 500.
    FailServer,
    /// The backend server closes connections instead of answering.
    CloseServer,
    /// The backend server closes connections in the middle of a body.
    TruncateServer,
    /// The backend server sheds load: it answers with status 503.
    ShedServer,
    /// The store misbehaves in that way.
    Store(PlatformFault),
    /// The store publishes a configuration with another rate for an account and
    /// without one backend server. A later one adds the server again.
    Publish,
}

impl Fault {
    /// All kinds of faults, from which a run draws.
    pub const ALL: [Self; 21] = [
        Self::Terminate,
        Self::Kill,
        Self::Suspend,
        Self::ReloadSettings,
        Self::CutPeer,
        Self::StallPeer,
        Self::ResetPeer,
        Self::CutServer,
        Self::StallServer,
        Self::ResetServer,
        Self::SlowServer,
        Self::FailServer,
        Self::CloseServer,
        Self::TruncateServer,
        Self::ShedServer,
        Self::Store(PlatformFault::Down),
        Self::Store(PlatformFault::Hang),
        Self::Store(PlatformFault::HalfAnswer),
        Self::Store(PlatformFault::Errors),
        Self::Store(PlatformFault::Garbage),
        Self::Publish,
    ];
}

/// Fault that a run injects, with its time and target.
#[derive(Clone, Copy, Debug)]
pub struct PlannedFault {
    /// Time from the beginning of the run to that of the fault.
    pub start: Duration,
    /// How long the fault lasts, unless it is momentary.
    pub duration: Duration,
    /// Index of the daemon or backend server.
    pub index: usize,
    /// Kind of the fault.
    pub fault: Fault,
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            start,
            duration,
            index,
            fault,
        } = self;
        let (start, duration) = (start.as_millis(), duration.as_millis());
        write!(
            f,
            "{start} ms: {fault:?} at index {index} for {duration} ms"
        )
    }
}

/// Draws the faults of a run, ordered by time. They may overlap, and some
/// strike up to five daemons in succession.
pub fn plan_faults(random: &mut StdRng, daemons: usize, length: Duration) -> Vec<PlannedFault> {
    let mut plan = Vec::new();
    let gap = (MEAN_GAP_MS * 3 / daemons as u64).max(20);
    let mut start = Duration::from_millis(random.random_range(0..gap));
    while start < length {
        let fault = Fault::ALL[random.random_range(0..Fault::ALL.len())];
        let series = if random.random_bool(0.15) {
            daemons.min(5)
        } else {
            1
        };
        let first = random.random_range(0..daemons);
        for step in 0..series {
            plan.push(PlannedFault {
                start: start + Duration::from_millis(100) * step as u32,
                duration: Duration::from_millis(random.random_range(DURATION_MS)),
                index: (first + step) % daemons,
                fault,
            });
        }
        start += Duration::from_millis(random.random_range(gap / 2..gap * 3 / 2));
    }
    plan.sort_by_key(|planned| planned.start);
    plan
}
