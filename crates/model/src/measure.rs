//! Results of a run: service level as the operators define it, response times, costs, and broken rules.

use std::collections::BTreeMap;

use chutegrade_limits::LevelTransition;
use hdrhistogram::Histogram;

use crate::rules::BrokenRule;
use crate::scenario::{Scenario, ServiceWeights};

/// Length of the spans over which nines are computed, in seconds.
const NINES_SPAN_S: usize = 5;
/// Highest response time of the histograms, in microseconds: ten minutes.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Final outcome of a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered; microseconds since the client first sent it.
    Answered(u64),
    /// Rejected by an admission level, and the client retried no more.
    Refused,
    /// Failed or timed out, and the client retried no more.
    Failed,
}

/// Results of one class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassOutcome {
    /// Name of the class, as in the scenario.
    pub name: String,
    /// Requests that ended, counting each with its retries once.
    pub requests: u64,
    /// Share of the offered priority weight that was served; 1 without requests.
    pub service: f64,
    /// Share of the requests that was rejected by an admission level.
    pub refused: f64,
    /// Share of the requests that failed.
    pub failed: f64,
    /// Response times in milliseconds: the 50th, 90th, 99th and 99.9th percentile.
    pub quantiles_ms: [f64; 4],
}

/// One second of a run; requests count in the second of their arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Second {
    /// Sum of the priority weights of all requests.
    pub offered: f64,
    /// Sum of the priority weights that were served: in full within the latency objective, in part until the deadline.
    pub served: f64,
    /// Requests queued at servers at the end of the second.
    pub queue: f64,
    /// Lines queued in the fullest channel at the end of the second, as a share of the maximum backlog.
    pub backlog: f64,
}

/// A change of a supervisor's service level.
#[derive(Clone, Debug, PartialEq)]
pub struct LevelChange {
    /// Time in seconds since the start of the run.
    pub at_s: f64,
    /// Index of the supervisor.
    pub supervisor: usize,
    /// The new level and the condition that was met.
    pub change: LevelTransition,
}

/// Results of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Figures by name; shares, milliseconds, seconds or counts.
    pub figures: BTreeMap<String, f64>,
    /// Results by class, in the order of the scenario.
    pub classes: Vec<ClassOutcome>,
    /// Results by second since the start of the run.
    pub seconds: Vec<Second>,
    /// Broken rules, each with its first violation.
    pub broken_rules: Vec<BrokenRule>,
    /// Number of simulated events.
    pub events: u64,
    /// Seconds from the start of a fault until no proxy could select an affected server any more; one entry for each such
    /// server, for crashed, hanging and failing servers and for lost zones.
    pub shut_out_s: Vec<f64>,
    /// Seconds from the end of a fault until a proxy could select an affected server again; one entry for each hanging or
    /// failing server that no proxy could select at the end of the fault.
    pub restored_s: Vec<f64>,
    /// Changes of service levels, in order of time.
    pub level_changes: Vec<LevelChange>,
}

impl Outcome {
    /// Returns the service level as the operators define it, from 0 to 1.
    pub fn service(&self) -> f64 {
        self.figure("service")
    }

    /// Returns a figure by name; 0 if the run has none.
    pub fn figure(&self, name: &str) -> f64 {
        self.figures.get(name).copied().unwrap_or(0.0)
    }
}

struct ClassCounts {
    requests: u64,
    offered: f64,
    served: f64,
    refused: u64,
    failed: u64,
    latencies: Histogram<u64>,
}

/// Metrics that are collected during a run.
pub struct Metrics {
    classes: Vec<ClassCounts>,
    seconds: Vec<Second>,
    counts: BTreeMap<&'static str, f64>,
    maxima: BTreeMap<&'static str, f64>,
    shut_out_s: Vec<f64>,
    restored_s: Vec<f64>,
    level_changes: Vec<LevelChange>,
}

fn latency_histogram() -> Histogram<u64> {
    // Two significant digits up to ten minutes are within the limits of the histogram.
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 2)
        .unwrap_or_else(|_| unreachable!("bounds are constant"))
}

impl Metrics {
    /// Creates empty metrics for the classes and seconds of a scenario.
    pub fn new(scenario: &Scenario) -> Self {
        let class_counts = |_| ClassCounts {
            requests: 0,
            offered: 0.0,
            served: 0.0,
            refused: 0,
            failed: 0,
            latencies: latency_histogram(),
        };
        Metrics {
            classes: scenario.classes.iter().map(class_counts).collect(),
            seconds: vec![Second::default(); (scenario.duration_us / 1_000_000) as usize + 1],
            counts: BTreeMap::new(),
            maxima: BTreeMap::new(),
            shut_out_s: Vec::new(),
            restored_s: Vec::new(),
            level_changes: Vec::new(),
        }
    }

