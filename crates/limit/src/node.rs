//! Rate limiter of one daemon: the home of some accounts and an ingress for
//! all.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use ids::{AccountId, FastMap, MonoTime, TokenAmount, TokenRate, VmId, ZoneId};

use crate::{
    account::IngressAccount,
    cell::{CellKey, CellMap, GroupId, members_digest},
    held::ShareSnapshot,
    home::AccountHome,
    lease::{LeaseSlots, TokenGrant},
    message::LimitMessage,
    shares::{CellShares, HomeSet, REQUEST_PERIOD, ShareRequest},
    step::LimitStep,
    way::HomePath,
};

/// Interval between clean-ups of idle accounts.
const SWEEP_PERIOD: Duration = Duration::from_secs(10);
/// Time for which the members of a cell are told that this VM has left it.
const ANNOUNCE_LEFT_FOR: Duration = Duration::from_secs(3);
/// Number of early rounds of share requests after a change of the members, and
/// the interval between them. The other members learn of the change within a
/// fraction of a second.
const EARLY_ROUNDS: u32 = 4;
const EARLY_PERIOD: Duration = Duration::from_millis(120);
/// Time without messages after which a member counts as unreachable.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(4);

/// Rate and burst of an account across the fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AccountLimit {
    /// Tokens per second.
    pub rate: TokenRate,
    /// Tokens that may be spent at once.
    pub burst: TokenAmount,
}

/// Returns the limit of an account; `None` if there is no such account.
pub type LimitLookup<'a> = dyn Fn(&AccountId) -> Option<AccountLimit> + 'a;

/// Number of a client request that waits for a token.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TakeId(pub u64);

/// Event that the state machine handles.
#[derive(Clone, Debug)]
pub enum LimitEvent {
    /// Groups and cells have changed, or are known for the first time.
    Map(Arc<CellMap>),
    /// A client request found no leased token and waits for one.
    Take {
        /// Number of the client request.
        take: TakeId,
        /// Account of the client request.
        account: AccountId,
    },
    /// A message came from a daemon that has proved that it knows the fleet
    /// secret.
    Message {
        /// The VM of that daemon.
        from: VmId,
        /// The message.
        message: LimitMessage,
    },
    /// Time has passed.
    Tick,
}

/// Action that the state machine requests of its caller.
#[derive(Clone, Debug)]
pub enum LimitAction {
    /// Send a message to the daemon of a VM.
    Send {
        /// The VM.
        to: VmId,
        /// The message.
        message: LimitMessage,
    },
    /// Admit the client request, which has taken a token.
    Admit(TakeId, TokenGrant),
    /// Refuse the client request.
    Refuse(TakeId, TakeRefusal),
}

/// Reason why a client request gets no token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TakeRefusal {
    /// The account is over its rate; a token will be available after this time.
    OverRate(Duration),
    /// No reachable home may grant tokens.
    NoHome,
}

/// Counters of a rate limiter, for the state dump.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LimitStats {
    /// Accounts whose bucket is kept here as home.
    pub homes: usize,
    /// Accounts with leases or demand at this ingress.
    pub ingress_accounts: usize,
    /// Cells that this VM is a member of.
    pub cells: usize,
    /// Cells in which this VM has a quorum: messages came recently from more
    /// than half of the members.
    pub cells_with_quorum: usize,
    /// Tokens granted as home.
    pub granted: u64,
    /// Lease requests refused because no shares of the account are held.
    pub requests_without_shares: u64,
}

/// State machine that limits the rates of accounts at one daemon.
#[derive(Debug)]
pub struct LimitNode {
    pub(crate) vm: VmId,
    started: MonoTime,
    pub(crate) map: Arc<CellMap>,
    pub(crate) groups: Vec<GroupId>,
    pub(crate) shares: BTreeMap<CellKey, CellShares>,
    pub(crate) homes: FastMap<AccountId, AccountHome>,
    pub(crate) accounts: FastMap<AccountId, IngressAccount>,
    /// Paths to the homes that were asked.
    pub(crate) paths: FastMap<VmId, HomePath>,
    next_number: u64,
    next_request: MonoTime,
    /// Remaining rounds of share requests at the shorter interval.
    early_rounds: u32,
    /// Cells that this VM has left, and until when their members are told.
    left_cells: Vec<(CellKey, MonoTime)>,
    /// When cells were first known, or last changed.
    joined: Option<MonoTime>,
    next_sweep: MonoTime,
    pub(crate) stats: LimitStats,
}

impl LimitNode {
    /// Creates a state machine that starts at `now` without any state.
    ///
    /// `first_number` is random, so that the numbers of an earlier incarnation
    /// of this daemon are not used again.
    pub fn new(vm: VmId, now: MonoTime, first_number: u64) -> Self {
        Self {
            vm,
            started: now,
            map: Arc::default(),
            groups: Vec::new(),
            shares: BTreeMap::new(),
            homes: FastMap::default(),
            accounts: FastMap::default(),
            paths: FastMap::default(),
            next_number: first_number,
            next_request: now,
            early_rounds: 0,
            left_cells: Vec::new(),
            joined: None,
            next_sweep: now + SWEEP_PERIOD,
            stats: LimitStats::default(),
        }
    }

