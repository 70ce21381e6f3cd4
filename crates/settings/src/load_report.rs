//! Load reports of servers as text.

use chutegrade_policy::LoadReport;

/// Parses a load report: `name:value` or `name=value` pairs, separated by commas.
///
/// Unknown names, and values that are not finite numbers of at least 0, are skipped.
pub fn parse_load_report(text: &str) -> LoadReport {
    let mut load = LoadReport::default();
    for pair in text.split(',') {
        let Some((name, value)) = pair.split_once([':', '=']) else {
            continue;
        };
        if let Some(value) = parse_value(value) {
            set_value(&mut load, name.trim(), value);
        }
    }
    load
}

fn parse_value(text: &str) -> Option<f64> {
    let value: f64 = text.trim().parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value)
}

fn set_value(load: &mut LoadReport, name: &str, value: f64) {
    let field = match name {
        "inflight" => &mut load.in_flight,
        "queue" => &mut load.queued,
        "util" => &mut load.utilization,
        "latency_ms" => &mut load.latency_ms,
        "qps" => &mut load.requests_per_second,
        "eps" => &mut load.errors_per_second,
        _ => return,
    };
    *field = Some(value);
}
