//! Choice of a backend server by the power of two choices: of two random
//! candidates in the zone and one in another, the one with the shortest expected
//! delay is taken, where distance counts as delay.

use std::time::Duration;

use ids::Percent;

use crate::rejection::rejection_delay;

/// Longest time of a report that is believed. It keeps sums of times finite whatever
/// a peer reports.
const MAX_REPORTED_TIME: Duration = Duration::from_secs(3_600);

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
    /// How much more than usual in its pool it rejects requests, from 0 to 1.
    pub rejected: f64,
}

impl Candidate {
    /// Whether it is in the availability zone of this daemon.
    pub fn is_same_zone(&self) -> bool {
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
    let ahead = load.saturating_add(1).saturating_sub(slots);
    let service_time = candidate.service_time.min(MAX_REPORTED_TIME);
    let delay = candidate.delay.min(MAX_REPORTED_TIME);
    let queue_wait = service_time * ahead / slots;
    let busy = service_time.mul_f64(0.1 * f64::from(load) / f64::from(slots));
    let wait = queue_wait.max(delay) + busy + candidate.distance.round_trip();
    wait.div_f64(candidate.weight.clamp(0.01, 1.0))
}

/// Least share of its usual draws that a candidate keeps which rejects everything.
const MIN_ACCEPTED: f64 = 0.02;

/// Returns the index of the best of at most three random candidates, or `None` if
/// no candidate has a weight above 0.
///
/// `random` holds independent random numbers. Candidates are drawn with a
/// probability proportional to their weight, so that a backend server in slow
/// start gets its share and no more. Two are drawn from the availability zone of
/// this daemon, if there are any, because traffic between zones costs money. The
/// third is drawn from the other zones, and so shows when this zone is short of
/// slots. `zone_penalty` is the delay that a candidate in another zone must save
/// to be preferred.
pub fn choose_server(
    candidates: &[Candidate],
    random: [u64; 3],
    zone_penalty: Duration,
) -> Option<usize> {
    let is_near = |item: &Candidate| item.is_same_zone();
    let is_far = |item: &Candidate| !item.is_same_zone();
    let near = draw_pair(candidates, is_near, [random[0], random[1]]);
    let far = match near[0] {
        Some(_) => [draw_among(candidates, is_far, random[2], None), None],
        None => draw_pair(candidates, is_far, [random[0], random[1]]),
    };
    let cost = |index: &usize| {
        let extra = match candidates[*index].is_same_zone() {
            true => Duration::ZERO,
            false => zone_penalty,
        };
        let rejected = rejection_delay(candidates[*index].rejected);
        expected_delay(&candidates[*index]) + rejected + extra
    };
    // The first of equals is taken, which is one in this zone.
    near.into_iter().chain(far).flatten().min_by_key(cost)
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

/// Draws the indexes of two different candidates for which `is_eligible` holds.
fn draw_pair(
    candidates: &[Candidate],
    is_eligible: impl Fn(&Candidate) -> bool,
    random: [u64; 2],
) -> [Option<usize>; 2] {
    let first = draw_among(candidates, &is_eligible, random[0], None);
    let second = first.and_then(|_| draw_among(candidates, &is_eligible, random[1], first));
    [first, second]
}

/// Draws the index of a candidate other than `skip` for which `is_eligible` holds,
/// with a probability proportional to its weight.
fn draw_among(
    candidates: &[Candidate],
    is_eligible: impl Fn(&Candidate) -> bool,
    random: u64,
    skip: Option<usize>,
) -> Option<usize> {
    let weight = |(index, item): (usize, &Candidate)| match Some(index) != skip {
        true if is_eligible(item) => item.weight.max(0.0) * (1.0 - item.rejected).max(MIN_ACCEPTED),
        _ => 0.0,
    };
    let total: f64 = candidates.iter().enumerate().map(weight).sum();
    let mut left = total * (random as f64 / u64::MAX as f64);
    let mut last = None;
    for entry in candidates.iter().enumerate() {
        let index = entry.0;
        let weight = weight(entry);
        if weight <= 0.0 {
            continue;
        }
        last = Some(index);
        left -= weight;
        if left <= 0.0 {
            break;
        }
    }
    last
}