    /// Sets the zone, which decides the group that is asked first.
    pub fn set_zone(&mut self, zone: &ZoneId) {
        self.groups = self.map.groups_from(zone);
    }

    /// Returns the leases of an account, from which the request path takes
    /// tokens.
    pub fn lease_slots(&mut self, now: MonoTime, account: &AccountId) -> Arc<LeaseSlots> {
        Arc::clone(&self.account(now, account).slots)
    }

    /// Handles an event at `now` and returns the actions to perform, in order.
    ///
    /// `lookup` returns the limit of an account from the configuration in
    /// force, so that limits need not be kept in memory twice.
    pub fn handle(
        &mut self,
        now: MonoTime,
        event: LimitEvent,
        lookup: &LimitLookup<'_>,
    ) -> Vec<LimitAction> {
        let mut step = LimitStep::new(now, lookup);
        match event {
            LimitEvent::Map(map) => self.set_map(now, map),
            LimitEvent::Take { take, account } => self.take(&mut step, take, account),
            LimitEvent::Message { from, message } => self.receive(&mut step, &from, message),
            LimitEvent::Tick => self.tick(&mut step),
        }
        step.finish()
    }

    /// Returns the counters for the state dump.
    pub fn stats(&self, now: MonoTime) -> LimitStats {
        let with_quorum = self
            .shares
            .values()
            .filter(|shares| shares.has_quorum(now, CONTACT_TIMEOUT));
        LimitStats {
            homes: self.homes.len(),
            ingress_accounts: self.accounts.len(),
            cells: self.shares.len(),
            cells_with_quorum: with_quorum.count(),
            ..self.stats
        }
    }

    /// Whether this VM has a quorum in each of its cells: messages came recently
    /// from more than half of the members.
    pub fn has_quorum(&self, now: MonoTime) -> bool {
        self.shares
            .values()
            .all(|shares| shares.has_quorum(now, CONTACT_TIMEOUT))
    }

    /// Returns the other members of the cells of this VM.
    pub fn cell_peers(&self) -> Vec<VmId> {
        let members = self.shares.values().flat_map(CellShares::others);
        let mut others: Vec<VmId> = members.cloned().collect();
        others.sort_unstable();
        others.dedup();
        others
    }

    /// Applies a change of groups and cells.
    fn set_map(&mut self, now: MonoTime, map: Arc<CellMap>) {
        let keys = map.cells_of(&self.vm);
        // Shares are requested at once and again in early rounds, so that homes
        // hold shares under the new members as soon as these have learned of
        // the change as well.
        self.next_request = now;
        self.early_rounds = EARLY_ROUNDS;
        let known = self.shares.len();
        let left = self.shares.keys().filter(|key| !keys.contains(key));
        self.left_cells = left.map(|key| (*key, now + ANNOUNCE_LEFT_FOR)).collect();
        self.shares.retain(|key, _| keys.contains(key));
        let mut changed = self.shares.len() != known || map.group_count() != self.map.group_count();
        // Loans made before a start, or as a member of another cell, are
        // unknown.
        let since = self.joined.replace(now).map_or(self.started, |_| now);
        for key in keys {
            let members = map.members(key).to_vec();
            match self.shares.get_mut(&key) {
                Some(shares) => shares.set_members(now, members),
                None => {
                    let shares = CellShares::new(self.vm.clone(), since, members);
                    self.shares.insert(key, shares);
                    changed = true;
                }
            }
        }
        if changed {
            // The numbers of groups may refer to other groups now, and the held
            // time starts anew.
            self.homes.clear();
        }
        self.paths.retain(|vm, _| map.contains(vm));
        self.map = map;
        self.forget_moved_homes(now);
    }

    /// Forgets buckets of accounts that other members grant tokens of now: if
    /// the accounts come back, the buckets are less full than they were here.
    fn forget_moved_homes(&mut self, now: MonoTime) {
        self.retain_homes(now, |_, snapshot| snapshot.is_some());
    }