    /// Records a change of a service level.
    pub fn record_level_change(&mut self, change: LevelChange) {
        self.level_changes.push(change);
    }

    /// Adds to a counter.
    pub fn add(&mut self, name: &'static str, amount: f64) {
        *self.counts.entry(name).or_default() += amount;
    }

    /// Raises a maximum to a value if the value is higher.
    pub fn record_max(&mut self, name: &'static str, value: f64) {
        let max = self.maxima.entry(name).or_default();
        *max = max.max(value);
    }

    /// Records the seconds from the start of a fault until no proxy could select an affected server any more.
    pub fn record_shut_out(&mut self, seconds: f64) {
        self.shut_out_s.push(seconds);
    }

    /// Records the seconds from the end of a fault until a proxy could select an affected server again.
    pub fn record_restored(&mut self, seconds: f64) {
        self.restored_s.push(seconds);
    }

    /// Records the requests queued at servers, and the backlog of the fullest channel, at the end of a second.
    pub fn record_second_end(&mut self, second: usize, queue: f64, backlog: f64) {
        if let Some(entry) = self.seconds.get_mut(second) {
            (entry.queue, entry.backlog) = (queue, backlog);
        }
    }

    /// Records the outcome of a request; `arrived_us` is the time since the start of the run.
    pub fn record_request(
        &mut self,
        scenario: &Scenario,
        class: usize,
        arrived_us: u64,
        request_outcome: RequestOutcome,
    ) {
        let class_settings = &scenario.classes[class];
        let class_counts = &mut self.classes[class];
        class_counts.requests += 1;
        class_counts.offered += class_settings.priority_weight;
        let served = match request_outcome {
            RequestOutcome::Answered(latency_us) => {
                class_counts.latencies.saturating_record(latency_us.max(1));
                match latency_us {
                    latency_us if latency_us <= class_settings.latency_objective_us => {
                        class_settings.priority_weight
                    }
                    latency_us if latency_us <= class_settings.deadline_us => {
                        class_settings.priority_weight * class_settings.late_share
                    }
                    _ => 0.0,
                }
            }
            RequestOutcome::Refused => {
                class_counts.refused += 1;
                0.0
            }
            RequestOutcome::Failed => {
                class_counts.failed += 1;
                0.0
            }
        };
        class_counts.served += served;
        if let Some(second) = self.seconds.get_mut((arrived_us / 1_000_000) as usize) {
            second.offered += class_settings.priority_weight;
            second.served += served;
        }
    }

    /// Computes the results of the run.
    pub fn finish(self, scenario: &Scenario, broken: Vec<BrokenRule>, events: u64) -> Outcome {
        let Metrics {
            classes,
            mut seconds,
            counts,
            maxima,
            shut_out_s,
            restored_s,
            level_changes,
        } = self;
        let mut figures = service_figures(&seconds, &classes, &scenario.service);
        let mut insert = |name: &str, value: f64| {
            figures.insert(name.to_string(), value);
        };
        let request_count: f64 = classes
            .iter()
            .map(|class| class.requests as f64)
            .sum::<f64>()
            .max(1.0);
        insert(
            "refused",
            classes
                .iter()
                .map(|class| class.refused as f64)
                .sum::<f64>()
                / request_count,
        );
        insert(
            "failed",
            classes.iter().map(|class| class.failed as f64).sum::<f64>() / request_count,
        );
        insert("came", request_count);
        let mut all_latencies = latency_histogram();
        for class in &classes {
            // Never fails: the histograms have the same bounds.
            let _ = all_latencies.add(&class.latencies);
        }
        for (name, quantile) in [
            ("p50_ms", 0.5),
            ("p90_ms", 0.9),
            ("p99_ms", 0.99),
            ("p999_ms", 0.999),
        ] {
            insert(name, all_latencies.value_at_quantile(quantile) as f64 / 1e3);
        }
        let per_request = |name: &str| counts.get(name).copied().unwrap_or(0.0) / request_count;
        insert("tries", per_request("tries"));
        insert("comings", per_request("comings"));
        insert("crossing", per_request("crossing"));
        insert("connects", per_request("connects"));
        insert("probes", per_request("probes"));
        let offered = counts.get("offered_ms").copied().unwrap_or(0.0).max(1e-9);
        insert(
            "wasted",
            counts.get("wasted_ms").copied().unwrap_or(0.0) / offered,
        );
        let length_s = scenario.duration_us as f64 / 1e6;
        let channel_lines =
            scenario.channel_lines_per_s * scenario.supervisors as f64 * length_s.max(1e-9);
        insert(
            "channel",
            counts.get("lines").copied().unwrap_or(0.0) / channel_lines,
        );
        insert("backlog", maxima.get("backlog").copied().unwrap_or(0.0));
        insert("queue", maxima.get("queue").copied().unwrap_or(0.0));
        insert(
            "connections",
            maxima.get("connections").copied().unwrap_or(0.0),
        );
        insert("changes", level_changes.len() as f64);
        insert(
            "rules",
            broken.iter().map(|rule| rule.times).sum::<u64>() as f64,
        );
        if !shut_out_s.is_empty() {
            insert(
                "shut_out_s",
                shut_out_s.iter().sum::<f64>() / shut_out_s.len() as f64,
            );
        }
        if !restored_s.is_empty() {
            insert(
                "restored_s",
                restored_s.iter().sum::<f64>() / restored_s.len() as f64,
            );
        }
        if seconds.last().is_some_and(|last| last.offered == 0.0) {
            seconds.pop();
        }
        let classes = classes
            .iter()
            .zip(&scenario.classes)
            .map(|(class_counts, class)| class_counts.outcome(&class.name))
            .collect();
        Outcome {
            figures,
            classes,
            seconds,
            broken_rules: broken,
            events,
            shut_out_s,
            restored_s,
            level_changes,
        }
    }
}

