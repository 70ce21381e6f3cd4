//! Advice of plug-ins: it lowers weights, redirects traffic and violates no invariant.

mod common;
use std::collections::BTreeSet;

use chutegrade_policy::*;
use common::*;
use proptest::prelude::*;

fn far_future_advice() -> Advice {
    Advice {
        expires_at: ms(i64::from(u32::MAX)),
        ..Advice::default()
    }
}

/// The same factors for the proxies of all zones.
fn factors(entries: &[(u32, Option<u8>, f64)]) -> Vec<WeightFactor> {
    let zones = [ZoneId(0), ZoneId(1)];
    let each = zones
        .into_iter()
        .flat_map(|zone| entries.iter().map(move |entry| (zone, entry)));
    each.map(|(zone, (id, class, factor))| WeightFactor {
        server: ServerId(*id),
        zone,
        class: class.map(ClassId),
        factor: *factor,
    })
    .collect()
}

/// Runs for some seconds and renews the advice every second, as the plug-in host does.
fn run_with_advice(fleet: &mut Fleet, seconds: u32, advice: &Advice, each_second: &[Event]) {
    let mut events = each_second.to_vec();
    events.push(Event::Advice(advice.clone()));
    fleet.run(seconds, &events);
}

#[test]
fn advice_lowers_a_weight_until_it_expires() {
    let mut fleet = Fleet::new(settings(), 8, 4);
    fleet.run(3, &healthy(8, &[]));
    let advice = Advice {
        factors: factors(&[(2, None, 0.25)]),
        ..far_future_advice()
    };
    run_with_advice(&mut fleet, 8, &advice, &healthy(8, &[]));
    let share = fleet.weight(2) / fleet.weight(3);
    assert!((share - 0.25).abs() < 0.06, "{share}");
    // The advice is not renewed: the weight is restored once it expires.
    fleet.run(20, &healthy(8, &[]));
    assert!(
        (fleet.weight(2) / fleet.weight(3) - 1.0).abs() < 0.06,
        "{}",
        fleet.weight(2)
    );
}

#[test]
fn an_exclusion_applies_until_it_ends() {
    let mut fleet = Fleet::new(settings(), 8, 4);
    fleet.run(3, &healthy(8, &[]));
    let advice = Advice {
        excluded: vec![ServerExclusion {
            server: ServerId(5),
            until: fleet.now + ms(9000),
        }],
        ..far_future_advice()
    };
    run_with_advice(&mut fleet, 6, &advice, &healthy(8, &[]));
    assert_eq!(fleet.weight(5), 0.0);
    run_with_advice(&mut fleet, 10, &advice, &healthy(8, &[]));
    assert!(
        fleet.weight(5) > 0.0,
        "the advice still contains it, but the exclusion ended"
    );
}

#[test]
fn advice_on_a_class_with_separate_tables_does_not_affect_other_classes() {
    let mut fleet = Fleet::new(settings(), 8, 4);
    fleet.run(3, &healthy(8, &[]));
    let separate_tables = ClassSet::default().with(1);
    let advice = Advice {
        factors: factors(&[(2, Some(1), 0.0)]),
        separate_tables,
        ..far_future_advice()
    };
    run_with_advice(&mut fleet, 8, &advice, &healthy(8, &[]));
    for proxy in 0..4u32 {
        let assigned_tables = &fleet.assigned_tables[&ProxyId(proxy)];
        let table = |class| {
            assigned_tables
                .iter()
                .rev()
                .find(|(_, classes)| classes.has(class))
                .expect("assigned")
                .0
        };
        let weight = |class| {
            fleet.tables[&table(class)]
                .get(&ServerId(2))
                .copied()
                .unwrap_or(0.0)
        };
        assert_ne!(table(0), table(1), "separate tables");
        assert!(
            weight(0) > 0.0 && weight(1) == 0.0,
            "{} {}",
            weight(0),
            weight(1)
        );
    }
    assert!(fleet
        .retries
        .values()
        .all(|retry| *retry == Retry::IfNotExecuted));
}

#[test]
fn caps_and_retry_bans_only_restrict_and_expire() {
    let mut fleet = Fleet::new(settings(), 8, 4);
    fleet.run(3, &healthy(8, &[]));
    let caps = vec![
        ClassShare {
            class: ClassId(0),
            share: 0.4,
        },
        ClassShare {
            class: ClassId(1),
            share: 0.0,
        },
    ];
    let advice = Advice {
        caps,
        no_retry: ClassSet::default().with(1),
        ..far_future_advice()
    };
    run_with_advice(&mut fleet, 7, &advice, &healthy(8, &[]));
    assert_eq!(
        (fleet.levels[&0], fleet.levels[&1]),
        (0.4, 0.1),
        "a class is never shed completely"
    );
    assert_eq!(
        (fleet.retries[&0], fleet.retries[&1]),
        (Retry::IfNotExecuted, Retry::Never)
    );
    fleet.run(20, &healthy(8, &[]));
    assert_eq!(
        (fleet.levels[&0], fleet.levels[&1], fleet.retries[&1]),
        (1.0, 1.0, Retry::IfNotExecuted)
    );
}

