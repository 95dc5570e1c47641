//! The limit machine of one daemon: home of some accounts, ingress for all.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use ids::{AccountId, FastMap, MonoTime, TokenAmount, TokenRate, VmId, ZoneId};

use crate::{
    account::IngressAccount,
    cell::{CellKey, CellMap, GroupId, members_digest},
    held::ShareSnapshot,
    home::AccountHome,
    lease::{LeaseSlots, TokenGrant},
    message::LimitMessage,
    shares::{COLLECT_INTERVAL, CellShares, HomeSet, ShareRequest},
    step::LimitStep,
    way::HomePath,
};

/// Time between clean-ups of idle accounts at a home.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);
/// Time for which the members of a cell are told that this VM has left it.
const ANNOUNCE_LEFT_FOR: Duration = Duration::from_secs(3);
/// Collects after a change of the members, and the time between them: the
/// others hear of the change within a fraction of a second.
const EARLY_ROUNDS: u32 = 4;
const EARLY_INTERVAL: Duration = Duration::from_millis(120);
/// Time after which a member that was not heard counts as out of reach.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(4);

/// Rate and burst of an account across the fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AccountLimit {
    /// Tokens per second.
    pub rate: TokenRate,
    /// Tokens that may be spent at once.
    pub burst: TokenAmount,
}

/// Finds the limit of an account; `None` if there is no such account.
pub type LimitLookup<'a> = dyn Fn(&AccountId) -> Option<AccountLimit> + 'a;

/// Number of a request that waits for a token.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TakeId(pub u64);

/// What happens to the machine.
#[derive(Clone, Debug)]
pub enum LimitEvent {
    /// Groups and cells have changed, or are known for the first time.
    Map(Arc<CellMap>),
    /// A request found no token at hand and waits for one.
    Take {
        /// Its number.
        take: TakeId,
        /// Its account.
        account: AccountId,
    },
    /// A message came from a daemon that proved the fleet secret.
    Message {
        /// The VM of that daemon.
        from: VmId,
        /// The message.
        message: LimitMessage,
    },
    /// Time has passed.
    Tick,
}

/// What the machine wants done.
#[derive(Clone, Debug)]
pub enum LimitAction {
    /// Send a message to the daemon of a VM.
    Send {
        /// The VM.
        to: VmId,
        /// The message.
        message: LimitMessage,
    },
    /// The request has a token.
    Admit(TakeId, TokenGrant),
    /// The request gets none.
    Refuse(TakeId, TakeRefusal),
}

/// Why a request gets no token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TakeRefusal {
    /// The account is over its rate; a token comes after that time.
    OverRate(Duration),
    /// No home within reach may mint.
    NoHome,
}

/// Counters for the dump.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LimitStats {
    /// Accounts whose bucket is here.
    pub homes: usize,
    /// Accounts with leases or demand here.
    pub ingress_accounts: usize,
    /// Cells that this VM is a member of.
    pub cells: usize,
    /// Of these, cells of which more than half is heard.
    pub cells_with_quorum: usize,
    /// Tokens granted as home.
    pub granted: u64,
    /// Asks refused since no shares of the account are held.
    pub requests_without_shares: u64,
}

/// The limit machine of one daemon.
#[derive(Debug)]
pub struct LimitNode {
    pub(crate) vm: VmId,
    started: MonoTime,
    pub(crate) map: Arc<CellMap>,
    pub(crate) groups: Vec<GroupId>,
    pub(crate) shares: BTreeMap<CellKey, CellShares>,
    pub(crate) homes: FastMap<AccountId, AccountHome>,
    pub(crate) accounts: FastMap<AccountId, IngressAccount>,
    /// Ways to the homes that were asked.
    pub(crate) paths: FastMap<VmId, HomePath>,
    next_number: u64,
    next_collect: MonoTime,
    /// Collects that follow each other fast.
    early_rounds: u32,
    /// Cells that this VM has left, whose members are told for a while.
    left_cells: Vec<(CellKey, MonoTime)>,
    /// When cells were first known.
    joined: Option<MonoTime>,
    next_sweep: MonoTime,
    pub(crate) stats: LimitStats,
}

