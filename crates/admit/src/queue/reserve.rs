//! Slots that are kept free for customers' requests and for short ones.

use ids::MonoTime;

use super::SlotQueue;

impl SlotQueue {
    /// Number of internal jobs that may start now.
    ///
    /// A running job can't be stopped, so internal work leaves free as many
    /// slots as nearly all recent customers' arrivals needed. With two or more
    /// slots it leaves at least one free.
    pub(super) fn internal_slots(&mut self, now: MonoTime) -> u32 {
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
    pub(super) fn bulk_slots(&mut self, now: MonoTime) -> u32 {
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
    pub(super) fn record_demand(&mut self, now: MonoTime, bulk: bool) {
        let running = self.running.values().map(|item| (item.internal, item.bulk));
        let jobs = self.waiting.iter().map(|queued| &queued.job);
        let waiting = jobs.map(|job| (job.internal, job.bulk));
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
