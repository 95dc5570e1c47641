//! What an egress counts of a backend server's outcomes, and whom it tells.

use std::{
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use health::OutcomeCounts;
use ids::{MonoTime, VmId};

/// Counters of a backend server's outcomes.
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
    /// Counters at zero.
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

    /// Counts an outcome.
    pub fn record(&self, failed: bool, slow: bool) {
        self.failed.fetch_add(u64::from(failed), Ordering::Relaxed);
        self.slow.fetch_add(u64::from(slow), Ordering::Relaxed);
        self.samples.fetch_add(1, Ordering::Release);
    }

    /// Counts a request as stuck that was counted as slow before.
    pub fn record_stuck(&self) {
        self.stuck.fetch_add(1, Ordering::Relaxed);
        self.samples.fetch_add(1, Ordering::Release);
    }

    /// Notes what the health endpoint says; tells whether that is new.
    pub fn set_unhealthy(&self, unhealthy: bool) -> bool {
        self.unhealthy.swap(unhealthy, Ordering::Relaxed) != unhealthy
    }

    /// The counters now.
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

    /// The ingresses seen of late; no holder panics.
    pub fn recent(&self) -> MutexGuard<'_, RecentIngresses> {
        self.recent
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}

/// Ingresses told of bad evidence, at most.
const MAX_INGRESSES: usize = 64;
/// Time for which an ingress counts as recent.
const RECENT_FOR: Duration = Duration::from_secs(30);
/// Time between notices of one backend server.
const NOTICE_EVERY: Duration = Duration::from_millis(20);

/// VMs of the ingresses that sent requests of late.
#[derive(Debug, Default)]
pub struct RecentIngresses {
    seen: Vec<(VmId, MonoTime)>,
    noticed: MonoTime,
}

impl RecentIngresses {
    /// Notes an ingress.
    pub fn record(&mut self, now: MonoTime, vm: &VmId) {
        if let Some((_, time)) = self.seen.iter_mut().find(|(other, _)| other == vm) {
            *time = now;
            return;
        }
        if self.seen.len() == MAX_INGRESSES {
            self.seen.retain(|(_, time)| now.since(*time) < RECENT_FOR);
        }
        if self.seen.len() < MAX_INGRESSES {
            self.seen.push((vm.clone(), now));
        }
    }

    /// Ingresses to tell now; none if others were told just before.
    pub fn take_due(&mut self, now: MonoTime) -> Vec<VmId> {
        if now.since(self.noticed) < NOTICE_EVERY {
            return Vec::new();
        }
        self.noticed = now;
        let recent = self
            .seen
            .iter()
            .filter(|(_, time)| now.since(*time) < RECENT_FOR);
        recent.map(|(vm, _)| vm.clone()).collect()
    }
}