/// Advice that excludes too many servers would leave proxies without a server, or send all requests to the last ones.
#[test]
fn advice_that_leaves_too_little_capacity_is_overruled_and_reported() {
    for excluded in [8, 7, 5] {
        let mut fleet = Fleet::new(settings(), 8, 4);
        fleet.run(3, &healthy(8, &[]));
        let all: Vec<(u32, Option<u8>, f64)> = (0..excluded).map(|id| (id, None, 0.0)).collect();
        run_with_advice(
            &mut fleet,
            8,
            &Advice {
                factors: factors(&all),
                ..far_future_advice()
            },
            &healthy(8, &[]),
        );
        assert!(
            (0..8).all(|id| fleet.weight(id) == 4.0),
            "{excluded} of 8 excluded"
        );
        let overruled = fleet.actions.iter().any(|a| {
            matches!(
                a,
                Action::Emit(DecisionEvent::AdviceOverruled {
                    overruled: true,
                    ..
                })
            )
        });
        assert!(overruled, "{excluded} of 8 excluded");
    }
}

/// Advice that changes each second would fill the channel and delay weight changes of failing servers.
#[test]
fn oscillating_advice_takes_few_lines() {
    let lines = |oscillates: bool| {
        let mut fleet = Fleet::new(settings(), 8, 4);
        fleet.run(3, &healthy(8, &[]));
        fleet.actions.clear();
        for second in 0..30 {
            let first = if second % 2 == 0 { 0 } else { 4 };
            let down: Vec<(u32, Option<u8>, f64)> =
                (first..first + 3).map(|id| (id, None, 0.0)).collect();
            let advice = Advice {
                factors: factors(&down),
                ..far_future_advice()
            };
            let mut events = healthy(8, &[]);
            events.extend(oscillates.then_some(Event::Advice(advice)));
            fleet.run(1, &events);
        }
        fleet
            .actions
            .iter()
            .filter(|a| matches!(a, Action::SetWeight { .. }))
            .count()
    };
    let (steady, oscillating) = (lines(false), lines(true));
    // Two tables with at most one change in five seconds, of six lines each.
    assert!(
        oscillating - steady <= 2 * 6 * 7,
        "{oscillating} lines against {steady}"
    );
}

#[test]
fn advice_excludes_no_server_of_a_saturated_fleet() {
    let mut fleet = Fleet::new(settings(), 8, 4);
    let full_queue = LoadReport {
        queued: Some(30.0),
        ..LoadReport::default()
    };
    let saturated: Vec<Event> = healthy(8, &[])
        .into_iter()
        .map(|outcome| with_load(outcome, full_queue))
        .collect();
    fleet.run(8, &saturated);
    let advice = Advice {
        factors: factors(&[(0, None, 0.0), (1, None, 0.0)]),
        ..far_future_advice()
    };
    run_with_advice(&mut fleet, 8, &advice, &saturated);
    assert!((0..8).all(|id| fleet.weight(id) > 0.0));
}

#[test]
fn empty_advice_changes_nothing() {
    let run = |advice: bool| {
        let mut fleet = Fleet::new(settings(), 8, 6);
        for round in 0..40 {
            let mut events = healthy(8, &[round % 9]);
            if round % 7 == 0 {
                events.push(Event::EndpointList(
                    EndpointUpdateKind::Delta,
                    vec![Endpoint {
                        started_at: Some(fleet.now),
                        ..endpoint(round % 8)
                    }],
                ));
            }
            events.extend(advice.then(|| Event::Advice(far_future_advice())));
            fleet.run(1, &events);
        }
        fleet.actions
    };
    assert_eq!(run(false), run(true));
}

fn advice_strategy() -> impl Strategy<Value = Advice> {
    let factor = prop_oneof![
        Just(0.0),
        Just(1.0),
        Just(1e9),
        Just(-1.0),
        Just(f64::NAN),
        0.0..1.0f64
    ];
    let class = prop_oneof![Just(None), (0..3u8).prop_map(|class| Some(ClassId(class)))];
    let factors = prop::collection::vec((0..10u32, 0..3u16, class, factor.clone()), 0..30);
    let caps = prop::collection::vec((0..3u8, factor), 0..4);
    let excluded = prop::collection::vec((0..10u32, 0..100i64), 0..9);
    (factors, caps, excluded, 0..8u32, 0..8u32, 0..100i64).prop_map(
        |(factors, caps, excluded, no_retry, separate_tables, until)| Advice {
            factors: factors
                .into_iter()
                .map(|(id, zone, class, factor)| WeightFactor {
                    server: ServerId(id),
                    zone: ZoneId(zone),
                    class,
                    factor,
                })
                .collect(),
            caps: caps
                .into_iter()
                .map(|(class, share)| ClassShare {
                    class: ClassId(class),
                    share,
                })
                .collect(),
            no_retry: ClassSet(no_retry),
            excluded: excluded
                .into_iter()
                .map(|(id, until)| ServerExclusion {
                    server: ServerId(id),
                    until: ms(1_000_000 + 1000 * until),
                })
                .collect(),
            separate_tables: ClassSet(separate_tables),
            expires_at: ms(1_000_000 + 1000 * until),
        },
    )
}

