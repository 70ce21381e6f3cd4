//! The inputs of plug-ins, from an engine or from records.

use std::iter;
use std::sync::Arc;

use chutegrade_engine::{ClassInfo, Engine, Idempotency};
use chutegrade_plugins::inputs::{Class, Fleet, Inputs, Server};
use chutegrade_records::replay::{FleetState, ServerState as RecordedServer};
use chutegrade_records::{pb, text};

/// Returns the inputs of plug-ins from the current state of an engine.
pub fn inputs_from_engine(engine: &Engine) -> Inputs {
    let metrics = engine.fleet_metrics();
    let snapshot = engine.server_snapshot();
    let zones = engine.deployment_names().zones;
    let classes = engine.classes().iter().zip(admitted_shares(&metrics));
    Inputs {
        servers: snapshot.servers.iter().map(server_from_status).collect(),
        classes: classes
            .map(|(class, admitted_share)| class_from_engine(class, admitted_share))
            .collect(),
        zones: zone_names(&zones),
        fleet: fleet_from_metrics(&metrics, engine.fleet_status().request_rate),
    }
}

/// Returns the inputs of plug-ins from a recorded state of the fleet. The request rate is not recorded and is 0.
pub fn inputs_from_records(fleet: &FleetState, zones: &[String]) -> Inputs {
    let metrics = fleet.gauge.clone().unwrap_or_default();
    let classes = fleet.classes.iter().zip(admitted_shares(&metrics));
    Inputs {
        servers: fleet
            .servers
            .iter()
            .map(|(name, server)| server_from_record(name, server))
            .collect(),
        classes: classes
            .map(|(name, admitted_share)| class_from_records(name, admitted_share))
            .collect(),
        zones: zone_names(zones),
        fleet: fleet_from_metrics(&metrics, 0.0),
    }
}

/// Returns the admitted share of each class; classes that the metrics do not list are admitted in full.
fn admitted_shares(metrics: &pb::Gauge) -> impl Iterator<Item = f64> + '_ {
    metrics.levels.iter().copied().chain(iter::repeat(1.0))
}

fn class_from_engine(class: &ClassInfo, admitted_share: f64) -> Class {
    Class {
        name: class.name.as_str().into(),
        idempotency: idempotency_name(class.class.idempotency).into(),
        priority_weight: class.class.priority_weight,
        admitted_share,
    }
}

/// Returns the value of `effect` in the hook language: whether a request can be repeated.
fn idempotency_name(idempotency: Idempotency) -> &'static str {
    match idempotency {
        Idempotency::Idempotent => "safe",
        Idempotency::Keyed(..) => "keyed",
        Idempotency::NotIdempotent => "unsafe",
    }
}

fn class_from_records(name: &str, admitted_share: f64) -> Class {
    Class {
        admitted_share,
        ..Class::idempotent(name)
    }
}

fn server_from_status(status: &pb::Server) -> Server {
    server_from_record(&status.name, &RecordedServer::from(status))
}

fn server_from_record(name: &str, server: &RecordedServer) -> Server {
    Server {
        name: name.into(),
        zone: server.zone.as_str().into(),
        state: text::state(server.state).into(),
        lifecycle: text::lifecycle(server.lifecycle).into(),
        score: server.score,
        errors: server.errors,
        latency: server.latency,
        weight: server.weight,
        warmth: server.warmth,
    }
}

fn zone_names(zones: &[String]) -> Vec<Arc<str>> {
    zones.iter().map(|zone| zone.as_str().into()).collect()
}

/// Converts metrics of the fleet. `request_rate` is in requests per second.
fn fleet_from_metrics(metrics: &pb::Gauge, request_rate: f64) -> Fleet {
    Fleet {
        saturation: metrics.strain,
        refused: metrics.refused,
        waiting: metrics.waiting,
        streams: f64::from(metrics.streams),
        demand: request_rate,
    }
}
