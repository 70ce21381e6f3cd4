//! A build as a child process on the fleet model: the same build gives the same figures, and failures are reported.

use std::sync::Arc;

use chutegrade_adapter::remote_policy::{spawn, FirstError, RemotePolicyConfig};
use chutegrade_engine::{DecisionPolicy, Settings};
use chutegrade_model::{play, scenario, Setup};
use chutegrade_settings::DeploymentNames;

const FLEET: &str = "seconds: 14 zone: 'a' zone: 'b' kind { servers: 10 cores: 2 } front_ends { count: 6 }\n\
    class { name: 'read' share: 2 work_ms: 50 } class { name: 'order' work_ms: 80 effect: UNSAFE } load { level: 0.6 }\n\
    trouble { sort: SLOW at_s: 4 length_s: 6 part: 0.3 size: 6 } trouble { sort: CRASH at_s: 6 length_s: 4 part: 0.1 }\n\
    trouble { sort: REPLACE at_s: 5 length_s: 3 part: 0.2 size: 3 extra: 4 }";

/// Creates a setup whose decisions are made by a program that speaks the wire protocol.
fn remote_setup(command: &str, first_error: &FirstError) -> Setup {
    let name = command.to_string();
    let command = command.to_string();
    let first_error = Arc::clone(first_error);
    let make = move |settings: &Settings, seed: u64| -> Box<dyn DecisionPolicy> {
        let names = DeploymentNames {
            zones: vec!["a".into(), "b".into()],
            classes: vec!["read".into(), "order".into()],
            machine_kinds: Vec::new(),
        };
        let config = RemotePolicyConfig {
            command: &command,
            settings,
            names: &names,
            seed,
        };
        spawn(&config, &first_error)
    };
    Setup {
        alternative_policy: Some(chutegrade_model::AlternativePolicy {
            name,
            create: Arc::new(make),
        }),
        ..Setup::default()
    }
}

/// A comparison of builds must show differences of their decisions, not of the codec.
#[test]
fn the_same_build_over_the_wire_gives_identical_figures() {
    let scenario = scenario::read(FLEET).unwrap_or_else(|errors| panic!("{errors:?}"));
    let first_error = FirstError::default();
    let direct = play(&scenario, &Setup::default(), 3);
    let over_the_wire = play(
        &scenario,
        &remote_setup(env!("CARGO_BIN_EXE_chutegrade-adapter"), &first_error),
        3,
    );
    assert_eq!(first_error.lock().expect("no panic").clone(), None);
    assert!(direct.figure("channel") > 0.0, "orders were sent");
    assert_eq!(direct, over_the_wire);
}

#[test]
fn an_invalid_reply_and_an_early_exit_are_reported() {
    let scenario = scenario::read(FLEET).unwrap_or_else(|errors| panic!("{errors:?}"));
    for (command, expected) in [
        ("/bin/cat", "remote decision module sent an invalid reply: "),
        ("/bin/true", "remote decision module: "),
    ] {
        let first_error = FirstError::default();
        play(&scenario, &remote_setup(command, &first_error), 1);
        let error = first_error
            .lock()
            .expect("no panic")
            .clone()
            .unwrap_or_default();
        assert!(error.starts_with(expected), "{command}: {error}");
    }
}