    /// Handles a message from another daemon, or from this one to itself.
    pub(crate) fn receive(&mut self, step: &mut LimitStep<'_>, from: &VmId, message: LimitMessage) {
        match message {
            LimitMessage::LeaseRequest {
                request,
                account,
                want,
            } => {
                let response = self.respond_to_lease_request(step, request, account, want);
                self.deliver(step, from.clone(), response);
            }
            LimitMessage::LeaseResponse(response) => self.receive_response(step, from, response),
            LimitMessage::LeaseReturn {
                account,
                lease,
                amount,
            } => {
                if let Some(home) = self.homes.get_mut(&account) {
                    home.take_back(step.now, lease, amount);
                }
            }
            LimitMessage::ShareRequest {
                cell,
                digest,
                number,
                holds_for_others,
                has_quorum,
            } => {
                let request = ShareRequest {
                    digest,
                    number,
                    holds_for_others,
                    has_quorum,
                };
                self.lend_shares(step, from, cell, &request);
            }
            LimitMessage::CellLeft { cell, digest } => {
                if let Some(shares) = self.shares.get_mut(&cell) {
                    shares.record_adopted(step.now, from, digest);
                }
            }
            LimitMessage::ShareLoan {
                cell,
                digest,
                number,
                homes,
            } => {
                if let Some(shares) = self.shares.get_mut(&cell) {
                    shares.borrow(step.now, from, digest, number, HomeSet(homes));
                }
            }
        }
    }

    /// Sends a message to a daemon, or handles it if this daemon is the
    /// receiver.
    pub(crate) fn deliver(&mut self, step: &mut LimitStep<'_>, to: VmId, message: LimitMessage) {
        match to == self.vm {
            true => self.receive(step, &to, message),
            false => step.send(to, message),
        }
    }

    /// Lends the shares that the sender of a request may hold.
    fn lend_shares(
        &mut self,
        step: &mut LimitStep<'_>,
        from: &VmId,
        cell: CellKey,
        request: &ShareRequest,
    ) {
        let Some(shares) = self.shares.get_mut(&cell) else {
            return;
        };
        if let Some(homes) = shares.lend(step.now, from, request) {
            let message = LimitMessage::ShareLoan {
                cell,
                digest: request.digest,
                number: request.number,
                homes: homes.0,
            };
            step.send(from.clone(), message);
        }
    }

    /// Performs the periodic work.
    fn tick(&mut self, step: &mut LimitStep<'_>) {
        if self.next_request <= step.now {
            let early = self.early_rounds > 0;
            self.early_rounds = self.early_rounds.saturating_sub(1);
            self.next_request = step.now + if early { EARLY_PERIOD } else { REQUEST_PERIOD };
            self.request_shares(step);
            self.announce_left(step);
        }
        let names: Vec<AccountId> = self.accounts.keys().cloned().collect();
        for account in names {
            self.tick_account(step, &account);
        }
        if self.next_sweep <= step.now {
            self.next_sweep = step.now + SWEEP_PERIOD;
            self.sweep_homes(step.now);
            self.accounts.retain(|_, entry| !entry.is_idle(step.now));
        }
    }

    /// Requests the shares of the other members of all cells.
    fn request_shares(&mut self, step: &mut LimitStep<'_>) {
        let now = step.now;
        let number = self.new_number();
        for (cell, shares) in &mut self.shares {
            for (vm, request) in shares.share_requests(now, number) {
                let message = LimitMessage::ShareRequest {
                    cell: *cell,
                    digest: request.digest,
                    number: request.number,
                    holds_for_others: request.holds_for_others,
                    has_quorum: request.has_quorum,
                };
                step.send(vm, message);
            }
        }
    }

    /// Announces to the members of former cells that this VM has left them.
    fn announce_left(&mut self, step: &mut LimitStep<'_>) {
        self.left_cells.retain(|(_, until)| *until > step.now);
        for (cell, _) in &self.left_cells {
            let listed = self.map.members(*cell);
            let digest = members_digest(listed);
            for vm in listed {
                let cell = *cell;
                step.send(vm.clone(), LimitMessage::CellLeft { cell, digest });
            }
        }
    }

    /// Forgets accounts whose buckets are full, or whose shares are gone.
    fn sweep_homes(&mut self, now: MonoTime) {
        self.retain_homes(now, |home, snapshot| {
            snapshot.is_some_and(|snapshot| {
                home.generation() == snapshot.counts.generation && !home.is_idle(now, &snapshot)
            })
        });
    }

    /// Keeps those buckets for which `keep` holds, given the shares of their
    /// accounts.
    fn retain_homes(
        &mut self,
        now: MonoTime,
        keep: impl Fn(&mut AccountHome, Option<ShareSnapshot>) -> bool,
    ) {
        let mut homes = std::mem::take(&mut self.homes);
        homes.retain(|account, home| {
            keep(
                home,
                self.snapshot(now, account).map(|(_, snapshot)| snapshot),
            )
        });
        self.homes = homes;
    }

    /// Returns the state of an account at this ingress.
    pub(crate) fn account(&mut self, now: MonoTime, account: &AccountId) -> &mut IngressAccount {
        let new_account = || IngressAccount::new(Arc::default(), now);
        self.accounts
            .entry(account.clone())
            .or_insert_with(new_account)
    }

    /// Returns the next number.
    pub(crate) fn new_number(&mut self) -> u64 {
        self.next_number = self.next_number.wrapping_add(1);
        self.next_number
    }
}
