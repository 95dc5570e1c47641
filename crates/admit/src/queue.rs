//! Slots and waiting jobs of one backend server.

mod reserve;
mod trim;

use std::{cell::LazyCell, time::Duration};

use ids::{FastMap, FastSet, MonoTime, Rank, RequestRate, Weight, WorkPriority};

use crate::{
    demand::ArrivalWindow,
    displacement::{Displacement, JobOrder, JobOutlook, min_run_time},
    flow::{FlowCharge, FlowTable},
    job::{Job, JobId, QueueAction, QueueEvent, QueueRefusal, WorkKind},
    limits::{QueueLimits, QueueReport, SheddingOrder},
    pace::{DispatchPace, late_jobs},
    waiting::{QueuedJob, WorkAhead, work_up_to},
    work::{ServedShares, WorkEstimates},
};

/// Interval at which jobs that wait because of reserved slots are considered
/// again.
const RESERVE_RECHECK: Duration = Duration::from_millis(500);

/// Share of the jobs ahead that are expected to be still waiting when their turn
/// comes. The rest leave earlier, because most jobs are also offered to a second
/// backend server.
const REMAINING_SHARE: f64 = 0.6;

/// A job that holds a slot.
#[derive(Clone, Debug)]
struct RunningJob {
    charge: FlowCharge,
    rank: Rank,
    kind: WorkKind,
    internal: bool,
    bulk: bool,
}

/// State machine that grants the slots of one backend server and queues the jobs
/// that wait for them.
#[derive(Clone, Debug)]
pub struct SlotQueue {
    limits: QueueLimits,
    waiting: Vec<QueuedJob>,
    running: FastMap<JobId, RunningJob>,
    flows: FlowTable,
    /// Slot time by kind of request.
    estimates: WorkEstimates,
    /// Shares of the requests of each rank and kind that are served.
    shares: ServedShares,
    /// Ranks and kinds that have got less than their least share.
    owed: Vec<(Rank, WorkKind)>,
    /// Number of customers' jobs, running and waiting, at each arrival of one.
    customer_arrivals: ArrivalWindow,
    /// Number of customers' short jobs, which are those that are not bulk
    /// transfers, at each arrival of one.
    short_arrivals: ArrivalWindow,
    draining: bool,
    /// Nothing is dispatched before this time.
    resume_at: MonoTime,
    /// Pace of dispatches, if the backend server has named a rate.
    pace: Option<DispatchPace>,
    /// Time of the latest event.
    now: MonoTime,
}

