//! Advice of plug-ins: it lowers weights and moves traffic, and the rules hold whatever it says.

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
fn factors(of: &[(u32, Option<u8>, f64)]) -> Vec<WeightFactor> {
    let zones = [ZoneId(0), ZoneId(1)];
    let each = zones
        .into_iter()
        .flat_map(|zone| of.iter().map(move |of| (zone, of)));
    each.map(|(zone, (id, class, factor))| WeightFactor {
        server: ServerId(*id),
        zone,
        class: class.map(ClassId),
        factor: *factor,
    })
    .collect()
}

/// Seconds in which advice is renewed each second, as the plug-in host does.
fn run_with_advice(world: &mut World, seconds: u32, advice: &Advice, each_second: &[Event]) {
    let mut events = each_second.to_vec();
    events.push(Event::Advice(advice.clone()));
    world.run(seconds, &events);
}

#[test]
fn advice_lowers_a_weight_until_it_expires() {
    let mut world = World::new(settings(), 8, 4);
    world.run(3, &healthy(8, &[]));
    let advice = Advice {
        factors: factors(&[(2, None, 0.25)]),
        ..far_future_advice()
    };
    run_with_advice(&mut world, 8, &advice, &healthy(8, &[]));
    let share = world.weight(2) / world.weight(3);
    assert!((share - 0.25).abs() < 0.06, "{share}");
    // The advice is not renewed: all is as before once it expires.
    world.run(20, &healthy(8, &[]));
    assert!(
        (world.weight(2) / world.weight(3) - 1.0).abs() < 0.06,
        "{}",
        world.weight(2)
    );
}

#[test]
fn an_exclusion_holds_until_its_end() {
    let mut world = World::new(settings(), 8, 4);
    world.run(3, &healthy(8, &[]));
    let advice = Advice {
        excluded: vec![ServerExclusion {
            server: ServerId(5),
            until: world.now + ms(9000),
        }],
        ..far_future_advice()
    };
    run_with_advice(&mut world, 6, &advice, &healthy(8, &[]));
    assert_eq!(world.weight(5), 0.0);
    run_with_advice(&mut world, 10, &advice, &healthy(8, &[]));
    assert!(
        world.weight(5) > 0.0,
        "the advice still names it, but the exclusion ended"
    );
}

#[test]
fn separate_tables_leave_other_classes_unchanged() {
    let mut world = World::new(settings(), 8, 4);
    world.run(3, &healthy(8, &[]));
    let separate_tables = ClassSet::default().with(1);
    let advice = Advice {
        factors: factors(&[(2, Some(1), 0.0)]),
        separate_tables,
        ..far_future_advice()
    };
    run_with_advice(&mut world, 8, &advice, &healthy(8, &[]));
    for proxy in 0..4u32 {
        let assigned_tables = &world.assigned_tables[&ProxyId(proxy)];
        let table = |class| {
            assigned_tables
                .iter()
                .rev()
                .find(|(_, classes)| classes.has(class))
                .expect("assigned")
                .0
        };
        let weight = |class| {
            world.tables[&table(class)]
                .get(&ServerId(2))
                .copied()
                .unwrap_or(0.0)
        };
        assert_ne!(table(0), table(1), "tables of their own");
        assert!(
            weight(0) > 0.0 && weight(1) == 0.0,
            "{} {}",
            weight(0),
            weight(1)
        );
    }
    assert!(world
        .retries
        .values()
        .all(|retry| *retry == Retry::IfNotExecuted));
}

#[test]
fn caps_and_retry_bans_only_narrow() {
    let mut world = World::new(settings(), 8, 4);
    world.run(3, &healthy(8, &[]));
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
    run_with_advice(&mut world, 7, &advice, &healthy(8, &[]));
    assert_eq!(
        (world.levels[&0], world.levels[&1]),
        (0.4, 0.1),
        "a class is never shed completely"
    );
    assert_eq!(
        (world.retries[&0], world.retries[&1]),
        (Retry::IfNotExecuted, Retry::Never)
    );
    world.run(20, &healthy(8, &[]));
    assert_eq!(
        (world.levels[&0], world.levels[&1], world.retries[&1]),
        (1.0, 1.0, Retry::IfNotExecuted)
    );
}

/// Advice that excludes every server would leave proxies without one, or send all requests to the last.
#[test]
fn advice_that_leaves_too_little_capacity_is_overruled_and_reported() {
    for vetoed in [8, 7, 5] {
        let mut world = World::new(settings(), 8, 4);
        world.run(3, &healthy(8, &[]));
        let all: Vec<(u32, Option<u8>, f64)> = (0..vetoed).map(|id| (id, None, 0.0)).collect();
        run_with_advice(
            &mut world,
            8,
            &Advice {
                factors: factors(&all),
                ..far_future_advice()
            },
            &healthy(8, &[]),
        );
        assert!(
            (0..8).all(|id| world.weight(id) == 4.0),
            "{vetoed} of 8 vetoed"
        );
        let overruled = world.actions.iter().any(|a| {
            matches!(
                a,
                Action::Emit(DecisionEvent::AdviceOverruled {
                    overruled: true,
                    ..
                })
            )
        });
        assert!(overruled, "{vetoed} of 8 vetoed");
    }
}

