use super::*;

fn record(at_us: i64, kind: Kind) -> Record {
    Record {
        seq: 1,
        at_us,
        learned_us: at_us,
        kind: Some(kind),
    }
}

fn state(server: &str, state: State) -> Kind {
    let zone = "a".to_string();
    Kind::StateChanged(pb::StateChanged {
        server: server.into(),
        zone,
        state: state.into(),
        ..Default::default()
    })
}

#[test]
fn events_change_the_state_and_a_fleet_record_corrects_it() {
    let mut fleet_state = FleetState::default();
    fleet_state.apply(&record(1, state("s-1", State::Withdrawn)));
    assert_eq!(fleet_state.servers["s-1"].state, State::Withdrawn);
    let all = ["s-1", "s-2"].map(|name| pb::Server {
        name: name.into(),
        zone: "a".into(),
        ..Default::default()
    });
    fleet_state.apply(&record(
        5,
        Kind::Fleet(pb::Fleet {
            servers: all.into(),
            ..pb::Fleet::default()
        }),
    ));
    let (first, second) = (&fleet_state.servers["s-1"], &fleet_state.servers["s-2"]);
    assert_eq!(
        (first.state, first.since_us, second.since_us),
        (State::Full, 5, 0)
    );
    let gone = pb::LifeChanged {
        server: "s-1".into(),
        life: Life::Gone.into(),
        ..Default::default()
    };
    fleet_state.apply(&record(6, Kind::LifeChanged(gone)));
    assert_eq!(fleet_state.servers.len(), 1);
}

/// Records are read from shortly before a moment, so that the start of the supervisor may not be among them.
#[test]
fn classes_are_known_without_the_start_record() {
    let mut fleet_state = FleetState::default();
    let classes = vec!["x".to_string(), "y".to_string()];
    let fleet = pb::Fleet {
        classes: classes.clone(),
        ..pb::Fleet::default()
    };
    fleet_state.apply(&record(30_000_000, Kind::Fleet(fleet)));
    assert_eq!(fleet_state.classes, classes);
    fleet_state.apply(&record(50_000_000, Kind::Fleet(pb::Fleet::default())));
    assert_eq!(
        fleet_state.classes, classes,
        "a fleet record without classes, of an earlier version, keeps them"
    );
}

/// The state of the previous incarnation must not be shown for a new one.
#[test]
fn a_new_incarnation_starts_with_an_empty_state() {
    let mut fleet_state = FleetState::default();
    fleet_state.apply(&record(1, state("s-1", State::Reduced)));
    fleet_state.apply(&record(2, Kind::Stopped(pb::Stopped::default())));
    assert!(fleet_state.is_stopped);
    fleet_state.apply(&record(
        3,
        Kind::Started(pb::Started {
            classes: vec!["x".into()],
            ..Default::default()
        }),
    ));
    assert_eq!(
        (
            fleet_state.servers.len(),
            fleet_state.is_stopped,
            fleet_state.classes.len()
        ),
        (0, false, 1)
    );
}
