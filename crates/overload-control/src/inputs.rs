//! Input of the overload manager from the engine's samples and status.

use chutegrade_engine::{FleetStatus, Micros, TrafficSample};
use chutegrade_limits::manager::Inputs;

/// Combines the reports since the last evaluation and the state of the fleet. `report_period` is the time that a load
/// report covers.
pub fn manager_inputs(
    now: Micros,
    report_period: Micros,
    sample: TrafficSample,
    status: FleetStatus,
) -> Inputs {
    Inputs {
        now_us: now.0,
        last_report_at_us: sample.last_report_at.map(|at| at.0),
        report_period_us: report_period.0,
        saturation: status.saturation,
        admitted_shares: status.admitted_shares,
        warm_weight: status.warm_weight,
        partitioned_share: status.partitioned_share,
        demand: sample.demand,
        outcomes: sample.outcomes,
    }
}
