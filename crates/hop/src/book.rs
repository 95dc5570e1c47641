//! Table of the offers at an egress: waiting, granted, committed or ended.
//!
//! A grant is a reservation with a short timeout. If the request is not
//! committed in time, the slot goes to another offer and the id of the expired
//! offer stays unusable, so that a request that arrives late is always
//! refused.

use std::time::Duration;

use ids::{FastMap, MonoTime, VmId};

use crate::{EgressIncarnation, OfferId};

/// Time for which a granted slot is reserved for its request: a few round
/// trips and a scheduling delay of a busy process.
const GRANT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which ended offers, and committed offers past their deadline, are
/// kept: longer than a datagram or a check of the ingress may be in transit.
const RETENTION: Duration = Duration::from_secs(8);
/// Time between removals of old entries.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Identifies an offer at an egress.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct OfferKey {
    /// VM of the ingress that made the offer.
    pub from: VmId,
    /// Id that the ingress gave to the offer.
    pub offer: OfferId,
}

/// State of an offer. `W` represents the wait for a slot, `G` the granted slot.
#[derive(Clone, Debug)]
enum OfferEntry<W, G> {
    Waiting(W),
    Granted {
        slot: G,
        expires_at: MonoTime,
    },
    Committed {
        retained_until: MonoTime,
        answered: bool,
    },
    Ended {
        ended_at: MonoTime,
    },
}

/// Status of an offer at an egress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferStatus {
    /// The offer was unknown until now, and the caller must queue it.
    New,
    /// The offer waits for a slot.
    Waiting,
    /// The offer holds a slot.
    Granted,
    /// The request of the offer has arrived.
    Committed,
    /// The request of the offer has arrived, and its answer was handed to the
    /// connection that it came on.
    Answered,
    /// The offer was refused, withdrawn or has expired; its request never runs.
    Ended,
    /// The egress restarted after it granted the offer, so the request may have
    /// run.
    Restarted,
}

/// Keeps the state of all offers at one egress.
#[derive(Clone, Debug)]
pub struct OfferTable<W, G> {
    incarnation: EgressIncarnation,
    offers: FastMap<OfferKey, OfferEntry<W, G>>,
    swept_at: MonoTime,
}

impl<W, G> OfferTable<W, G> {
    /// Time after a grant at which the caller must call [`OfferTable::expire`].
    pub const GRANT_TIMEOUT: Duration = GRANT_TIMEOUT;

    /// Creates an empty table for one incarnation of the egress.
    pub fn new(incarnation: EgressIncarnation) -> Self {
        Self {
            incarnation,
            offers: FastMap::default(),
            swept_at: MonoTime::ZERO,
        }
    }

    /// Returns the incarnation of the egress that grants the offers.
    pub fn incarnation(&self) -> EgressIncarnation {
        self.incarnation
    }

    /// Receives an offer and returns its status; a new offer is stored as
    /// waiting with the value of `wait`.
    pub fn offer(&mut self, now: MonoTime, key: OfferKey, wait: impl FnOnce() -> W) -> OfferStatus {
        self.sweep(now);
        if let Some(entry) = self.offers.get(&key) {
            return entry.status(now);
        }
        self.offers.insert(key, OfferEntry::Waiting(wait()));
        OfferStatus::New
    }

    /// Grants a slot to a waiting offer.
    ///
    /// # Errors
    ///
    /// Returns the slot if the offer no longer waits, such as after a
    /// withdrawal.
    pub fn grant(&mut self, now: MonoTime, key: &OfferKey, slot: G) -> Result<(), G> {
        match self.offers.get_mut(key) {
            Some(entry @ OfferEntry::Waiting(_)) => {
                let expires_at = now + GRANT_TIMEOUT;
                *entry = OfferEntry::Granted { slot, expires_at };
                Ok(())
            }
            _ => Err(slot),
        }
    }

    /// Ends a waiting offer that gets no slot.
    pub fn refuse(&mut self, now: MonoTime, key: &OfferKey) {
        if let Some(entry @ OfferEntry::Waiting(_)) = self.offers.get_mut(key) {
            *entry = OfferEntry::Ended { ended_at: now };
        }
    }

