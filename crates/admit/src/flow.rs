//! Slot time used by each client account, as a fair queue accounts for it.

use std::time::Duration;

use ids::{AccountId, FastMap, MonoTime, Weight};

/// Expected slot time of a request before any has been measured.
const INITIAL_SLOT_TIME: Duration = Duration::from_millis(10);
/// Weight of the newest sample in the moving average of the slot time.
const SMOOTHING_FACTOR: f64 = 0.2;
/// Number of flows above which idle ones are removed.
const IDLE_REMOVAL_THRESHOLD: usize = 256;

/// Slot time used by one client account, or by all open routes together.
#[derive(Clone, Debug)]
struct Flow {
    /// Slot time charged so far, divided by the weight, in nanoseconds.
    virtual_time: f64,
    /// Expected slot time of its next job, in nanoseconds.
    expected_ns: f64,
    /// Number of its jobs that hold a slot.
    running: u32,
}

/// Flows of all client accounts, ordered by virtual time as in start-time fair
/// queueing.
///
/// A dispatch charges the expected slot time, and the end of the job corrects
/// the charge. An account that was idle starts at the virtual time of the
/// accounts that are being served, so it gains no credit by being idle. That time
/// advances also where each account has but one job, so that none waits forever.
#[derive(Clone, Debug)]
pub(crate) struct FlowTable {
    flows: FastMap<Option<AccountId>, Flow>,
    /// Virtual time at which an account starts that was idle.
    virtual_clock: f64,
    /// Expected slot time of a job of any flow, in nanoseconds.
    expected_ns: f64,
}

impl Default for FlowTable {
    fn default() -> Self {
        Self {
            flows: FastMap::default(),
            virtual_clock: 0.0,
            expected_ns: INITIAL_SLOT_TIME.as_nanos() as f64,
        }
    }
}

/// Slot time charged to an account for a running job. It is corrected when the
/// job ends.
#[derive(Clone, Debug)]
pub(crate) struct FlowCharge {
    account: Option<AccountId>,
    weight: f64,
    charged_ns: f64,
    started: MonoTime,
}

impl FlowCharge {
    /// Slot time used beyond the charge at `now`, divided by the weight.
    fn overrun(&self, now: MonoTime) -> f64 {
        let used_ns = now.since(self.started).as_nanos() as f64;
        (used_ns - self.charged_ns).max(0.0) / self.weight
    }

    /// Slot time used until `now`.
    pub(crate) fn used(&self, now: MonoTime) -> Duration {
        now.since(self.started)
    }

    /// Returns the client account that is charged.
    pub(crate) fn account(&self) -> &Option<AccountId> {
        &self.account
    }
}

impl FlowTable {
    /// Expected slot time of a job, as a moving average over all accounts.
    pub(crate) fn mean_slot_time(&self) -> Duration {
        Duration::from_nanos(self.expected_ns as u64)
    }

    /// Virtual time from which on an account is served that has no waiting job and sends
    /// one. An account that is not idle keeps its own virtual time.
    pub(crate) fn arrival(&self, account: &Option<AccountId>) -> f64 {
        match self.flows.get(account) {
            Some(flow) if flow.running > 0 => flow.virtual_time,
            _ => self.virtual_clock,
        }
    }

    /// Virtual time at which the account's next job would start. `since` is the virtual
    /// time from which on it has had waiting jobs. A job that runs longer than expected
    /// counts while it runs, not only once it has ended.
    pub(crate) fn virtual_start(
        &self,
        account: &Option<AccountId>,
        since: f64,
        running: &[&FlowCharge],
        now: MonoTime,
    ) -> f64 {
        let own = running.iter().filter(|charge| charge.account() == account);
        let overrun: f64 = own.map(|charge| charge.overrun(now)).sum();
        match self.flows.get(account) {
            Some(flow) if flow.running > 0 => flow.virtual_time + overrun,
            Some(flow) => flow.virtual_time.max(since),
            None => since,
        }
    }

    /// Charges the expected slot time of a job that is dispatched at the virtual time
    /// `start`, where `competing` jobs wait.
    pub(crate) fn charge(
        &mut self,
        account: &Option<AccountId>,
        weight: Weight,
        start: f64,
        competing: usize,
        now: MonoTime,
    ) -> FlowCharge {
        let weight = f64::from(weight.get().max(1));
        let mean_ns = self.expected_ns;
        let flow = self.flows.entry(account.clone()).or_insert(Flow {
            virtual_time: start,
            expected_ns: mean_ns,
            running: 0,
        });
        if flow.running == 0 {
            flow.virtual_time = flow.virtual_time.max(start);
        }
        let charge = flow.expected_ns / weight;
        flow.virtual_time += charge;
        self.virtual_clock = self.virtual_clock.max(start) + charge / (competing + 1) as f64;
        flow.running += 1;
        FlowCharge {
            account: account.clone(),
            weight,
            charged_ns: flow.expected_ns,
            started: now,
        }
    }

    /// Corrects a charge to the slot time used, when the job has ended.
    pub(crate) fn settle(&mut self, charge: &FlowCharge, now: MonoTime) {
        let used_ns = now.since(charge.started).as_nanos() as f64;
        self.expected_ns += SMOOTHING_FACTOR * (used_ns - self.expected_ns);
        if let Some(flow) = self.flows.get_mut(&charge.account) {
            flow.virtual_time += (used_ns - charge.charged_ns) / charge.weight;
            flow.expected_ns += SMOOTHING_FACTOR * (used_ns - flow.expected_ns);
            flow.running = flow.running.saturating_sub(1);
        }
        self.remove_idle();
    }

    /// Removes idle flows whose next job would start at the virtual clock, as
    /// that of an unknown account does.
    fn remove_idle(&mut self) {
        if self.flows.len() <= IDLE_REMOVAL_THRESHOLD {
            return;
        }
        let clock = self.virtual_clock;
        self.flows
            .retain(|_, flow| flow.running > 0 || flow.virtual_time > clock);
    }
}
