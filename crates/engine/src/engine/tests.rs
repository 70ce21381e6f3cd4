//! The engine, from reports to orders.

mod discovery;
mod health_checks;
mod isolation;
mod log_events;
mod order_properties;
mod orders;
mod removed_servers;
mod reports;
mod scale;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use chutegrade_policy::{
    Action, AdmissionLevel, AdmissionUnit, Class, ClassSet, DecisionEvent, EndpointUpdateKind,
    Event, HealthChangeCause, HealthCheckOutcome, HealthState, Idempotency, Lifecycle, LoadReport,
    Micros, ProxyId, Retry, ServerId, Settings, TableId, ZoneId,
};
use chutegrade_records::Kind;
use proptest::prelude::*;

use super::report_handling::MAX_QUEUED_EVENTS;
use super::*;
use crate::endpoint::NamedEndpoint;
use crate::orders::{ServerWeight, TableUpdate};
use crate::report::Report;

const CLASSES: usize = 3;

fn settings(classes: usize) -> Settings {
    let class = Class {
        latency_objective: Micros(600_000),
        deadline: Micros(2_000_000),
        priority_weight: 1.0,
        idempotency: Idempotency::Idempotent,
        zone_local: false,
    };
    Settings {
        instances: 2,
        zones: 2,
        classes: vec![class; classes],
        proxies: 4,
        admission_unit: AdmissionUnit::Share,
        health_checks_allowed: true,
        channel_backlog: 5000.0,
        channel_lines_per_second: 4000.0,
        message_overhead: 3.0,
        max_delivery_delay: Micros(600_000),
        report_period: Micros(1_000_000),
        slow_start_period: Micros(10_000_000),
        slow_start_share: 0.3,
        overload_multiple: 3.0,
        ..Settings::default()
    }
}

/// Returns `prefix0`, `prefix1` and so on.
fn numbered_names(prefix: &str, count: usize) -> Vec<String> {
    (0..count)
        .map(|number| format!("{prefix}{number}"))
        .collect()
}

fn deployment_names(classes: usize) -> DeploymentNames {
    DeploymentNames {
        zones: numbered_names("z", 2),
        classes: numbered_names("c", classes),
        machine_kinds: numbered_names("k", 2),
    }
}

fn engine(classes: usize) -> Engine {
    Engine::new(settings(classes), 7, deployment_names(classes))
}

fn listed_endpoint(server: u32) -> NamedEndpoint {
    NamedEndpoint {
        name: format!("s{server}"),
        address: format!("127.0.0.1:{}", 1000 + server),
        zone: format!("z{}", server % 2),
        machine_kind: "k0".into(),
        weight: 4.0,
        ..NamedEndpoint::default()
    }
}

fn stream_opened(stream: u64, proxy: u32, has_no_table: bool) -> Report {
    Report::StreamOpened {
        stream: StreamId(stream),
        proxy,
        zone: "z0".into(),
        request_rate: 10.0,
        has_no_table,
    }
}

/// Returns the report of the requests that arrived at a proxy within a second.
fn demand(proxy: u32, class: &str, arrivals: f64) -> Report {
    Report::ProxyDemand {
        proxy,
        class: class.into(),
        arrivals,
        failed: 0.0,
        period: Micros(1_000_000),
    }
}

/// Creates an engine with four servers and no proxies, after its first tick.
fn engine_with_servers() -> Engine {
    let mut engine = engine(CLASSES);
    let endpoints = (0..4).map(listed_endpoint).collect();
    report_endpoints(&mut engine, EndpointUpdateKind::CachedSnapshot, endpoints);
    engine.tick(Micros(0));
    engine
}

fn report_endpoints(engine: &mut Engine, kind: EndpointUpdateKind, endpoints: Vec<NamedEndpoint>) {
    let report = Report::EndpointList(kind, endpoints);
    assert_eq!(engine.report(report), Ok(()));
}

/// Reports that the proxy of a stream has applied an order, which must request the acknowledgement.
fn acknowledge(engine: &mut Engine, stream: StreamId, order: &Order, elapsed: Micros) {
    let sequence = order.acknowledge.expect("an acknowledgement request");
    let report = Report::Acknowledged {
        stream,
        sequence,
        elapsed,
    };
    assert_eq!(engine.report(report), Ok(()));
}

/// Reports the outcome of a health check without a load report.
fn report_health_check(
    engine: &mut Engine,
    check: HealthCheck,
    outcome: HealthCheckOutcome,
    elapsed: Micros,
) {
    let report = Report::HealthChecked {
        check,
        outcome,
        elapsed,
        load: LoadReport::default(),
    };
    assert_eq!(engine.report(report), Ok(()));
}

fn to_strings(names: &[Rc<str>]) -> Vec<String> {
    names.iter().map(ToString::to_string).collect()
}

/// The state of a proxy after the orders written to it.
#[derive(Clone, Default)]
struct ProxyState {
    weights: BTreeMap<usize, BTreeMap<String, f64>>,
    admission_levels: BTreeMap<usize, AdmissionLevel>,
    suspended: BTreeSet<String>,
    last_sequence: Option<u16>,
}

impl ProxyState {
    fn apply(&mut self, order: &Order, class_count: usize) {
        for update in &order.updates {
            for class in updated_classes(update, class_count) {
                self.apply_update(update, class);
            }
        }
        self.suspended.extend(to_strings(&order.suspended));
        for name in &order.resumed {
            self.suspended.remove(&**name);
        }
        self.last_sequence = order.acknowledge.or(self.last_sequence);
    }

    fn apply_update(&mut self, update: &TableUpdate, class: usize) {
        let weights = self.weights.entry(class).or_default();
        if update.replace {
            weights.clear();
            self.admission_levels.remove(&class);
        }
        for entry in &update.weights {
            weights.insert(entry.server.to_string(), entry.weight);
        }
        weights.retain(|_, weight| *weight > 0.0);
        if let Some(level) = update.admission {
            self.admission_levels.insert(class, level);
        }
    }

    /// Returns the weights of the servers that the proxy may select for a class.
    fn eligible(&self, class: usize) -> BTreeMap<String, f64> {
        let weights = self.weights.get(&class).cloned().unwrap_or_default();
        weights
            .into_iter()
            .filter(|(name, _)| !self.suspended.contains(name))
            .collect()
    }
}

fn updated_classes(update: &TableUpdate, class_count: usize) -> Vec<usize> {
    if update.classes.is_empty() {
        return (0..class_count).collect();
    }
    let position = |name: &Rc<str>| name[1..].parse().expect("c and the position");
    update.classes.iter().map(position).collect()
}
