//! Shares of requests to shed, by class and proxy.

use super::decision::ShedShares;
use super::traffic::{ratio_or_zero, work};
use crate::concurrency_limiter::MIN_ADMITTED_SHARE;
use crate::heavy_hitters::HeavyHitters;
use crate::Class;

/// Minimum work of a request, in seconds.
const MIN_REQUEST_WORK_SECONDS: f64 = 1e-3;
/// Maximum share that is shed at heavy proxies.
const MAX_HEAVY_SHED_SHARE: f64 = 0.9;

/// Returns the share of requests to shed so that the work falls to the admitted share, if classes of low priority are
/// shed first. `arrivals` are requests per second by class, `order` the positions of the classes from the lowest
/// priority on.
pub(super) fn shed_share(
    arrivals: &[f64],
    classes: &[Class],
    order: &[usize],
    admitted_share: f64,
) -> f64 {
    let total: f64 = arrivals.iter().sum();
    let mut excess_work = work(arrivals, classes) * (1.0 - admitted_share);
    let mut shed = 0.0;
    for class in order {
        let request_work = classes[*class]
            .latency_objective_seconds
            .max(MIN_REQUEST_WORK_SECONDS);
        let sheddable = arrivals[*class] * (1.0 - MIN_ADMITTED_SHARE);
        let class_shed = (excess_work / request_work).min(sheddable);
        excess_work -= class_shed * request_work;
        shed += class_shed;
    }
    ratio_or_zero(shed, total)
}

/// Divides the share to shed between heavy and other proxies: heavy ones first, up to a limit. Returns `None` if no
/// proxy is heavy, or all are. A proxy is heavy above `factor` times the mean load.
pub(super) fn by_proxy_load(
    shed_share: f64,
    proxies: &HeavyHitters,
    proxy_count: usize,
    factor: f64,
) -> Option<ShedShares> {
    let total = proxies.total_weight();
    let min_weight = factor * total / proxy_count as f64;
    let heavy = proxies.heavier_than(min_weight);
    let heavy_weight: f64 = heavy.iter().map(|hitter| hitter.weight).sum();
    let heavy_share = heavy_weight / total.max(f64::MIN_POSITIVE);
    if heavy_share <= 0.0 || heavy_share >= 1.0 {
        return None;
    }
    let heavy = (shed_share / heavy_share).min(MAX_HEAVY_SHED_SHARE);
    let remaining = shed_share - heavy * heavy_share;
    Some(ShedShares {
        ordinary: (remaining / (1.0 - heavy_share)).clamp(0.0, 1.0),
        heavy,
    })
}
