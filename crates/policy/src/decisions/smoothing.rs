//! Exponential smoothing that follows a decline faster than an improvement.

/// Weight of the newest value while the quality improves.
const IMPROVING_WEIGHT: f64 = 0.3;
/// Weight of the newest value while the quality declines. It is larger, since a tick with too much traffic at a failing
/// server costs more than a tick with a needlessly reduced weight.
const DECLINING_WEIGHT: f64 = 0.5;

/// Returns the smoothed quality after one more value, where a higher value is better.
pub(super) fn smooth_quality(smoothed: f64, newest: f64) -> f64 {
    let weight = if newest < smoothed {
        DECLINING_WEIGHT
    } else {
        IMPROVING_WEIGHT
    };
    smoothed + weight * (newest - smoothed)
}
