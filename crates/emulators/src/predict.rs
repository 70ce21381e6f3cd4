//! Compares the fleet model with the real program: runs the program with the emulated fleet on loopback, and checks the
//! observed metrics against the model's prediction intervals. The model's parameters are the constants of the
//! emulators, not results of a run.

use std::path::Path;
use std::time::{Duration, Instant};

use chutegrade_lab::stats::interval;
use chutegrade_model::{run, scenario, Control, Outcome, Scenario};
use tokio::time::sleep;

use crate::script::EmulatedDeployment;
use crate::tables::CLASSES;

/// Proxies in each case.
const PROXIES: u32 = 8;
/// Length of a case in seconds; requests received later are not counted.
const CASE_LENGTH_S: u64 = 20;
/// Model runs for each case.
const MODEL_RUNS: u64 = 40;
/// Confidence level of the prediction intervals.
const CONFIDENCE: f64 = 0.95;
/// Resolution of the emulators' timers and of the histogram, for metrics that are a share of requests.
const SHARE_RESOLUTION: f64 = 0.003;
/// Relative part of the resolution of times.
const TIME_RESOLUTION_SHARE: f64 = 0.02;
/// Absolute part of the resolution of times, in milliseconds.
const TIME_RESOLUTION_MS: f64 = 1.5;
/// Latency objective in the settings of the emulated deployment, in milliseconds.
const LATENCY_OBJECTIVE_MS: f64 = 600.0;

/// A fault that is injected in a case.
#[derive(Clone, Copy, Debug)]
pub enum InjectedFault {
    /// This number of servers fails all requests.
    FailServers(usize),
    /// This number of servers takes longer by this factor.
    SlowServers(usize, f64),
    /// The request rate is multiplied by this factor.
    DemandBurst(f64),
    /// All streams are closed.
    BreakStreams,
    /// The second supervisor is killed, and restarts at the end.
    KillSupervisor,
}

/// A fleet and the faults that are injected into it.
#[derive(Clone, Debug)]
pub struct ComparisonCase {
    /// Printed above the results.
    pub name: &'static str,
    /// Servers in each of the two zones.
    pub servers: usize,
    /// Requests per second at each proxy.
    pub rate: f64,
    /// Start and end in seconds of each fault.
    pub faults: Vec<(u64, u64, InjectedFault)>,
}

/// Returns the cases, which differ in load, size and faults, singly and combined.
pub fn comparison_cases() -> Vec<ComparisonCase> {
    use InjectedFault::*;
    let case = |name, servers, rate, faults: &[(u64, u64, InjectedFault)]| ComparisonCase {
        name,
        servers,
        rate,
        faults: faults.to_vec(),
    };
    vec![
        case("calm", 5, 40.0, &[]),
        case("busy", 4, 60.0, &[]),
        case("one fails", 5, 40.0, &[(5, 13, FailServers(1))]),
        case("three fail", 5, 45.0, &[(4, 12, FailServers(3))]),
        case("two slow", 5, 40.0, &[(5, 13, SlowServers(2, 8.0))]),
        case("half slow", 4, 40.0, &[(6, 14, SlowServers(4, 4.0))]),
        case("burst", 4, 45.0, &[(6, 11, DemandBurst(1.8))]),
        case("overload", 3, 40.0, &[(6, 11, DemandBurst(3.0))]),
        case(
            "streams and a failure",
            5,
            40.0,
            &[(6, 7, BreakStreams), (6, 14, FailServers(2))],
        ),
        case(
            "killed, two slow",
            5,
            40.0,
            &[(5, 9, KillSupervisor), (6, 14, SlowServers(2, 6.0))],
        ),
        case(
            "burst on slow ones",
            5,
            40.0,
            &[(5, 14, SlowServers(2, 4.0)), (8, 12, DemandBurst(1.7))],
        ),
        case("four fail, busy", 5, 55.0, &[(6, 14, FailServers(4))]),
    ]
}

