//! Settings, endpoints, events and small fleets for the tests.
#![allow(dead_code)]

mod fleet;
pub mod large_fleet;

use std::collections::BTreeSet;

use chutegrade_policy::{
    Action, AdmissionUnit, Class, Endpoint, Event, HealthCheckOutcome, Idempotency, Lifecycle,
    ListedWeight, LoadReport, Micros, PickPolicy, ProxyId, ReportSource, Retry, ServerId, Settings,
    ZoneId,
};

pub use fleet::Fleet;

pub fn ms(ms: i64) -> Micros {
    Micros(ms * 1000)
}

pub fn class(idempotency: Idempotency, zone_local: bool) -> Class {
    Class {
        latency_objective: ms(800),
        deadline: ms(2400),
        priority_weight: 2.0,
        idempotency,
        zone_local,
    }
}

pub fn settings() -> Settings {
    Settings {
        instances: 2,
        zones: 2,
        zone: ZoneId(0),
        classes: vec![
            class(Idempotency::Idempotent, false),
            class(Idempotency::NotIdempotent, false),
        ],
        proxies: 6,
        slices: 0,
        exclusive_ownership: false,
        lease: ms(3000),
        write_settle_time: ms(50),
        endpoints_on_request: false,
        poll_interval: ms(9000),
        admission_unit: AdmissionUnit::Share,
        default_retry: Retry::IfNotExecuted,
        attempt_timeout_factor: 0.9,
        pick_policy: PickPolicy::Random,
        proxy_ejection_threshold: 0,
        listed_weight: ListedWeight::ApproximateSize,
        report_source: ReportSource::ResponsesAndHealthChecks,
        report_period: ms(1000),
        health_checks_allowed: true,
        health_check_cost: 0.01,
        zone_crossing_cost: 0.01,
        channel_backlog: 5000.0,
        channel_lines_per_second: 4000.0,
        message_overhead: 5.0,
        max_delivery_delay: ms(700),
        idle_timeout: ms(12_000),
        max_messages: 25,
        message_window: ms(10_000),
        max_unserved: ms(5000),
        drain_grace: ms(2500),
        explicit_drain_only: false,
        slow_start_share: 0.2,
        slow_start_period: ms(16_000),
        overload_multiple: 3.0,
        overload_window: ms(3000),
    }
}

pub fn endpoint(id: u32) -> Endpoint {
    Endpoint {
        server: ServerId(id),
        zone: ZoneId((id % 2) as u16),
        machine_kind: 0,
        cell: 0,
        lifecycle: Lifecycle::InService,
        weight: 4.0,
        started_at: None,
    }
}

pub fn proxy_joined(id: u32) -> Event {
    Event::ProxyJoined {
        proxy: ProxyId(id),
        zone: ZoneId((id % 2) as u16),
        request_rate: 10.0,
        has_previous_table: false,
    }
}

pub fn server_outcomes(server: u32, attempts: f64, failed: f64, mean_latency_ms: f64) -> Event {
    let load = LoadReport::default();
    Event::ServerOutcomes {
        zone: ZoneId(0),
        server: ServerId(server),
        attempts,
        failed,
        mean_latency_ms,
        period: ms(1000),
        load,
    }
}

/// The same outcomes with a load report.
pub fn with_load(outcome: Event, report: LoadReport) -> Event {
    match outcome {
        Event::ServerOutcomes {
            zone,
            server,
            attempts,
            failed,
            mean_latency_ms,
            period,
            ..
        } => Event::ServerOutcomes {
            zone,
            server,
            attempts,
            failed,
            mean_latency_ms,
            period,
            load: report,
        },
        other => other,
    }
}

pub fn health_checked(server: ServerId, outcome: HealthCheckOutcome) -> Event {
    health_checked_after(server, outcome, ms(5))
}

pub fn health_checked_after(
    server: ServerId,
    outcome: HealthCheckOutcome,
    elapsed: Micros,
) -> Event {
    Event::HealthChecked {
        server,
        outcome,
        elapsed,
        load: LoadReport::default(),
    }
}

/// One second's outcomes of a healthy fleet, without the servers in `except`.
pub fn healthy(servers: u32, except: &[u32]) -> Vec<Event> {
    (0..servers)
        .filter(|id| !except.contains(id))
        .map(|id| server_outcomes(id, 8.0, 0.0, 200.0))
        .collect()
}

/// The endpoint list as expected by a test: the servers in service, and those that have restarted.
pub struct ListedServers {
    pub in_service: BTreeSet<u32>,
    pub warming: BTreeSet<u32>,
}

impl ListedServers {
    /// A list of `servers` warm servers in service.
    pub fn new(servers: u32) -> Self {
        ListedServers {
            in_service: (0..servers).collect(),
            warming: BTreeSet::new(),
        }
    }

    /// Applies events that are sent to a fleet, and drops the tables of proxies that join or leave.
    pub fn apply(&mut self, events: &[Event], fleet: &mut Fleet) {
        for event in events {
            match event {
                Event::EndpointList(_, entries) => {
                    for endpoint in entries {
                        let id = endpoint.server.0;
                        let set = |set: &mut BTreeSet<u32>, is_member: bool| {
                            if is_member {
                                set.insert(id)
                            } else {
                                set.remove(&id)
                            }
                        };
                        set(
                            &mut self.in_service,
                            endpoint.lifecycle == Lifecycle::InService,
                        );
                        set(&mut self.warming, endpoint.started_at.is_some());
                    }
                }
                Event::ProxyJoined { proxy, .. } | Event::ProxyLeft(proxy) => {
                    fleet.assigned_tables.remove(proxy);
                }
                _ => {}
            }
        }
    }
}

/// The sequence number of the acknowledgement that these actions request, if any.
pub fn requested_sequence(actions: &[Action]) -> Option<u16> {
    actions.iter().find_map(|action| match action {
        Action::RequestAcknowledgement { sequence, .. } => Some(*sequence),
        _ => None,
    })
}
