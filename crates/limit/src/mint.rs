//! The home side of the state machine: grants tokens by the shares that are
//! held.

use std::time::Duration;

use ids::{AccountId, MonoTime};

use crate::{
    cell::{CellKey, home_among},
    held::ShareSnapshot,
    home::{AccountHome, LEASE_TIME, LimitShare},
    message::{LeaseId, LeaseRequestId, LeaseResponse, LimitMessage},
    node::LimitNode,
    step::LimitStep,
};

/// Longest Retry-After reported for lack of tokens.
pub(crate) const MAX_RETRY: Duration = Duration::from_secs(10);
/// Time after which a home that holds no shares may be asked again.
const RETRY_NO_SHARES: Duration = Duration::from_millis(250);

impl LimitNode {
    /// Responds to a lease request as home, with or without tokens.
    pub(crate) fn respond_to_lease_request(
        &mut self,
        step: &LimitStep<'_>,
        request: LeaseRequestId,
        account: AccountId,
        want: u32,
    ) -> LimitMessage {
        let lease = LeaseId(self.new_number());
        let granted = self.grant_tokens(step, lease, &account, want);
        let (amount, retry) = granted.unwrap_or((0, RETRY_NO_SHARES));
        self.stats.granted += u64::from(amount);
        LimitMessage::LeaseResponse(LeaseResponse {
            request,
            account,
            lease,
            amount,
            valid_ms: LEASE_TIME.as_millis() as u32,
            retry_ms: retry.min(MAX_RETRY).as_millis() as u32,
            can_grant: granted.is_some(),
        })
    }

    /// Takes tokens from the bucket of an account and returns their number with
    /// the time until the next token. Returns `None` if no shares of the
    /// account are held here, or they may not be used yet.
    fn grant_tokens(
        &mut self,
        step: &LimitStep<'_>,
        lease: LeaseId,
        account: &AccountId,
        want: u32,
    ) -> Option<(u32, Duration)> {
        let now = step.now;
        let (Some((cell, snapshot)), Some(limit)) =
            (self.snapshot(now, account), step.limit(account))
        else {
            self.stats.requests_without_shares += 1;
            return None;
        };
        let groups = self.map.groups_of(account, limit.burst);
        if !groups.contains(&cell.group) {
            self.stats.requests_without_shares += 1;
            return None;
        }
        let groups = groups.len() as u32;
        let share = LimitShare {
            rate: limit.rate.share(groups),
            burst: limit.burst.share(groups),
        };
        let empty_at = self.shares[&cell].empty_at(now, account)?;
        let new_home = || AccountHome::new(share, snapshot.counts, empty_at);
        let home = self.homes.entry(account.clone()).or_insert_with(new_home);
        if home.generation() != snapshot.counts.generation {
            *home = new_home();
        }
        home.set_share(now, &snapshot, share);
        let amount = home.grant(now, lease, want);
        Some((amount, home.next_token().unwrap_or(MAX_RETRY)))
    }

    /// Returns the shares of an account that are held here, with their cell.
    pub(crate) fn snapshot(
        &self,
        now: MonoTime,
        account: &AccountId,
    ) -> Option<(CellKey, ShareSnapshot)> {
        // This VM may be a member of cells in more than one group. Each cell
        // counts for its own group, and a VM is in one zone only.
        self.shares.iter().find_map(|(key, shares)| {
            let cell = self.map.cell_of(key.group, account)?;
            let home = home_among(shares.members(), account)?;
            let snapshot = (cell == *key).then(|| shares.snapshot(now, home))??;
            Some((cell, snapshot))
        })
    }
}
