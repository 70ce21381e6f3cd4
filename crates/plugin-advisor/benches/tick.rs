#![allow(missing_docs)]
//! What plug-ins cost a supervisor: a second of ticks over a large fleet without any, with eight that are sound, and with
//! eight that are hostile in ways that a supervisor meets in practice.

use std::time::{Duration, Instant};

use chutegrade_engine::{DeploymentNames, Engine, Micros, Report, StreamId};
use chutegrade_plugin_advisor::PluginAdvisor;
use chutegrade_policy::*;

const SERVERS: usize = 320;
const PROXIES: u32 = 500;
/// Seconds that are measured, after as many that settle.
const SECONDS: i64 = 40;
/// Days of each kind.
const ROUNDS: usize = 5;
/// Ticks a second: reports come in this many lots.
const TICKS: i64 = 20;

const AUDIT: &str = include_str!("../../../plugins/audit.chute");
const ENDLESS: &str =
    "hook factor(server, class, zone) { for n in range(0, 1000000000) { } return 0 }";
const SWINGING: &str =
    "hook factor(server, class, zone) { if fleet.turn % 2 == 0 { return 0.2 } return 1 }";
const VETO: &str = "hook factor(server, class, zone) { return 0 }";

fn engine() -> Engine {
    let class = |effect| Class {
        latency_objective: Micros::from_ms(600.0),
        deadline: Micros::from_ms(2000.0),
        priority_weight: 2.0,
        idempotency: effect,
        zone_local: false,
    };
    let settings = Settings {
        instances: 1,
        zones: 2,
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
    };
    let names = |names: &[&str]| names.iter().map(ToString::to_string).collect::<Vec<_>>();
    let classes = names(&["status-read", "refund-order", "petition-file"]);
    let deployment = DeploymentNames {
        zones: names(&["a", "b"]),
        classes,
        machine_kinds: names(&["m"]),
    };
    let mut engine = Engine::new(settings, 1, deployment);
    let listed = (0..SERVERS).map(|n| chutegrade_engine::NamedEndpoint {
        name: format!("s-{n:08x}"),
        zone: ["a", "b"][n % 2].to_string(),
        weight: 1.0,
        ..chutegrade_engine::NamedEndpoint::default()
    });
    engine
        .report(Report::EndpointList(
            EndpointUpdateKind::Snapshot,
            listed.collect(),
        ))
        .expect("a list");
    for proxy in 0..PROXIES {
        let zone = ["a", "b"][proxy as usize % 2].to_string();
        let joined = Report::StreamOpened {
            stream: StreamId(proxy.into()),
            proxy,
            zone,
            request_rate: 5.0,
            has_no_table: true,
        };
        engine.report(joined).expect("a proxy");
    }
    engine
}

fn reports(engine: &mut Engine, lot: i64) {
    for n in (0..SERVERS).filter(|n| *n as i64 % TICKS == lot) {
        for zone in ["a", "b"] {
            let tries = 4.0 + (n % 3) as f64;
            let (zone, server, mean_ms) = (
                zone.to_string(),
                format!("s-{n:08x}"),
                110.0 + (n % 17) as f64,
            );
            let load = LoadReport {
                queued: Some(1.0),
                ..LoadReport::default()
            };
            let period = Micros(1_000_000);
            let heard = Report::ServerOutcomes {
                zone,
                server,
                attempts: tries,
                failed: 0.0,
                mean_latency_ms: mean_ms,
                period,
                load,
            };
            engine.report(heard).expect("a known server");
        }
    }
}

/// Mean and longest time of a tick's work, plug-ins and all.
fn day(texts: &[String]) -> (Duration, Duration, u64) {
    let (mut engine, mut rules) = (engine(), PluginAdvisor::default());
    let named: Vec<(String, String)> = texts
        .iter()
        .enumerate()
        .map(|(n, text)| (n.to_string(), text.clone()))
        .collect();
    rules.load(&named).expect("plug-ins");
    let (mut sum, mut longest, mut lines) = (Duration::ZERO, Duration::ZERO, 0);
    for tick in 0..2 * SECONDS * TICKS {
        let now = Micros(1_000_000 + tick * 1_000_000 / TICKS);
        reports(&mut engine, tick % TICKS);
        let begun = Instant::now();
        rules.evaluate(now, &mut engine);
        engine.tick(now);
        let took = begun.elapsed();
        for stream in engine.take_streams_with_orders() {
            let Some(order) = engine.take_order(stream) else {
                continue;
            };
            lines += 1;
            if let Some(mark) = order.acknowledge {
                engine
                    .report(Report::Acknowledged {
                        stream,
                        sequence: mark,
                        elapsed: Micros(200_000),
                    })
                    .expect("a stream");
            }
        }
        while engine.take_log_event(now).is_some() {}
        if tick >= SECONDS * TICKS {
            (sum, longest) = (sum + took, longest.max(took));
        }
    }
    (sum / (SECONDS * TICKS) as u32, longest, lines)
}

fn hostile(n: usize) -> String {
    let body = [ENDLESS, SWINGING, VETO][n % 3];
    format!("plugin \"hostile-{n}\" version 1 host 1\n{body}")
}

/// Measures under `cargo bench` alone.
fn main() {
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    let eight = |text: fn(usize) -> String| (0..8).map(text).collect::<Vec<_>>();
    let endless = |n: usize| format!("plugin \"endless-{n}\" version 1 host 1\n{ENDLESS}");
    let audit = |n: usize| AUDIT.replace("\"audit\"", &format!("\"audit-{n}\""));
    let kinds = [
        ("none", Vec::new()),
        ("eight audit rules", eight(audit)),
        ("eight endless ones", eight(endless)),
        ("eight endless, swinging and vetoing", eight(hostile)),
    ];
    // In turns, and the best of each, so that what else the machine does falls on all alike.
    let mut best = [(Duration::MAX, Duration::MAX, 0); 4];
    for _ in 0..ROUNDS {
        for (best, (_, texts)) in best.iter_mut().zip(&kinds) {
            let (mean, longest, orders) = day(texts);
            *best = (best.0.min(mean), best.1.min(longest), orders);
        }
    }
    println!(
        "{SERVERS} servers, {PROXIES} front ends, {SECONDS} s of {TICKS} ticks a second, best of {ROUNDS}"
    );
    for ((name, _), (mean, longest, orders)) in kinds.iter().zip(best) {
        let ratio = mean.as_secs_f64() / best[0].0.as_secs_f64();
        println!("{name:36} mean {mean:>9.1?}  longest {longest:>9.1?}  {ratio:.2} of none  {orders} orders");
    }
}
