//! Lending of shares: which member of a cell may grant which part of the cell's
//! tokens, and for how long.
//!
//! Every member of a cell owns an equal share of the accounts there. It lends
//! its share of a home's accounts to that home for a short time, on request. A
//! home that sends no requests gets no more loans, and the next member in the
//! ring takes its accounts over once the loans have ended. A share is never lent
//! to two members at once, so no partition or suspension creates tokens. A daemon
//! that receives no messages has its own share at once.
//!
//! A loan starts at the moment of the home's request and ends later for the
//! owner than for the home, so that neither delays nor a suspended process make
//! two loans overlap.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use ids::{AccountId, FastMap, FastSet, MonoTime, VmId};

use crate::{
    cell::{home_among, members_digest},
    held::{HomeShares, ShareCounts, ShareSnapshot},
    home::OUTSTANDING_TIME,
};

/// Time for which a home holds a share, counted from its request.
const LOAN_TIME: Duration = Duration::from_millis(2_400);
/// Time for which an owner counts its share as lent. It exceeds [`LOAN_TIME`]
/// to allow for clock drift.
const LENT_TIME: Duration = Duration::from_millis(2_500);
/// Interval between the share requests of a home.
pub(crate) const REQUEST_PERIOD: Duration = Duration::from_millis(800);
/// Time without share requests after which a home's accounts pass to the next
/// member.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Delay before a smaller number of members makes the shares larger.
const RAISE_DELAY: Duration = Duration::from_secs(10);
/// Maximum number of pending requests that are remembered.
const MAX_REQUESTS: usize = 8;
/// Maximum number of homes in a [`HomeSet`].
pub(crate) const MAX_HOMES: usize = 64;

/// Set of homes, by their index in the sorted members of a cell.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct HomeSet(pub(crate) u64);

impl HomeSet {
    /// Adds the member at an index.
    fn insert(&mut self, index: usize) {
        self.0 |= 1 << index;
    }

    /// Whether the member at an index is in the set.
    fn contains(self, index: usize) -> bool {
        self.0 >> index & 1 == 1
    }
}

/// Loan of this member's own share.
#[derive(Clone, Debug)]
struct OwnLoan {
    holder: VmId,
    until: MonoTime,
}

/// Request for the shares that its sender may hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ShareRequest {
    /// Digest of the members as the sender knows them.
    pub(crate) digest: u64,
    /// Number of the request, repeated in the response.
    pub(crate) number: u64,
    /// Whether the sender holds a share of the receiver for another home.
    pub(crate) holds_for_others: bool,
    /// Whether the sender has a quorum: it recently received messages from more
    /// than half of the cell.
    pub(crate) has_quorum: bool,
}

/// Shares in one cell, as one of its members knows them.
#[derive(Clone, Debug)]
pub(crate) struct CellShares {
    vm: VmId,
    members: Vec<VmId>,
    digest: u64,
    /// When this daemon started or joined the cell; loans that it made before
    /// are unknown.
    started: MonoTime,
    /// Members that hold no share lent before the start.
    cleared: FastSet<VmId>,
    /// When each member last requested shares while it had a quorum.
    last_claim: FastMap<VmId, MonoTime>,
    /// When each member last sent a share request or a loan.
    last_message: FastMap<VmId, MonoTime>,
    /// Loans of this member's own shares, by home.
    lent: BTreeMap<VmId, OwnLoan>,
    /// Shares that are held here, by home.
    held: BTreeMap<VmId, HomeShares>,
    /// Numbers of recent share requests, and when they were sent.
    requests: Vec<(u64, MonoTime)>,
    generation: u64,
    /// For each daemon, the digest of the members that it uses, and the held
    /// time of the accounts whose home is this member when that became known.
    adopted: FastMap<VmId, (u64, Duration)>,
    /// Earlier lists of members, in order of time.
    earlier_views: Vec<EarlierView>,
}

/// List of members that was replaced by a newer one.
#[derive(Clone, Debug)]
struct EarlierView {
    members: Vec<VmId>,
    /// When it was replaced.
    ended: MonoTime,
    /// Held time at that moment of the accounts whose home is this member.
    held_time: Duration,
}

impl CellShares {
    /// Creates the shares among `members`, which are sorted, for a daemon that
    /// started or joined the cell at `started`.
    pub(crate) fn new(vm: VmId, started: MonoTime, members: Vec<VmId>) -> Self {
        Self {
            vm,
            digest: members_digest(&members),
            members,
            started,
            cleared: FastSet::default(),
            last_claim: FastMap::default(),
            last_message: FastMap::default(),
            lent: BTreeMap::new(),
            held: BTreeMap::new(),
            requests: Vec::new(),
            generation: 0,
            adopted: FastMap::default(),
            earlier_views: Vec::new(),
        }
    }

