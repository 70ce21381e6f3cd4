//! Measures what plug-ins cost a supervisor: ticks over a large fleet without plug-ins, with eight audit rules, with eight
//! endless loops, and with eight plug-ins that are hostile in various ways.

use std::time::{Duration, Instant};

use chutegrade_engine::{DeploymentNames, Engine, Micros, NamedEndpoint, Report, StreamId};
use chutegrade_plugin_advisor::PluginAdvisor;
use chutegrade_policy::{
    Class, EndpointUpdateKind, Idempotency, LoadReport, ReportSource, Retry, Settings,
};

/// Number of plug-ins in a run with plug-ins.
const PLUGINS: usize = 8;
const SERVERS: usize = 320;
const PROXIES: u32 = 500;
const ZONES: [&str; 2] = ["a", "b"];
/// Length of a measurement in seconds; the fleet settles for as long before it.
const SECONDS: i64 = 40;
/// Number of runs with each set of plug-ins.
const ROUNDS: usize = 5;
/// Each server reports in one tick per second.
const TICKS_PER_SECOND: i64 = 20;
/// Time between two ticks, in microseconds.
const TICK_US: i64 = 1_000_000 / TICKS_PER_SECOND;

const AUDIT: &str = include_str!("../../../plugins/audit.chute");
const ENDLESS: &str =
    "hook factor(server, class, zone) { for n in range(0, 1000000000) { } return 0 }";
const SWINGING: &str =
    "hook factor(server, class, zone) { if fleet.turn % 2 == 0 { return 0.2 } return 1 }";
const VETO: &str = "hook factor(server, class, zone) { return 0 }";

fn class(idempotency: Idempotency) -> Class {
    Class {
        latency_objective: Micros::from_ms(600.0),
        deadline: Micros::from_ms(2000.0),
        priority_weight: 2.0,
        idempotency,
        zone_local: false,
    }
}

fn settings() -> Settings {
    Settings {
        instances: 1,
        zones: ZONES.len(),
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::NotIdempotent),
            class(Idempotency::Idempotent),
        ],
        proxies: PROXIES as usize,
        default_retry: Retry::IfNotExecuted,
        attempt_timeout_factor: 1.0,
        proxy_ejection_threshold: 3,
        report_source: ReportSource::ResponsesAndHealthChecks,
        report_period: Micros::from_ms(1000.0),
        channel_backlog: 14_000.0,
        channel_lines_per_second: 9_500.0,
        message_overhead: 3.0,
        max_unserved: Micros::from_ms(5000.0),
        drain_grace: Micros::from_ms(3000.0),
        slow_start_share: 0.2,
        slow_start_period: Micros::from_ms(10_000.0),
        overload_multiple: 3.0,
        overload_window: Micros::from_ms(3000.0),
        ..Settings::default()
    }
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(ToString::to_string).collect()
}

fn server_name(number: usize) -> String {
    format!("s-{number:08x}")
}

/// Creates an engine with all servers listed and all proxies joined.
fn engine() -> Engine {
    let classes = names(&["status-read", "refund-order", "petition-file"]);
    let deployment = DeploymentNames {
        zones: names(&ZONES),
        classes,
        machine_kinds: names(&["m"]),
    };
    let mut engine = Engine::new(settings(), 1, deployment);
    let endpoints = (0..SERVERS).map(|number| NamedEndpoint {
        name: server_name(number),
        zone: ZONES[number % ZONES.len()].to_string(),
        weight: 1.0,
        ..NamedEndpoint::default()
    });
    engine
        .report(Report::EndpointList(
            EndpointUpdateKind::Snapshot,
            endpoints.collect(),
        ))
        .expect("a list");
    for proxy in 0..PROXIES {
        let opened = Report::StreamOpened {
            stream: StreamId(proxy.into()),
            proxy,
            zone: ZONES[proxy as usize % ZONES.len()].to_string(),
            request_rate: 5.0,
            has_no_table: true,
        };
        engine.report(opened).expect("a proxy");
    }
    engine
}

