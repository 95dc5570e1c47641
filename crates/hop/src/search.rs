//! The ingress's side: the search for a slot for one request.
//!
//! Pattern: tied requests. While an offer waits, another server may be asked
//! as well; the first grant is committed and the others are withdrawn. A
//! daemon that does not even acknowledge an offer is passed over within
//! milliseconds, long before a time-out would show that it is frozen or cut
//! off.

use std::time::Duration;

use ids::MonoTime;

use crate::{EgressIncarnation, NotRun, OfferId, OfferReply};

/// Time without an answer after which an offer is sent again.
const REPEAT_AFTER: Duration = Duration::from_millis(25);
/// Time without an answer after which another server is asked as well.
const ELSEWHERE_AFTER: Duration = Duration::from_millis(40);
/// Time without an answer after which a daemon is given up, beyond the time
/// between two signs of life of its offer.
const GIVE_UP_AFTER: Duration = Duration::from_millis(550);
/// Time between signs of life of an offer that waits: a share of its age
/// within these bounds, so that long queues don't cost their egress more
/// messages than new offers do.
const MIN_HEARTBEAT: Duration = Duration::from_millis(150);
const MAX_HEARTBEAT: Duration = Duration::from_secs(1);
const HEARTBEAT_SHARE: u32 = 2;
/// Time that an offer waits before a second server is asked.
const TIE_AFTER: Duration = Duration::from_millis(15);
/// Offers of one request that wait at a time.
const MOST_WAITING: usize = 2;

/// What a search is made for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SearchOptions {
    /// When the caller's time is up.
    pub deadline: MonoTime,
    /// Servers that are asked at most.
    pub max_offers: usize,
}

/// What happens to a search.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SearchEvent {
    /// It begins.
    Start,
    /// An egress answered.
    Reply(OfferId, OfferReply),
    /// No server was left for the offer that was asked for last.
    NoServer(OfferId),
    /// Time has passed.
    Tick,
}

/// What a search wants done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SearchAction {
    /// Offer the request to a server that was not asked yet. Only as a last
    /// resort, with no other offer open, may it be one that is taken for
    /// failing: that has no queue, so it would win against every sound one.
    Offer {
        /// Its number.
        id: OfferId,
        /// Whether no other offer is open.
        last_resort: bool,
    },
    /// Send an offer again.
    Repeat(OfferId),
    /// Take an offer back.
    Withdraw(OfferId),
    /// The daemon that the offer was made to does not answer.
    NoteSilent(OfferId),
    /// Send the request to the server that granted the offer, in this life of
    /// its egress.
    Commit(OfferId, EgressIncarnation),
    /// There is no slot; nothing has run.
    Fail(Option<NotRun>),
}

/// An offer that is not decided.
#[derive(Clone, Copy, Debug)]
struct OpenOffer {
    id: OfferId,
    made: MonoTime,
    sent: MonoTime,
    heard: Option<MonoTime>,
    /// Whether another server was asked beside it.
    tied: bool,
    /// Whether its daemon counts as silent: another one takes its place.
    silent: bool,
}

impl OpenOffer {
    /// When it is sent again.
    fn repeat_at(&self) -> MonoTime {
        match self.heard {
            Some(_) => self.sent + self.heartbeat(),
            None => self.sent + REPEAT_AFTER,
        }
    }

    /// When another server is asked beside it.
    fn tie_at(&self) -> MonoTime {
        match self.heard {
            Some(_) => self.made + TIE_AFTER,
            None => self.made + ELSEWHERE_AFTER,
        }
    }

    /// When its daemon is given up.
    fn give_up_at(&self) -> MonoTime {
        self.heard.unwrap_or(self.made) + self.heartbeat() + GIVE_UP_AFTER
    }

    /// Time between signs of life.
    fn heartbeat(&self) -> Duration {
        let heard_for = self
            .heard
            .map_or(Duration::ZERO, |heard| heard.since(self.made));
        (heard_for / HEARTBEAT_SHARE).clamp(MIN_HEARTBEAT, MAX_HEARTBEAT)
    }
}

/// Search for a slot for one request.
#[derive(Clone, Debug)]
pub struct SlotSearch {
    options: SearchOptions,
    open: Vec<OpenOffer>,
    made: usize,
    reason: Option<NotRun>,
    next_id: u64,
    done: bool,
}

impl SlotSearch {
    /// A search that has not started; `first_id` is unique for the daemon and
    /// followed by as many free numbers as there are offers at most.
    pub fn new(options: SearchOptions, first_id: OfferId) -> Self {
        Self {
            options,
            open: Vec::with_capacity(MOST_WAITING),
            made: 0,
            reason: None,
            next_id: first_id.0,
            done: false,
        }
    }

