//! Metrics of a daemon in the Prometheus format.

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use crate::ledger::ByteLedger;

/// Labels of a metric by outcome.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// `answered`, `not-run` or `unknown` for a request, `received` for a peer
    /// message.
    pub outcome: &'static str,
    /// Reason of a refusal, or empty; for a peer message, `good` or the reason why
    /// it was dropped.
    pub reason: String,
}

/// Label of a metric by service.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct ServiceLabel {
    /// Id of the service.
    pub service: String,
}

/// Label of a metric by the reason why a connection was closed.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct CloseLabel {
    /// `idle`, `slow-head` or `crowded`.
    pub reason: &'static str,
}

/// Metrics of a daemon.
#[derive(Debug)]
pub struct MetricSet {
    registry: Registry,
    /// Number of requests of callers, by outcome.
    pub requests: Family<OutcomeLabel, Counter>,
    /// Time that the daemon added to a request, in seconds.
    pub added: Histogram,
    /// Time from a request to its end, in seconds.
    pub total: Histogram,
    /// Time that a request waited for a slot, in seconds.
    pub slot_wait: Histogram,
    /// Number of requests whose end was not logged, to limit the volume of the
    /// log.
    pub unlogged: Counter,
    /// Number of retries and hedges, by service.
    pub retries: Family<ServiceLabel, Counter>,
    /// Number of requests that backend servers rejected without running them, by
    /// service.
    pub rejections: Family<ServiceLabel, Counter>,
    /// Number of rejected requests that were not tried again, by service.
    pub retries_denied: Family<ServiceLabel, Counter>,
    /// Number of ejections, by service.
    pub ejections: Family<ServiceLabel, Counter>,
    /// Revision of the configuration in force.
    pub revision: Gauge,
    /// Time since the read of the platform that confirmed the revisions in force,
    /// in milliseconds.
    pub platform_age_ms: Gauge<i64>,
    /// Number of calls to the platform.
    pub platform_calls: Counter,
    /// Number of reads of the platform that were made because no peer had
    /// confirmed the revisions in force in time.
    pub fallback_reads: Counter,
    /// Number of times that the platform has come back from an older copy.
    pub eras_begun: Counter,
    /// Number of answers of the platform whose era was invalid or had ended.
    pub odd_eras: Counter,
    /// Number of refused configurations.
    pub config_refused: Counter,
    /// Number of inputs of the control loop whose handling panicked.
    pub contained_panics: Counter,
    /// Number of peer messages received, valid and invalid.
    pub peer_messages: Family<OutcomeLabel, Counter>,
    /// Bytes sent to other daemons, by kind and distance.
    pub ledger: ByteLedger,
    /// Number of callers' connections that the daemon closed, by reason.
    pub closed: Family<CloseLabel, Counter>,
    /// Number of requests that ran before those sent before them were answered.
    pub ahead_requests: Counter,
    /// Number of times that the answers to such requests filled the buffer of a
    /// connection.
    pub ahead_full: Counter,
    /// Number of open connections of callers.
    pub connections: Gauge,
    /// Number of backend servers of this VM that have named a limit.
    pub limited_servers: Gauge,
    /// Number of evacuated zones in the configuration in force.
    pub evacuated_zones: Gauge,
    /// Number of services that this daemon has used and whose backend servers are all
    /// in evacuated zones.
    pub evacuated_services: Gauge,
    /// Number of cold backend servers of this VM.
    pub cold_servers: Gauge,
    /// Number of offers that were refused because they do not fit the rate of a cold
    /// backend server of this VM.
    pub cold_refused: Counter,
    /// Number of services, with the homes of requests, for which the latest request
    /// found no backend server.
    pub unserved_homes: Gauge,
    /// Number of ranks and kinds of requests at the egress that get less than their
    /// least share.
    pub owed_kinds: Gauge,
    /// Number of requests that wait for a slot at the egress.
    pub waiting: Gauge,
    /// Number of requests that hold a slot at the egress.
    pub running: Gauge,
}

impl Default for MetricSet {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("dogwoodshore");
        let set = Self {
            registry: Registry::default(),
            requests: Family::default(),
            added: Histogram::new(exponential_buckets(0.000_05, 2.0, 16)),
            total: Histogram::new(exponential_buckets(0.001, 2.0, 16)),
            slot_wait: Histogram::new(exponential_buckets(0.000_25, 2.0, 16)),
            unlogged: Counter::default(),
            retries: Family::default(),
            rejections: Family::default(),
            retries_denied: Family::default(),
            ejections: Family::default(),
            revision: Gauge::default(),
            platform_age_ms: Gauge::default(),
            platform_calls: Counter::default(),
            fallback_reads: Counter::default(),
            eras_begun: Counter::default(),
            odd_eras: Counter::default(),
            config_refused: Counter::default(),
            contained_panics: Counter::default(),
            peer_messages: Family::default(),
            ledger: ByteLedger::default(),
            closed: Family::default(),
            ahead_requests: Counter::default(),
            ahead_full: Counter::default(),
            connections: Gauge::default(),
            limited_servers: Gauge::default(),
            evacuated_zones: Gauge::default(),
            evacuated_services: Gauge::default(),
            cold_servers: Gauge::default(),
            cold_refused: Counter::default(),
            unserved_homes: Gauge::default(),
            owed_kinds: Gauge::default(),
            waiting: Gauge::default(),
            running: Gauge::default(),
        };
        set.register(&mut registry);
        Self { registry, ..set }
    }
}

