use super::*;
use crate::pb::{self, record::Kind, Record, State};
use crate::timeline::{Event, Gap, GapReason, Window};

const SECOND: i64 = 1_000_000;

fn event(by: &str, second: i64, kind: Kind) -> Event {
    let at_us = second * SECOND;
    let number = crate::kind::number(&kind);
    let record = Record {
        seq: 1,
        at_us,
        learned_us: at_us,
        kind: Some(kind),
    };
    Event {
        supervisor: by.into(),
        incarnation: 1,
        record,
        number,
        newer: None,
        at_us,
        ahead_us: 0,
    }
}

fn state(server: &str, state: State) -> Kind {
    Kind::StateChanged(pb::StateChanged {
        server: server.into(),
        state: state.into(),
        ..Default::default()
    })
}

fn observed(supervisor: &str, server: &str) -> ObservedServer {
    ObservedServer {
        supervisor: supervisor.into(),
        server: server.to_string(),
    }
}

fn statuses(history: &ServerHistory) -> Vec<ServerStatus> {
    history.spans.iter().map(|span| span.status).collect()
}

const WINDOW: Window = Window {
    from_us: 0,
    to_us: 300 * SECOND,
};

#[test]
fn an_incident_has_a_begin_a_first_event_and_an_end() {
    let events = [
        event("n0", 10, state("s-1", State::Reduced)),
        event("n1", 11, state("s-1", State::Withdrawn)),
        event("n0", 15, state("s-1", State::Full)),
        event("n1", 20, state("s-1", State::Full)),
        event("n0", 25, state("s-2", State::Reduced)),
        event("n0", 28, state("s-2", State::Full)),
        event("n0", 200, state("s-3", State::Reduced)),
    ];
    let reconstruction = reconstruct(&events, &[], WINDOW);
    let [first, second] = &reconstruction.incidents[..] else {
        panic!("{:?}", reconstruction.incidents)
    };
    assert_eq!(
        (first.from_us, first.ended_us),
        (10 * SECOND, Some(28 * SECOND))
    );
    assert!(
        first.first_event.starts_with("n0: s-1 reduced"),
        "{}",
        first.first_event
    );
    assert_eq!(first.withdrawn, BTreeSet::from(["s-1".to_string()]));
    assert_eq!((second.from_us, second.ended_us), (200 * SECOND, None));
    let history = &reconstruction.server_histories[&observed("n0", "s-1")];
    assert_eq!(
        statuses(history),
        [ServerStatus::Reduced, ServerStatus::Full]
    );
}

/// Faults that a supervisor recorded before a crash have no recorded end; they must end when it starts again.
#[test]
fn a_crash_of_a_supervisor_ends_its_faults_and_is_a_fault_itself() {
    let gap = Gap {
        supervisor: "n0".into(),
        from_us: 12 * SECOND,
        to_us: 18 * SECOND,
        reason: GapReason::Crashed,
        missing: 0,
        detail: String::new(),
    };
    let started = Kind::Started(pb::Started::default());
    let events = [
        event("n0", 10, state("s-1", State::Reduced)),
        event("n0", 18, started),
    ];
    let reconstruction = reconstruct(&events, &[gap], WINDOW);
    let [only] = &reconstruction.incidents[..] else {
        panic!("{:?}", reconstruction.incidents)
    };
    assert_eq!((only.ended_us, only.faults.len()), (Some(18 * SECOND), 2));
    let history = &reconstruction.server_histories[&observed("n0", "s-1")];
    assert_eq!(
        statuses(history),
        [ServerStatus::Reduced, ServerStatus::Unknown]
    );
}

#[test]
fn metrics_show_the_extent_of_an_incident() {
    let started = pb::Started {
        classes: vec!["lookup".into(), "order".into()],
        ..Default::default()
    };
    let gauge = |waiting, refused, level| {
        Kind::Gauge(pb::Gauge {
            waiting,
            refused,
            levels: vec![1.0, level],
            ..Default::default()
        })
    };
    let events = [
        event("n0", 1, Kind::Started(started)),
        event("n0", 2, gauge(5.0, 0.0, 1.0)),
        event("n0", 3, gauge(50.0, 0.4, 0.3)),
        event("n0", 4, gauge(7.0, 0.1, 0.9)),
    ];
    let reconstruction = reconstruct(&events, &[], WINDOW);
    assert_eq!(
        reconstruction.max_waiting,
        Some(Extreme {
            value: 50.0,
            at_us: 3 * SECOND,
            supervisor: "n0".into(),
        })
    );
    assert_eq!(
        reconstruction.max_rejected.map(|refused| refused.value),
        Some(0.4)
    );
    assert_eq!(
        (
            reconstruction.lowest_levels["order"].value,
            reconstruction.lowest_levels["lookup"].value
        ),
        (0.3, 1.0)
    );
}