fn event_strategy() -> impl Strategy<Value = Event> {
    let lifecycle = prop_oneof![
        Just(Lifecycle::InService),
        Just(Lifecycle::Draining),
        Just(Lifecycle::Removed)
    ];
    let outcome = prop_oneof![
        Just(HealthCheckOutcome::Passed),
        Just(HealthCheckOutcome::TimedOut)
    ];
    prop_oneof![
        3 => (0..8u32, 0.0..20.0f64, 0.0..1.0f64).prop_map(|(id, attempts, failing)| server_outcomes(id, attempts, attempts * failing, 200.0)),
        1 => (0..6u32).prop_map(proxy_joined),
        1 => (0..6u32).prop_map(|id| Event::ProxyLeft(ProxyId(id))),
        1 => (0..8u32, lifecycle, proptest::bool::ANY).prop_map(|(id, lifecycle, fresh)| {
            let started = fresh.then_some(ms(1_003_000));
            Event::EndpointList(EndpointUpdateKind::Delta, vec![Endpoint { lifecycle, started_at: started, ..endpoint(id) }])
        }),
        1 => (0..8u32, outcome).prop_map(|(id, outcome)| health_checked(ServerId(id), outcome)),
        2 => advice_strategy().prop_map(Event::Advice),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// No advice violates the invariants: no proxy without a server, no unsafe retry, no weight for leaving servers,
    /// little weight for warming servers and few messages.
    #[test]
    fn invariants_hold_under_arbitrary_advice(rounds in prop::collection::vec(prop::collection::vec(event_strategy(), 0..6), 1..40)) {
        let settings = settings();
        let mut fleet = Fleet::new(settings.clone(), 8, 6);
        let mut listed = ListedServers::new(8);
        for events in rounds {
            listed.apply(&events, &mut fleet);
            fleet.send(&events);
            fleet.run(1, &[]);
            let age = fleet.now - ms(1_003_000);
            let is_warming = |id: &u32| listed.warming.contains(id) && age < settings.slow_start_period + ms(500);
            let warm: Vec<u32> = listed.in_service.iter().copied().filter(|id| !is_warming(id)).collect();
            // The tables in use: the last one that was assigned for each class of each proxy.
            let last = |assigned_tables: &Vec<(TableId, ClassSet)>, class| assigned_tables.iter().rev().find(|(_, classes)| classes.has(class)).map(|assigned| assigned.0);
            let tables: BTreeSet<TableId> =
                fleet.assigned_tables.values().flat_map(|assigned_tables| [last(assigned_tables, 0), last(assigned_tables, 1)]).flatten().collect();
            for table in &tables {
                let no_weights = Default::default();
                let weights = fleet.tables.get(table).unwrap_or(&no_weights);
                prop_assert!(weights.values().all(|weight| weight.is_finite() && *weight > 0.0));
                let usable = |id: &ServerId| !fleet.suspended.contains(id);
                prop_assert!(warm.is_empty() || weights.keys().any(usable), "no server to pick in {table:?}");
                for id in weights.keys().filter(|id| usable(id)) {
                    prop_assert!(listed.in_service.contains(&id.0), "{id:?} left but has weight");
                }
                // Far below the overload of a warming server, with the capacity of the complete fleet as demand.
                let all: f64 = weights.iter().filter(|(id, _)| usable(id)).map(|line| line.1).sum();
                let warm_sum: f64 = weights.iter().filter(|(id, _)| usable(id) && warm.contains(&id.0)).map(|line| line.1).sum();
                if warm_sum > 0.0 {
                    for (id, weight) in weights.iter().filter(|(id, _)| usable(id) && is_warming(&id.0)) {
                        let warm_up_share = 0.2 + 0.8 * (age + ms(2500)).secs().max(0.0) / 16.0;
                        let load = weight / all * 8.0;
                        prop_assert!(load <= 3.0 * warm_up_share.min(1.0), "{id:?} has load {load} at warm-up share {warm_up_share}");
                    }
                }
            }
            prop_assert!(fleet.retries.values().all(|retry| *retry <= Retry::IfNotExecuted));
            prop_assert!(fleet.levels.values().all(|level| (0.05..=1.0).contains(level)), "{:?}", fleet.levels);
            for (proxy, written) in &fleet.messages {
                let recent = written.iter().filter(|at| fleet.now - **at <= settings.message_window).count();
                prop_assert!(recent <= settings.max_messages, "{recent} messages to {proxy:?} in the window");
            }
        }
    }
}
