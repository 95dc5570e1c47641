//! Rate tokens on the request path.

use std::sync::Arc;

use arc_swap::ArcSwap;
use ids::{AccountId, FastMap};
use limit::{LeaseSlots, TakeRefusal, TokenGrant};
use tokio::sync::oneshot;

use crate::{
    answer::Refusal,
    clock::MonoClock,
    control::{ControlEvent, ControlSender},
};

/// Accounts whose cells are kept at hand; beyond it all are looked up anew.
const MAX_CELLS: usize = 10_000;

/// Takes tokens: from leases at hand by atomics, else by the control loop.
#[derive(Debug)]
pub struct RateLimiter {
    clock: MonoClock,
    control: ControlSender,
    cells: ArcSwap<FastMap<AccountId, Arc<LeaseSlots>>>,
}

/// A token that goes back to its lease unless it is spent.
#[derive(Debug)]
pub struct HeldToken {
    clock: MonoClock,
    cell: Arc<LeaseSlots>,
    grant: Option<TokenGrant>,
}

impl HeldToken {
    /// Spends the token: the request was, or may have been, run.
    pub fn spend(mut self) {
        self.grant = None;
    }
}

impl Drop for HeldToken {
    fn drop(&mut self) {
        if let Some(grant) = self.grant.take() {
            self.cell.give_back(self.clock.now(), grant);
        }
    }
}

impl RateLimiter {
    /// A gate in front of the control loop.
    pub fn new(clock: MonoClock, control: ControlSender) -> Self {
        Self {
            clock,
            control,
            cells: ArcSwap::default(),
        }
    }

    /// Takes a token for a request of an account.
    ///
    /// # Errors
    ///
    /// [`Refusal::OverRate`], or [`Refusal::NoHome`] if no home of the account
    /// can be reached or may mint.
    pub async fn take(&self, account: &AccountId) -> Result<HeldToken, Refusal> {
        let at_hand = self.cells.load().get(account).cloned();
        if let Some(cell) = at_hand
            && let Some(grant) = cell.try_take(self.clock.now())
        {
            return Ok(self.held(cell, grant));
        }
        let (reply, answer) = oneshot::channel();
        let event = ControlEvent::Take {
            account: account.clone(),
            reply,
        };
        if !self.control.send(event).await {
            return Err(Refusal::NoHome);
        }
        match answer.await {
            Ok(Ok((cell, grant))) => {
                self.keep(account, &cell);
                Ok(self.held(cell, grant))
            }
            Ok(Err(TakeRefusal::OverRate(after))) => Err(Refusal::OverRate(after)),
            Ok(Err(TakeRefusal::NoHome)) | Err(_) => Err(Refusal::NoHome),
        }
    }

    /// A token that is at hand.
    fn held(&self, cell: Arc<LeaseSlots>, grant: TokenGrant) -> HeldToken {
        HeldToken {
            clock: self.clock,
            cell,
            grant: Some(grant),
        }
    }

    /// Keeps the cell of an account for its next request.
    ///
    /// A cell that the control loop has forgotten gets no more leases, so its
    /// account comes here again and the cell is replaced.
    fn keep(&self, account: &AccountId, cell: &Arc<LeaseSlots>) {
        let known = self.cells.load();
        if known.get(account).is_some_and(|old| Arc::ptr_eq(old, cell)) {
            return;
        }
        self.cells.rcu(|cells| {
            let mut cells = match cells.len() {
                len if len >= MAX_CELLS => FastMap::default(),
                _ => FastMap::clone(cells),
            };
            cells.insert(account.clone(), Arc::clone(cell));
            cells
        });
    }
}
