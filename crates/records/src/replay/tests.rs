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
fn the_state_follows_events_and_is_corrected_by_a_record_of_all_servers() {
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
    let (one, two) = (&fleet_state.servers["s-1"], &fleet_state.servers["s-2"]);
    assert_eq!((one.state, one.since_us, two.since_us), (State::Full, 5, 0));
    let gone = pb::LifeChanged {
        server: "s-1".into(),
        life: Life::Gone.into(),
        ..Default::default()
    };
    fleet_state.apply(&record(6, Kind::LifeChanged(gone)));
    assert_eq!(fleet_state.servers.len(), 1);
}

/// A moment long after the start is read without it.
#[test]
fn a_moment_long_after_the_start_knows_the_classes() {
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
        "a record of an earlier version takes nothing away"
    );
}

/// A new incarnation must not show what the previous one knew.
#[test]
fn a_new_incarnation_begins_with_nothing() {
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
