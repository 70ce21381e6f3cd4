#![allow(missing_docs)]
//! The cost of the decisions for large fleets: a tick of a steady fleet, and the joins of all its proxies, one batch
//! every two milliseconds, as after the loss of other instances.

use chutegrade_policy::{
    Action, AdmissionUnit, Class, Endpoint, EndpointUpdateKind, Event, Idempotency, LoadReport,
    Micros, Policy, ProxyId, ServerId, Settings, ZoneId,
};
use criterion::{criterion_group, criterion_main, BatchSize, BenchmarkId, Criterion};

const ZONES: u16 = 3;
/// Number of proxies that join in one batch.
const JOIN_BATCH_SIZE: u32 = 10;

fn settings(proxies: u32) -> Settings {
    let class = |idempotency| Class {
        latency_objective: Micros(600_000),
        deadline: Micros(2_000_000),
        priority_weight: 2.0,
        idempotency,
        zone_local: false,
    };
    Settings {
        instances: 5,
        zones: ZONES.into(),
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::NotIdempotent),
            class(Idempotency::Idempotent),
        ],
        proxies: proxies as usize,
        admission_unit: AdmissionUnit::Share,
        health_checks_allowed: true,
        channel_backlog: 60_000.0,
        channel_lines_per_second: 9_000.0,
        message_overhead: 3.0,
        max_delivery_delay: Micros(500_000),
        report_period: Micros(1_000_000),
        drain_grace: Micros(2_000_000),
        slow_start_share: 0.3,
        slow_start_period: Micros(10_000_000),
        overload_multiple: 3.0,
        ..Settings::default()
    }
}

fn join_events(from: u32, to: u32) -> Vec<Event> {
    let proxy_joined = |id: u32| Event::ProxyJoined {
        proxy: ProxyId(id),
        zone: ZoneId((id % u32::from(ZONES)) as u16),
        request_rate: 2.0 + f64::from(id % 5),
        has_previous_table: true,
    };
    (from..to).map(proxy_joined).collect()
}

/// An instance with an endpoint list.
fn started_policy(servers: u32, proxies: u32) -> Policy {
    let endpoint = |id: u32| Endpoint {
        server: ServerId(id),
        zone: ZoneId((id % u32::from(ZONES)) as u16),
        weight: 4.0,
        ..Endpoint::default()
    };
    let mut policy = Policy::new(settings(proxies), 7);
    policy.handle_events(
        Micros(0),
        &[Event::EndpointList(
            EndpointUpdateKind::CachedSnapshot,
            (0..servers).map(endpoint).collect(),
        )],
    );
    policy
}

/// Joins all proxies in batches; each round of orders is acknowledged at once.
fn join_all(policy: &mut Policy, proxies: u32) {
    for batch in 0..proxies / JOIN_BATCH_SIZE {
        let now = Micros(1_000_000 + 2000 * i64::from(batch));
        let actions = policy.handle_events(
            now,
            &join_events(batch * JOIN_BATCH_SIZE, (batch + 1) * JOIN_BATCH_SIZE),
        );
        acknowledge(policy, now, &actions);
    }
}

fn acknowledge(policy: &mut Policy, now: Micros, actions: &[Action]) {
    let sequence = actions.iter().find_map(|action| match action {
        Action::RequestAcknowledgement { sequence, .. } => Some(*sequence),
        _ => None,
    });
    let assigned_proxies = actions.iter().filter_map(|action| match action {
        Action::AssignTable { proxy, .. } => Some(*proxy),
        _ => None,
    });
    let elapsed = Micros(1000);
    let acknowledgements = sequence
        .into_iter()
        .flat_map(|sequence| assigned_proxies.clone().map(move |proxy| (proxy, sequence)));
    let acknowledgements: Vec<_> = acknowledgements
        .map(|(proxy, sequence)| Event::Acknowledged {
            proxy,
            sequence,
            elapsed,
        })
        .collect();
    policy.handle_events(now, &acknowledgements);
}

fn tick(c: &mut Criterion) {
    let mut group = c.benchmark_group("tick");
    group.sample_size(10);
    for (servers, proxies) in [(200, 500), (200, 2500), (512, 2500), (1024, 2500)] {
        let mut policy = started_policy(servers, proxies);
        join_all(&mut policy, proxies);
        let mut now = Micros(60_000_000);
        let server_outcomes = |id: u32| Event::ServerOutcomes {
            zone: ZoneId(0),
            server: ServerId(id),
            attempts: 8.0,
            failed: 0.0,
            mean_latency_ms: 120.0 + f64::from(id % 7),
            period: Micros(1_000_000),
            load: LoadReport {
                queued: Some(0.5),
                ..LoadReport::default()
            },
        };
        let mut events: Vec<Event> = (0..servers).map(server_outcomes).collect();
        events.push(Event::Timer(1));
        let size = format!("{servers} servers, {proxies} proxies");
        group.bench_function(BenchmarkId::new("steady", &size), |b| {
            b.iter(|| {
                now = now + Micros(500_000);
                policy.handle_events(now, &events)
            });
        });
        group.bench_function(BenchmarkId::new("all join", &size), |b| {
            b.iter_batched(
                || started_policy(servers, proxies),
                |mut policy| join_all(&mut policy, proxies),
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, tick);
criterion_main!(benches);
