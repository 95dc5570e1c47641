//! Search of an ingress for a slot for one request.
//!
//! The search uses tied requests: while an offer waits, the request may also be
//! offered to another backend server. The first grant is committed and the
//! other offers are withdrawn. If a daemon does not reply to an offer, another
//! server is asked within milliseconds, long before a timeout would show that
//! the daemon is suspended or unreachable.
//!
//! Traffic between zones costs money, so a request that waits is tied to servers of
//! its own zone first, and to others once it has waited for
//! [`SearchOptions::zone_patience`].

use std::time::Duration;

use ids::MonoTime;

use crate::{EgressIncarnation, NotRun, OfferId, OfferReply, offer::OpenOffer};

/// Maximum number of concurrent offers of one request, without those to silent
/// daemons.
const MAX_OPEN_OFFERS: usize = 2;

/// Limits of a search.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SearchOptions {
    /// Deadline of the request.
    pub deadline: MonoTime,
    /// Maximum number of servers that are asked.
    pub max_offers: usize,
    /// Time for which a request that waits is offered in its own zone only.
    pub zone_patience: Duration,
}

/// Servers that an offer may be made to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SearchReach {
    /// Those in the availability zone of the ingress.
    Zone,
    /// All servers of the service.
    Fleet,
}

/// Input of a search.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SearchEvent {
    /// The search starts.
    Start,
    /// An egress replied to an offer.
    Reply(OfferId, OfferReply),
    /// There is no server left to make this offer to.
    NoServer(OfferId),
    /// The daemon to which the offer was made has been silent for so long that this
    /// offer is not waited for.
    Abandoned(OfferId),
    /// Time has passed.
    Tick,
}

/// Action that the caller of a search must perform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SearchAction {
    /// Offer the request to a server that was not asked yet.
    Offer {
        /// Id of the offer.
        id: OfferId,
        /// Whether no other offer is open. Only then may the server be one that
        /// is considered failing: such a server has no queue, so its grant
        /// would arrive before that of any healthy server.
        last_resort: bool,
        /// Servers that the offer may be made to.
        reach: SearchReach,
    },
    /// Send an offer again.
    Repeat(OfferId),
    /// Withdraw an offer.
    Withdraw(OfferId),
    /// Record that the daemon to which the offer was made does not reply.
    RecordSilent(OfferId),
    /// Send the request to the server that granted the offer, in this
    /// incarnation of its egress.
    Commit(OfferId, EgressIncarnation),
    /// End the search without a slot; the request has not run.
    Fail(Option<NotRun>),
}

/// Searches for a slot for one request.
#[derive(Clone, Debug)]
pub struct SlotSearch {
    options: SearchOptions,
    open: Vec<OpenOffer>,
    offers_made: usize,
    reason: Option<NotRun>,
    next_id: u64,
    /// Start of the search.
    started: MonoTime,
    /// Whether there is no server left to ask in the zone of the ingress.
    zone_exhausted: bool,
    /// Whether servers in other zones were asked in addition.
    left_zone: bool,
    done: bool,
}

impl SlotSearch {
    /// Creates a search that has not started.
    ///
    /// `first_id` is unique within the daemon and starts a range of unused ids,
    /// one for each possible offer.
    pub fn new(options: SearchOptions, first_id: OfferId) -> Self {
        Self {
            options,
            open: Vec::with_capacity(MAX_OPEN_OFFERS),
            offers_made: 0,
            reason: None,
            next_id: first_id.0,
            started: MonoTime::ZERO,
            zone_exhausted: false,
            left_zone: false,
            done: false,
        }
    }

    /// Handles an event at `now` and returns the actions to perform, in order.
    pub fn handle(&mut self, now: MonoTime, event: SearchEvent) -> Vec<SearchAction> {
        let mut actions = Vec::new();
        match event {
            _ if self.done => {}
            _ if now >= self.options.deadline => self.fail(Some(NotRun::Expired), &mut actions),
            SearchEvent::Start => {
                self.started = now;
                self.make_offer(now, &mut actions);
            }
            SearchEvent::Reply(id, reply) => self.handle_reply(now, id, reply, &mut actions),
            SearchEvent::NoServer(id) => self.cancel_offer(id, &mut actions),
            SearchEvent::Abandoned(id) => self.abandon_offer(now, id, &mut actions),
            SearchEvent::Tick => self.handle_tick(now, &mut actions),
        }
        actions
    }

