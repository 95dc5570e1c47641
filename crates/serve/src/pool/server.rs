//! State of one backend server as an ingress observes it.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU8, AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use config::Backend;
use hop::{ServerLoad, ServerNotice};
use ids::{Percent, RequestRate};
use route::{Candidate, Distance, aged_rejections};

use super::notice::HeardNotice;
use crate::link::ConnectionPool;

/// Weight of a backend server in full rotation, in thousandths.
const FULL_WEIGHT: u32 = 1_000;
/// States of the canary: none is wanted, one is wanted, one was sent.
const NO_CANARY: u8 = 0;
const CANARY_WANTED: u8 = 1;
const CANARY_SENT: u8 = 2;
/// Weight of the newest sample in the moving average of service time, as a
/// power of two: 3 stands for 1/8.
const SERVICE_TIME_SHIFT: u32 = 3;
/// Age up to which a reported load is used, in milliseconds. Twice the expected
/// wait and service time of a job is added to it.
const MAX_LOAD_AGE_MS: u64 = 200;
/// Time for which a server is avoided after the latest report that it is
/// failing, in milliseconds: for idempotent requests, which may be its next
/// trial, and for others.
const FAILING_IDEMPOTENT_MS: u64 = 120;
const FAILING_MS: u64 = 1_000;
/// First and longest time for which a server is avoided whose daemon does not
/// reply, in milliseconds. The time doubles while there is no reply.
const SILENT_MS: u64 = 150;
/// Time without a reply after which the daemon of a server counts as gone: as long as a
/// search waits for a daemon that does not reply.
const GONE_MS: u64 = 700;
/// Number of consecutive offers without a reply from which the daemon of a server counts
/// as gone. Single datagrams get lost.
const GONE_OFFERS: u32 = 3;
/// Time for which other requests avoid a server whose daemon did not reply, while one
/// request finds out whether it replies again. A search takes 40 ms to notice.
const PROBE_MS: u64 = 80;
/// Least share of its usual traffic that a server with a limit is offered, so that
/// the end of the limit is noticed.
const MIN_LIMITED_SHARE: f64 = 0.02;
const MAX_SILENT_MS: u64 = 3_000;
/// Share of its usual traffic that a cold server is offered, as its answers take about
/// twice as long; and the share while nothing is known of its service time.
const COLD_SHARE: f64 = 0.5;
const FIRST_COLD_SHARE: f64 = 0.25;
/// Time for which a server counts as cold after its egress refused a request for that,
/// in milliseconds: the configuration may not say so yet.
const COLD_REFUSAL_MS: u64 = 300;

/// State of a backend server at this ingress.
#[derive(Debug)]
pub struct ServerState {
    /// Record of the backend server in the configuration.
    pub backend: Arc<Backend>,
    /// Distance to its VM.
    pub distance: Distance,
    /// Connections to the daemon on its VM; `None` if that is this daemon.
    pub connections: Option<Arc<ConnectionPool>>,
    in_flight: AtomicU32,
    running: AtomicU32,
    delay_us: AtomicU64,
    service_us: AtomicU64,
    /// Time of the latest load report, in milliseconds from `start`.
    reported_ms: AtomicU64,
    start: Instant,
    weight: AtomicU32,
    canary: AtomicU8,
    /// Time of the latest report that the server is failing, in milliseconds from
    /// `start`, plus one; zero if it is not failing.
    failing_ms: AtomicU64,
    /// Percentage of recent requests that the server rejected, as last reported, and
    /// when that was, in milliseconds from `start`.
    rejected: AtomicU8,
    rejected_ms: AtomicU64,
    /// Number of consecutive offers without a reply of the server's daemon.
    /// Offers that are made while the server is avoided are not counted.
    offers_without_reply: AtomicU32,
    /// End of the time for which the server is avoided because its daemon did not
    /// reply, in milliseconds from `start`.
    silent_until_ms: AtomicU64,
    /// Time of the first of these offers that was noticed, in milliseconds from `start`,
    /// plus one; zero while the daemon replies.
    silent_since_ms: AtomicU64,
    /// End of the time for which other requests wait for the result of a probe, in
    /// milliseconds from `start`.
    probe_until_ms: AtomicU64,
    /// What the server says about itself. States of the same server share it.
    notice: Arc<Mutex<HeardNotice>>,
    /// Rate that the server takes while it is cold, as the bits of a number; zero if it
    /// is warm.
    cold_rate: AtomicU64,
    /// End of the time for which it counts as cold after a refusal, in milliseconds from
    /// `start`.
    refused_cold_until_ms: AtomicU64,
}

