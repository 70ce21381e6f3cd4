//! Health checks and their results.

use std::cell::RefCell;

use super::*;

#[test]
fn due_timers_fire_and_health_checks_have_current_addresses() {
    let mut engine = engine_with_servers();
    let next = engine.tick(Micros(1)).expect("the module's own timer");
    assert!(next > Micros(1));
    assert_eq!(engine.take_health_check(), None, "no proxy is joined");
    assert_eq!(engine.report(stream_opened(1, 0, true)), Ok(()));
    engine.tick(Micros(10_000));
    let check = engine.take_health_check().expect("a health check");
    assert_eq!(check.address, "127.0.0.1:1000");
    report_health_check(&mut engine, check, HealthCheckOutcome::Passed, Micros(3000));
    assert!(!engine.events.is_empty());
    let moved = NamedEndpoint {
        address: "127.0.0.1:9".into(),
        ..listed_endpoint(1)
    };
    report_endpoints(&mut engine, EndpointUpdateKind::Delta, vec![moved]);
    engine.tick(next);
    assert!(engine.events.is_empty());
    assert!(engine.tick(next) > Some(next));
    let mut checks = std::iter::from_fn(|| engine.take_health_check());
    assert!(checks.any(|check| check.address == "127.0.0.1:9"));
}

/// Outcomes that the policy received, newest last.
type Outcomes = Rc<RefCell<Vec<HealthCheckOutcome>>>;

/// A policy that checks each listed server and stores the outcomes.
#[derive(Default)]
struct CheckingPolicy {
    outcomes: Outcomes,
}

impl DecisionPolicy for CheckingPolicy {
    fn handle_events(&mut self, _: Micros, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        for event in events {
            match event {
                Event::EndpointList(_, endpoints) => {
                    let servers = endpoints.iter().map(|endpoint| endpoint.server);
                    actions.extend(servers.map(Action::HealthCheck));
                }
                Event::HealthChecked { outcome, .. } => self.outcomes.borrow_mut().push(*outcome),
                _ => {}
            }
        }
        actions
    }
}

/// Reports an endpoint; returns the health check that the policy requests for it.
fn check_of(engine: &mut Engine, endpoint: NamedEndpoint) -> HealthCheck {
    report_endpoints(engine, EndpointUpdateKind::Delta, vec![endpoint]);
    engine.tick(Micros(0));
    engine.take_health_check().expect("a health check")
}

/// Reports that a health check did not reach its server; returns the outcome that the policy receives.
fn outcome_of_unreachable(
    engine: &mut Engine,
    outcomes: &Outcomes,
    check: HealthCheck,
) -> HealthCheckOutcome {
    report_health_check(engine, check, HealthCheckOutcome::Unreachable, Micros(1000));
    engine.tick(Micros(0));
    outcomes.borrow_mut().pop().expect("an outcome")
}

/// The result for an earlier process, or for another address, must not count against a process that has just started
/// under the same name.
#[test]
fn a_health_check_of_an_earlier_process_is_inconclusive() {
    let policy = CheckingPolicy::default();
    let outcomes = Rc::clone(&policy.outcomes);
    let names = DeploymentNames {
        zones: vec!["z0".into()],
        ..DeploymentNames::default()
    };
    let mut engine = Engine::with_policy(Box::new(policy), &settings(CLASSES), names);
    let moved = NamedEndpoint {
        address: "127.0.0.1:9".into(),
        ..listed_endpoint(0)
    };
    let restarted = NamedEndpoint {
        started_at: Some(Micros(5)),
        ..moved.clone()
    };
    let first_check = check_of(&mut engine, listed_endpoint(0));
    let second_check = check_of(&mut engine, listed_endpoint(0));
    assert_eq!(
        outcome_of_unreachable(&mut engine, &outcomes, first_check),
        HealthCheckOutcome::Unreachable,
        "listed again, but unchanged"
    );
    let moved_check = check_of(&mut engine, moved);
    assert_eq!(
        outcome_of_unreachable(&mut engine, &outcomes, second_check),
        HealthCheckOutcome::Inconclusive,
        "the server has another address now"
    );
    let restarted_check = check_of(&mut engine, restarted);
    assert_eq!(
        outcome_of_unreachable(&mut engine, &outcomes, moved_check),
        HealthCheckOutcome::Inconclusive,
        "the server has restarted at the same address"
    );
    assert_eq!(
        outcome_of_unreachable(&mut engine, &outcomes, restarted_check),
        HealthCheckOutcome::Unreachable
    );
}
