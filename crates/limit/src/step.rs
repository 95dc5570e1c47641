//! Context that the parts of the state machine share while they handle one
//! event.

use ids::{AccountId, MonoTime, VmId};

use crate::{
    message::LimitMessage,
    node::{AccountLimit, LimitAction, LimitLookup},
};

/// Time of an event, limits in force, and the actions collected so far.
pub(crate) struct LimitStep<'a> {
    pub(crate) now: MonoTime,
    lookup: &'a LimitLookup<'a>,
    actions: Vec<LimitAction>,
}

impl<'a> LimitStep<'a> {
    /// Creates a step without actions.
    pub(crate) fn new(now: MonoTime, lookup: &'a LimitLookup<'a>) -> Self {
        Self {
            now,
            lookup,
            actions: Vec::new(),
        }
    }

    /// Returns the limit of an account in force.
    pub(crate) fn limit(&self, account: &AccountId) -> Option<AccountLimit> {
        (self.lookup)(account)
    }

    /// Adds an action.
    pub(crate) fn act(&mut self, action: LimitAction) {
        self.actions.push(action);
    }

    /// Sends a message.
    pub(crate) fn send(&mut self, to: VmId, message: LimitMessage) {
        self.act(LimitAction::Send { to, message });
    }

    /// Returns the actions, in order.
    pub(crate) fn finish(self) -> Vec<LimitAction> {
        self.actions
    }
}