impl ClassCounts {
    fn outcome(&self, name: &str) -> ClassOutcome {
        let request_count = (self.requests as f64).max(1.0);
        ClassOutcome {
            name: name.to_string(),
            requests: self.requests,
            service: ratio(self.served, self.offered),
            refused: self.refused as f64 / request_count,
            failed: self.failed as f64 / request_count,
            quantiles_ms: [0.5, 0.9, 0.99, 0.999]
                .map(|quantile| self.latencies.value_at_quantile(quantile) as f64 / 1e3),
        }
    }
}

/// Returns the ratio of served to offered weight; 1 if nothing was offered.
fn ratio(served: f64, offered: f64) -> f64 {
    if offered > 0.0 {
        served / offered
    } else {
        1.0
    }
}

fn sum_weights(seconds: &[Second]) -> (f64, f64) {
    seconds
        .iter()
        .fold((0.0, 0.0), |(served, offered), second| {
            (served + second.served, offered + second.offered)
        })
}

fn service_figures(
    seconds: &[Second],
    classes: &[ClassCounts],
    weights: &ServiceWeights,
) -> BTreeMap<String, f64> {
    let (served, offered) = sum_weights(seconds);
    let overall = ratio(served, offered);
    let window = weights.window_s.min(seconds.len()).max(1);
    let windows = seconds
        .windows(window)
        .map(sum_weights)
        .filter(|(_, offered)| *offered > 0.0);
    let worst_window = windows
        .map(|(served, offered)| served / offered)
        .fold(1.0, f64::min);
    let with_requests = classes.iter().filter(|class| class.offered > 0.0);
    let worst_class = with_requests
        .map(|class| class.served / class.offered)
        .fold(1.0, f64::min);
    let spans: Vec<f64> = seconds
        .chunks(NINES_SPAN_S)
        .map(sum_weights)
        .filter(|(_, offered)| *offered > 0.0)
        .map(|(served, offered)| {
            let lost_share = (1.0 - served / offered).max(0.0);
            if lost_share > 0.0 {
                (-lost_share.log10() / weights.nines_full).clamp(0.0, 1.0)
            } else {
                1.0
            }
        })
        .collect();
    let nines = if spans.is_empty() {
        1.0
    } else {
        spans.iter().sum::<f64>() / spans.len() as f64
    };
    let weighted_parts = [
        (weights.overall, overall),
        (weights.worst_window, worst_window),
        (weights.worst_class, worst_class),
        (weights.nines, nines),
    ];
    let weight_sum: f64 = weighted_parts.iter().map(|(weight, _)| weight).sum();
    let service = ratio(
        weighted_parts
            .iter()
            .map(|(weight, value)| weight * value)
            .sum(),
        weight_sum,
    );
    let named = [
        ("service", service),
        ("whole", overall),
        ("worst_window", worst_window),
        ("worst_class", worst_class),
        ("nines", nines),
    ];
    named
        .into_iter()
        .map(|(name, value)| (name.to_string(), value))
        .collect()
}

#[cfg(test)]
mod tests;