    /// Takes an event at `now` and returns what to do, in order.
    pub fn handle(&mut self, now: MonoTime, event: SearchEvent) -> Vec<SearchAction> {
        let mut actions = Vec::new();
        match event {
            _ if self.done => {}
            _ if now >= self.options.deadline => self.fail(Some(NotRun::Expired), &mut actions),
            SearchEvent::Start => self.make_offer(now, &mut actions),
            SearchEvent::Reply(id, reply) => self.take_reply(now, id, reply, &mut actions),
            SearchEvent::NoServer(id) => self.drop_offer(id, &mut actions),
            SearchEvent::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    /// When [`SearchEvent::Tick`] is due.
    pub fn next_tick(&self) -> MonoTime {
        let may_tie = self.may_offer();
        let times = self.open.iter().flat_map(|offer| {
            let tie = ((may_tie && !offer.tied) || (offer.heard.is_none() && !offer.silent))
                .then(|| offer.tie_at());
            [Some(offer.repeat_at()), Some(offer.give_up_at()), tie]
        });
        let next = times.flatten().min().unwrap_or(self.options.deadline);
        next.min(self.options.deadline)
    }

    /// Takes an egress's answer.
    fn take_reply(
        &mut self,
        now: MonoTime,
        id: OfferId,
        reply: OfferReply,
        actions: &mut Vec<SearchAction>,
    ) {
        let Some(place) = self.open.iter().position(|offer| offer.id == id) else {
            // A grant of an offer that was given up must not hold its slot.
            if let OfferReply::Granted(_) = reply {
                actions.push(SearchAction::Withdraw(id));
            }
            return;
        };
        match reply {
            OfferReply::Waiting(_) => {
                self.open[place].heard = Some(now);
                self.open[place].silent = false;
            }
            OfferReply::Granted(incarnation) => {
                self.open.swap_remove(place);
                self.withdraw_all(actions);
                self.done = true;
                actions.push(SearchAction::Commit(id, incarnation));
            }
            OfferReply::Refused(reason, _) => {
                self.open.swap_remove(place);
                self.reason = Some(self.reason.map_or(reason, |old| old.min(reason)));
                self.go_on(now, actions);
            }
            // It was committed by nobody here; its number is not ours.
            OfferReply::Committed | OfferReply::Restarted => {
                self.open.swap_remove(place);
                self.go_on(now, actions);
            }
        }
    }

    /// Follows the time.
    fn tick(&mut self, now: MonoTime, actions: &mut Vec<SearchAction>) {
        let silent = |offer: &OpenOffer| offer.give_up_at() <= now;
        let given_up: Vec<OpenOffer> = self.open.iter().copied().filter(silent).collect();
        self.open.retain(|offer| !silent(offer));
        for offer in given_up {
            self.reason = Some(self.reason.unwrap_or(NotRun::Unreachable));
            actions.push(SearchAction::Withdraw(offer.id));
        }
        let unheard = |offer: &&mut OpenOffer| offer.heard.is_none() && !offer.silent;
        for offer in self.open.iter_mut().filter(unheard) {
            if offer.tie_at() <= now {
                offer.silent = true;
                actions.push(SearchAction::NoteSilent(offer.id));
            }
        }
        for offer in self
            .open
            .iter_mut()
            .filter(|offer| offer.repeat_at() <= now)
        {
            offer.sent = now;
            actions.push(SearchAction::Repeat(offer.id));
        }
        let due = |offer: &&mut OpenOffer| !offer.tied && offer.tie_at() <= now;
        let may_offer = self.may_offer();
        if may_offer && let Some(offer) = self.open.iter_mut().find(due) {
            offer.tied = true;
            self.make_offer(now, actions);
        }
        if self.open.is_empty() {
            self.go_on(now, actions);
        }
    }

    /// Asks the next server if nobody is asked any more.
    fn go_on(&mut self, now: MonoTime, actions: &mut Vec<SearchAction>) {
        match self.open.is_empty() {
            true if self.may_offer() => self.make_offer(now, actions),
            true => self.fail_if_empty(actions),
            // The one that waits is tied to another server in place of this.
            false => self.open.iter_mut().for_each(|offer| offer.tied = false),
        }
    }

    /// Whether another server may be asked.
    fn may_offer(&self) -> bool {
        let waiting = self.open.iter().filter(|offer| !offer.silent).count();
        let room = waiting < MOST_WAITING && self.made < self.options.max_offers;
        room && !self.done
    }

    /// Makes an offer.
    fn make_offer(&mut self, now: MonoTime, actions: &mut Vec<SearchAction>) {
        let id = OfferId(self.next_id);
        let last_resort = self.open.is_empty();
        self.next_id = self.next_id.wrapping_add(1);
        self.made += 1;
        self.open.push(OpenOffer {
            id,
            made: now,
            sent: now,
            heard: None,
            tied: false,
            silent: false,
        });
        actions.push(SearchAction::Offer { id, last_resort });
    }

    /// There was no server for an offer. The others go on, and their end is
    /// the next occasion to ask.
    fn drop_offer(&mut self, id: OfferId, actions: &mut Vec<SearchAction>) {
        self.open.retain(|offer| offer.id != id);
        self.made -= 1;
        for offer in &mut self.open {
            offer.tied = true;
        }
        self.fail_if_empty(actions);
    }

    /// Fails if nobody is asked any more.
    fn fail_if_empty(&mut self, actions: &mut Vec<SearchAction>) {
        if self.open.is_empty() {
            self.fail(self.reason, actions);
        }
    }

    /// Ends without a slot.
    fn fail(&mut self, reason: Option<NotRun>, actions: &mut Vec<SearchAction>) {
        self.withdraw_all(actions);
        self.done = true;
        actions.push(SearchAction::Fail(reason));
    }

    /// Takes all open offers back.
    fn withdraw_all(&mut self, actions: &mut Vec<SearchAction>) {
        let offers = self.open.drain(..);
        actions.extend(offers.map(|offer| SearchAction::Withdraw(offer.id)));
    }
}
