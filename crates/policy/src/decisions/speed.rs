//! The relative speed of each server, estimated from health checks or reported service times.

use std::collections::BTreeSet;

use crate::interface::{ListedWeight, Settings};
use crate::statistics::median;

use super::evidence::SpeedEvidence;
use super::registry::{Registry, Weights};
use super::server::Server;

/// Number of load reports that timed health checks count as. Load reports are noisier, since they mix requests of all
/// costs.
const HEALTH_CHECK_REPORT_COUNT: f64 = 60.0;
/// Number of load reports at the median speed that each estimate is combined with, so that few reports have little
/// effect.
const PRIOR_REPORTS: f64 = 4.0;
/// Group of all servers where the listed weight does not include their speed.
const COMMON_GROUP: u32 = 0;

/// The estimated speed of a server.
#[derive(Clone, Copy, Debug)]
struct SpeedEstimate {
    /// Requests or health checks per unit of time.
    speed: f64,
    /// Number of load reports that the estimate counts as.
    report_count: f64,
}

impl SpeedEstimate {
    fn from_evidence(evidence: &SpeedEvidence) -> Option<Self> {
        if let Some(speed) = evidence.checks.positive_mean() {
            return Some(SpeedEstimate {
                speed,
                report_count: HEALTH_CHECK_REPORT_COUNT,
            });
        }
        let service_ms = evidence.service_ms.positive_mean()?;
        Some(SpeedEstimate {
            speed: 1.0 / service_ms,
            report_count: evidence.service_ms.weight,
        })
    }

    /// Returns the speed relative to the median, closer to 1 the fewer reports there are.
    fn relative_to(&self, median_speed: f64) -> f64 {
        let confidence = self.report_count / (self.report_count + PRIOR_REPORTS);
        (self.speed / median_speed).powf(confidence)
    }
}

/// Returns the speed of each server in service relative to the median of the fleet, or of its machine kind where the
/// listed weight includes the speed of the kind. Servers without an estimate are omitted.
pub(super) fn relative_speeds(registry: &Registry, settings: &Settings) -> Weights {
    let weight_includes_speed = settings.listed_weight == ListedWeight::RegisteredCapacity;
    let group_of = |server: &Server| {
        if weight_includes_speed {
            server.endpoint.machine_kind
        } else {
            COMMON_GROUP
        }
    };
    let groups: BTreeSet<u32> = registry
        .in_service()
        .map(|(_, server)| group_of(server))
        .collect();
    let mut speeds = Weights::new();
    for group in groups {
        let estimates = registry
            .in_service()
            .filter(|(_, server)| group_of(server) == group)
            .filter_map(|(id, server)| {
                let estimate = SpeedEstimate::from_evidence(&server.evidence.speed)?;
                Some((*id, estimate))
            });
        let median_speed = median(estimates.clone().map(|(_, estimate)| estimate.speed));
        let median_speed = median_speed.unwrap_or(1.0);
        speeds.extend(estimates.map(|(id, estimate)| (id, estimate.relative_to(median_speed))));
    }
    speeds
}
