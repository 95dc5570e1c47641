//! Slots and waiting jobs of one backend server.

use std::{cmp::Reverse, time::Duration};

use ids::{AccountId, FastMap, FastSet, MonoTime, RequestRate, Slots, WorkPriority};

use crate::{
    demand::ArrivalWindow,
    flow::{FlowCharge, FlowTable},
    job::{Job, JobId, QueueAction, QueueEvent, QueueRefusal},
    order::{JobOrder, SortedClasses},
    pace::{DispatchPace, late_jobs},
};

/// Interval at which jobs that wait because of reserved slots are considered
/// again.
const RESERVE_RECHECK: Duration = Duration::from_millis(500);

/// Share of the jobs ahead that are expected to be still waiting when their turn
/// comes. The rest leave earlier, because most jobs are also offered to a second
/// backend server.
const REMAINING_SHARE: f64 = 0.6;
/// Least slot time of a job, as a share of the mean. A job with less time left
/// before its deadline is not run, because it would not end in time and would
/// only waste its slot.
const MIN_RUN_SHARE: f64 = 0.4;

/// Limits of a slot queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueLimits {
    /// Maximum number of jobs that run at the same time.
    pub slots: Slots,
    /// Maximum number of jobs that wait at the same time.
    pub waiting: usize,
}

impl QueueLimits {
    /// Maximum number of waiting jobs per slot.
    const WAITING_PER_SLOT: usize = 16;

    /// Returns the limits for a backend server with `slots` slots.
    pub fn for_slots(slots: Slots) -> Self {
        Self {
            slots,
            waiting: slots.get() as usize * Self::WAITING_PER_SLOT,
        }
    }
}

/// Load of a slot queue, as reported to the ingresses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QueueReport {
    /// Number of slots without a job.
    pub free: u32,
    /// Number of running jobs.
    pub running: u32,
    /// Number of waiting jobs.
    pub waiting: u32,
    /// Expected wait of a customer's job that arrives now.
    pub delay: Duration,
    /// Whether the backend server is draining.
    pub draining: bool,
    /// Rate at which the backend server takes requests, if it has named one.
    pub limit: Option<RequestRate>,
}

/// A job that holds a slot.
#[derive(Clone, Debug)]
struct RunningJob {
    charge: FlowCharge,
    internal: bool,
    bulk: bool,
}

