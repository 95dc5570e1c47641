//! Search of one attempt for a slot: sends offers to egresses and handles their
//! replies.

use std::{collections::VecDeque, time::Duration};

use hop::{
    EgressIncarnation, OfferId, OfferJob, OfferReply, SearchAction, SearchEvent, SearchOptions,
    SearchReach, ServerNotice, SlotSearch,
};
use ids::{VmId, Weight};
use route::AttemptId;

use super::{RequestAttempt, canary::CanaryGuard, lock};
use crate::{
    hop::SearchChannel,
    pool::{ChoiceOptions, ServerChoice, ServerState},
    wire::NotRun,
};

/// Maximum number of servers that one search asks.
const MAX_OFFERS: usize = 10;
/// Least time before the end of a shutdown after which no slot is used, so that
/// what still waits for one is refused.
const MIN_SLOT_RESERVE: Duration = Duration::from_millis(500);
/// Ratio of the time left until the target latency to the wait that is preferred
/// to a server in another zone.
const ZONE_PATIENCE_DIVISOR: u32 = 8;
/// Bounds of that wait.
const MIN_ZONE_PATIENCE: Duration = Duration::from_millis(10);
const MAX_ZONE_PATIENCE: Duration = Duration::from_millis(250);
/// Shortest such wait for a bulk transfer, which has a large answer.
const MIN_BULK_ZONE_PATIENCE: Duration = Duration::from_millis(120);

/// Servers that an offer may go to in addition to the healthy ones.
#[derive(Clone, Copy, Debug)]
struct OfferLimits {
    /// Servers that it may go to.
    reach: SearchReach,
    /// Whether it may go to a server on probation, as a canary.
    may_canary: bool,
    /// Whether it may go to a server that is considered failing.
    may_force: bool,
}

/// A slot that an egress reserves for the request.
pub(super) struct GrantedSlot {
    pub(super) offer: OfferId,
    pub(super) incarnation: EgressIncarnation,
    pub(super) choice: ServerChoice,
}

impl GrantedSlot {
    /// Returns the VM of the egress that granted the slot.
    pub(super) fn vm(&self) -> VmId {
        self.choice.server.backend.vm.clone()
    }
}

/// Offers that are withdrawn when the search is dropped.
pub(super) struct OpenOffers {
    pub(super) channel: SearchChannel,
    open: VecDeque<(VmId, OfferId)>,
}

impl OpenOffers {
    /// Creates the collection for a search that has made no offer yet.
    pub(super) fn new(channel: SearchChannel) -> Self {
        Self {
            channel,
            open: VecDeque::new(),
        }
    }

    /// Adds a granted slot to the offers that are withdrawn on drop.
    pub(super) fn withdraw_on_drop(&mut self, slot: &GrantedSlot) {
        self.open.push_back((slot.vm(), slot.offer));
    }

    /// Removes an offer and returns the VM that it was made to.
    fn remove(&mut self, offer: OfferId) -> Option<VmId> {
        let index = self.open.iter().position(|(_, other)| *other == offer)?;
        self.open.remove(index).map(|(vm, _)| vm)
    }
}

impl Drop for OpenOffers {
    fn drop(&mut self) {
        for (vm, offer) in &self.open {
            self.channel.withdraw(vm, *offer);
        }
    }
}

