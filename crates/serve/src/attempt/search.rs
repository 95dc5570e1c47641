//! The search of one attempt for a slot: offers to egresses, and what they say.

use std::{collections::VecDeque, time::Duration};

use hop::{
    EgressIncarnation, OfferId, OfferJob, OfferReply, SearchAction, SearchEvent, SearchOptions,
    SlotSearch,
};
use ids::{VmId, Weight};

use super::{CanaryGuard, RequestAttempt, lock};
use crate::{
    hop::SearchChannel,
    pool::{ChoiceOptions, ServerChoice},
    wire::NotRun,
};

/// Most servers that one search asks.
const MOST_OFFERS: usize = 10;

/// Which servers an offer may go to beside the sound ones.
#[derive(Clone, Copy, Debug)]
struct OfferLimits {
    /// One on probation.
    may_canary: bool,
    /// One that is taken for failing.
    may_force: bool,
}

/// A slot that an egress holds for the request.
pub(super) struct GrantedSlot {
    pub(super) offer: OfferId,
    pub(super) incarnation: EgressIncarnation,
    pub(super) choice: ServerChoice,
}

impl GrantedSlot {
    /// The VM that holds the slot.
    pub(super) fn vm(&self) -> VmId {
        self.choice.server.backend.vm.clone()
    }
}

/// Offers that are to be taken back when the search is dropped.
pub(super) struct OpenOffers {
    pub(super) call: SearchChannel,
    open: VecDeque<(VmId, OfferId)>,
}

impl OpenOffers {
    /// No offers yet, of a search with these numbers.
    pub(super) fn new(call: SearchChannel) -> Self {
        Self {
            call,
            open: VecDeque::new(),
        }
    }

    /// Has a slot that was granted taken back with the search.
    pub(super) fn take_back(&mut self, slot: &GrantedSlot) {
        self.open.push_back((slot.vm(), slot.offer));
    }

    /// Removes an offer, and gives the VM that it was made to.
    fn remove(&mut self, offer: OfferId) -> Option<VmId> {
        let place = self.open.iter().position(|(_, other)| *other == offer)?;
        self.open.remove(place).map(|(vm, _)| vm)
    }
}

impl Drop for OpenOffers {
    fn drop(&mut self) {
        for (vm, offer) in &self.open {
            self.call.withdraw(vm, *offer);
        }
    }
}

