//! Detection of replayed frames.

use std::collections::VecDeque;

use ids::{FastMap, VmId};

/// Number of latest frames of a sender that are accepted out of order.
const WINDOW_FRAMES: u64 = 64;

/// Sliding window over the sequence numbers of one sender.
#[derive(Clone, Copy, Debug)]
struct ReplayWindow {
    incarnation: u32,
    highest: u64,
    /// Bitmap of the received frames; bit `n` stands for frame `highest - n`.
    seen: u64,
}

/// Maximum number of earlier incarnations that are remembered for each sender.
const MAX_EARLIER_INCARNATIONS: usize = 16;

/// Detects frames that were received before, for each sender.
///
/// The sequence numbers restart with each incarnation of a sender. Incarnations
/// have random numbers and no order, since the time of day may jump back
/// between two of them. The guard remembers the latest earlier incarnations and
/// drops their frames.
#[derive(Clone, Debug, Default)]
pub struct ReplayGuard {
    senders: FastMap<VmId, ReplayWindow>,
    earlier: FastMap<VmId, VecDeque<u32>>,
}

impl ReplayGuard {
    /// Records a frame and returns whether it is new.
    pub fn accept(&mut self, from: &VmId, incarnation: u32, number: u64) -> bool {
        let Some(window) = self.senders.get_mut(from) else {
            let window = ReplayWindow {
                incarnation,
                highest: number,
                seen: 1,
            };
            self.senders.insert(from.clone(), window);
            return true;
        };
        if incarnation == window.incarnation {
            return window.accept(number);
        }
        let earlier = self.earlier.entry(from.clone()).or_default();
        if earlier.contains(&incarnation) {
            return false;
        }
        earlier.push_back(window.incarnation);
        if earlier.len() > MAX_EARLIER_INCARNATIONS {
            earlier.pop_front();
        }
        *window = ReplayWindow {
            incarnation,
            highest: number,
            seen: 1,
        };
        true
    }

    /// Removes the senders for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&VmId) -> bool) {
        self.senders.retain(|vm, _| keep(vm));
        self.earlier.retain(|vm, _| keep(vm));
    }
}

impl ReplayWindow {
    /// Records a sequence number of the current incarnation and returns whether
    /// it is new.
    fn accept(&mut self, number: u64) -> bool {
        if number > self.highest {
            let step = number - self.highest;
            self.seen = self
                .seen
                .checked_shl(step.min(WINDOW_FRAMES) as u32)
                .unwrap_or(0)
                | 1;
            self.highest = number;
            return true;
        }
        let age = self.highest - number;
        let bit = match age {
            age if age < WINDOW_FRAMES => 1 << age,
            _ => return false,
        };
        let new = self.seen & bit == 0;
        self.seen |= bit;
        new
    }
}
