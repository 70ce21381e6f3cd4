//! Exponential smoothing of qualities, which follows a decline faster than a recovery.

/// Weight of the newest value while the quality improves.
const IMPROVING_WEIGHT: f64 = 0.3;
/// Weight of the newest value while the quality declines: each tick at a failing server costs more than one at reduced
/// weight.
const DECLINING_WEIGHT: f64 = 0.5;

/// The smoothed quality after one more value, where a higher value is better.
pub(super) fn smooth_quality(smoothed: f64, newest: f64) -> f64 {
    let weight = if newest < smoothed {
        DECLINING_WEIGHT
    } else {
        IMPROVING_WEIGHT
    };
    smoothed + weight * (newest - smoothed)
}
