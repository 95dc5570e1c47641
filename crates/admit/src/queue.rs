//! The queue itself.

use std::{cmp::Reverse, time::Duration};

use ids::{AccountId, FastMap, Lot, MonoTime, Slots};

use crate::{
    demand::ArrivalWindow,
    flow::{FlowCharge, FlowTable},
    job::{Job, JobId, QueueAction, QueueEvent, QueueRefusal},
    order::{ClassCounts, JobPlace},
};

/// Time after which jobs held back by a reserve are looked at again.
const HELD_RETRY: Duration = Duration::from_millis(500);

/// Share of the jobs ahead that will still be there when their turn comes:
/// most have an offer at a second server as well.
const STAYING_SHARE: f64 = 0.6;
/// Share of the mean slot time that a job needs at least; one that has less
/// time left would run in vain.
const SHORT_JOB: f64 = 0.4;

/// Limits of a queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueLimits {
    /// Jobs that run at a time.
    pub slots: Slots,
    /// Jobs that wait at a time.
    pub waiting: usize,
}

impl QueueLimits {
    /// Waiting jobs for each slot.
    const WAITING_PER_SLOT: usize = 16;

    /// Limits for a backend server with that many slots.
    pub fn for_slots(slots: Slots) -> Self {
        Self {
            slots,
            waiting: slots.get() as usize * Self::WAITING_PER_SLOT,
        }
    }
}

/// Load of a queue, as reported to ingresses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QueueReport {
    /// Slots without a job.
    pub free: u32,
    /// Jobs that run.
    pub running: u32,
    /// Jobs that wait.
    pub waiting: u32,
    /// Expected wait of a customer's job that came now.
    pub delay: Duration,
    /// Whether the backend server is leaving.
    pub draining: bool,
}

/// A dispatched job.
#[derive(Clone, Debug)]
struct Running {
    charge: FlowCharge,
    internal: bool,
    bulk: bool,
}

/// Slot and queue authority of one backend server.
#[derive(Clone, Debug)]
pub struct SlotQueue {
    limits: QueueLimits,
    waiting: Vec<Job>,
    running: FastMap<JobId, Running>,
    flows: FlowTable,
    /// Customers' running and waiting jobs that customers' arrivals met.
    customers: ArrivalWindow,
    /// Of these, the ones that are not bulk, as short ones met them.
    lookups: ArrivalWindow,
    draining: bool,
    /// No dispatch before this time.
    resume_at: MonoTime,
    /// Time of the latest event.
    now: MonoTime,
}

