//! Drops frames that were seen before.

use std::collections::VecDeque;

use ids::{FastMap, VmId};

/// Frames that may overtake each other.
const WINDOW: u64 = 64;

/// Frames seen of one sender.
#[derive(Clone, Copy, Debug)]
struct SenderWindow {
    incarnation: u64,
    highest: u64,
    /// Bit `n` stands for frame `highest - n`.
    seen: u64,
}

/// Lives of a sender that are remembered after the present one.
const EARLIER_LIVES: usize = 16;

/// Remembers which frames came, by sender.
///
/// A sender numbers its frames from its start, and its lives at random: the
/// time of day may jump back between two of them. Frames of the latest
/// earlier lives are known and dropped.
#[derive(Clone, Debug, Default)]
pub struct ReplayGuard {
    senders: FastMap<VmId, SenderWindow>,
    earlier: FastMap<VmId, VecDeque<u64>>,
}

impl ReplayGuard {
    /// Whether a frame is new; it is not the next time.
    pub fn accept(&mut self, from: &VmId, incarnation: u64, number: u64) -> bool {
        let Some(window) = self.senders.get_mut(from) else {
            let window = SenderWindow {
                incarnation,
                highest: number,
                seen: 1,
            };
            self.senders.insert(from.clone(), window);
            return true;
        };
        if incarnation == window.incarnation {
            return window.take(number);
        }
        let earlier = self.earlier.entry(from.clone()).or_default();
        if earlier.contains(&incarnation) {
            return false;
        }
        earlier.push_back(window.incarnation);
        if earlier.len() > EARLIER_LIVES {
            earlier.pop_front();
        }
        *window = SenderWindow {
            incarnation,
            highest: number,
            seen: 1,
        };
        true
    }

    /// Forgets senders that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&VmId) -> bool) {
        self.senders.retain(|vm, _| keep(vm));
        self.earlier.retain(|vm, _| keep(vm));
    }
}

impl SenderWindow {
    /// Takes a number of the present life.
    fn take(&mut self, number: u64) -> bool {
        if number > self.highest {
            let step = number - self.highest;
            self.seen = self.seen.checked_shl(step.min(WINDOW) as u32).unwrap_or(0) | 1;
            self.highest = number;
            return true;
        }
        let age = self.highest - number;
        let bit = match age {
            age if age < WINDOW => 1 << age,
            _ => return false,
        };
        let new = self.seen & bit == 0;
        self.seen |= bit;
        new
    }
}