    /// Returns when [`SearchEvent::Tick`] is due.
    pub fn next_tick(&self) -> MonoTime {
        let may_tie = self.may_offer();
        let times = self.open.iter().flat_map(|offer| {
            let silent = (offer.replied_at.is_none() && !offer.silent).then(|| offer.tie_at());
            let tie = (may_tie && !offer.tied).then(|| self.tie_at(offer));
            [
                Some(offer.repeat_at()),
                Some(offer.give_up_at()),
                silent,
                tie,
            ]
        });
        let leave = self.may_leave_zone().then(|| self.leave_zone_at());
        let next = times.chain([leave]).flatten().min();
        let next = next.unwrap_or(self.options.deadline);
        next.min(self.options.deadline)
    }

    /// Handles a reply of an egress.
    fn handle_reply(
        &mut self,
        now: MonoTime,
        id: OfferId,
        reply: OfferReply,
        actions: &mut Vec<SearchAction>,
    ) {
        let Some(index) = self.open.iter().position(|offer| offer.id == id) else {
            // A late grant of an offer that the search gave up must release its
            // slot.
            if let OfferReply::Granted(_) = reply {
                actions.push(SearchAction::Withdraw(id));
            }
            return;
        };
        match reply {
            OfferReply::Waiting(load) => {
                self.open[index].delay_us = load.delay_us;
                self.open[index].replied_at = Some(now);
                self.open[index].repeats = 0;
                self.open[index].silent = false;
            }
            OfferReply::Granted(incarnation) => {
                self.open.swap_remove(index);
                self.withdraw_all(actions);
                self.done = true;
                actions.push(SearchAction::Commit(id, incarnation));
            }
            OfferReply::Refused(reason, _) => {
                self.open.swap_remove(index);
                self.reason = Some(self.reason.map_or(reason, |old| old.min(reason)));
                self.continue_search(now, actions);
            }
            // This search has committed no offer, so the reply refers to
            // another offer with the same id.
            OfferReply::Committed | OfferReply::Restarted | OfferReply::Answered => {
                self.open.swap_remove(index);
                self.continue_search(now, actions);
            }
        }
    }

    /// Performs what is due at `now`.
    fn handle_tick(&mut self, now: MonoTime, actions: &mut Vec<SearchAction>) {
        let timed_out = |offer: &OpenOffer| offer.give_up_at() <= now;
        let abandoned: Vec<OpenOffer> = self.open.iter().copied().filter(timed_out).collect();
        self.open.retain(|offer| !timed_out(offer));
        for offer in abandoned {
            self.reason = Some(self.reason.unwrap_or(NotRun::Unreachable));
            actions.push(SearchAction::Withdraw(offer.id));
        }
        let without_reply = |offer: &&mut OpenOffer| offer.replied_at.is_none() && !offer.silent;
        for offer in self.open.iter_mut().filter(without_reply) {
            if offer.tie_at() <= now {
                offer.silent = true;
                actions.push(SearchAction::RecordSilent(offer.id));
            }
        }
        for offer in self
            .open
            .iter_mut()
            .filter(|offer| offer.repeat_at() <= now)
        {
            offer.sent_at = now;
            offer.repeats += 1;
            actions.push(SearchAction::Repeat(offer.id));
        }
        let due = |offer: &OpenOffer| !offer.tied && self.tie_at(offer) <= now;
        let tie = self.open.iter().position(due);
        match tie {
            _ if self.may_leave_zone() && self.leave_zone_at() <= now => {
                self.leave_zone(now, actions);
            }
            Some(index) if self.may_offer() => {
                self.open[index].tied = true;
                self.make_offer(now, actions);
            }
            _ => {}
        }
        if self.open.is_empty() {
            self.continue_search(now, actions);
        }
    }

    /// Gives up on a daemon that has not replied to an offer.
    fn abandon_offer(&mut self, now: MonoTime, id: OfferId, actions: &mut Vec<SearchAction>) {
        let without_reply = |offer: &OpenOffer| offer.id == id && offer.replied_at.is_none();
        let Some(index) = self.open.iter().position(without_reply) else {
            return;
        };
        self.open.swap_remove(index);
        self.reason = Some(self.reason.unwrap_or(NotRun::Unreachable));
        actions.push(SearchAction::Withdraw(id));
        self.continue_search(now, actions);
    }

    /// Returns when another server may be asked in addition to that of an offer.
    fn tie_at(&self, offer: &OpenOffer) -> MonoTime {
        match offer.replied_at {
            Some(_) if self.zone_exhausted => offer.tie_at().max(self.leave_zone_at()),
            _ => offer.tie_at(),
        }
    }

    /// Returns when servers in other zones may be asked in addition.
    fn leave_zone_at(&self) -> MonoTime {
        self.started + self.options.zone_patience
    }