impl MetricSet {
    /// Registers all metrics by name.
    fn register(&self, registry: &mut Registry) {
        registry.register(
            "requests",
            "Requests of callers by outcome",
            self.requests.clone(),
        );
        registry.register(
            "added_seconds",
            "Time that the daemon added to a request",
            self.added.clone(),
        );
        registry.register(
            "request_seconds",
            "Time from a request to its end",
            self.total.clone(),
        );
        registry.register(
            "slot_wait_seconds",
            "Time that a request waited for a slot",
            self.slot_wait.clone(),
        );
        registry.register(
            "requests_unlogged",
            "Requests whose end was not logged",
            self.unlogged.clone(),
        );
        registry.register("retries", "Retries and hedges", self.retries.clone());
        registry.register(
            "rejections",
            "Requests that backend servers rejected without running them",
            self.rejections.clone(),
        );
        registry.register(
            "retries_denied",
            "Rejected requests that were not tried again",
            self.retries_denied.clone(),
        );
        registry.register(
            "ejections",
            "Backend servers ejected",
            self.ejections.clone(),
        );
        registry.register(
            "config_revision",
            "Revision of the configuration in force",
            self.revision.clone(),
        );
        registry.register(
            "platform_age_milliseconds",
            "Age of the last read of the platform behind what is known",
            self.platform_age_ms.clone(),
        );
        registry.register(
            "platform_calls",
            "Calls of the platform",
            self.platform_calls.clone(),
        );
        registry.register(
            "fallback_reads",
            "Reads of the platform because no peer had confirmed the revisions",
            self.fallback_reads.clone(),
        );
        registry.register(
            "eras_begun",
            "Times that the platform has come back from an older copy",
            self.eras_begun.clone(),
        );
        registry.register(
            "odd_eras",
            "Answers of the platform whose era was invalid or had ended",
            self.odd_eras.clone(),
        );
        registry.register(
            "config_refused",
            "Configurations refused",
            self.config_refused.clone(),
        );
        registry.register(
            "contained_panics",
            "Inputs of the control loop whose handling panicked",
            self.contained_panics.clone(),
        );
        registry.register(
            "peer_messages",
            "Peer messages received",
            self.peer_messages.clone(),
        );
        registry.register(
            "peer_sent_bytes",
            "Bytes sent to other daemons by kind and distance",
            self.ledger.whole.clone(),
        );
        registry.register(
            "peer_part_bytes",
            "Bytes sent to other daemons that are also part of another kind",
            self.ledger.parts.clone(),
        );
        registry.register(
            "peer_connections_opened",
            "Connections opened to other daemons by distance",
            self.ledger.connections.clone(),
        );
        registry.register(
            "requests_ahead",
            "Requests that ran before those sent before them were answered",
            self.ahead_requests.clone(),
        );
        registry.register(
            "ahead_buffers_full",
            "Times that answers to such requests filled the buffer of a connection",
            self.ahead_full.clone(),
        );
        registry.register(
            "connections_closed",
            "Callers' connections that the daemon closed by reason",
            self.closed.clone(),
        );
        registry.register(
            "connections",
            "Callers' connections",
            self.connections.clone(),
        );
        registry.register(
            "limited_servers",
            "Backend servers of this VM that have named a limit",
            self.limited_servers.clone(),
        );
        registry.register(
            "evacuated_zones",
            "Evacuated zones in the configuration in force",
            self.evacuated_zones.clone(),
        );
        registry.register(
            "evacuated_services",
            "Services in use here whose backend servers are all in evacuated zones",
            self.evacuated_services.clone(),
        );
        registry.register(
            "cold_servers",
            "Cold backend servers of this VM",
            self.cold_servers.clone(),
        );
        registry.register(
            "cold_refused",
            "Offers that do not fit the rate of a cold backend server of this VM",
            self.cold_refused.clone(),
        );
        registry.register(
            "unserved_homes",
            "Services without a backend server in the regions that requests allow",
            self.unserved_homes.clone(),
        );
        registry.register(
            "owed_kinds",
            "Ranks and kinds of requests that get less than their least share",
            self.owed_kinds.clone(),
        );
        registry.register("waiting", "Jobs that wait for a slot", self.waiting.clone());
        registry.register("running", "Jobs that hold a slot", self.running.clone());
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(_) => String::new(),
        }
    }

    /// Counts connections of callers that are closed for a reason.
    pub fn count_closed(&self, reason: &'static str, count: u64) {
        self.closed
            .get_or_create(&CloseLabel { reason })
            .inc_by(count);
    }

    /// Counts a request by its outcome.
    pub fn count_outcome(&self, outcome: &'static str, reason: &str) {
        let label = OutcomeLabel {
            outcome,
            reason: reason.to_owned(),
        };
        self.requests.get_or_create(&label).inc();
    }
}
