//! Comparison of the shares of requests that the servers of a pool reject.
//!
//! Only a server that rejects much more than its peers is avoided. If the whole pool
//! rejects, all servers stay in use, since no other would do better.

use std::time::Duration;

use ids::Percent;

/// Age up to which a reported share is used in full. Egresses of servers that reject
/// most requests repeat it within this time.
const FULL_AGE: Duration = Duration::from_millis(2_500);
/// Time constant with which it is forgotten after that, so that the server is tried
/// again.
const FORGET_TIME: Duration = Duration::from_secs(1);
/// Excess over the reference that is attributed to chance. A share is measured over
/// about ten requests.
const TOLERANCE: f64 = 0.15;
/// Excess from which a server is used only if there is no other.
const AVOIDED_EXCESS: f64 = 0.5;
/// Delay that a candidate may have if that avoids a certain rejection. It is more than
/// the largest penalty of another zone, so that a zone whose servers all reject is left.
const REJECTION_COST: Duration = Duration::from_millis(500);

/// Returns what is left of a reported share at the given age.
pub fn aged_rejections(share: Percent, age: Duration) -> f64 {
    let over = age.saturating_sub(FULL_AGE).as_secs_f64();
    share.fraction().min(1.0) * (-over / FORGET_TIME.as_secs_f64()).exp()
}

/// Share of rejections that counts as usual in a pool: the lower quartile of its
/// servers. Servers of which nothing is known have the share 0.
pub fn usual_rejections(mut shares: Vec<f64>) -> f64 {
    shares.sort_unstable_by(f64::total_cmp);
    shares.get(shares.len() / 4).copied().unwrap_or(0.0)
}

/// Returns how much more than usual a server rejects, from 0 for the same to 1 for
/// everything.
pub fn excess_rejections(share: f64, usual: f64) -> f64 {
    let tolerated = usual + TOLERANCE;
    match tolerated < 1.0 {
        true => ((share - tolerated) / (1.0 - tolerated)).clamp(0.0, 1.0),
        false => 0.0,
    }
}

/// Whether a server with that excess is used only if there is no other.
pub fn is_avoided(excess: f64) -> bool {
    excess >= AVOIDED_EXCESS
}

/// Expected delay by the rejections of a server with that excess.
pub(crate) fn rejection_delay(excess: f64) -> Duration {
    REJECTION_COST.mul_f64(excess.clamp(0.0, 1.0))
}