impl ServerState {
    /// Creates the state of a backend server of which nothing is known yet.
    pub(super) fn new(
        backend: Backend,
        distance: Distance,
        connections: Option<Arc<ConnectionPool>>,
    ) -> Self {
        Self {
            backend: Arc::new(backend),
            distance,
            connections,
            in_flight: AtomicU32::new(0),
            running: AtomicU32::new(0),
            delay_us: AtomicU64::new(0),
            service_us: AtomicU64::new(0),
            reported_ms: AtomicU64::new(0),
            start: Instant::now(),
            weight: AtomicU32::new(FULL_WEIGHT),
            canary: AtomicU8::new(NO_CANARY),
            failing_ms: AtomicU64::new(0),
            rejected: AtomicU8::new(0),
            rejected_ms: AtomicU64::new(0),
            offers_without_reply: AtomicU32::new(0),
            silent_until_ms: AtomicU64::new(0),
            silent_since_ms: AtomicU64::new(0),
            probe_until_ms: AtomicU64::new(0),
            notice: Arc::default(),
            cold_rate: AtomicU64::new(0),
            refused_cold_until_ms: AtomicU64::new(0),
        }
    }

    /// Whether this is the state of a server with that record. Whether the server is
    /// cold may differ, because its state is kept when that changes.
    pub(super) fn matches(&self, backend: &Backend) -> bool {
        self.backend.id == backend.id
            && *self.backend
                == Backend {
                    cold: self.backend.cold,
                    ..backend.clone()
                }
    }

    /// Takes over what the server has said about itself from an earlier state of it,
    /// whose record has changed since.
    pub(super) fn with_notice_of(mut self, earlier: &Self) -> Self {
        self.notice = Arc::clone(&earlier.notice);
        self
    }

    /// Sets the rate that the server takes while it is cold; `None` if it is warm.
    pub(super) fn set_cold(&self, rate: Option<RequestRate>) {
        let rate = rate.map_or(0.0, RequestRate::as_f64);
        self.cold_rate.store(rate.to_bits(), Ordering::Relaxed);
    }

    /// Records that the egress of the server refused a request because the server is
    /// cold.
    pub fn record_cold_refusal(&self) {
        let until = self.age_ms() + COLD_REFUSAL_MS;
        self.refused_cold_until_ms.store(until, Ordering::Relaxed);
    }

    /// Whether the server is cold, by the configuration or a recent refusal.
    pub fn is_cold(&self) -> bool {
        self.listed_cold_rate() > 0.0
            || self.age_ms() < self.refused_cold_until_ms.load(Ordering::Relaxed)
    }

    /// Rate that the server takes by the configuration, zero if it is warm.
    fn listed_cold_rate(&self) -> f64 {
        f64::from_bits(self.cold_rate.load(Ordering::Relaxed))
    }

    /// Share of its usual traffic that the server is offered while it is cold.
    fn cold_share(&self) -> f64 {
        let service_s = self.service_us.load(Ordering::Relaxed) as f64 / 1e6;
        match self.listed_cold_rate() {
            0.0 => 1.0,
            _ if service_s == 0.0 => FIRST_COLD_SHARE,
            rate => {
                let slots = f64::from(self.backend.slots.get().max(1));
                (rate * service_s / slots).clamp(MIN_LIMITED_SHARE, 1.0) * COLD_SHARE
            }
        }
    }

    /// Records whether the egress of the server refuses ordinary requests.
    pub fn record_gate(&self, closed: bool) {
        let reported = match closed {
            true => self.age_ms() + 1,
            false => 0,
        };
        self.failing_ms.store(reported, Ordering::Relaxed);
    }

    /// Returns the moving average of the service time; zero while unknown.
    pub(super) fn service_time(&self) -> Duration {
        Duration::from_micros(self.service_us.load(Ordering::Relaxed))
    }

    /// Records the share of recent requests that the server rejected.
    pub fn record_rejections(&self, share: Percent) {
        self.rejected_ms.store(self.age_ms(), Ordering::Relaxed);
        self.rejected.store(share.get(), Ordering::Relaxed);
    }

