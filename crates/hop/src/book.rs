//! The egress's side: which offers wait, are granted, or have ended.
//!
//! Pattern: reservation with a short time to live. A grant that is not
//! committed in time is given on, and its number is dead from then on, so
//! that a request which comes late is refused with certainty.

use std::time::Duration;

use ids::{FastMap, MonoTime, VmId};

use crate::{EgressIncarnation, OfferId};

/// Time for which a granted slot waits for its request: some round trips and
/// a turn of a busy process.
const GRANT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which ended offers, and committed ones past their deadline, are
/// remembered: longer than a datagram or a check of the ingress may be on its
/// way.
const REMEMBER: Duration = Duration::from_secs(8);
/// Time between clean-ups of ended offers.
const SWEEP_EVERY: Duration = Duration::from_secs(1);

/// An offer of an ingress.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct OfferKey {
    /// VM of the ingress.
    pub from: VmId,
    /// Number of the offer there.
    pub offer: OfferId,
}

/// State of an offer. `W` waits for a slot, `G` holds one.
#[derive(Clone, Debug)]
enum OfferState<W, G> {
    Waiting(W),
    Granted { held: G, until: MonoTime },
    Committed { until: MonoTime },
    Ended { at: MonoTime },
}

/// What is known of an offer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferStatus {
    /// Nothing until now; it is to be queued.
    New,
    /// It waits for a slot.
    Waiting,
    /// It holds a slot.
    Granted,
    /// Its request has come.
    Committed,
    /// It was refused, withdrawn or lapsed, and will never run.
    Ended,
    /// An earlier life granted it, so its request may have run.
    Restarted,
}

/// All offers at one egress.
#[derive(Clone, Debug)]
pub struct OfferTable<W, G> {
    incarnation: EgressIncarnation,
    offers: FastMap<OfferKey, OfferState<W, G>>,
    swept: MonoTime,
}

impl<W, G> OfferTable<W, G> {
    /// Time after a grant at which [`OfferTable::expire`] is due.
    pub const GRANT_TIMEOUT: Duration = GRANT_TIMEOUT;

    /// A book without offers, of one life of the egress.
    pub fn new(incarnation: EgressIncarnation) -> Self {
        Self {
            incarnation,
            offers: FastMap::default(),
            swept: MonoTime::ZERO,
        }
    }

    /// The life of the egress that grants offers here.
    pub fn incarnation(&self) -> EgressIncarnation {
        self.incarnation
    }

    /// Takes an offer; a new one waits from now on, by what `wait` gives.
    pub fn offer(&mut self, now: MonoTime, key: OfferKey, wait: impl FnOnce() -> W) -> OfferStatus {
        self.sweep(now);
        if let Some(state) = self.offers.get(&key) {
            return state.answer(now);
        }
        self.offers.insert(key, OfferState::Waiting(wait()));
        OfferStatus::New
    }

    /// A waiting offer has a slot.
    ///
    /// # Errors
    ///
    /// Gives the slot back if the offer was withdrawn meanwhile.
    pub fn grant(&mut self, now: MonoTime, key: &OfferKey, held: G) -> Result<(), G> {
        match self.offers.get_mut(key) {
            Some(state @ OfferState::Waiting(_)) => {
                let until = now + GRANT_TIMEOUT;
                *state = OfferState::Granted { held, until };
                Ok(())
            }
            _ => Err(held),
        }
    }

    /// A waiting offer gets no slot.
    pub fn refuse(&mut self, now: MonoTime, key: &OfferKey) {
        if let Some(state @ OfferState::Waiting(_)) = self.offers.get_mut(key) {
            *state = OfferState::Ended { at: now };
        }
    }

    /// Ends an offer that was not committed, also one that is not known yet.
    pub fn withdraw(&mut self, now: MonoTime, key: OfferKey) -> OfferStatus {
        let ended = OfferState::Ended { at: now };
        let state = self.offers.entry(key).or_insert(ended);
        if let OfferState::Waiting(_) | OfferState::Granted { .. } = state {
            *state = OfferState::Ended { at: now };
        }
        state.answer(now)
    }

    /// What became of an offer that was granted in `life`, and whose request
    /// was sent. If it has not come yet, it never will run.
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

    /// The request of a granted offer has come: gives its slot. It runs until
    /// `deadline` at most, and is remembered for longer than that.
    ///
    /// # Errors
    ///
    /// The state of an offer that holds no slot; its request must not run.
    pub fn commit(
        &mut self,
        now: MonoTime,
        key: &OfferKey,
        deadline: MonoTime,
    ) -> Result<G, OfferStatus> {
        let Some(state) = self.offers.get_mut(key) else {
            let ended = OfferState::Ended { at: now };
            self.offers.insert(key.clone(), ended);
            return Err(OfferStatus::Ended);
        };
        match state.answer(now) {
            OfferStatus::Granted => {}
            OfferStatus::Committed => return Err(OfferStatus::Committed),
            other => {
                *state = OfferState::Ended { at: now };
                return Err(other);
            }
        }
        let until = deadline.max(now) + REMEMBER;
        match std::mem::replace(state, OfferState::Committed { until }) {
            OfferState::Granted { held, .. } => Ok(held),
            _ => Err(OfferStatus::Ended),
        }
    }

    /// Ends grants that have run out; their slots are dropped.
    pub fn expire(&mut self, now: MonoTime) {
        for state in self.offers.values_mut() {
            if matches!(state, OfferState::Granted { until, .. } if *until <= now) {
                *state = OfferState::Ended { at: now };
            }
        }
    }

    /// Number of offers that are remembered.
    pub fn len(&self) -> usize {
        self.offers.len()
    }

    /// Whether no offer is remembered.
    pub fn is_empty(&self) -> bool {
        self.offers.is_empty()
    }

    /// Forgets what ended long ago.
    fn sweep(&mut self, now: MonoTime) {
        if now.since(self.swept) < SWEEP_EVERY {
            return;
        }
        self.swept = now;
        self.offers.retain(|_, state| match state {
            OfferState::Committed { until } => now < *until,
            OfferState::Ended { at } => now.since(*at) < REMEMBER,
            _ => true,
        });
    }
}

impl<W, G> OfferState<W, G> {
    /// What is said of it; a grant that has run out counts for nothing.
    fn answer(&self, now: MonoTime) -> OfferStatus {
        match self {
            Self::Waiting(_) => OfferStatus::Waiting,
            Self::Granted { until, .. } if *until > now => OfferStatus::Granted,
            Self::Committed { .. } => OfferStatus::Committed,
            Self::Granted { .. } | Self::Ended { .. } => OfferStatus::Ended,
        }
    }
}