    /// Applies a change of the members.
    pub(crate) fn set_members(&mut self, now: MonoTime, members: Vec<VmId>) {
        /// Maximum number of earlier lists that are remembered.
        const MAX_VIEWS: usize = 8;
        if members == self.members {
            return;
        }
        let held_time = self.held_time(now, &self.vm);
        let earlier = std::mem::replace(&mut self.members, members);
        self.earlier_views.push(EarlierView {
            members: earlier,
            ended: now,
            held_time,
        });
        if self.earlier_views.len() > MAX_VIEWS {
            self.earlier_views.remove(0);
        }
        self.digest = members_digest(&self.members);
        let members = &self.members;
        for shares in self.held.values_mut() {
            let departed = shares.owners.iter().filter(|(vm, _)| !members.contains(vm));
            shares.departed += departed.map(|(_, held)| held.total(now)).sum::<Duration>();
            shares.owners.retain(|vm, _| members.contains(vm));
        }
        self.held.retain(|vm, _| members.contains(vm));
        self.last_claim.retain(|vm, _| members.contains(vm));
        self.last_message.retain(|vm, _| members.contains(vm));
        self.requests.clear();
        let digest = self.digest;
        self.adopted.retain(|_, (adopted, _)| *adopted == digest);
    }

    /// Returns the members.
    pub(crate) fn members(&self) -> &[VmId] {
        &self.members
    }

    /// Returns the members other than this one.
    pub(crate) fn others(&self) -> impl Iterator<Item = &VmId> {
        self.members.iter().filter(|vm| **vm != self.vm)
    }

    /// Returns the held time at which the bucket of an account that was never
    /// used here counts as empty. Returns `None` while the earlier home of the
    /// account may still hold shares of it.
    pub(crate) fn empty_at(&self, now: MonoTime, account: &AccountId) -> Option<Duration> {
        if home_among(&self.members, account) != Some(&self.vm) {
            return Some(Duration::ZERO);
        }
        let earlier = self.earlier_views.iter().rev().find_map(|view| {
            let home = home_among(&view.members, account)?;
            (*home != self.vm).then_some((view, home))
        });
        let Some((view, home)) = earlier else {
            return Some(Duration::ZERO);
        };
        match self.adopted.get(home) {
            // Leases of the earlier home may still be unspent.
            Some((digest, held_time)) if *digest == self.digest => {
                Some(*held_time + OUTSTANDING_TIME * self.share_count(now))
            }
            _ if now.since(view.ended) < LENT_TIME => None,
            _ => Some(view.held_time + LENT_TIME * self.share_count(now)),
        }
    }

    /// Records that a daemon grants tokens only under the members with this
    /// digest.
    pub(crate) fn record_adopted(&mut self, now: MonoTime, from: &VmId, digest: u64) {
        let known = self.adopted.get(from).map(|(adopted, _)| *adopted);
        if digest == self.digest && known != Some(digest) {
            let held_time = self.held_time(now, &self.vm);
            self.adopted.insert(from.clone(), (digest, held_time));
        }
    }

    /// Returns the number of shares. A smaller number is used only after
    /// [`RAISE_DELAY`], since members that have not learned of a change use the
    /// larger one.
    fn share_count(&self, now: MonoTime) -> u32 {
        let recent = self
            .earlier_views
            .iter()
            .filter(|view| now.since(view.ended) < RAISE_DELAY);
        let counts = recent.map(|view| view.members.len());
        counts.chain([self.members.len()]).max().unwrap_or(1) as u32
    }

    /// Whether this member has a quorum: messages came within `span` from more
    /// than half of the members, this one included.
    pub(crate) fn has_quorum(&self, now: MonoTime, span: Duration) -> bool {
        let recent = |vm: &&VmId| {
            **vm == self.vm
                || self
                    .last_message
                    .get(*vm)
                    .is_some_and(|at| now.since(*at) < span)
        };
        2 * self.members.iter().filter(recent).count() > self.members.len()
    }

    /// Creates requests to the other members for the shares of all accounts
    /// that this member is to hold.
    pub(crate) fn share_requests(
        &mut self,
        now: MonoTime,
        number: u64,
    ) -> Vec<(VmId, ShareRequest)> {
        self.requests.push((number, now));
        if self.requests.len() > MAX_REQUESTS {
            self.requests.remove(0);
        }
        self.lend_to_self(now);
        let has_quorum = self.has_quorum(now, SILENCE_TIMEOUT);
        let request = |owner: &VmId| ShareRequest {
            digest: self.digest,
            number,
            holds_for_others: self.holds_for_others(now, owner),
            has_quorum,
        };
        self.others().map(|vm| (vm.clone(), request(vm))).collect()
    }

    /// Whether a share of `owner` is held here for the accounts of another
    /// home.
    fn holds_for_others(&self, now: MonoTime, owner: &VmId) -> bool {
        let others = self.held.iter().filter(|(home, _)| **home != self.vm);
        let mut owners = others.filter_map(|(_, shares)| shares.owners.get(owner));
        owners.any(|held| held.is_held(now))
    }