    /// Returns the share of requests that the server rejects, as far as that is known.
    pub(super) fn rejections(&self) -> f64 {
        match self.rejected.load(Ordering::Relaxed) {
            0 => 0.0,
            share => {
                let reported_ms = self.rejected_ms.load(Ordering::Relaxed);
                let age = Duration::from_millis(self.age_ms().saturating_sub(reported_ms));
                aged_rejections(Percent(share), age)
            }
        }
    }

    /// Whether a request should avoid this server, by the latest report.
    pub fn is_failing(&self, idempotent: bool) -> bool {
        let duration = match idempotent {
            true => FAILING_IDEMPOTENT_MS,
            false => FAILING_MS,
        };
        match self.failing_ms.load(Ordering::Relaxed) {
            0 => false,
            reported => self.age_ms() + 1 < reported + duration,
        }
    }

    /// Records what the server says about itself.
    pub fn record_notice(&self, notice: ServerNotice) {
        self.heard_notice().record(Instant::now(), notice);
    }

    /// Returns what the server says about itself; the default if that is nothing or
    /// not known.
    pub(crate) fn notice(&self) -> ServerNotice {
        self.heard_notice().current(Instant::now())
    }

    /// Returns what the egress of the server is told with each offer, since it may have
    /// restarted.
    pub(crate) fn repeated_notice(&self) -> ServerNotice {
        self.heard_notice().repeated(Instant::now())
    }