impl LimitNode {
    /// A machine that starts at `now` and knows nothing.
    ///
    /// `first_number` is random, so that numbers of an earlier life of this
    /// daemon do not come again.
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
            next_collect: now,
            early_rounds: 0,
            left_cells: Vec::new(),
            joined: None,
            next_sweep: now + SWEEP_INTERVAL,
            stats: LimitStats::default(),
        }
    }

    /// Sets the zone, which decides the group that is asked first.
    pub fn set_zone(&mut self, zone: &ZoneId) {
        self.groups = self.map.groups_from(zone);
    }

    /// Tokens at hand of an account, for the request path.
    pub fn lease_slots(&mut self, now: MonoTime, account: &AccountId) -> Arc<LeaseSlots> {
        Arc::clone(&self.account(now, account).slots)
    }

    /// Takes an event at `now` and returns what to do, in order.
    ///
    /// `lookup` gives the limit of an account by the configuration in force,
    /// which so need not stand twice in memory.
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

    /// Counters for the dump.
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

    /// Whether more than half of each own cell was heard of late.
    pub fn has_quorum(&self, now: MonoTime) -> bool {
        self.shares
            .values()
            .all(|shares| shares.has_quorum(now, CONTACT_TIMEOUT))
    }

    /// Other members of the cells of this VM.
    pub fn cell_peers(&self) -> Vec<VmId> {
        let members = self.shares.values().flat_map(CellShares::others);
        let mut others: Vec<VmId> = members.cloned().collect();
        others.sort_unstable();
        others.dedup();
        others
    }

    /// Follows a change of groups and cells.
    fn set_map(&mut self, now: MonoTime, map: Arc<CellMap>) {
        let keys = map.cells_of(&self.vm);
        // Homes learn at once under which members they may ask, as soon as
        // the others have heard of the change as well.
        self.next_collect = now;
        self.early_rounds = EARLY_ROUNDS;
        let known = self.shares.len();
        let left = self.shares.keys().filter(|key| !keys.contains(key));
        self.left_cells = left.map(|key| (*key, now + ANNOUNCE_LEFT_FOR)).collect();
        self.shares.retain(|key, _| keys.contains(key));
        let mut changed = self.shares.len() != known || map.group_count() != self.map.group_count();
        // What was lent before a start, or as a member of another cell, is
        // not known.
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
            // Numbers of groups may name others now, and held time begins anew.
            self.homes.clear();
        }
        self.paths.retain(|vm, _| map.contains(vm));
        self.map = map;
        self.forget_moved_homes(now);
    }

    /// Forgets buckets of accounts that others mint for now: they are not as
    /// full as here if the accounts come back.
    fn forget_moved_homes(&mut self, now: MonoTime) {
        self.retain_homes(now, |_, snapshot| snapshot.is_some());
    }

    /// Handles a message of a daemon, or of this one to itself.
    pub(crate) fn receive(&mut self, step: &mut LimitStep<'_>, from: &VmId, message: LimitMessage) {
        match message {
            LimitMessage::LeaseRequest {
                request,
                account,
                want,
            } => {
                let reply = self.answer_lease_request(step, request, account, want);
                self.deliver(step, from.clone(), reply);
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
                    shares.note_adopted(step.now, from, digest);
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

    /// Sends a message to a daemon, or handles it if that is this one.
    pub(crate) fn deliver(&mut self, step: &mut LimitStep<'_>, to: VmId, message: LimitMessage) {
        match to == self.vm {
            true => self.receive(step, &to, message),
            false => step.send(to, message),
        }
    }

    /// Lends what a member of a cell may hold.
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

    /// Follows the time.
    fn tick(&mut self, step: &mut LimitStep<'_>) {
        if self.next_collect <= step.now {
            let early = self.early_rounds > 0;
            self.early_rounds = self.early_rounds.saturating_sub(1);
            self.next_collect = step.now
                + if early {
                    EARLY_INTERVAL
                } else {
                    COLLECT_INTERVAL
                };
            self.request_shares(step);
            self.announce_left(step);
        }
        let names: Vec<AccountId> = self.accounts.keys().cloned().collect();
        for account in names {
            self.tick_account(step, &account);
        }
        if self.next_sweep <= step.now {
            self.next_sweep = step.now + SWEEP_INTERVAL;
            self.sweep_homes(step.now);
            self.accounts.retain(|_, entry| !entry.is_idle(step.now));
        }
    }

    /// Asks the other members of all cells for their shares.
    fn request_shares(&mut self, step: &mut LimitStep<'_>) {
        let now = step.now;
        let number = self.new_number();
        for (cell, shares) in &mut self.shares {
            for (vm, request) in shares.collect(now, number) {
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

    /// Tells the members of cells that this VM has left.
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

    /// Forgets accounts whose buckets are full, or whose shares went away.
    fn sweep_homes(&mut self, now: MonoTime) {
        self.retain_homes(now, |home, snapshot| {
            snapshot.is_some_and(|snapshot| {
                home.generation() == snapshot.counts.generation && !home.is_idle(now, &snapshot)
            })
        });
    }

    /// Keeps buckets by what is held of their accounts.
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

    /// State of an account at this ingress.
    pub(crate) fn account(&mut self, now: MonoTime, account: &AccountId) -> &mut IngressAccount {
        let new_account = || IngressAccount::new(Arc::default(), now);
        self.accounts
            .entry(account.clone())
            .or_insert_with(new_account)
    }

    /// The next number.
    pub(crate) fn new_number(&mut self) -> u64 {
        self.next_number = self.next_number.wrapping_add(1);
        self.next_number
    }
}