/// Reports on the servers that report in this tick of a second.
fn report_outcomes(engine: &mut Engine, tick: i64) {
    for number in (0..SERVERS).filter(|number| *number as i64 % TICKS_PER_SECOND == tick) {
        for zone in ZONES {
            let outcomes = Report::ServerOutcomes {
                zone: zone.to_string(),
                server: server_name(number),
                attempts: 4.0 + (number % 3) as f64,
                failed: 0.0,
                mean_latency_ms: 110.0 + (number % 17) as f64,
                period: Micros(1_000_000),
                load: LoadReport {
                    queued: Some(1.0),
                    ..LoadReport::default()
                },
            };
            engine.report(outcomes).expect("a known server");
        }
    }
}

/// Takes and acknowledges all orders; returns how many there were.
fn drain_orders(engine: &mut Engine) -> u64 {
    let mut orders = 0;
    for stream in engine.take_streams_with_orders() {
        let Some(order) = engine.take_order(stream) else {
            continue;
        };
        orders += 1;
        if let Some(sequence) = order.acknowledge {
            let acknowledged = Report::Acknowledged {
                stream,
                sequence,
                elapsed: Micros(200_000),
            };
            engine.report(acknowledged).expect("a stream");
        }
    }
    orders
}

/// Time per tick in a run, including the plug-ins, and the total number of orders.
#[derive(Clone, Copy)]
struct Cost {
    mean: Duration,
    longest: Duration,
    orders: u64,
}

fn run(texts: &[String]) -> Cost {
    let mut engine = engine();
    let mut advisor = PluginAdvisor::default();
    let named = texts.iter().enumerate();
    let named: Vec<(String, String)> = named
        .map(|(number, text)| (number.to_string(), text.clone()))
        .collect();
    advisor.load(&named).expect("plug-ins");
    let mut sum = Duration::ZERO;
    let mut longest = Duration::ZERO;
    let mut orders = 0;
    for tick in 0..2 * SECONDS * TICKS_PER_SECOND {
        let now = Micros(1_000_000 + tick * TICK_US);
        report_outcomes(&mut engine, tick % TICKS_PER_SECOND);
        let start = Instant::now();
        advisor.evaluate(now, &mut engine);
        engine.tick(now);
        let elapsed = start.elapsed();
        orders += drain_orders(&mut engine);
        while engine.take_log_event(now).is_some() {}
        if tick >= SECONDS * TICKS_PER_SECOND {
            sum += elapsed;
            longest = longest.max(elapsed);
        }
    }
    Cost {
        mean: sum / (SECONDS * TICKS_PER_SECOND) as u32,
        longest,
        orders,
    }
}

fn audit(number: usize) -> String {
    AUDIT.replace("\"audit\"", &format!("\"audit-{number}\""))
}

fn endless(number: usize) -> String {
    format!("plugin \"endless-{number}\" version 1 host 1\n{ENDLESS}")
}

fn hostile(number: usize) -> String {
    let body = [ENDLESS, SWINGING, VETO][number % 3];
    format!("plugin \"hostile-{number}\" version 1 host 1\n{body}")
}

fn plugins(source: fn(usize) -> String) -> Vec<String> {
    (0..PLUGINS).map(source).collect()
}

/// Measures only under `cargo bench`, not when the tests run.
fn main() {
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    let plugin_sets = [
        ("none", Vec::new()),
        ("eight audit rules", plugins(audit)),
        ("eight endless loops", plugins(endless)),
        ("eight endless, swinging and vetoing", plugins(hostile)),
    ];
    let unmeasured = Cost {
        mean: Duration::MAX,
        longest: Duration::MAX,
        orders: 0,
    };
    // The sets are run alternately and the best run of each counts, so that other load on the machine affects all equally.
    let mut best = [unmeasured; 4];
    for _ in 0..ROUNDS {
        for (best, (_, texts)) in best.iter_mut().zip(&plugin_sets) {
            let cost = run(texts);
            best.mean = best.mean.min(cost.mean);
            best.longest = best.longest.min(cost.longest);
            best.orders = cost.orders;
        }
    }
    println!(
        "{SERVERS} servers, {PROXIES} proxies, {SECONDS} s of {TICKS_PER_SECOND} ticks per second, best of {ROUNDS}"
    );
    for ((name, _), cost) in plugin_sets.iter().zip(best) {
        let ratio = cost.mean.as_secs_f64() / best[0].mean.as_secs_f64();
        let (mean, longest, orders) = (cost.mean, cost.longest, cost.orders);
        println!("{name:36} mean {mean:>9.1?}  longest {longest:>9.1?}  {ratio:.2} of none  {orders} orders");
    }
}