    /// Whether the request waits at as many servers of its zone as it may, so that
    /// one of these offers has to be withdrawn before another zone is asked.
    fn may_leave_zone(&self) -> bool {
        let responsive = self.open.iter().filter(|offer| !offer.silent);
        let full = responsive.clone().count() >= MAX_OPEN_OFFERS;
        let in_zone = responsive
            .clone()
            .any(|offer| offer.reach == SearchReach::Zone);
        let allowed = self.offers_made < self.options.max_offers && !self.left_zone;
        full && in_zone && allowed && !self.done
    }

    /// Withdraws the offer with the longest wait and asks a server of any zone
    /// instead.
    fn leave_zone(&mut self, now: MonoTime, actions: &mut Vec<SearchAction>) {
        self.left_zone = true;
        let responsive = self.open.iter().filter(|offer| !offer.silent);
        let longest = responsive.max_by_key(|offer| offer.delay_us);
        let Some(id) = longest.map(|offer| offer.id) else {
            return;
        };
        self.open.retain(|offer| offer.id != id);
        actions.push(SearchAction::Withdraw(id));
        for offer in &mut self.open {
            offer.tied = true;
        }
        self.make_offer(now, actions);
    }

    /// Returns the servers that the next offer may be made to. A request that no
    /// egress has queued may go anywhere.
    fn next_reach(&self, now: MonoTime) -> SearchReach {
        let waits = self.open.iter().any(|offer| offer.replied_at.is_some());
        match waits && !self.zone_exhausted && now < self.leave_zone_at() {
            true => SearchReach::Zone,
            false => SearchReach::Fleet,
        }
    }

    /// Asks the next server if no offer is open, and fails if none may be
    /// asked.
    fn continue_search(&mut self, now: MonoTime, actions: &mut Vec<SearchAction>) {
        match self.open.is_empty() {
            true if self.may_offer() => self.make_offer(now, actions),
            true => self.fail_if_empty(actions),
            // The remaining offer may be tied to another server in place of the
            // one that ended.
            false => self.open.iter_mut().for_each(|offer| offer.tied = false),
        }
    }

    /// Returns whether another server may be asked.
    fn may_offer(&self) -> bool {
        let responsive = self.open.iter().filter(|offer| !offer.silent).count();
        let allowed = responsive < MAX_OPEN_OFFERS && self.offers_made < self.options.max_offers;
        allowed && !self.done
    }

    /// Makes an offer to a server that was not asked yet.
    fn make_offer(&mut self, now: MonoTime, actions: &mut Vec<SearchAction>) {
        let id = OfferId(self.next_id);
        let last_resort = self.open.is_empty();
        let reach = self.next_reach(now);
        self.next_id = self.next_id.wrapping_add(1);
        self.offers_made += 1;
        self.open.push(OpenOffer {
            id,
            made_at: now,
            sent_at: now,
            replied_at: None,
            repeats: 0,
            delay_us: 0,
            reach,
            tied: false,
            silent: false,
        });
        actions.push(SearchAction::Offer {
            id,
            last_resort,
            reach,
        });
    }

    /// Removes an offer for which there was no server.
    ///
    /// Other open offers remain. If there was no server in the zone, others are
    /// asked later; if there was none at all, another server is asked only when one
    /// of the offers ends.
    fn cancel_offer(&mut self, id: OfferId, actions: &mut Vec<SearchAction>) {
        let cancelled = self.open.iter().find(|offer| offer.id == id);
        let in_zone = cancelled.is_some_and(|offer| offer.reach == SearchReach::Zone);
        self.open.retain(|offer| offer.id != id);
        self.offers_made -= 1;
        self.zone_exhausted |= in_zone;
        for offer in &mut self.open {
            offer.tied = !in_zone;
        }
        self.fail_if_empty(actions);
    }

    /// Ends the search with its reason if no offer is open.
    fn fail_if_empty(&mut self, actions: &mut Vec<SearchAction>) {
        if self.open.is_empty() {
            self.fail(self.reason, actions);
        }
    }

    /// Ends the search without a slot.
    fn fail(&mut self, reason: Option<NotRun>, actions: &mut Vec<SearchAction>) {
        self.withdraw_all(actions);
        self.done = true;
        actions.push(SearchAction::Fail(reason));
    }

    /// Withdraws all open offers.
    fn withdraw_all(&mut self, actions: &mut Vec<SearchAction>) {
        let offers = self.open.drain(..);
        actions.extend(offers.map(|offer| SearchAction::Withdraw(offer.id)));
    }
}