/// A rule that changes each second would take the channel from servers that fail.
#[test]
fn oscillating_advice_takes_few_lines() {
    let lines = |oscillates: bool| {
        let mut world = World::new(settings(), 8, 4);
        world.run(3, &healthy(8, &[]));
        world.actions.clear();
        for second in 0..30 {
            let of = if second % 2 == 0 { 0 } else { 4 };
            let down: Vec<(u32, Option<u8>, f64)> =
                (of..of + 3).map(|id| (id, None, 0.0)).collect();
            let advice = Advice {
                factors: factors(&down),
                ..far_future_advice()
            };
            let mut events = healthy(8, &[]);
            events.extend(oscillates.then_some(Event::Advice(advice)));
            world.run(1, &events);
        }
        world
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
    let mut world = World::new(settings(), 8, 4);
    let full = LoadReport {
        queued: Some(30.0),
        ..LoadReport::default()
    };
    let busy: Vec<Event> = healthy(8, &[])
        .into_iter()
        .map(|outcome| with_load(outcome, full))
        .collect();
    world.run(8, &busy);
    let advice = Advice {
        factors: factors(&[(0, None, 0.0), (1, None, 0.0)]),
        ..far_future_advice()
    };
    run_with_advice(&mut world, 8, &advice, &busy);
    assert!((0..8).all(|id| world.weight(id) > 0.0));
}

#[test]
fn empty_advice_changes_nothing() {
    let run = |advice: bool| {
        let mut world = World::new(settings(), 8, 6);
        for round in 0..40 {
            let mut events = healthy(8, &[round % 9]);
            if round % 7 == 0 {
                events.push(Event::EndpointList(
                    EndpointUpdateKind::Delta,
                    vec![Endpoint {
                        started_at: Some(world.now),
                        ..endpoint(round % 8)
                    }],
                ));
            }
            events.extend(advice.then(|| Event::Advice(far_future_advice())));
            world.run(1, &events);
        }
        world.actions
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
    let end = prop_oneof![
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
        1 => (0..8u32, end).prop_map(|(id, end)| health_checked(ServerId(id), end)),
        2 => advice_strategy().prop_map(Event::Advice),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever plug-ins advise, the rules hold: no proxy without a server, no unsafe retry, no weight for leaving
    /// servers, little weight for servers that warm up, few messages and a short queue.
    #[test]
    fn rules_hold_under_arbitrary_advice(rounds in prop::collection::vec(prop::collection::vec(event_strategy(), 0..6), 1..40)) {
        let settings = settings();
        let mut world = World::new(settings.clone(), 8, 6);
        let mut listed = Roster::new(8);
        for events in rounds {
            listed.take(&events, &mut world);
            world.send(&events);
            world.run(1, &[]);
            let age = world.now - ms(1_003_000);
            let is_cold = |id: &u32| listed.warming.contains(id) && age < settings.slow_start_period + ms(500);
            let warm: Vec<u32> = listed.open.iter().copied().filter(|id| !is_cold(id)).collect();
            // The tables in use: for each class of each proxy the one that was assigned last.
            let last = |assigned_tables: &Vec<(TableId, ClassSet)>, class| assigned_tables.iter().rev().find(|(_, of)| of.has(class)).map(|b| b.0);
            let tables: BTreeSet<TableId> =
                world.assigned_tables.values().flat_map(|assigned_tables| [last(assigned_tables, 0), last(assigned_tables, 1)]).flatten().collect();
            for table in &tables {
                let none = Default::default();
                let lines = world.tables.get(table).unwrap_or(&none);
                prop_assert!(lines.values().all(|weight| weight.is_finite() && *weight > 0.0));
                let usable = |id: &ServerId| !world.suspended.contains(id);
                prop_assert!(warm.is_empty() || lines.keys().any(usable), "no server to pick in {table:?}");
                for id in lines.keys().filter(|id| usable(id)) {
                    prop_assert!(listed.open.contains(&id.0), "{id:?} left and keeps weight");
                }
                // Far below what overloads a server that warms up, with the capacity of the complete fleet as demand.
                let all: f64 = lines.iter().filter(|(id, _)| usable(id)).map(|line| line.1).sum();
                let warm_sum: f64 = lines.iter().filter(|(id, _)| usable(id) && warm.contains(&id.0)).map(|line| line.1).sum();
                if warm_sum > 0.0 {
                    for (id, weight) in lines.iter().filter(|(id, _)| usable(id) && is_cold(&id.0)) {
                        let warm_up_share = 0.2 + 0.8 * (age + ms(2500)).secs().max(0.0) / 16.0;
                        let load = weight / all * 8.0;
                        prop_assert!(load <= 3.0 * warm_up_share.min(1.0), "{id:?} has load {load} at warm-up share {warm_up_share}");
                    }
                }
            }
            prop_assert!(world.retries.values().all(|retry| *retry <= Retry::IfNotExecuted));
            prop_assert!(world.levels.values().all(|level| (0.05..=1.0).contains(level)), "{:?}", world.levels);
            for (proxy, written) in &world.messages {
                let recent = written.iter().filter(|at| world.now - **at <= settings.message_window).count();
                prop_assert!(recent <= settings.max_messages, "{recent} messages to {proxy:?} in the window");
            }
        }
    }
}
