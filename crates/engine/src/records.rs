//! Conversion of decision events and statuses to stored records.
//!
//! The names in the stored protobuf types are fixed and differ from the names in the code; this module maps them.

use chutegrade_policy::{
    AdmissionLevel, DecisionEvent, FleetStatus, HealthChangeCause, HealthState, Lifecycle, Micros,
    ServerId, ServerStatus, TableId, ZoneId,
};
use chutegrade_records::{pb, Kind};

fn health_state_record(state: HealthState) -> pb::State {
    match state {
        HealthState::Full => pb::State::Full,
        HealthState::Reduced => pb::State::Reduced,
        HealthState::Withdrawn => pb::State::Withdrawn,
    }
}

fn lifecycle_record(lifecycle: Lifecycle) -> pb::Life {
    match lifecycle {
        Lifecycle::InService => pb::Life::InService,
        Lifecycle::Draining => pb::Life::Draining,
        Lifecycle::Removed => pb::Life::Gone,
    }
}

fn cause_record(cause: HealthChangeCause) -> pb::Cause {
    match cause {
        HealthChangeCause::Score => pb::Cause::Score,
        HealthChangeCause::Errors => pb::Cause::Errors,
        HealthChangeCause::Latency => pb::Cause::Latency,
        HealthChangeCause::HealthChecks => pb::Cause::Probes,
        HealthChangeCause::EjectionElapsed => pb::Cause::TriedAgain,
        HealthChangeCause::SustainedRecovery => pb::Cause::GoodTicks,
    }
}

fn saturating_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Converts a decision event to a record, with names instead of ids.
#[expect(clippy::too_many_lines, reason = "one simple arm for each event")]
pub fn decision_record(
    event: &DecisionEvent,
    server_name: impl Fn(ServerId) -> String,
    zone_name: impl Fn(ZoneId) -> String,
) -> Kind {
    match *event {
        DecisionEvent::HealthChanged {
            server,
            zone,
            state,
            score,
            errors,
            latency,
            cause,
        } => Kind::StateChanged(pb::StateChanged {
            server: server_name(server),
            zone: zone_name(zone),
            state: health_state_record(state).into(),
            score,
            errors,
            latency,
            cause: cause_record(cause).into(),
        }),
        DecisionEvent::LifecycleChanged {
            server,
            zone,
            lifecycle,
        } => Kind::LifeChanged(pb::LifeChanged {
            server: server_name(server),
            zone: zone_name(zone),
            life: lifecycle_record(lifecycle).into(),
        }),
        DecisionEvent::WarmingWithheld {
            withheld,
            attempts_per_answer,
        } => Kind::ColdHeld(pb::ColdHeld {
            held: withheld,
            tries: attempts_per_answer,
        }),
        DecisionEvent::ZonePartition {
            zone,
            partitioned,
            unanswered_share,
        } => Kind::ZoneCut(pb::ZoneCut {
            zone: zone_name(zone),
            cut: partitioned,
            mute: unanswered_share,
        }),
        DecisionEvent::Saturation {
            shed_share,
            saturation,
            queue_term,
            latency_term,
            unanswered_term,
        } => Kind::Saturation(pb::Saturation {
            refused: shed_share,
            strain: saturation,
            queues: queue_term,
            probes: latency_term,
            mute: unanswered_term,
        }),
        DecisionEvent::AdviceOverruled { table, overruled } => Kind::AdviceVoid(pb::AdviceVoid {
            table: u32::from(table.0),
            void: overruled,
        }),
        DecisionEvent::Resharded { shards, narrowed } => Kind::Parts(pb::Parts {
            parts: saturating_u32(shards),
            narrowed,
        }),
    }
}

/// Converts the admission level of a class to a record; `table` is `None` for a level of all joined proxies.
pub(crate) fn admission_record(
    class: String,
    table: Option<TableId>,
    level: AdmissionLevel,
    saturation: f64,
) -> Kind {
    Kind::Level(pb::Level {
        class,
        level: level.level,
        retry: level.retry as u32,
        table: table.map_or(0, |table| u32::from(table.0)),
        strain: saturation,
    })
}

/// Converts the suspension or resumption of a server to a record, with the number of affected streams.
pub(crate) fn suspension_record(server: String, suspended: bool, streams: u32) -> Kind {
    Kind::Withdrawn(pb::Withdrawn {
        server,
        out: suspended,
        streams,
    })
}

/// Numbers of changes that one batch of actions made to the state of proxies.
#[derive(Clone, Copy, Default, PartialEq)]
pub(crate) struct PublishedCounts {
    /// Number of weights set.
    pub weights: u32,
    /// Number of tables assigned.
    pub assignments: u32,
    /// Number of servers suspended or resumed, plus reconciled proxies.
    pub suspensions: u32,
}

/// Converts the changes of one batch to a record, with the number of streams that have a new order to
/// write.
pub(crate) fn published_record(counts: PublishedCounts, streams: usize) -> Kind {
    Kind::Published(pb::Published {
        lines: counts.weights,
        binds: counts.assignments,
        withdrawals: counts.suspensions,
        streams: saturating_u32(streams),
    })
}

/// Returns the record of a server's start.
pub(crate) fn server_started_record(server: &str, zone: &str) -> Kind {
    Kind::ServerStarted(pb::ServerStarted {
        server: server.to_string(),
        zone: zone.to_string(),
    })
}

/// Events that were dropped because the queue was full.
pub(crate) struct DroppedEvents {
    /// Number of dropped events.
    pub count: u64,
    /// Time of the first dropped event.
    pub first_at: Micros,
    /// Time of the last dropped event.
    pub last_at: Micros,
}

/// Converts dropped events to a record.
pub(crate) fn dropped_record(dropped: &DroppedEvents) -> Kind {
    Kind::Lost(pb::Lost {
        count: dropped.count,
        from_us: dropped.first_at.0,
        to_us: dropped.last_at.0,
        reason: "queue".to_string(),
    })
}

/// Converts the status of a server to a record.
pub(crate) fn server_record(name: String, zone: String, status: &ServerStatus) -> pb::Server {
    pb::Server {
        name,
        zone,
        state: health_state_record(status.state).into(),
        life: lifecycle_record(status.endpoint.lifecycle).into(),
        score: status.score,
        errors: status.terms.errors,
        latency: status.terms.latency,
        weight: status.weight,
        warmth: status.warm_up_share,
        shut: status.suspended,
    }
}

/// Converts the status of the fleet, with the number of servers in each state, to a record.
pub(crate) fn fleet_record(
    fleet: FleetStatus,
    proxy_count: usize,
    servers: impl Iterator<Item = ServerStatus>,
) -> pb::Gauge {
    let mut record = pb::Gauge {
        waiting: fleet.queued_lines,
        refused: fleet.shed_share,
        strain: fleet.saturation,
        streams: saturating_u32(proxy_count),
        levels: fleet.admitted_shares,
        ..pb::Gauge::default()
    };
    for server in servers {
        *server_counter(&mut record, &server) += 1;
    }
    record
}

/// Returns the counter for a server's state.
fn server_counter<'a>(record: &'a mut pb::Gauge, server: &ServerStatus) -> &'a mut u32 {
    match (server.endpoint.lifecycle, server.state) {
        (Lifecycle::InService, HealthState::Withdrawn) => &mut record.withdrawn,
        (Lifecycle::InService, _) if server.warm_up_share < 1.0 => &mut record.cold,
        (Lifecycle::InService, HealthState::Reduced) => &mut record.reduced,
        (Lifecycle::InService, HealthState::Full) => &mut record.full,
        _ => &mut record.leaving,
    }
}