impl SlotQueue {
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            waiting: Vec::new(),
            running: FastMap::default(),
            flows: FlowTable::default(),
            estimates: WorkEstimates::default(),
            shares: ServedShares::default(),
            owed: Vec::new(),
            customer_arrivals: ArrivalWindow::default(),
            short_arrivals: ArrivalWindow::default(),
            draining: false,
            resume_at: MonoTime::ZERO,
            pace: None,
            now: MonoTime::ZERO,
        }
    }

    /// Handles an event that happens at `now`. Returns the actions to perform, in
    /// order.
    pub fn handle(&mut self, now: MonoTime, event: QueueEvent) -> Vec<QueueAction> {
        let mut actions = Vec::new();
        self.now = self.now.max(now);
        self.shares.advance(now);
        match event {
            QueueEvent::Arrive(job) => self.arrive(now, job, &mut actions),
            QueueEvent::Finish(id) => {
                if let Some(running) = self.finish(now, id) {
                    let used = running.charge.used(now);
                    if self.limits.order == SheddingOrder::Work {
                        self.estimates.record(now, running.kind, used);
                    }
                }
            }
            QueueEvent::Abort(id) => self.give_back(now, id),
            QueueEvent::Release(id) => {
                if let Some(pace) = &mut self.pace {
                    pace.refund();
                }
                self.give_back(now, id);
            }
            QueueEvent::Cancel(id) => {
                let cancelled = self.waiting.extract_if(.., |queued| queued.job.id == id);
                cancelled.for_each(|queued| self.shares.record_wanted(&queued.job));
            }
            QueueEvent::Tick => {}
            QueueEvent::Drain => self.drain(&mut actions),
            QueueEvent::Resume => self.draining = false,
            QueueEvent::Backoff(pause) => self.resume_at = self.resume_at.max(now + pause),
            QueueEvent::Resize(slots) => {
                self.limits = QueueLimits::for_slots(slots).with_order(self.limits.order);
            }
            QueueEvent::Limit(rate) => self.set_limit(now, rate),
        }
        // A process that was suspended may hold jobs whose callers gave up long
        // ago, so deadlines are checked before each dispatch and not only when
        // a timer fires.
        self.find_owed();
        self.expire(now, &mut actions);
        self.dispatch(now, &mut actions);
        self.trim(now, &mut actions);
        actions
    }

    /// Time at which [`QueueEvent::Tick`] is due if no other event comes first.
    pub fn next_tick(&self) -> Option<MonoTime> {
        let mean = self.flows.mean_slot_time();
        let deadlines = self.waiting.iter().map(|queued| queued.last_start(mean));
        let deadline = deadlines.min()?;
        let ready_at = self.pace.map_or(MonoTime::ZERO, |pace| pace.ready_at());
        match self.resume_at.max(ready_at) {
            resume if resume > self.now && !self.is_full() => Some(deadline.min(resume)),
            // Jobs that wait although a slot is free are held back by reserved
            // slots, whose number falls with time.
            _ if !self.is_full() => Some(deadline.min(self.now + RESERVE_RECHECK)),
            _ => Some(deadline),
        }
    }

    /// Returns the load at `now`.
    pub fn report(&self, now: MonoTime) -> QueueReport {
        let running = self.running.len() as u32;
        let customers = self
            .waiting
            .iter()
            .filter(|queued| !queued.job.internal)
            .count();
        let turns = (customers + usize::from(self.is_full())) as f64;
        let slots = f64::from(self.limits.slots.get().max(1));
        let queue_delay = self.flows.mean_slot_time().mul_f64(turns / slots);
        let pace_delay = self.pace_wait(now, customers);
        QueueReport {
            free: self.limits.slots.get().saturating_sub(running),
            running,
            waiting: self.waiting.len() as u32,
            delay: queue_delay.max(pace_delay).max(self.resume_at.since(now)),
            draining: self.draining,
            limit: self.pace.map(|pace| pace.rate()),
            owed: self.owed.len() as u32,
        }
    }

    /// Whether the job holds a slot.
    pub fn is_running(&self, id: JobId) -> bool {
        self.running.contains_key(&id)
    }

    /// Whether no job runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Sets the rate at which the backend server takes requests.
    fn set_limit(&mut self, now: MonoTime, rate: Option<RequestRate>) {
        match (rate, &mut self.pace) {
            (Some(rate), Some(pace)) => pace.set_rate(now, rate),
            (Some(rate), None) => self.pace = Some(DispatchPace::new(now, rate)),
            (None, _) => self.pace = None,
        }
    }

    /// Time until a job is dispatched that has `ahead` jobs before it, by the rate
    /// that the backend server has named.
    fn pace_wait(&self, now: MonoTime, ahead: usize) -> Duration {
        self.pace
            .map_or(Duration::ZERO, |pace| pace.wait(now, ahead))
    }

    /// Whether every slot is taken.
    fn is_full(&self) -> bool {
        self.running.len() >= self.limits.slots.get() as usize
    }

    /// Queues a job that arrives, or refuses it.
    fn arrive(&mut self, now: MonoTime, job: Job, actions: &mut Vec<QueueAction>) {
        if let Some(refusal) = self.refusal(now, &job) {
            self.shares.record_wanted(&job);
            actions.push(QueueAction::Refuse(job.id, refusal));
            return;
        }
        let (internal, bulk) = (job.internal, job.bulk);
        let work = self.estimates.get(job.kind);
        let same = |queued: &&QueuedJob| queued.job.account == job.account;
        let since = match self.waiting.iter().find(same) {
            Some(queued) => queued.waits_since,
            None => self.flows.arrival(&job.account),
        };
        self.waiting.push(QueuedJob::new(job, work, now, since));
        if !internal {
            self.record_demand(now, bulk);
        }
    }

    /// Returns the reason to refuse a job that arrives now, if there is one.
    fn refusal(&self, now: MonoTime, job: &Job) -> Option<QueueRefusal> {
        let mean = self.flows.mean_slot_time();
        let work = self.estimates.get(job.kind);
        let typical = work.map_or(mean, |work| work.typical);
        let is_ahead = |queued: &&QueuedJob| {
            let other = &queued.job;
            let same = other.account == job.account && other.internal == job.internal;
            let is_short = queued.typical_work(mean) <= typical;
            same && is_short && other.work_priority >= job.work_priority
        };
        let own_ahead = self.waiting.iter().filter(is_ahead);
        let own_work: Duration = own_ahead.map(|queued| queued.mean_work(mean)).sum();
        // Earlier jobs of the same account go first unless they take longer, so this
        // wait is as certain as the slot times.
        let own_wait = own_work / self.limits.slots.get().max(1);
        let wait = self.expected_wait(job, work_up_to(&self.waiting, job, mean));
        let completion =
            wait.mul_f64(REMAINING_SHARE) + min_run_time(typical, job.deadline.since(now));
        match job.deadline {
            _ if self.draining => Some(QueueRefusal::Leaving),
            deadline if deadline <= now => Some(QueueRefusal::Expired),
            deadline if deadline <= self.resume_at => Some(QueueRefusal::Shedding),
            deadline if !own_wait.is_zero() && deadline <= now + own_wait => {
                Some(QueueRefusal::Overloaded)
            }
            deadline if self.is_full() && deadline <= now + completion => {
                Some(QueueRefusal::Overloaded)
            }
            _ => None,
        }
    }

    /// Expected time until `job` gets a slot if no job before it leaves the
    /// queue. A kind that is owed its least share goes before all others.
    fn expected_wait(&self, job: &Job, ahead: Duration) -> Duration {
        if self.is_owed(job) {
            return Duration::ZERO;
        }
        let running = match self.is_full() {
            true => self.flows.mean_slot_time(),
            false => Duration::ZERO,
        };
        (ahead + running) / self.limits.slots.get().max(1)
    }

    /// Finds the ranks and kinds that have got less than their least share. They matter
    /// only while jobs wait.
    fn find_owed(&mut self) {
        match self.limits.order {
            SheddingOrder::Work if !self.waiting.is_empty() => self.owed = self.shares.owed(),
            _ => self.owed.clear(),
        }
    }

    /// Whether the rank and kind of a job has got less than its least share.
    fn is_owed(&self, job: &Job) -> bool {
        !job.internal && self.owed.contains(&(job.rank, job.kind))
    }

    /// Returns the place of a waiting job among all.
    fn place(&self, now: MonoTime, queued: &QueuedJob) -> Displacement {
        let owed = self.is_owed(&queued.job);
        queued.place(now, owed, self.flows.mean_slot_time())
    }

    /// Whether the newest jobs are served first (adaptive LIFO). This is so while
    /// a waiting job is about to miss its target because no slot is free:
    /// serving the oldest first would make all of them late.
    fn serves_newest_first(&self, now: MonoTime) -> bool {
        let mean = self.flows.mean_slot_time();
        self.waiting
            .iter()
            .any(|queued| queued.is_urgent(now, mean))
    }

    /// Releases the slot of a job.
    fn finish(&mut self, now: MonoTime, id: JobId) -> Option<RunningJob> {
        let running = self.running.remove(&id)?;
        self.flows.settle(&running.charge, now);
        Some(running)
    }

    /// Releases the slot of a job that was not served.
    fn give_back(&mut self, now: MonoTime, id: JobId) {
        if let Some(running) = self.finish(now, id)
            && !running.internal
        {
            self.shares.refund((running.rank, running.kind));
        }
    }

    /// Refuses all waiting jobs, and from now on all that arrive.
    fn drain(&mut self, actions: &mut Vec<QueueAction>) {
        self.draining = true;
        let refuse = |queued: QueuedJob| QueueAction::Refuse(queued.job.id, QueueRefusal::Leaving);
        actions.extend(self.waiting.drain(..).map(refuse));
    }

    /// Refuses waiting jobs that can no longer end before their deadline.
    fn expire(&mut self, now: MonoTime, actions: &mut Vec<QueueAction>) {
        let mean = self.flows.mean_slot_time();
        let ahead = LazyCell::new(|| WorkAhead::new(&self.waiting, mean));
        // All jobs that can still meet their target go before one that cannot.
        let late_wait = |queued: &QueuedJob| match self.is_full() {
            true => {
                let wait = self.expected_wait(&queued.job, ahead.up_to(&queued.job));
                wait.mul_f64(REMAINING_SHARE)
            }
            false => Duration::ZERO,
        };
        let refusal_of = |queued: &QueuedJob| match self.place(now, queued).outlook {
            _ if queued.job.deadline <= now => Some(QueueRefusal::Expired),
            JobOutlook::Hopeless => Some(QueueRefusal::Overloaded),
            JobOutlook::Late if queued.last_start(mean) <= now + late_wait(queued) => {
                Some(QueueRefusal::Overloaded)
            }
            _ => None,
        };
        let wait = |ahead| self.pace_wait(now, ahead).mul_f64(REMAINING_SHARE);
        let limited = match self.pace {
            Some(_) => late_jobs(&self.waiting, now, mean, wait),
            None => FastSet::default(),
        };
        let refusals: Vec<Option<QueueRefusal>> = self
            .waiting
            .iter()
            .map(|queued| {
                let limited = || {
                    limited
                        .contains(&queued.job.id)
                        .then_some(QueueRefusal::Limited)
                };
                refusal_of(queued).or_else(limited)
            })
            .collect();
        let mut refusals = refusals.into_iter();
        self.waiting
            .retain(|queued| match refusals.next().flatten() {
                Some(refusal) => {
                    self.shares.record_wanted(&queued.job);
                    actions.push(QueueAction::Refuse(queued.job.id, refusal));
                    false
                }
                None => true,
            });
    }

    /// Dispatches waiting jobs to the free slots.
    fn dispatch(&mut self, now: MonoTime, actions: &mut Vec<QueueAction>) {
        if self.draining || now < self.resume_at {
            return;
        }
        while !self.is_full() && self.pace_wait(now, 0).is_zero() {
            let Some(order) = self.next_job(now) else {
                return;
            };
            let competing = self.waiting.len();
            let job = self.waiting.remove(order.index).job;
            self.shares.record_wanted(&job);
            self.shares.record_served(&job);
            self.find_owed();
            let start = order.virtual_start;
            let weight = self.flow_weight(&job);
            let charge = self
                .flows
                .charge(&job.account, weight, start, competing, now);
            let running = RunningJob {
                charge,
                rank: job.rank,
                kind: job.kind,
                internal: job.internal,
                bulk: job.bulk,
            };
            self.running.insert(job.id, running);
            if let Some(pace) = &mut self.pace {
                pace.record(now);
            }
            actions.push(QueueAction::Dispatch(job.id));
        }
    }

    /// Returns the weight of the account of a job that is dispatched. Calls of running
    /// requests have no account and come from as many origins as there are pieces of work,
    /// so together they count as as many accounts.
    fn flow_weight(&self, job: &Job) -> Weight {
        let is_call = |job: &Job| job.account.is_none() && job.work_priority > WorkPriority(0);
        match self.limits.order {
            SheddingOrder::Account => job.weight,
            SheddingOrder::Work if !is_call(job) => job.weight,
            SheddingOrder::Work => {
                let others = self.waiting.iter();
                let others = others.filter(|queued| is_call(&queued.job));
                Weight(1 + others.count() as u32)
            }
        }
    }

    /// Returns the job to run next.
    fn next_job(&mut self, now: MonoTime) -> Option<JobOrder> {
        let internal_slots = self.internal_slots(now);
        let bulk_slots = self.bulk_slots(now);
        let newest_first = self.serves_newest_first(now);
        let charges: Vec<&FlowCharge> = self.running.values().map(|item| &item.charge).collect();
        let mut best: Option<JobOrder> = None;
        for (index, queued) in self.waiting.iter().enumerate() {
            let job = &queued.job;
            let held = (job.internal && internal_slots == 0) || (job.bulk && bulk_slots == 0);
            if held {
                continue;
            }
            let since = queued.waits_since;
            let start = self.flows.virtual_start(&job.account, since, &charges, now);
            let place = self.place(now, queued);
            let weight = f64::from(job.weight.get().max(1));
            let cost = match self.limits.order {
                SheddingOrder::Account => 0.0,
                SheddingOrder::Work => place.cost.as_nanos() as f64 / weight,
            };
            let order = JobOrder {
                place,
                virtual_end: start + cost,
                virtual_start: start,
                work_priority: job.work_priority,
                index,
            };
            if best.is_none_or(|other| order.goes_before(&other, newest_first)) {
                best = Some(order);
            }
        }
        best
    }
}