impl SlotQueue {
    /// An empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            waiting: Vec::new(),
            running: FastMap::default(),
            flows: FlowTable::default(),
            customers: ArrivalWindow::default(),
            lookups: ArrivalWindow::default(),
            draining: false,
            resume_at: MonoTime::ZERO,
            now: MonoTime::ZERO,
        }
    }

    /// Takes an event at `now` and returns what to do, in order.
    pub fn handle(&mut self, now: MonoTime, event: QueueEvent) -> Vec<QueueAction> {
        let mut actions = Vec::new();
        self.now = self.now.max(now);
        match event {
            QueueEvent::Arrive(job) => self.arrive(now, job, &mut actions),
            QueueEvent::Finish(id) => self.finish(now, id),
            QueueEvent::Cancel(id) => self.waiting.retain(|job| job.id != id),
            QueueEvent::Tick => {}
            QueueEvent::Drain => self.drain(&mut actions),
            QueueEvent::Resume => self.draining = false,
            QueueEvent::Backoff(pause) => self.resume_at = self.resume_at.max(now + pause),
            QueueEvent::Resize(slots) => self.limits = QueueLimits::for_slots(slots),
        }
        // A process that slept may hold jobs whose callers are long gone, so
        // deadlines are checked before each dispatch and not by timer alone.
        self.expire(now, &mut actions);
        self.dispatch(now, &mut actions);
        self.trim(&mut actions);
        actions
    }

    /// When [`QueueEvent::Tick`] is due, if nothing happens before.
    pub fn next_tick(&self) -> Option<MonoTime> {
        let needed = self.least_time();
        let deadline = self.waiting.iter().map(|job| job.deadline - needed).min()?;
        match self.resume_at {
            resume if resume > self.now => Some(deadline.min(resume)),
            // Jobs that wait beside a free slot are held back by a reserve,
            // which shrinks with time.
            _ if !self.is_full() => Some(deadline.min(self.now + HELD_RETRY)),
            _ => Some(deadline),
        }
    }

    /// Load at `now`.
    pub fn report(&self, now: MonoTime) -> QueueReport {
        let running = self.running.len() as u32;
        let customers = self.waiting.iter().filter(|job| !job.internal).count();
        let turns = (customers + usize::from(self.is_full())) as f64;
        let slots = f64::from(self.limits.slots.get().max(1));
        let queued = self.flows.mean_time().mul_f64(turns / slots);
        QueueReport {
            free: self.limits.slots.get().saturating_sub(running),
            running,
            waiting: self.waiting.len() as u32,
            delay: queued.max(self.resume_at.since(now)),
            draining: self.draining,
        }
    }

    /// Whether the job holds a slot.
    pub fn is_running(&self, id: JobId) -> bool {
        self.running.contains_key(&id)
    }

    /// Whether nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Whether every slot is taken.
    fn is_full(&self) -> bool {
        self.running.len() >= self.limits.slots.get() as usize
    }

    /// Takes in a job or refuses it.
    fn arrive(&mut self, now: MonoTime, job: Job, actions: &mut Vec<QueueAction>) {
        if let Some(refusal) = self.refusal(now, &job) {
            actions.push(QueueAction::Refuse(job.id, refusal));
            return;
        }
        let (internal, bulk) = (job.internal, job.bulk);
        self.waiting.push(job);
        if !internal {
            self.note_demand(now, bulk);
        }
    }

    /// Refuses what is too much to wait.
    fn trim(&mut self, actions: &mut Vec<QueueAction>) {
        while self.waiting.len() > self.limits.waiting {
            let job = self.waiting.remove(self.longest_tail());
            actions.push(QueueAction::Refuse(job.id, QueueRefusal::Overloaded));
        }
    }

    /// Why a job that comes now would be refused at once.
    fn refusal(&self, now: MonoTime, job: &Job) -> Option<QueueRefusal> {
        let ahead = |other: &&Job| {
            let same = other.account == job.account && other.internal == job.internal;
            same && other.lot >= job.lot
        };
        let own = self.waiting.iter().filter(ahead).count() as f64;
        let slots = f64::from(self.limits.slots.get().max(1));
        // Jobs of the same account go first in any case, so this wait is sure
        // as far as the slot time is known.
        let wait = self.flows.mean_time().mul_f64(own / slots);
        let needed = self.least_time();
        let ahead_of_all = self
            .wait_of(job, &ClassCounts::new(&self.waiting))
            .mul_f64(STAYING_SHARE)
            + needed;
        match job.deadline {
            _ if self.draining => Some(QueueRefusal::Leaving),
            deadline if deadline <= now => Some(QueueRefusal::Expired),
            deadline if deadline <= self.resume_at => Some(QueueRefusal::Shedding),
            deadline if own > 0.0 && deadline <= now + wait => Some(QueueRefusal::Overloaded),
            deadline if self.is_full() && deadline <= now + ahead_of_all => {
                Some(QueueRefusal::Overloaded)
            }
            _ => None,
        }
    }

    /// Time until a job that came now would have a slot, if all that goes
    /// before it stays.
    fn wait_of(&self, job: &Job, counts: &ClassCounts) -> Duration {
        let turns = counts.up_to(job) + usize::from(self.is_full());
        let slots = f64::from(self.limits.slots.get().max(1));
        self.flows.mean_time().mul_f64(turns as f64 / slots)
    }

    /// Time until a waiting job that has missed its target would end: all that
    /// can still make theirs go before it. Zero for the others.
    fn late_wait(&self, now: MonoTime, job: &Job, counts: &ClassCounts) -> Duration {
        match self.is_late(now, job) && self.is_full() {
            true => self.wait_of(job, counts).mul_f64(STAYING_SHARE) + self.least_time(),
            false => Duration::ZERO,
        }
    }

    /// Time that a job needs at least, by those before it.
    fn least_time(&self) -> Duration {
        self.flows.mean_time().mul_f64(SHORT_JOB)
    }

    /// Whether a job that starts now would miss its target.
    fn is_late(&self, now: MonoTime, job: &Job) -> bool {
        now + self.flows.mean_time() > job.target
    }

    /// Whether jobs are about to miss their target for want of slots. Those
    /// that came last are served first then: serving the oldest would make all
    /// of them late.
    fn is_pressed(&self, now: MonoTime) -> bool {
        let soon = now + self.flows.mean_time() * 2;
        let pressed = |job: &&Job| !self.is_late(now, job) && soon > job.target;
        self.waiting.iter().any(|job| pressed(&job))
    }

    /// Place of the job to give up when the queue is too long: the lowest lot,
    /// then the latest, of the account with most waiting for its weight,
    /// internal work first.
    fn longest_tail(&self) -> usize {
        let internal = self.waiting.iter().any(|job| job.internal);
        let mut counts: FastMap<&Option<AccountId>, f64> = FastMap::default();
        for job in self.waiting.iter().filter(|job| job.internal == internal) {
            *counts.entry(&job.account).or_default() += 1.0 / f64::from(job.weight.get().max(1));
        }
        let mut tail = self.waiting.len() - 1;
        let mut most = (0.0, Reverse(Lot(u32::MAX)));
        for (place, job) in self.waiting.iter().enumerate() {
            let count = counts.get(&job.account).copied().unwrap_or(0.0);
            let burden = (count, Reverse(job.lot));
            if job.internal == internal && burden >= most {
                most = burden;
                tail = place;
            }
        }
        tail
    }

    /// Frees the slot of a job.
    fn finish(&mut self, now: MonoTime, id: JobId) {
        if let Some(running) = self.running.remove(&id) {
            self.flows.settle(&running.charge, now);
        }
    }

    /// Refuses all that waits, and all that comes.
    fn drain(&mut self, actions: &mut Vec<QueueAction>) {
        self.draining = true;
        let refuse = |job: Job| QueueAction::Refuse(job.id, QueueRefusal::Leaving);
        actions.extend(self.waiting.drain(..).map(refuse));
    }

    /// Refuses waiting jobs that can't end before their deadline any more.
    fn expire(&mut self, now: MonoTime, actions: &mut Vec<QueueAction>) {
        let needed = self.least_time();
        let counts = ClassCounts::new(&self.waiting);
        let verdict = |job: &Job| match job.deadline {
            deadline if deadline <= now => Some(QueueRefusal::Expired),
            deadline if deadline <= now + needed => Some(QueueRefusal::Overloaded),
            deadline if deadline <= now + self.late_wait(now, job, &counts) => {
                Some(QueueRefusal::Overloaded)
            }
            _ => None,
        };
        let refused: Vec<Option<QueueRefusal>> = self.waiting.iter().map(verdict).collect();
        let mut verdicts = refused.into_iter();
        self.waiting.retain(|job| match verdicts.next().flatten() {
            Some(refusal) => {
                actions.push(QueueAction::Refuse(job.id, refusal));
                false
            }
            None => true,
        });
    }

    /// Fills the free slots.
    fn dispatch(&mut self, now: MonoTime, actions: &mut Vec<QueueAction>) {
        if self.draining || now < self.resume_at {
            return;
        }
        while !self.is_full() {
            let Some((place, start)) = self.next_job(now) else {
                return;
            };
            let job = self.waiting.remove(place);
            let charge = self.flows.charge(&job.account, job.weight, start, now);
            let running = Running {
                charge,
                internal: job.internal,
                bulk: job.bulk,
            };
            self.running.insert(job.id, running);
            actions.push(QueueAction::Dispatch(job.id));
        }
    }

    /// Place of the job to run next, with its virtual start time.
    fn next_job(&mut self, now: MonoTime) -> Option<(usize, f64)> {
        let internal_room = self.internal_room(now);
        let bulk_room = self.bulk_room(now);
        let pressed = self.is_pressed(now);
        let charges: Vec<&FlowCharge> = self.running.values().map(|item| &item.charge).collect();
        let mut best: Option<JobPlace> = None;
        for (place, job) in self.waiting.iter().enumerate() {
            let held = (job.internal && internal_room == 0) || (job.bulk && bulk_room == 0);
            if held {
                continue;
            }
            let start = self.flows.start_time(&job.account, &charges, now);
            let found = JobPlace {
                // What can still make its target goes before what is late.
                class: (job.internal, job.rank, self.is_late(now, job)),
                start,
                lot: job.lot,
                place,
            };
            if best.is_none_or(|other| found.goes_before(&other, pressed)) {
                best = Some(found);
            }
        }
        best.map(|found| (found.place, found.start))
    }

    /// Internal jobs that may start now.
    ///
    /// A running job can't be stopped, so internal work stays out of as many
    /// slots as nearly all customers' arrivals needed lately, and out of one
    /// in any case.
    fn internal_room(&mut self, now: MonoTime) -> u32 {
        let slots = self.limits.slots.get();
        let reserve = self.customers.slots_needed(now).max(u32::from(slots > 1));
        let internal = self.running.values().filter(|item| item.internal).count() as u32;
        slots.saturating_sub(reserve).saturating_sub(internal)
    }

    /// Long transfers that may start now: all slots when there are no short
    /// requests beside them, else what these leave, between one and two
    /// thirds.
    fn bulk_room(&mut self, now: MonoTime) -> u32 {
        let slots = self.limits.slots.get();
        let third = slots.div_ceil(3).min(slots - 1);
        let most = (slots * 2 / 3).max(third);
        let reserve = match self.lookups.slots_needed(now) {
            0 => 0,
            needed => needed.clamp(third, most),
        };
        let bulk = self.running.values().filter(|item| item.bulk).count() as u32;
        slots.saturating_sub(reserve).saturating_sub(bulk)
    }

    /// Notes how many jobs customers have here, when one has just come.
    fn note_demand(&mut self, now: MonoTime, bulk: bool) {
        let running = self.running.values().map(|item| (item.internal, item.bulk));
        let waiting = self.waiting.iter().map(|job| (job.internal, job.bulk));
        let customers = running.chain(waiting).filter(|(internal, _)| !internal);
        let (all, short) = customers.fold((0, 0), |(all, short), (_, bulk)| {
            (all + 1, short + usize::from(!bulk))
        });
        self.customers.note(now, all);
        if !bulk {
            self.lookups.note(now, short);
        }
    }
}