impl RequestAttempt<'_> {
    /// Searches for a slot. Dropping the search takes all offers back.
    pub(super) async fn find_slot(
        &mut self,
        offers: &mut OpenOffers,
        may_canary: bool,
    ) -> Result<GrantedSlot, Option<NotRun>> {
        let clock = self.ingress.clock;
        let options = SearchOptions {
            deadline: self.options().deadline,
            max_offers: MOST_OFFERS,
        };
        let mut search = SlotSearch::new(options, offers.call.first_id());
        let mut events = VecDeque::from([SearchEvent::Start]);
        let mut may_canary = may_canary;
        loop {
            while let Some(event) = events.pop_front() {
                for action in search.handle(clock.now(), event) {
                    match action {
                        SearchAction::Offer { id, last_resort } => {
                            let limits = OfferLimits {
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
                                offers.call.withdraw(&vm, id);
                            }
                        }
                        SearchAction::NoteSilent(id) => self.record_silence(id),
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
            let ended = self.ingress.view.search_ended();
            tokio::select! {
                biased;
                Some((id, reply)) = offers.call.replies.recv() => {
                    self.record_reply(id, &reply);
                    if let OfferReply::Refused(..) = reply {
                        offers.remove(id);
                    }
                    events.push_back(SearchEvent::Reply(id, reply));
                }
                () = tokio::time::sleep_until(tick) => events.push_back(SearchEvent::Tick),
                // Dropping the search takes the open offers back.
                () = ended => return Err(Some(NotRun::Leaving)),
            }
        }
    }

    /// Offers the request to the best server that was not asked; false if
    /// there is none.
    fn make_offer(&mut self, offers: &mut OpenOffers, id: OfferId, limits: OfferLimits) -> bool {
        let view = &self.ingress.view;
        let canary = match limits.may_canary {
            true => self.pool.choose_canary(view),
            false => None,
        };
        let is_canary = canary.is_some();
        let chosen = match canary {
            Some(server) => Some(ServerChoice {
                server,
                forced: false,
            }),
            None => {
                let wish = ChoiceOptions {
                    idempotent: self.options().idempotent,
                    bulk: self.options().bulk,
                };
                let mut tried = self.asked.clone();
                tried.extend(lock(&self.source.committed_to).iter().cloned());
                let chosen = self.pool.choose(view, &tried, wish);
                // Two forced offers would repeat each other.
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
        self.asked.push(choice.server.backend.id.clone());
        let vm = choice.server.backend.vm.clone();
        offers.call.offer(&vm, id, self.job(&choice));
        offers.open.push_back((vm, id));
        self.offers.insert(id, choice);
        true
    }

    /// Sends an offer again.
    fn repeat_offer(&self, offers: &OpenOffers, id: OfferId) {
        if let Some(choice) = self.offers.get(&id) {
            let vm = &choice.server.backend.vm;
            offers.call.offer(vm, id, self.job(choice));
        }
    }

    /// What the egress has to know.
    fn job(&self, choice: &ServerChoice) -> OfferJob {
        let options = self.options();
        let account = options.account.as_ref();
        let remaining = self.ingress.clock.until(options.deadline);
        OfferJob {
            server: choice.server.backend.id.clone(),
            account: account.map(|account| account.id.clone()),
            key: options.key,
            weight: account.map_or(Weight(1), |account| account.weight),
            rank: options.rank,
            work_priority: options.work_priority,
            internal: options.internal,
            bulk: options.bulk,
            idempotent: options.idempotent,
            forced: choice.forced,
            target_us: self.ingress.clock.until(options.target).as_micros() as u64,
            remaining_us: remaining.as_micros() as u64,
        }
    }

    /// Takes load and evidence from an answer to an offer.
    fn record_reply(&mut self, id: OfferId, reply: &OfferReply) {
        let Some(choice) = self.offers.get(&id) else {
            return;
        };
        choice.server.record_reply();
        let first = self.answered.insert(id);
        let trace = &self.source.options.trace;
        let server = &choice.server.backend.id;
        match reply {
            OfferReply::Waiting(load) if first => {
                trace.record_step(server, format_args!("waiting {} ms", load.delay_us / 1_000));
            }
            OfferReply::Waiting(_) => {}
            OfferReply::Granted(_) => trace.record_step(server, "granted"),
            OfferReply::Refused(reason, _) => trace.record_step(server, reason),
            OfferReply::Committed | OfferReply::Restarted => {}
        }
        match reply {
            OfferReply::Waiting(load) => choice.server.record_load(load, 0),
            OfferReply::Refused(reason, load) => {
                choice.server.record_load(load, 0);
                match (reason, &choice.server.links) {
                    (NotRun::Leaving, Some(links)) => links.rest(),
                    (NotRun::Failing | NotRun::Misdirected, _) => choice.server.record_gate(true),
                    _ => {}
                }
                let wait = Duration::from_micros(load.delay_us);
                let mut shortest = lock(&self.source.shortest_wait);
                *shortest = Some(shortest.map_or(wait, |other| other.min(wait)));
            }
            OfferReply::Granted(_) | OfferReply::Committed | OfferReply::Restarted => {}
        }
    }

    /// The daemon beside a server does not answer.
    fn record_silence(&self, id: OfferId) {
        if let Some(choice) = self.offers.get(&id) {
            let trace = &self.options().trace;
            trace.record_step(&choice.server.backend.id, "silent");
            choice.server.record_silence();
            self.report_unreachable(&choice.server);
        }
    }
}
