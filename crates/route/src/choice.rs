//! Choice of a backend server by the power of two choices: of two random
//! candidates, the one with the shorter expected delay is taken.

use std::time::Duration;

use ids::Percent;

/// Network distance to the VM of a backend server.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// The VM is that of this daemon.
    Local,
    /// The VM is in the same availability zone.
    Zone,
    /// The VM is in another availability zone of the same region.
    Region,
    /// The VM is in another region.
    Remote,
}

impl Distance {
    /// Round-trip time that is assumed for the distance.
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
    /// Number of its slots.
    pub slots: u32,
    /// Number of jobs running there, as last reported.
    pub running: u32,
    /// Expected wait for a slot, as last reported.
    pub delay: Duration,
    /// Number of this daemon's requests sent there and not answered yet.
    pub in_flight: u32,
    /// Expected slot time of a request there.
    pub service_time: Duration,
    /// Distance to its VM.
    pub distance: Distance,
    /// Share of its usual traffic that it may get, from 0 to 1, by its health and
    /// slow start. At 0 it is ejected.
    pub weight: f64,
}

impl Candidate {
    /// Whether it is in the availability zone of this daemon.
    fn is_same_zone(&self) -> bool {
        matches!(self.distance, Distance::Local | Distance::Zone)
    }
}

/// Expected time that a request to the candidate waits for a slot and travels,
/// divided by the weight of the candidate.
///
/// The load is the larger of the reported number of running jobs and this
/// daemon's own requests in flight, because the report may be older than some of
/// these requests.
pub fn expected_delay(candidate: &Candidate) -> Duration {
    let slots = candidate.slots.max(1);
    let load = candidate.running.max(candidate.in_flight);
    let ahead = (load + 1).saturating_sub(slots);
    let queue_wait = candidate.service_time * ahead / slots;
    let busy = candidate
        .service_time
        .mul_f64(0.1 * f64::from(load) / f64::from(slots));
    let wait = queue_wait.max(candidate.delay) + busy + candidate.distance.round_trip();
    wait.div_f64(candidate.weight.clamp(0.01, 1.0))
}

/// Returns the index of the better of two random candidates, or `None` if no
/// candidate has a weight above 0.
///
/// `random` holds two independent random numbers. Candidates are drawn with a
/// probability proportional to their weight, so that a backend server in slow
/// start gets its share and no more. The first candidate is drawn from the
/// availability zone of this daemon, if there are any, because traffic between
/// zones costs money. The second is drawn from all zones, and so shows when this
/// zone is short of slots. `zone_penalty` is the delay that a candidate in
/// another zone must save to be preferred.
pub fn choose_server(
    candidates: &[Candidate],
    random: [u64; 2],
    zone_penalty: Duration,
) -> Option<usize> {
    let total: f64 = candidates.iter().map(|item| item.weight).sum();
    let same_zone: Vec<Candidate> = candidates.iter().map(same_zone_only).collect();
    let same_zone_total = same_zone.iter().map(|item| item.weight).sum();
    let first = match same_zone_total > 0.0 {
        true => draw(&same_zone, same_zone_total, random[0])?,
        false => draw(candidates, total, random[0])?,
    };
    let rest = total - candidates[first].weight;
    let second = match rest {
        rest if rest <= 0.0 => return Some(first),
        rest => draw_except(candidates, rest, random[1], first)?,
    };
    let cost = |index: usize| {
        let extra = if candidates[index].is_same_zone() {
            Duration::ZERO
        } else {
            zone_penalty
        };
        expected_delay(&candidates[index]) + extra
    };
    let pair = [first, second].map(cost);
    match pair[0] <= pair[1] {
        true => Some(first),
        false => Some(second),
    }
}

/// Weight of an ejected candidate that is returned to rotation because of the
/// floor.
const RESTORED_WEIGHT: f64 = 0.5;

/// Returns all ejected candidates to rotation if fewer than the share `floor` of
/// the pool is left.
///
/// `pool` is the number of servers in the pool. `candidates` are those of them
/// that their own egress does not report as failing. The ejections by this
/// daemon come on top of the failing servers, and both together may leave less
/// than the floor.
pub fn keep_floor(candidates: &mut [Candidate], pool: usize, floor: Percent) {
    let left = candidates.iter().filter(|item| item.weight > 0.0).count();
    if left as f64 >= pool as f64 * floor.fraction() {
        return;
    }
    for candidate in candidates.iter_mut().filter(|item| item.weight <= 0.0) {
        candidate.weight = RESTORED_WEIGHT;
    }
}

/// Returns the candidate, with a weight of 0 if it is in another zone.
fn same_zone_only(candidate: &Candidate) -> Candidate {
    Candidate {
        weight: if candidate.is_same_zone() {
            candidate.weight
        } else {
            0.0
        },
        ..*candidate
    }
}

/// Draws an index with a probability proportional to the weight.
fn draw(candidates: &[Candidate], total: f64, random: u64) -> Option<usize> {
    draw_except(candidates, total, random, usize::MAX)
}

/// Draws the index of a candidate other than `skip`, with a probability
/// proportional to its weight. `total` is the sum of the weights without that of
/// `skip`.
fn draw_except(candidates: &[Candidate], total: f64, random: u64, skip: usize) -> Option<usize> {
    let mut left = total * (random as f64 / u64::MAX as f64);
    let mut last = None;
    for (index, candidate) in candidates.iter().enumerate() {
        if index == skip || candidate.weight <= 0.0 {
            continue;
        }
        last = Some(index);
        left -= candidate.weight;
        if left <= 0.0 {
            break;
        }
    }
    last
}