    /// Lends the shares that `from` may hold, in response to its request.
    /// Returns `None` if the sender knows other members.
    pub(crate) fn lend(
        &mut self,
        now: MonoTime,
        from: &VmId,
        request: &ShareRequest,
    ) -> Option<HomeSet> {
        if request.digest != self.digest || !self.members.contains(from) {
            return None;
        }
        self.record_adopted(now, from, request.digest);
        self.last_message.insert(from.clone(), now);
        // A member without a quorum would grant tokens to nobody.
        if request.has_quorum {
            self.last_claim.insert(from.clone(), now);
        }
        match request.holds_for_others {
            true => self.cleared.remove(from),
            false => self.cleared.insert(from.clone()),
        };
        let until = now + LENT_TIME;
        let mut homes = HomeSet::default();
        for index in 0..self.members.len().min(MAX_HOMES) {
            if self.try_lend(now, index, from, until) {
                homes.insert(index);
            }
        }
        Some(homes)
    }

    /// Accepts the loans of an owner in response to the request with this
    /// number.
    pub(crate) fn borrow(
        &mut self,
        now: MonoTime,
        from: &VmId,
        digest: u64,
        number: u64,
        homes: HomeSet,
    ) {
        let sent = self.requests.iter().find(|(other, _)| *other == number);
        let Some((_, sent)) = sent.copied() else {
            return;
        };
        if digest != self.digest {
            return;
        }
        self.last_message.insert(from.clone(), now);
        for index in 0..self.members.len().min(MAX_HOMES) {
            if homes.contains(index) {
                self.hold(now, index, from, sent + LOAN_TIME);
            }
        }
    }

    /// Returns the shares held of the accounts of `home`, if any.
    pub(crate) fn snapshot(&self, now: MonoTime, home: &VmId) -> Option<ShareSnapshot> {
        let shares = self.held.get(home)?;
        let held = shares.held_count(now);
        let counts = || ShareCounts {
            held_time: shares.held_time(now),
            held,
            all: self.share_count(now),
            generation: shares.generation,
        };
        (held > 0).then(|| ShareSnapshot {
            counts: counts(),
            returns: Arc::clone(&shares.returns),
        })
    }

    /// Lends this member's own shares to itself for the accounts that it is to
    /// hold.
    fn lend_to_self(&mut self, now: MonoTime) {
        let vm = self.vm.clone();
        for index in 0..self.members.len().min(MAX_HOMES) {
            if self.try_lend(now, index, &vm, now + LENT_TIME) {
                self.hold(now, index, &vm, now + LOAN_TIME);
            }
        }
    }

    /// Returns the held time of a home's accounts, summed over all shares.
    fn held_time(&self, now: MonoTime, home: &VmId) -> Duration {
        let shares = self.held.get(home);
        shares.map_or(Duration::ZERO, |shares| shares.held_time(now))
    }

    /// Lends this member's own share of the accounts of the home at `index`, if
    /// `to` is to hold them and no other member has the share.
    fn try_lend(&mut self, now: MonoTime, index: usize, to: &VmId, until: MonoTime) -> bool {
        if self.holder(now, index) != Some(to) {
            return false;
        }
        let home = &self.members[index];
        let current = self.lent.get(home);
        let free = current.is_none_or(|loan| loan.holder == *to || loan.until <= now);
        // This share may have been lent to another member before the start.
        let known = to == &self.vm && home == &self.vm || self.is_cleared(now);
        if !free || !known {
            return false;
        }
        let holder = to.clone();
        self.lent.insert(home.clone(), OwnLoan { holder, until });
        true
    }

    /// Whether no loan from before the start can still be in use.
    fn is_cleared(&self, now: MonoTime) -> bool {
        let all = || self.others().all(|vm| self.cleared.contains(vm));
        now.since(self.started) >= LENT_TIME || all()
    }

    /// Returns the member that is to hold the shares of the accounts of the
    /// home at `index`: the home, or else the next member in the ring that
    /// requests shares.
    fn holder(&self, now: MonoTime, index: usize) -> Option<&VmId> {
        let count = self.members.len();
        let ring = (0..count).map(|step| &self.members[(index + step) % count]);
        let claims = |vm: &&VmId| {
            let last_claim = self.last_claim.get(*vm);
            // A member that never requested shares is given time to do so.
            let since = last_claim.copied().unwrap_or(self.started);
            **vm == self.vm || now.since(since) < SILENCE_TIMEOUT
        };
        ring.into_iter().find(claims)
    }

    /// Holds a share until `until`.
    fn hold(&mut self, now: MonoTime, index: usize, owner: &VmId, until: MonoTime) {
        if until <= now {
            return;
        }
        let home = self.members[index].clone();
        let own = home == self.vm;
        let shares = self.held.entry(home).or_default();
        let known = shares.owners.get(owner);
        let lapsed = known.is_some_and(|held| !held.is_held(now));
        if shares.held_count(now) == 0 && !own {
            // Other members held the accounts in the meantime and may have
            // spent their burst.
            self.generation += 1;
            *shares = HomeShares {
                generation: self.generation,
                ..HomeShares::default()
            };
        } else if lapsed && !(own && *owner == self.vm) {
            // A member never lends its own share of the accounts whose home it
            // is to others, so the return of that share needs no record.
            shares.record_return(now);
        }
        let held = shares.owners.entry(owner.clone()).or_default();
        if held.until == MonoTime::ZERO {
            held.from = now;
        }
        held.extend(now, until);
    }
}
