//! Connections of callers: their limits, when they count as idle, and what is
//! served on them.

mod ahead;
mod connection;
mod crowd;
mod plan;
mod runs;
mod size;
mod state;
mod stream;

use std::{sync::Arc, time::Duration};

pub use connection::CallerFront;
pub use crowd::CallerCrowd;
pub use plan::{AheadHead, AheadLimits, AheadPlan, BegunRequest};
pub use size::{OverrunFlag, SizedBody};

use crate::{listener::ListenerLimits, settings::LiveSettings, view::FleetView};

/// Bounds of the size of a head that a configuration may allow, in bytes. Requests
/// of ordinary clients are not smaller, and a connection buffers a whole head.
const HEAD_BYTES: (usize, usize) = (1_024, 1_048_576);
/// Additional size of the head of an attempt, which holds metadata beside the head
/// of the caller's request, in bytes.
const METADATA_BYTES: usize = 8_192;
/// Number of additional header fields of an attempt.
const METADATA_FIELDS: usize = 64;
/// Shortest timeout that a configuration may set. A shorter one would close
/// connections to clients on ordinary networks.
const MIN_TIMEOUT: Duration = Duration::from_millis(100);

/// Limits in force on callers' connections: those of the configuration, or those
/// of the settings where the configuration has none.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// Maximum size of the head of a request, in bytes.
    pub head_bytes: usize,
    /// Maximum size of the body of a request, in bytes, if it is limited.
    pub body_bytes: Option<u64>,
    /// Maximum time from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl CallerLimits {
    /// Returns the limits in force now.
    pub fn in_force(view: &FleetView, settings: &LiveSettings) -> Self {
        let limits = view.limits();
        let settings = settings.load();
        let budgets = &settings.budgets;
        let timeout = |millis: Option<u32>, default: Duration| match millis {
            Some(millis) => Duration::from_millis(u64::from(millis)).max(MIN_TIMEOUT),
            None => default,
        };
        Self {
            head_bytes: match limits.head_bytes {
                Some(bytes) => (bytes as usize).clamp(HEAD_BYTES.0, HEAD_BYTES.1),
                None => budgets.head_bytes,
            },
            body_bytes: limits.body_bytes,
            head_timeout: timeout(limits.head_timeout_ms, budgets.head_timeout()),
            idle_timeout: timeout(limits.idle_timeout_ms, budgets.idle_timeout()),
        }
    }
}

/// Reads the limits in force.
#[derive(Clone, Debug)]
pub struct LimitSource {
    /// View with the configuration in force.
    pub view: Arc<FleetView>,
    /// Settings in force.
    pub settings: LiveSettings,
}

impl LimitSource {
    /// Returns the limits in force now.
    pub fn get(&self) -> CallerLimits {
        CallerLimits::in_force(&self.view, &self.settings)
    }

    /// Returns the limits of a connection from a peer, which forwards whatever
    /// callers may send.
    pub fn for_peers(&self, limits: ListenerLimits) -> ListenerLimits {
        ListenerLimits {
            head_bytes: self.get().head_bytes.max(limits.head_bytes) + METADATA_BYTES,
            head_fields: limits.head_fields + METADATA_FIELDS,
            ..limits
        }
    }
}