    /// Locks the notice, whose holders never panic.
    fn heard_notice(&self) -> MutexGuard<'_, HeardNotice> {
        self.notice
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }

    /// Share of its slots that the server can use at the rate that it has named.
    fn limited_share(&self) -> f64 {
        let service_s = self.service_us.load(Ordering::Relaxed) as f64 / 1e6;
        match self.notice().limit {
            Some(limit) if service_s > 0.0 => {
                let used_slots = limit.as_f64() * service_s;
                let slots = f64::from(self.backend.slots.get().max(1));
                (used_slots / slots).clamp(MIN_LIMITED_SHARE, 1.0)
            }
            _ => 1.0,
        }
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn begin(self: &Arc<Self>) -> FlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        FlightGuard(Arc::clone(self))
    }

    /// Records the load that the egress of the server reported, and the service
    /// time of an answer, which is zero if there was none.
    pub fn record_load(&self, load: &ServerLoad, service_us: u64) {
        self.running.store(load.running, Ordering::Relaxed);
        self.delay_us.store(load.delay_us, Ordering::Relaxed);
        self.reported_ms.store(self.age_ms(), Ordering::Relaxed);
        self.record_gate(load.closed);
        self.record_rejections(load.rejected);
        if service_us > 0 {
            let old = self.service_us.load(Ordering::Relaxed);
            let step = (service_us >> SERVICE_TIME_SHIFT).max(1);
            let new = match old {
                0 => service_us,
                old => old - (old >> SERVICE_TIME_SHIFT) + step,
            };
            self.service_us.store(new, Ordering::Relaxed);
        }
    }

    /// Records that the daemon on the server's VM does not reply.
    pub fn record_silence(&self) {
        let now = self.age_ms();
        if now < self.silent_until_ms.load(Ordering::Relaxed) {
            return;
        }
        // Fails if an earlier offer had no reply, whose time then counts.
        let _ =
            self.silent_since_ms
                .compare_exchange(0, now + 1, Ordering::Relaxed, Ordering::Relaxed);
        let before = self.offers_without_reply.fetch_add(1, Ordering::Relaxed);
        let pause = (SILENT_MS << before.min(6)).min(MAX_SILENT_MS);
        self.silent_until_ms.store(now + pause, Ordering::Relaxed);
    }

    /// Records that the daemon on the server's VM has replied.
    pub fn record_reply(&self) {
        self.offers_without_reply.store(0, Ordering::Relaxed);
        self.silent_until_ms.store(0, Ordering::Relaxed);
        self.silent_since_ms.store(0, Ordering::Relaxed);
        self.probe_until_ms.store(0, Ordering::Relaxed);
    }

    /// Records that an offer is made. If the daemon did not reply to the last one, other
    /// requests avoid the server until it is known whether it replies again.
    pub fn record_offer(&self) {
        if self.silent_since_ms.load(Ordering::Relaxed) > 0 {
            let until = self.age_ms() + PROBE_MS;
            self.probe_until_ms.store(until, Ordering::Relaxed);
        }
    }

    /// Whether the daemon on the server's VM has not replied for longer than a search
    /// waits for it.
    pub(super) fn is_gone(&self) -> bool {
        let since = self.silent_since_ms.load(Ordering::Relaxed);
        let offers = self.offers_without_reply.load(Ordering::Relaxed);
        since > 0 && offers >= GONE_OFFERS && self.age_ms() + 1 >= since + GONE_MS
    }

    /// Whether the server is avoided because its daemon did not reply.
    pub(super) fn is_silent(&self) -> bool {
        let now = self.age_ms();
        now < self.silent_until_ms.load(Ordering::Relaxed)
            || now < self.probe_until_ms.load(Ordering::Relaxed)
    }

    /// Sets the share of its ordinary traffic that the server may take, 0 to 1.
    pub fn set_weight(&self, weight: f64) {
        let weight = (weight.clamp(0.0, 1.0) * f64::from(FULL_WEIGHT)) as u32;
        self.weight.store(weight, Ordering::Relaxed);
    }

    /// Sets whether the server is to get canaries.
    pub fn set_canary(&self, wanted: bool) {
        let (from, to) = match wanted {
            true => (NO_CANARY, CANARY_WANTED),
            false => (self.canary.load(Ordering::Relaxed), NO_CANARY),
        };
        let _ = self
            .canary
            .compare_exchange(from, to, Ordering::AcqRel, Ordering::Relaxed);
    }

    /// Allows the next canary after one has ended.
    pub fn rearm_canary(&self) {
        let order = (Ordering::AcqRel, Ordering::Relaxed);
        let _ = self
            .canary
            .compare_exchange(CANARY_SENT, CANARY_WANTED, order.0, order.1);
    }

    /// Claims the next canary. Returns false if none is to be sent now.
    pub(super) fn take_canary(&self) -> bool {
        let order = (Ordering::AcqRel, Ordering::Relaxed);
        self.canary
            .compare_exchange(CANARY_WANTED, CANARY_SENT, order.0, order.1)
            .is_ok()
    }

    /// Returns the share of its ordinary traffic that the server may take.
    pub fn weight(&self) -> f64 {
        f64::from(self.weight.load(Ordering::Relaxed)) / f64::from(FULL_WEIGHT)
    }

    /// Whether the daemon on the server's VM has announced that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.connections
            .as_ref()
            .is_some_and(|connections| connections.is_leaving())
    }

    /// Returns the milliseconds since this state was created.
    fn age_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Whether the reported load is recent enough to be used. Jobs end, and a
    /// load that is used forever would keep requests away, so that no new
    /// report would correct it.
    fn is_load_fresh(&self) -> bool {
        let delay_us = self.delay_us.load(Ordering::Relaxed);
        let turn_us = delay_us + self.service_us.load(Ordering::Relaxed);
        let age_ms = self
            .age_ms()
            .saturating_sub(self.reported_ms.load(Ordering::Relaxed));
        age_ms < MAX_LOAD_AGE_MS + 2 * turn_us / 1_000
    }

    /// Returns the values by which the server is compared with others.
    /// `rejected` is how much more than usual in its pool it rejects.
    pub(super) fn candidate(&self, rejected: f64) -> Candidate {
        let (running, delay_us) = match self.is_load_fresh() {
            true => (
                self.running.load(Ordering::Relaxed),
                self.delay_us.load(Ordering::Relaxed),
            ),
            false => (0, 0),
        };
        Candidate {
            slots: self.backend.slots.get(),
            running,
            delay: Duration::from_micros(delay_us),
            in_flight: self.in_flight.load(Ordering::Relaxed),
            service_time: Duration::from_micros(self.service_us.load(Ordering::Relaxed)),
            distance: self.distance,
            weight: self.weight() * self.limited_share() * self.cold_share(),
            rejected,
        }
    }

    /// Returns the state as JSON, for the state dump.
    pub fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "server": self.backend.id,
            "vm": self.backend.vm,
            "slots": self.backend.slots,
            "distance": format!("{:?}", self.distance).to_lowercase(),
            "weight": self.weight(),
            "in_flight": self.in_flight.load(Ordering::Relaxed),
            "running": self.running.load(Ordering::Relaxed),
            "delay_us": self.delay_us.load(Ordering::Relaxed),
            "limit": self.notice().limit.map(|limit| limit.to_string()),
            "leaving": self.notice().leaving,
            "rejected": self.rejections(),
            "cold": self.is_cold(),
            "service_us": self.service_us.load(Ordering::Relaxed),
        })
    }
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct FlightGuard(Arc<ServerState>);

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
