//! Log events and records.

use super::*;
use crate::log_events::MAX_QUEUED_EVENTS;

fn take_log_events(engine: &mut Engine, now: Micros) -> Vec<LogEvent> {
    std::iter::from_fn(|| engine.take_log_event(now)).collect()
}

#[test]
fn only_events_for_the_log_are_made_without_recording() {
    let mut engine = engine_with_servers();
    let withdrawn = DecisionEvent::HealthChanged {
        server: ServerId(2),
        zone: ZoneId(0),
        state: HealthState::Withdrawn,
        score: 0.1,
        errors: 0.0,
        latency: 1.0,
        cause: HealthChangeCause::Errors,
    };
    let set_weight = Action::SetWeight {
        table: TableId(0),
        server: ServerId(1),
        weight: 1.0,
    };
    take_log_events(&mut engine, Micros(0));
    let actions = vec![Action::Emit(withdrawn), set_weight.clone()];
    engine.execute_actions(Micros(7), actions);
    let event = engine.take_log_event(Micros(8)).expect("an event");
    assert_eq!((event.occurred_at, event.logged), (Micros(7), true));
    let text = chutegrade_records::text::line(&event.kind);
    assert_eq!(
        text,
        "s2 withdrawn, score 0.10: errors 0.00 latency 1.00, attempts failed"
    );
    assert_eq!(engine.take_log_event(Micros(8)), None);
    engine.enable_recording();
    engine.execute_actions(Micros(9), vec![set_weight]);
    let event = engine.take_log_event(Micros(9)).expect("an event");
    assert!(matches!(event.kind, Kind::Published(published) if published.lines == 1));
    assert!(!event.logged);
}

/// Without a limit, a failing fleet would fill memory with events that are never taken.
#[test]
fn queued_events_are_bounded_and_dropped_ones_counted() {
    let mut engine = engine_with_servers();
    take_log_events(&mut engine, Micros(0));
    let resharded = |shards| {
        Action::Emit(DecisionEvent::Resharded {
            shards,
            narrowed: false,
        })
    };
    let actions = (0..MAX_QUEUED_EVENTS + 10).map(resharded).collect();
    engine.execute_actions(Micros(5), actions);
    let dropped = engine.take_log_event(Micros(6)).expect("an event");
    assert!(
        matches!(&dropped.kind, Kind::Lost(lost) if lost.count == 10),
        "{dropped:?}"
    );
    let queued = take_log_events(&mut engine, Micros(6));
    assert_eq!(queued.len(), MAX_QUEUED_EVENTS);
}

/// Time of the tick in [`engine_with_observations`].
const OBSERVED_AT: Micros = Micros(50_000_000);

/// Creates an engine that at [`OBSERVED_AT`] processed a start 10 s earlier and failures during the last 2 s.
fn engine_with_observations() -> Engine {
    let mut engine = engine_with_servers();
    engine.enable_recording();
    let restarted = NamedEndpoint {
        started_at: Some(Micros(40_000_000)),
        ..listed_endpoint(1)
    };
    report_endpoints(&mut engine, EndpointUpdateKind::Delta, vec![restarted]);
    let outcomes = Report::ServerOutcomes {
        zone: "z1".into(),
        server: "s1".into(),
        attempts: 10.0,
        failed: 9.0,
        mean_latency_ms: 1.0,
        period: Micros(2_000_000),
        load: LoadReport::default(),
    };
    assert_eq!(engine.report(outcomes), Ok(()));
    engine.tick(OBSERVED_AT);
    engine
}

/// A start and a failure have the time at which they began, not the time of their report.
#[test]
fn an_observation_has_the_time_at_which_it_began() {
    let mut engine = engine_with_observations();
    let events = take_log_events(&mut engine, OBSERVED_AT);
    let times = |matches_kind: fn(&Kind) -> bool| {
        let event = events.iter().find(|event| matches_kind(&event.kind))?;
        Some((event.occurred_at, event.observed_at))
    };
    assert_eq!(
        times(|kind| matches!(kind, Kind::ServerStarted(_))),
        Some((Micros(40_000_000), OBSERVED_AT))
    );
    assert_eq!(
        times(|kind| matches!(kind, Kind::Failing(_))),
        Some((Micros(48_000_000), OBSERVED_AT))
    );
}

#[test]
fn metrics_count_each_server_of_the_snapshot_once() {
    let engine = engine_with_observations();
    let snapshot = engine.server_snapshot();
    let mut servers = snapshot.servers.iter();
    assert!(servers.any(|server| server.name == "s1" && server.zone == "z1"));
    let metrics = engine.fleet_metrics();
    let counted =
        metrics.full + metrics.reduced + metrics.withdrawn + metrics.cold + metrics.leaving;
    assert_eq!(counted as usize, snapshot.servers.len());
}