/// State machine that grants the slots of one backend server and queues the jobs
/// that wait for them.
#[derive(Clone, Debug)]
pub struct SlotQueue {
    limits: QueueLimits,
    waiting: Vec<Job>,
    running: FastMap<JobId, RunningJob>,
    flows: FlowTable,
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
        match event {
            QueueEvent::Arrive(job) => self.arrive(now, job, &mut actions),
            QueueEvent::Finish(id) => self.finish(now, id),
            QueueEvent::Release(id) => {
                if let Some(pace) = &mut self.pace {
                    pace.refund();
                }
                self.finish(now, id);
            }
            QueueEvent::Cancel(id) => self.waiting.retain(|job| job.id != id),
            QueueEvent::Tick => {}
            QueueEvent::Drain => self.drain(&mut actions),
            QueueEvent::Resume => self.draining = false,
            QueueEvent::Backoff(pause) => self.resume_at = self.resume_at.max(now + pause),
            QueueEvent::Resize(slots) => self.limits = QueueLimits::for_slots(slots),
            QueueEvent::Limit(rate) => self.set_limit(now, rate),
        }
        // A process that was suspended may hold jobs whose callers gave up long
        // ago, so deadlines are checked before each dispatch and not only when
        // a timer fires.
        self.expire(now, &mut actions);
        self.dispatch(now, &mut actions);
        self.trim(&mut actions);
        actions
    }

    /// Time at which [`QueueEvent::Tick`] is due if no other event comes first.
    pub fn next_tick(&self) -> Option<MonoTime> {
        let run_time = self.min_run_time();
        let deadline = self
            .waiting
            .iter()
            .map(|job| job.deadline - run_time)
            .min()?;
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
        let customers = self.waiting.iter().filter(|job| !job.internal).count();
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
            actions.push(QueueAction::Refuse(job.id, refusal));
            return;
        }
        let (internal, bulk) = (job.internal, job.bulk);
        self.waiting.push(job);
        if !internal {
            self.record_demand(now, bulk);
        }
    }

    /// Refuses waiting jobs until their number is within the limit.
    fn trim(&mut self, actions: &mut Vec<QueueAction>) {
        while self.waiting.len() > self.limits.waiting {
            let job = self.waiting.remove(self.drop_position());
            actions.push(QueueAction::Refuse(job.id, QueueRefusal::Overloaded));
        }
    }

    /// Returns the reason to refuse a job that arrives now, if there is one.
    fn refusal(&self, now: MonoTime, job: &Job) -> Option<QueueRefusal> {
        let is_ahead = |other: &&Job| {
            let same = other.account == job.account && other.internal == job.internal;
            same && other.work_priority >= job.work_priority
        };
        let own_ahead = self.waiting.iter().filter(is_ahead).count() as f64;
        let slots = f64::from(self.limits.slots.get().max(1));
        // Earlier jobs of the same account go first in any case, so this wait is
        // as certain as the mean slot time.
        let own_wait = self.flows.mean_slot_time().mul_f64(own_ahead / slots);
        let run_time = self.min_run_time();
        let classes = SortedClasses::new(&self.waiting);
        let completion = self.expected_wait(job, &classes).mul_f64(REMAINING_SHARE) + run_time;
        match job.deadline {
            _ if self.draining => Some(QueueRefusal::Leaving),
            deadline if deadline <= now => Some(QueueRefusal::Expired),
            deadline if deadline <= self.resume_at => Some(QueueRefusal::Shedding),
            deadline if own_ahead > 0.0 && deadline <= now + own_wait => {
                Some(QueueRefusal::Overloaded)
            }
            deadline if self.is_full() && deadline <= now + completion => {
                Some(QueueRefusal::Overloaded)
            }
            _ => None,
        }
    }

    /// Expected time until `job` gets a slot if no job before it leaves the
    /// queue.
    fn expected_wait(&self, job: &Job, classes: &SortedClasses) -> Duration {
        let turns = classes.count_up_to(job) + usize::from(self.is_full());
        let slots = f64::from(self.limits.slots.get().max(1));
        self.flows.mean_slot_time().mul_f64(turns as f64 / slots)
    }

    /// Expected time until a waiting job ends that will miss its target. All
    /// jobs that can still meet theirs go before it. Zero for a job that can
    /// meet its target.
    fn late_completion(&self, now: MonoTime, job: &Job, classes: &SortedClasses) -> Duration {
        match self.misses_target(now, job) && self.is_full() {
            true => self.expected_wait(job, classes).mul_f64(REMAINING_SHARE) + self.min_run_time(),
            false => Duration::ZERO,
        }
    }

    /// Least slot time that a job needs, judged by the jobs that have ended.
    fn min_run_time(&self) -> Duration {
        self.flows.mean_slot_time().mul_f64(MIN_RUN_SHARE)
    }

    /// Whether a job that starts now would miss its target.
    fn misses_target(&self, now: MonoTime, job: &Job) -> bool {
        now + self.flows.mean_slot_time() > job.target
    }

    /// Whether the newest jobs are served first (adaptive LIFO). This is so while
    /// a waiting job is about to miss its target because no slot is free:
    /// serving the oldest first would make all of them late.
    fn serves_newest_first(&self, now: MonoTime) -> bool {
        let soon = now + self.flows.mean_slot_time() * 2;
        let is_urgent = |job: &&Job| !self.misses_target(now, job) && soon > job.target;
        self.waiting.iter().any(|job| is_urgent(&job))
    }

    /// Index of the job to refuse when the queue is too long. Internal work is
    /// refused before customers' jobs. The job belongs to the account with the
    /// most waiting jobs for its weight, and has the lowest work priority among
    /// the jobs of that account. If several have that priority, it is the latest.
    fn drop_position(&self) -> usize {
        let internal = self.waiting.iter().any(|job| job.internal);
        let mut counts: FastMap<&Option<AccountId>, f64> = FastMap::default();
        for job in self.waiting.iter().filter(|job| job.internal == internal) {
            *counts.entry(&job.account).or_default() += 1.0 / f64::from(job.weight.get().max(1));
        }
        let mut position = self.waiting.len() - 1;
        let mut most = (0.0, Reverse(WorkPriority(u32::MAX)));
        for (index, job) in self.waiting.iter().enumerate() {
            let count = counts.get(&job.account).copied().unwrap_or(0.0);
            let excess = (count, Reverse(job.work_priority));
            if job.internal == internal && excess >= most {
                most = excess;
                position = index;
            }
        }
        position
    }

    /// Releases the slot of a job.
    fn finish(&mut self, now: MonoTime, id: JobId) {
        if let Some(running) = self.running.remove(&id) {
            self.flows.settle(&running.charge, now);
        }
    }

    /// Refuses all waiting jobs, and from now on all that arrive.
    fn drain(&mut self, actions: &mut Vec<QueueAction>) {
        self.draining = true;
        let refuse = |job: Job| QueueAction::Refuse(job.id, QueueRefusal::Leaving);
        actions.extend(self.waiting.drain(..).map(refuse));
    }

    /// Refuses waiting jobs that can no longer end before their deadline.
    fn expire(&mut self, now: MonoTime, actions: &mut Vec<QueueAction>) {
        let run_time = self.min_run_time();
        let classes = SortedClasses::new(&self.waiting);
        let refusal_of = |job: &Job| match job.deadline {
            deadline if deadline <= now => Some(QueueRefusal::Expired),
            deadline if deadline <= now + run_time => Some(QueueRefusal::Overloaded),
            deadline if deadline <= now + self.late_completion(now, job, &classes) => {
                Some(QueueRefusal::Overloaded)
            }
            _ => None,
        };
        let wait = |ahead| self.pace_wait(now, ahead).mul_f64(REMAINING_SHARE);
        let limited = match self.pace {
            Some(_) => late_jobs(&self.waiting, now + run_time, wait),
            None => FastSet::default(),
        };
        let refusals: Vec<Option<QueueRefusal>> = self
            .waiting
            .iter()
            .map(|job| {
                let limited = || limited.contains(&job.id).then_some(QueueRefusal::Limited);
                refusal_of(job).or_else(limited)
            })
            .collect();
        let mut refusals = refusals.into_iter();
        self.waiting.retain(|job| match refusals.next().flatten() {
            Some(refusal) => {
                actions.push(QueueAction::Refuse(job.id, refusal));
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
            let Some((index, start)) = self.next_job(now) else {
                return;
            };
            let job = self.waiting.remove(index);
            let charge = self.flows.charge(&job.account, job.weight, start, now);
            let running = RunningJob {
                charge,
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

    /// Index of the job to run next, and the virtual time at which it starts.
    fn next_job(&mut self, now: MonoTime) -> Option<(usize, f64)> {
        let internal_slots = self.internal_slots(now);
        let bulk_slots = self.bulk_slots(now);
        let newest_first = self.serves_newest_first(now);
        let charges: Vec<&FlowCharge> = self.running.values().map(|item| &item.charge).collect();
        let mut best: Option<JobOrder> = None;
        for (index, job) in self.waiting.iter().enumerate() {
            let held = (job.internal && internal_slots == 0) || (job.bulk && bulk_slots == 0);
            if held {
                continue;
            }
            let start = self.flows.virtual_start(&job.account, &charges, now);
            let order = JobOrder {
                // Jobs that can still meet their target go before the others.
                class: (job.internal, job.rank, self.misses_target(now, job)),
                start,
                work_priority: job.work_priority,
                index,
            };
            if best.is_none_or(|other| order.goes_before(&other, newest_first)) {
                best = Some(order);
            }
        }
        best.map(|order| (order.index, order.start))
    }

    /// Number of internal jobs that may start now.
    ///
    /// A running job can't be stopped, so internal work leaves free as many
    /// slots as nearly all recent customers' arrivals needed. With two or more
    /// slots it leaves at least one free.
    fn internal_slots(&mut self, now: MonoTime) -> u32 {
        let slots = self.limits.slots.get();
        let reserve = self
            .customer_arrivals
            .slots_needed(now)
            .max(u32::from(slots > 1));
        let internal = self.running.values().filter(|item| item.internal).count() as u32;
        slots.saturating_sub(reserve).saturating_sub(internal)
    }

    /// Number of bulk transfers that may start now.
    ///
    /// They may take all slots if no customer's short job arrived recently. If
    /// there were some, the slots that these need are reserved for them: at
    /// least one third and at most two thirds of all. A single slot is never
    /// reserved.
    fn bulk_slots(&mut self, now: MonoTime) -> u32 {
        let slots = self.limits.slots.get();
        let third = slots.div_ceil(3).min(slots - 1);
        let two_thirds = (slots * 2 / 3).max(third);
        let reserve = match self.short_arrivals.slots_needed(now) {
            0 => 0,
            needed => needed.clamp(third, two_thirds),
        };
        let bulk = self.running.values().filter(|item| item.bulk).count() as u32;
        slots.saturating_sub(reserve).saturating_sub(bulk)
    }

    /// Records the number of customers' jobs in the queue, of which one has just
    /// arrived.
    fn record_demand(&mut self, now: MonoTime, bulk: bool) {
        let running = self.running.values().map(|item| (item.internal, item.bulk));
        let waiting = self.waiting.iter().map(|job| (job.internal, job.bulk));
        let customers = running.chain(waiting).filter(|(internal, _)| !internal);
        let (all, short) = customers.fold((0, 0), |(all, short), (_, bulk)| {
            (all + 1, short + usize::from(!bulk))
        });
        self.customer_arrivals.record(now, all);
        if !bulk {
            self.short_arrivals.record(now, short);
        }
    }
}