impl RequestAttempt<'_> {
    /// Searches for a slot. Dropping the search withdraws all open offers.
    ///
    /// # Errors
    ///
    /// Returns why the search got no slot, or `None` if no server could be
    /// asked.
    pub(super) async fn find_slot(
        &mut self,
        offers: &mut OpenOffers,
        may_canary: bool,
    ) -> Result<GrantedSlot, Option<NotRun>> {
        let clock = self.ingress.clock;
        let options = SearchOptions {
            deadline: self.options().deadline,
            max_offers: MAX_OFFERS,
            zone_patience: self.zone_patience(),
        };
        let mut search = SlotSearch::new(options, offers.channel.first_id());
        let mut events = VecDeque::from([SearchEvent::Start]);
        let mut may_canary = may_canary;
        let run_time = self.run_time();
        loop {
            while let Some(event) = events.pop_front() {
                for action in search.handle(clock.now(), event) {
                    match action {
                        SearchAction::Offer {
                            id,
                            last_resort,
                            reach,
                        } => {
                            let limits = OfferLimits {
                                reach,
                                may_canary: std::mem::take(&mut may_canary),
                                may_force: last_resort,
                            };
                            if !self.make_offer(offers, id, limits) {
                                events.push_back(SearchEvent::NoServer(id));
                            }
                        }
                        SearchAction::Repeat(id) => self.repeat_offer(offers, id),
                        SearchAction::Withdraw(id) => {
                            if let Some(vm) = offers.remove(id) {
                                offers.channel.withdraw(&vm, id);
                            }
                        }
                        SearchAction::RecordSilent(id) => {
                            if self.record_silence(id) {
                                events.push_back(SearchEvent::Abandoned(id));
                            }
                        }
                        SearchAction::Commit(id, incarnation) => {
                            offers.remove(id);
                            if let Some(choice) = self.offers.remove(&id) {
                                return Ok(GrantedSlot {
                                    offer: id,
                                    incarnation,
                                    choice,
                                });
                            }
                        }
                        SearchAction::Fail(reason) => return Err(reason),
                    }
                }
            }
            let tick = clock.instant(search.next_tick());
            let stopped = self.ingress.view.too_late_for(run_time);
            tokio::select! {
                biased;
                // Dropping the search withdraws its open offers.
                () = stopped => return Err(Some(NotRun::Leaving)),
                Some((id, reply)) = offers.channel.replies.recv() => {
                    self.record_reply(id, &reply);
                    if let OfferReply::Refused(..) = reply {
                        offers.remove(id);
                    }
                    events.push_back(SearchEvent::Reply(id, reply));
                }
                () = tokio::time::sleep_until(tick) => events.push_back(SearchEvent::Tick),
            }
        }
    }

    /// Returns the wait for a slot that is preferred to a server in another zone,
    /// as long as the target latency can be met.
    fn zone_patience(&self) -> Duration {
        let options = self.options();
        let patience = self.ingress.clock.until(options.target) / ZONE_PATIENCE_DIVISOR;
        let shortest = match options.bulk {
            true => MIN_BULK_ZONE_PATIENCE,
            false => MIN_ZONE_PATIENCE,
        };
        patience.clamp(shortest, MAX_ZONE_PATIENCE)
    }

    /// Returns the time that the request is likely to run at most.
    fn run_time(&self) -> Duration {
        let options = self.options();
        let target = options.target.since(options.started);
        let expected = self.pool.hedge_after.rough().unwrap_or(target);
        let grace = self.ingress.settings.load().budgets.grace();
        expected.clamp(MIN_SLOT_RESERVE.min(grace / 4), grace / 2)
    }

    /// Offers the request to the best server that was not asked yet. Returns
    /// false if there is none.
    fn make_offer(&mut self, offers: &mut OpenOffers, id: OfferId, limits: OfferLimits) -> bool {
        let view = &self.ingress.view;
        let scope = lock(&self.source.scope).clone();
        let canary = match limits.may_canary {
            true => self.pool.choose_canary(view, &scope),
            false => None,
        };
        let is_canary = canary.is_some();
        let chosen = match canary {
            Some(server) => Some(ServerChoice {
                server,
                forced: false,
            }),
            None => {
                let options = ChoiceOptions {
                    idempotent: self.options().idempotent,
                    reach: limits.reach,
                    zone_penalty: self.zone_patience(),
                    last_resort: limits.may_force,
                    avoids_cold: self.refused_cold,
                };
                let mut tried = self.asked.clone();
                tried.extend(lock(&self.source.committed_to).iter().cloned());
                let chosen = self.pool.choose(view, &scope, &tried, options);
                // A server that is considered failing may be chosen although it
                // was tried before, so a second forced offer could repeat the
                // first.
                let may_force = limits.may_force && !self.forced;
                chosen.filter(|choice| !choice.forced || may_force)
            }
        };
        let Some(choice) = chosen else {
            return false;
        };
        self.forced |= choice.forced;
        if is_canary {
            self.canary = Some(CanaryGuard::new(self.ingress, &choice.server));
        }
        choice.server.record_offer();
        self.asked.push(choice.server.backend.id.clone());
        let vm = choice.server.backend.vm.clone();
        let notice = choice.server.repeated_notice();
        if notice != ServerNotice::default() {
            // The daemon there may have restarted since the server said so.
            let server = &choice.server.backend.id;
            offers.channel.send_notice(&vm, server, notice);
        }
        offers.channel.offer(&vm, id, self.build_job(&choice));
        offers.open.push_back((vm, id));
        self.offers.insert(id, choice);
        true
    }

    /// Sends an offer again.
    fn repeat_offer(&self, offers: &OpenOffers, id: OfferId) {
        if let Some(choice) = self.offers.get(&id) {
            let vm = &choice.server.backend.vm;
            offers.channel.offer(vm, id, self.build_job(choice));
        }
    }

    /// Builds the properties of the request that the egress needs.
    fn build_job(&self, choice: &ServerChoice) -> OfferJob {
        let options = self.options();
        let is_first_search = self.stall.0 == AttemptId(0);
        let is_first = is_first_search && self.asked.first() == Some(&choice.server.backend.id);
        let account = options.account.as_ref();
        let remaining = self.ingress.clock.until(options.deadline);
        OfferJob {
            server: choice.server.backend.id.clone(),
            account: account.map(|account| account.id.clone()),
            key: options.key,
            weight: account.map_or(Weight(1), |account| account.weight),
            rank: options.rank,
            work_priority: options.work_priority,
            kind: options.kind,
            first_offer: is_first,
            internal: options.internal,
            bulk: options.bulk,
            idempotent: options.idempotent,
            forced: choice.forced,
            target_us: self.ingress.clock.until(options.target).as_micros() as u64,
            remaining_us: remaining.as_micros() as u64,
        }
    }

    /// Records the load and evidence in a reply to an offer.
    fn record_reply(&mut self, id: OfferId, reply: &OfferReply) {
        let Some(choice) = self.offers.get(&id) else {
            return;
        };
        choice.server.record_reply();
        let first = self.replied.insert(id);
        let trace = &self.source.options.trace;
        let server = &choice.server.backend.id;
        match reply {
            OfferReply::Waiting(load) if first => {
                trace.record_step(server, format_args!("waiting {} ms", load.delay_us / 1_000));
            }
            OfferReply::Waiting(_) => {}
            OfferReply::Granted(_) => trace.record_step(server, "granted"),
            OfferReply::Refused(reason, _) => trace.record_step(server, reason),
            OfferReply::Committed | OfferReply::Restarted | OfferReply::Answered => {}
        }
        match reply {
            OfferReply::Waiting(load) => choice.server.record_load(load, 0),
            OfferReply::Refused(reason, load) => {
                choice.server.record_load(load, 0);
                if *reason == NotRun::Evacuated {
                    // The wait there says nothing about when a retry may succeed.
                    return self.exclude_zone_of(&choice.server);
                }
                match (reason, &choice.server.connections) {
                    (NotRun::Leaving, Some(connections)) => connections.mark_leaving(),
                    (NotRun::Failing | NotRun::Misdirected, _) => choice.server.record_gate(true),
                    (NotRun::Cold, _) => {
                        choice.server.record_cold_refusal();
                        self.refused_cold = true;
                    }
                    _ => {}
                }
                let wait = Duration::from_micros(load.delay_us);
                let mut shortest = lock(&self.source.shortest_wait);
                *shortest = Some(shortest.map_or(wait, |other| other.min(wait)));
            }
            OfferReply::Granted(_)
            | OfferReply::Committed
            | OfferReply::Restarted
            | OfferReply::Answered => {}
        }
    }

    /// Keeps the request from the zone of a server whose daemon reports that the zone
    /// is evacuated.
    pub(super) fn exclude_zone_of(&self, server: &ServerState) {
        let table = self.ingress.view.table();
        if let Some(zone) = table.zone_of(&server.backend.vm) {
            lock(&self.source.scope).exclude_zone(&zone.id);
        }
    }

    /// Records that the daemon on the VM of a server does not reply. Returns whether the
    /// offer is not to be waited for, because the daemon is gone.
    fn record_silence(&self, id: OfferId) -> bool {
        let Some(choice) = self.offers.get(&id) else {
            return false;
        };
        let trace = &self.options().trace;
        trace.record_step(&choice.server.backend.id, "silent");
        choice.server.record_silence();
        self.report_unreachable(&choice.server);
        let scope = lock(&self.source.scope).clone();
        self.pool
            .is_gone(&self.ingress.view, &scope, &choice.server)
    }
}
