//! Evidence of an egress about a backend server: the counters of its outcomes,
//! and the ingresses that are notified of bad ones.

use std::{
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use health::OutcomeCounts;
use ids::{MonoTime, VmId};

/// Counters of the outcomes of requests to one backend server.
#[derive(Debug)]
pub struct ServerEvidence {
    incarnation: u32,
    samples: AtomicU64,
    failed: AtomicU64,
    slow: AtomicU64,
    stuck: AtomicU64,
    unhealthy: AtomicBool,
    recent: Mutex<RecentIngresses>,
}

impl ServerEvidence {
    /// Creates counters at zero for an incarnation of the egress.
    pub fn new(incarnation: u32) -> Self {
        Self {
            incarnation,
            samples: AtomicU64::new(0),
            failed: AtomicU64::new(0),
            slow: AtomicU64::new(0),
            stuck: AtomicU64::new(0),
            unhealthy: AtomicBool::new(false),
            recent: Mutex::default(),
        }
    }

    /// Counts an outcome as a sample, and as failed or slow if it is so.
    pub fn record(&self, failed: bool, slow: bool) {
        self.failed.fetch_add(u64::from(failed), Ordering::Relaxed);
        self.slow.fetch_add(u64::from(slow), Ordering::Relaxed);
        self.samples.fetch_add(1, Ordering::Release);
    }

    /// Counts one more sample for a request that was counted as slow and is now
    /// stuck.
    pub fn record_stuck(&self) {
        self.stuck.fetch_add(1, Ordering::Relaxed);
        self.samples.fetch_add(1, Ordering::Release);
    }

    /// Stores the state that the health endpoint reported. Returns whether it
    /// has changed.
    pub fn set_unhealthy(&self, unhealthy: bool) -> bool {
        self.unhealthy.swap(unhealthy, Ordering::Relaxed) != unhealthy
    }

    /// Returns the current counters.
    pub fn counts(&self) -> OutcomeCounts {
        OutcomeCounts {
            incarnation: self.incarnation,
            samples: self.samples.load(Ordering::Acquire),
            failed: self.failed.load(Ordering::Relaxed),
            slow: self.slow.load(Ordering::Relaxed),
            stuck: self.stuck.load(Ordering::Relaxed),
            unhealthy: self.unhealthy.load(Ordering::Relaxed),
        }
    }

    /// Locks the recent ingresses, whose holders never panic.
    pub fn recent(&self) -> MutexGuard<'_, RecentIngresses> {
        self.recent
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}

/// Maximum number of ingresses that are notified of bad evidence.
const MAX_INGRESSES: usize = 64;
/// Time after its latest request for which an ingress counts as recent.
const RECENT_TIME: Duration = Duration::from_secs(30);
/// Minimum time between notifications about one backend server.
const NOTIFY_INTERVAL: Duration = Duration::from_millis(20);

/// VMs of the ingresses that recently sent requests to a backend server.
#[derive(Debug, Default)]
pub struct RecentIngresses {
    seen: Vec<(VmId, MonoTime)>,
    notified_at: MonoTime,
}

impl RecentIngresses {
    /// Records a request of the ingress on `vm`.
    pub fn record(&mut self, now: MonoTime, vm: &VmId) {
        if let Some((_, time)) = self.seen.iter_mut().find(|(other, _)| other == vm) {
            *time = now;
            return;
        }
        if self.seen.len() == MAX_INGRESSES {
            self.seen.retain(|(_, time)| now.since(*time) < RECENT_TIME);
        }
        if self.seen.len() < MAX_INGRESSES {
            self.seen.push((vm.clone(), now));
        }
    }

    /// Returns the ingresses to notify now, or none if the latest notification
    /// was less than `NOTIFY_INTERVAL` ago.
    pub fn take_due(&mut self, now: MonoTime) -> Vec<VmId> {
        if now.since(self.notified_at) < NOTIFY_INTERVAL {
            return Vec::new();
        }
        self.notified_at = now;
        let recent = self
            .seen
            .iter()
            .filter(|(_, time)| now.since(*time) < RECENT_TIME);
        recent.map(|(vm, _)| vm.clone()).collect()
    }
}
