//! Power of two choices over expected delay.

use std::time::Duration;

use ids::Percent;

/// How far a backend server's VM is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// The same VM.
    Local,
    /// The same availability zone.
    Zone,
    /// The same region.
    Region,
    /// Another region.
    Remote,
}

impl Distance {
    /// Round trip that is assumed for the distance.
    fn round_trip(self) -> Duration {
        match self {
            Self::Local => Duration::ZERO,
            Self::Zone => Duration::from_micros(200),
            Self::Region => Duration::from_micros(1_500),
            Self::Remote => Duration::from_millis(30),
        }
    }
}

/// A backend server to choose from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Slots of the backend server.
    pub slots: u32,
    /// Jobs running there, as last reported.
    pub running: u32,
    /// Wait for a slot, as last reported.
    pub delay: Duration,
    /// Own requests sent there and not answered.
    pub in_flight: u32,
    /// Slot time of a request there.
    pub service_time: Duration,
    /// Distance of its VM.
    pub distance: Distance,
    /// Share of traffic it may take, 0 to 1: health and slow start.
    pub weight: f64,
}

impl Candidate {
    /// Whether it is in the own availability zone.
    fn is_near(&self) -> bool {
        matches!(self.distance, Distance::Local | Distance::Zone)
    }
}

/// Time that a request sent to the candidate would wait and travel.
///
/// Own requests in flight count beside the report, which may be older than
/// them: the larger of the two is the load.
pub fn expected_delay(candidate: &Candidate) -> Duration {
    let slots = candidate.slots.max(1);
    let load = candidate.running.max(candidate.in_flight);
    let ahead = (load + 1).saturating_sub(slots);
    let queued = candidate.service_time * ahead / slots;
    let busy = candidate
        .service_time
        .mul_f64(0.1 * f64::from(load) / f64::from(slots));
    let wait = queued.max(candidate.delay) + busy + candidate.distance.round_trip();
    wait.div_f64(candidate.weight.clamp(0.01, 1.0))
}

/// Place of the better of two random candidates; `None` if none has weight.
///
/// `random` are two independent random numbers. A candidate of a lower weight
/// is drawn as much less often, so that a cold one gets its share and no more.
/// The first is drawn among those in the own availability zone, if there are
/// any: bytes between zones cost, and the second one shows when that zone is
/// short of room. `far` is the delay that another zone must save.
pub fn choose_server(candidates: &[Candidate], random: [u64; 2], far: Duration) -> Option<usize> {
    let total: f64 = candidates.iter().map(|item| item.weight).sum();
    let near: Vec<Candidate> = candidates.iter().map(near_only).collect();
    let near_total = near.iter().map(|item| item.weight).sum();
    let first = match near_total > 0.0 {
        true => draw(&near, near_total, random[0])?,
        false => draw(candidates, total, random[0])?,
    };
    let rest = total - candidates[first].weight;
    let second = match rest {
        rest if rest <= 0.0 => return Some(first),
        rest => draw_other(candidates, rest, random[1], first)?,
    };
    let cost = |place: usize| {
        let extra = if candidates[place].is_near() {
            Duration::ZERO
        } else {
            far
        };
        expected_delay(&candidates[place]) + extra
    };
    let pair = [first, second].map(cost);
    match pair[0] <= pair[1] {
        true => Some(first),
        false => Some(second),
    }
}

/// Weight at which a candidate that was ejected is put back for the floor.
const FLOOR_WEIGHT: f64 = 0.5;

/// Puts ejected candidates back where too few are left in rotation.
///
/// `pool` is the number of servers of the pool, of which `candidates` are those
/// that are not taken for failing by their own egress. An ejection by this
/// daemon, added to those, may leave less than the floor.
pub fn keep_floor(candidates: &mut [Candidate], pool: usize, floor: Percent) {
    let left = candidates.iter().filter(|item| item.weight > 0.0).count();
    if left as f64 >= pool as f64 * floor.fraction() {
        return;
    }
    for candidate in candidates.iter_mut().filter(|item| item.weight <= 0.0) {
        candidate.weight = FLOOR_WEIGHT;
    }
}

/// The candidate, without weight if it is in another zone.
fn near_only(candidate: &Candidate) -> Candidate {
    Candidate {
        weight: if candidate.is_near() {
            candidate.weight
        } else {
            0.0
        },
        ..*candidate
    }
}

/// Draws by weight.
fn draw(candidates: &[Candidate], total: f64, random: u64) -> Option<usize> {
    draw_other(candidates, total, random, usize::MAX)
}

/// Draws by weight among all but `skip`, whose weights add up to `total`.
fn draw_other(candidates: &[Candidate], total: f64, random: u64, skip: usize) -> Option<usize> {
    let mut left = total * (random as f64 / u64::MAX as f64);
    let mut last = None;
    for (place, candidate) in candidates.iter().enumerate() {
        if place == skip || candidate.weight <= 0.0 {
            continue;
        }
        last = Some(place);
        left -= candidate.weight;
        if left <= 0.0 {
            break;
        }
    }
    last
}