impl ComparisonCase {
    fn scenario(&self) -> Result<Scenario, String> {
        let total_servers = 2 * self.servers;
        let share = |count: usize| count as f64 / total_servers as f64;
        let fault_text = |(from, to, fault): &(u64, u64, InjectedFault)| {
            let times = format!("at_s: {from} length_s: {}", to - from);
            match fault {
                InjectedFault::FailServers(count) => {
                    format!(
                        "trouble {{ sort: FAIL_FAST {times} part: {} size: 1 }}",
                        share(*count)
                    )
                }
                InjectedFault::SlowServers(count, factor) => {
                    format!(
                        "trouble {{ sort: SLOW {times} part: {} size: {factor} }}",
                        share(*count)
                    )
                }
                InjectedFault::DemandBurst(factor) => {
                    format!("trouble {{ sort: BURST {times} size: {factor} }}")
                }
                InjectedFault::BreakStreams => {
                    format!("trouble {{ sort: STREAMS {times} part: 1 }}")
                }
                InjectedFault::KillSupervisor => {
                    format!("trouble {{ sort: SUPERVISORS_DIE {times} part: 0.5 zone: 'b' }}")
                }
            }
        };
        let fault_texts: Vec<String> = self.faults.iter().map(fault_text).collect();
        // Work is uniformly distributed between 0.5 and 1.5 times 20 ms; timers fire up to 1 ms late.
        let text = format!(
            "name: {:?} seconds: {CASE_LENGTH_S} zone: 'a' zone: 'b'\n\
             kind {{ servers: {total_servers} cores: 2 speed: 1 speed_cv: 0 slots_per_core: 1 queue_per_core: 100000 thrash: 0\n\
               cold_from: 0.3 cold_s: 4 connections_per_core: 100000 handshake_ms: 0 error_rate: 0 cancel: ALL }}\n\
             class {{ name: 'lookup' share: 7 work_ms: 21 work_cv: 0.28 try_cv: 0 aim_ms: 600 deadline_ms: 2000 worth: 1 late_worth: 0 }}\n\
             class {{ name: 'order' share: 3 work_ms: 21 work_cv: 0.28 try_cv: 0 aim_ms: 600 deadline_ms: 2000 worth: 2 late_worth: 0 effect: UNSAFE }}\n\
             load {{ rate: {} zone_skew: 0 }} clients {{ retries: 0 try_share: 1 }}\n\
             front_ends {{ count: {PROXIES} avoids_after: 0 standing: 100 usual_retry: NEVER notice_ms: 1 redial_ms: 100 apply_us: 0 rehome_s: 0 }}\n\
             supervisors {{ count: 2 tick_ms: 2 lines_per_s: 6000 head: 3 way_ms: 1 way_most_ms: 500 backlog: 9000 }}\n\
             reports {{ refresh_ms: 1 period_s: 1 late_ms: 1 intake_per_s: 100000 noise: 0 with_answers: false }}\n\
             discovery {{ notice_least_s: 0 notice_most_s: 0.05 }} network {{ same_ms: 0.05 cross_ms: 0.05 client_ms: 0 jitter: 0.2 }}\n\
             probes {{ work_ms: 2 most_per_core: 1000 deep: true }} rules {{ unserved_s: 5 drain_grace_s: 2 }}\n{}",
            self.name,
            f64::from(PROXIES) * self.rate,
            fault_texts.join("\n")
        );
        scenario::read(&text).map_err(|errors| {
            errors
                .iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
                .join("; ")
        })
    }
}