    /// Ends an offer that is not committed, and returns its status.
    ///
    /// An unknown offer is stored as ended, since a withdrawal may overtake its
    /// offer.
    pub fn withdraw(&mut self, now: MonoTime, key: OfferKey) -> OfferStatus {
        let ended = OfferEntry::Ended { ended_at: now };
        let entry = self.offers.entry(key).or_insert(ended);
        if let OfferEntry::Waiting(_) | OfferEntry::Granted { .. } = entry {
            *entry = OfferEntry::Ended { ended_at: now };
        }
        entry.status(now)
    }

    /// Returns the status of an offer that was granted in `incarnation` and
    /// whose request was sent. If the request has not arrived yet, the offer
    /// ends and the request never runs.
    pub fn check(
        &mut self,
        now: MonoTime,
        key: OfferKey,
        incarnation: EgressIncarnation,
    ) -> OfferStatus {
        match incarnation == self.incarnation {
            true => self.withdraw(now, key),
            false => OfferStatus::Restarted,
        }
    }

    /// Commits a granted offer, whose request has arrived, and returns the
    /// slot.
    ///
    /// The request runs until `deadline` at most, and the offer is kept for
    /// longer than that.
    ///
    /// # Errors
    ///
    /// Returns the status of an offer that holds no slot; its request must not
    /// run.
    pub fn commit(
        &mut self,
        now: MonoTime,
        key: &OfferKey,
        deadline: MonoTime,
    ) -> Result<G, OfferStatus> {
        let Some(entry) = self.offers.get_mut(key) else {
            let ended = OfferEntry::Ended { ended_at: now };
            self.offers.insert(key.clone(), ended);
            return Err(OfferStatus::Ended);
        };
        match entry.status(now) {
            OfferStatus::Granted => {}
            OfferStatus::Committed | OfferStatus::Answered => {
                return Err(OfferStatus::Committed);
            }
            other => {
                *entry = OfferEntry::Ended { ended_at: now };
                return Err(other);
            }
        }
        let retained_until = deadline.max(now) + RETENTION;
        let committed = OfferEntry::Committed {
            retained_until,
            answered: false,
        };
        match std::mem::replace(entry, committed) {
            OfferEntry::Granted { slot, .. } => Ok(slot),
            _ => Err(OfferStatus::Ended),
        }
    }

    /// Records that the answer to a committed request was handed to the connection
    /// that the request came on.
    pub fn record_answer(&mut self, key: &OfferKey) {
        if let Some(OfferEntry::Committed { answered, .. }) = self.offers.get_mut(key) {
            *answered = true;
        }
    }

    /// Ends expired grants and drops their slots.
    pub fn expire(&mut self, now: MonoTime) {
        for entry in self.offers.values_mut() {
            if matches!(entry, OfferEntry::Granted { expires_at, .. } if *expires_at <= now) {
                *entry = OfferEntry::Ended { ended_at: now };
            }
        }
    }

    /// Returns the number of offers in the table.
    pub fn len(&self) -> usize {
        self.offers.len()
    }

    /// Returns whether the table holds no offer.
    pub fn is_empty(&self) -> bool {
        self.offers.is_empty()
    }

    /// Removes offers whose retention time has passed.
    fn sweep(&mut self, now: MonoTime) {
        if now.since(self.swept_at) < SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        self.offers.retain(|_, entry| match entry {
            OfferEntry::Committed { retained_until, .. } => now < *retained_until,
            OfferEntry::Ended { ended_at } => now.since(*ended_at) < RETENTION,
            _ => true,
        });
    }
}

impl<W, G> OfferEntry<W, G> {
    /// Returns the status of the offer; an expired grant counts as ended.
    fn status(&self, now: MonoTime) -> OfferStatus {
        match self {
            Self::Waiting(_) => OfferStatus::Waiting,
            Self::Granted { expires_at, .. } if *expires_at > now => OfferStatus::Granted,
            Self::Committed { answered: true, .. } => OfferStatus::Answered,
            Self::Committed { .. } => OfferStatus::Committed,
            Self::Granted { .. } | Self::Ended { .. } => OfferStatus::Ended,
        }
    }
}