/// Shares and times by name; a time is `None` if its event did not occur.
pub type Metrics = Vec<(&'static str, Option<f64>)>;

fn predicted_metrics(outcome: &Outcome) -> Metrics {
    let shut_out_s = (!outcome.shut_out_s.is_empty()).then(|| outcome.figure("shut_out_s"));
    vec![
        ("service lookup", Some(outcome.classes[0].service)),
        ("service order", Some(outcome.classes[1].service)),
        ("refused", Some(outcome.figure("refused"))),
        ("p50 ms", Some(outcome.figure("p50_ms"))),
        ("p90 ms", Some(outcome.figure("p90_ms"))),
        ("p99 ms", Some(outcome.figure("p99_ms"))),
        ("shut out s", shut_out_s),
        (
            "restored s",
            (!outcome.restored_s.is_empty()).then(|| outcome.figure("restored_s")),
        ),
    ]
}

/// Runs a case on loopback with the program, and returns the observed metrics.
pub async fn measure(
    case: &ComparisonCase,
    program: &Path,
    directory: &Path,
    seed: u64,
) -> Metrics {
    let mut deployment = EmulatedDeployment::start_with_size(
        program,
        directory,
        (case.servers, PROXIES, case.rate),
        seed,
        "",
    )
    .await;
    let fleet = std::sync::Arc::clone(&deployment.fleet);
    let started = Instant::now();
    fleet.counters().retain_results();
    let mut injections: Vec<(u64, bool, InjectedFault)> = case
        .faults
        .iter()
        .flat_map(|(from, to, fault)| [(*from, true, *fault), (*to, false, *fault)])
        .collect();
    injections.sort_by_key(|(at, ..)| *at);
    // Spreads the affected servers over both zones.
    let server_name = |number: usize| format!("s-{}{}", ["a", "b"][number % 2], number / 2 + 1);
    let mut failing: Vec<(String, Instant)> = Vec::new();
    let mut exclusion_times_s: Vec<f64> = Vec::new();
    let (mut recovering, mut recovery_times_s): (Vec<(String, Instant)>, Vec<f64>) =
        (Vec::new(), Vec::new());
    let mut pending_injections = injections.into_iter().peekable();
    while started.elapsed() < Duration::from_secs(CASE_LENGTH_S) {
        while let Some((_, on, fault)) =
            pending_injections.next_if(|(at, ..)| started.elapsed() >= Duration::from_secs(*at))
        {
            match fault {
                InjectedFault::FailServers(count) => {
                    for server in (0..count).map(server_name) {
                        fleet.set_failing(&server, on);
                        let is_picked = CLASSES
                            .iter()
                            .flat_map(|class| fleet.picks(class))
                            .any(|names| names.contains(&server));
                        if on {
                            failing.push((server, Instant::now()));
                        } else if !is_picked {
                            recovering.push((server, Instant::now()));
                        }
                    }
                }
                InjectedFault::SlowServers(count, factor) => {
                    (0..count).map(server_name).for_each(|server| {
                        fleet.set_slowdown(&server, if on { factor } else { 1.0 })
                    });
                }
                InjectedFault::DemandBurst(factor) => {
                    fleet.set_demand_factor(if on { factor } else { 1.0 })
                }
                InjectedFault::BreakStreams if on => {
                    (0..PROXIES).for_each(|proxy| fleet.break_stream(proxy))
                }
                InjectedFault::BreakStreams => {}
                InjectedFault::KillSupervisor if on => deployment.kill_supervisor(1).await,
                InjectedFault::KillSupervisor => deployment.restart_supervisor(1).await,
            }
        }
        let picks: Vec<Vec<String>> = CLASSES
            .iter()
            .flat_map(|class| fleet.picks(class))
            .collect();
        failing.retain(|(server, since)| {
            let is_picked = picks.iter().any(|names| names.contains(server));
            if !is_picked {
                exclusion_times_s.push(since.elapsed().as_secs_f64());
            }
            is_picked
        });
        recovering.retain(|(server, since)| {
            let is_picked = picks.iter().any(|names| names.contains(server));
            if is_picked {
                recovery_times_s.push(since.elapsed().as_secs_f64());
            }
            !is_picked
        });
        sleep(Duration::from_millis(100)).await;
    }
    sleep(Duration::from_millis(2200)).await;
    deployment.terminate().await;
    let results = fleet
        .counters()
        .results
        .lock()
        .expect("no panic while locked")
        .take()
        .unwrap_or_default();
    let counted: Vec<_> = results
        .iter()
        .filter(|result| result.received < started + Duration::from_secs(CASE_LENGTH_S))
        .collect();
    let service = |class: usize| {
        let of_class: Vec<_> = counted
            .iter()
            .filter(|result| result.class == class)
            .collect();
        let in_time = of_class
            .iter()
            .filter(|result| {
                result
                    .latency_ms
                    .is_some_and(|ms| ms <= LATENCY_OBJECTIVE_MS)
            })
            .count();
        in_time as f64 / of_class.len().max(1) as f64
    };
    let mut times: Vec<f64> = counted
        .iter()
        .filter_map(|result| result.latency_ms)
        .collect();
    times.sort_unstable_by(f64::total_cmp);
    let quantile = |share: f64| times.get((share * times.len() as f64) as usize).copied();
    let refused = counted.iter().filter(|result| result.is_rejected).count() as f64
        / counted.len().max(1) as f64;
    let shut_out_s = (!exclusion_times_s.is_empty())
        .then(|| exclusion_times_s.iter().sum::<f64>() / exclusion_times_s.len() as f64);
    vec![
        ("service lookup", Some(service(0))),
        ("service order", Some(service(1))),
        ("refused", Some(refused)),
        ("p50 ms", quantile(0.5)),
        ("p90 ms", quantile(0.9)),
        ("p99 ms", quantile(0.99)),
        ("shut out s", shut_out_s),
        (
            "restored s",
            (!recovery_times_s.is_empty())
                .then(|| recovery_times_s.iter().sum::<f64>() / recovery_times_s.len() as f64),
        ),
    ]
}

/// A metric of a case: prediction and observation.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// As in [`Metrics`].
    pub name: &'static str,
    /// Mean of the model runs; NaN if at most half of them have the metric.
    pub predicted: f64,
    /// Half the width of the prediction interval.
    pub half_width: f64,
    /// Observed value; NaN if the run with the program does not have the metric.
    pub measured: f64,
}

impl Row {
    /// Whether the observed value is inside the prediction interval.
    pub fn is_within_interval(&self) -> bool {
        (self.measured - self.predicted).abs() <= self.half_width
    }
}

/// Returns the metrics of each model run of a case.
pub fn predict(case: &ComparisonCase) -> Result<Vec<Metrics>, String> {
    let scenario = case.scenario()?;
    Ok((0..MODEL_RUNS)
        .map(|seed| predicted_metrics(&run(&scenario, Control::Module, seed)))
        .collect())
}

/// Compares the predictions for a case with the observed metrics. A metric that only one of them has yields a row
/// outside its interval.
pub fn compare(predicted: &[Metrics], measured: &Metrics) -> Vec<Row> {
    let row = |(index, (name, value)): (usize, &(&'static str, Option<f64>))| {
        let predictions: Vec<f64> = predicted.iter().filter_map(|run| run[index].1).collect();
        match (predictions.len() * 2 > predicted.len(), value) {
            (false, None) => None,
            (true, Some(value)) => Some(prediction_interval(name, &predictions, *value)),
            (true, None) => Some(Row {
                half_width: 0.0,
                measured: f64::NAN,
                ..prediction_interval(name, &predictions, 0.0)
            }),
            (false, Some(value)) => Some(Row {
                name,
                predicted: f64::NAN,
                half_width: 0.0,
                measured: *value,
            }),
        }
    };
    measured.iter().enumerate().filter_map(row).collect()
}

/// Returns the interval in which one more run is expected: by Student's t, for a single value instead of the mean,
/// widened by the resolution.
fn prediction_interval(name: &'static str, predictions: &[f64], measured: f64) -> Row {
    let estimate = interval(predictions, CONFIDENCE);
    let single_run_half_width = estimate.half_width * (estimate.runs as f64 + 1.0).sqrt();
    let resolution = match name {
        name if name.ends_with("ms") => TIME_RESOLUTION_SHARE * estimate.mean + TIME_RESOLUTION_MS,
        // These events are sampled five and ten times per second.
        name if name.ends_with(" s") => 0.3,
        _ => SHARE_RESOLUTION,
    };
    Row {
        name,
        predicted: estimate.mean,
        half_width: single_run_half_width + resolution,
        measured,
    }
}

#[cfg(test)]
mod tests;
