//! Overload limits: they combine with saturation, advice and safe retries, expire, and violate no invariant.

mod common;
use common::*;
use proptest::prelude::*;

use chutegrade_policy::*;

fn renewed(fleet: &Fleet, limits: Limits) -> Event {
    Event::Limits(Limits {
        expires_at: fleet.now + ms(4000),
        ..limits
    })
}

/// Runs for some seconds and renews the limits every second, as the overload manager does.
fn run_with_limits(fleet: &mut Fleet, seconds: u32, limits: &Limits, each_second: &[Event]) {
    for _ in 0..seconds {
        let mut events = each_second.to_vec();
        events.push(renewed(fleet, limits.clone()));
        fleet.run(1, &events);
    }
}

fn keyed_settings(window: i64) -> Settings {
    let keyed = Class {
        idempotency: Idempotency::Keyed(DeduplicationScope::All, ms(window)),
        ..class(Idempotency::Idempotent, false)
    };
    Settings {
        classes: vec![
            class(Idempotency::Idempotent, false),
            class(Idempotency::NotIdempotent, false),
            keyed,
        ],
        ..settings()
    }
}

#[test]
fn the_admitted_share_of_a_class_is_an_upper_bound_and_expires() {
    let mut fleet = Fleet::new(settings(), 8, 4);
    fleet.run(3, &healthy(8, &[]));
    let admitted = vec![
        ClassShare {
            class: ClassId(0),
            share: 0.5,
        },
        ClassShare {
            class: ClassId(1),
            share: 0.0,
        },
    ];
    run_with_limits(
        &mut fleet,
        5,
        &Limits {
            admitted,
            ..Limits::default()
        },
        &healthy(8, &[]),
    );
    assert_eq!(
        (fleet.levels[&0], fleet.levels[&1]),
        (0.5, 0.1),
        "a class is never shed completely"
    );
    fleet.run(8, &healthy(8, &[]));
    assert_eq!((fleet.levels[&0], fleet.levels[&1]), (1.0, 1.0));
}

#[test]
fn a_shed_share_limit_is_a_lower_bound_and_raises_no_level() {
    let full_queue = LoadReport {
        queued: Some(30.0),
        ..LoadReport::default()
    };
    let saturated: Vec<Event> = healthy(8, &[])
        .into_iter()
        .map(|outcome| with_load(outcome, full_queue))
        .collect();
    let lowest = |min_shed_share: Option<f64>, events: &[Event]| {
        let mut fleet = Fleet::new(settings(), 8, 4);
        run_with_limits(
            &mut fleet,
            10,
            &Limits {
                min_shed_share,
                ..Limits::default()
            },
            events,
        );
        (fleet.levels[&0], fleet.levels[&1])
    };
    let unsaturated = healthy(8, &[]);
    let without_limit = lowest(None, &saturated);
    assert!(
        without_limit.0 <= 0.2 && without_limit.1 <= 0.2,
        "{without_limit:?}"
    );
    for no_bound in [0.0, -1.0, f64::NAN] {
        assert_eq!(
            lowest(Some(no_bound), &saturated),
            without_limit,
            "{no_bound}"
        );
    }
    let half = lowest(Some(0.5), &unsaturated);
    assert!(
        half.0 < 0.2 && half.1 > 0.8,
        "the least priority weight per second is shed first: {half:?}"
    );
    assert_eq!(lowest(None, &unsaturated), (1.0, 1.0));
    assert_eq!(
        lowest(Some(9.0), &unsaturated),
        lowest(Some(0.9), &unsaturated)
    );
}

/// An overload manager that stops, or sends an expiry far in the future, must not shed load indefinitely.
#[test]
fn limits_that_expire_too_late_are_ignored() {
    let mut fleet = Fleet::new(settings(), 8, 4);
    fleet.run(3, &healthy(8, &[]));
    let admitted = vec![ClassShare {
        class: ClassId(0),
        share: 0.5,
    }];
    let forever = Event::Limits(Limits {
        admitted,
        expires_at: Micros(i64::MAX),
        ..Limits::default()
    });
    let mut events = healthy(8, &[]);
    events.push(forever);
    fleet.run(4, &events);
    assert_eq!(fleet.levels[&0], 1.0);
}

/// The retry policies of three classes under limits that request as many retries as possible.
fn widest_retries(settings: Settings, each_second: &[Event]) -> (Retry, Retry, Retry) {
    let mut fleet = Fleet::new(settings, 8, 4);
    fleet.run(3, &healthy(8, &[]));
    let retries = (0..3)
        .map(|class| ClassRetry {
            class: ClassId(class),
            retry: Retry::Twice,
        })
        .collect();
    let limits = Limits {
        retries,
        ..Limits::default()
    };
    run_with_limits(&mut fleet, 6, &limits, each_second);
    (fleet.retries[&0], fleet.retries[&1], fleet.retries[&2])
}

#[test]
fn retries_widen_only_for_idempotent_classes() {
    let unsaturated = healthy(8, &[]);
    // The deadline is 2.4 s: a key must be retained for twice that time.
    assert_eq!(
        widest_retries(keyed_settings(10_000), &unsaturated),
        (Retry::Once, Retry::IfNotExecuted, Retry::Once)
    );
    assert_eq!(
        widest_retries(keyed_settings(4000), &unsaturated),
        (Retry::Once, Retry::IfNotExecuted, Retry::IfNotExecuted)
    );
    let zone = Class {
        idempotency: Idempotency::Keyed(DeduplicationScope::Zone, ms(60_000)),
        ..class(Idempotency::Idempotent, false)
    };
    let mut zone_scoped = keyed_settings(10_000);
    zone_scoped.classes[2] = zone;
    assert_eq!(
        widest_retries(zone_scoped, &unsaturated).2,
        Retry::IfNotExecuted,
        "the key is not recognised in another zone"
    );
    // Limits widen no retry policy in a saturated fleet.
    let full_queue = LoadReport {
        queued: Some(30.0),
        ..LoadReport::default()
    };
    let saturated: Vec<Event> = unsaturated
        .into_iter()
        .map(|outcome| with_load(outcome, full_queue))
        .collect();
    assert_eq!(
        widest_retries(keyed_settings(10_000), &saturated),
        (
            Retry::IfNotExecuted,
            Retry::IfNotExecuted,
            Retry::IfNotExecuted
        )
    );
}

#[test]
fn limits_narrow_retries_and_plug_ins_narrow_them_further() {
    let mut fleet = Fleet::new(keyed_settings(10_000), 8, 4);
    fleet.run(3, &healthy(8, &[]));
    let retries = vec![
        ClassRetry {
            class: ClassId(0),
            retry: Retry::Never,
        },
        ClassRetry {
            class: ClassId(2),
            retry: Retry::Once,
        },
    ];
    let limits = Limits {
        retries,
        ..Limits::default()
    };
    run_with_limits(&mut fleet, 4, &limits, &healthy(8, &[]));
    assert_eq!(
        (fleet.retries[&0], fleet.retries[&1], fleet.retries[&2]),
        (Retry::Never, Retry::IfNotExecuted, Retry::Once)
    );
    let no_retry = ClassSet::default().with(2);
    let advice = Event::Advice(Advice {
        no_retry,
        expires_at: fleet.now + ms(14_000),
        ..Advice::default()
    });
    let mut events = healthy(8, &[]);
    events.push(advice);
    run_with_limits(&mut fleet, 3, &limits, &events);
    assert_eq!(fleet.retries[&2], Retry::Never);
}

/// One heavy proxy must not cause load shedding at all others.
#[test]
fn heavy_proxies_with_separate_tables_are_shed_first() {
    let sparse = Settings {
        proxies: 40,
        idle_timeout: ms(2000),
        ..settings()
    };
    let mut fleet = Fleet::new(sparse, 64, 40);
    let demand = |proxy: u32| Event::ProxyDemand {
        proxy: ProxyId(proxy),
        class: ClassId(0),
        arrivals: if proxy == 3 { 900.0 } else { 5.0 },
        failed: 0.0,
        period: ms(1000),
    };
    let mut events = healthy(64, &[]);
    events.extend((0..40).map(demand));
    fleet.run(12, &events);
    let limits = Limits {
        min_shed_share: Some(0.4),
        shed_shares: Some(ShedShares {
            ordinary: 0.0,
            heavy: 0.8,
        }),
        ..Limits::default()
    };
    run_with_limits(&mut fleet, 6, &limits, &events);
    // The level of a proxy's table is the last one that was ordered for it.
    let level = |proxy: u32| {
        let assigned_tables = &fleet.assigned_tables[&ProxyId(proxy)];
        let table = assigned_tables
            .iter()
            .rev()
            .find(|(_, classes)| classes.has(0))
            .map(|assigned| assigned.0);
        let ordered_level = fleet.actions.iter().rev().find_map(|action| match action {
            Action::SetAdmission {
                table: ordered,
                classes,
                level,
                ..
            } if *ordered == table && classes.has(0) => Some(*level),
            _ => None,
        });
        ordered_level.unwrap_or(1.0)
    };
    assert!(
        level(3) < 0.5 && level(4) == 1.0,
        "{} {}",
        level(3),
        level(4)
    );
}

#[test]
fn empty_limits_change_nothing() {
    let run = |renewing: bool| {
        let mut fleet = Fleet::new(settings(), 8, 6);
        for round in 0..40 {
            let mut events = healthy(8, &[round % 9]);
            events.extend(renewing.then(|| renewed(&fleet, Limits::default())));
            fleet.run(1, &events);
        }
        fleet.actions
    };
    assert_eq!(run(false), run(true));
}

fn limits_strategy() -> impl Strategy<Value = Limits> {
    let figure = || {
        prop_oneof![
            Just(0.0),
            Just(1.0),
            Just(1e9),
            Just(-1.0),
            Just(f64::NAN),
            0.0..1.0f64
        ]
    };
    let retry = prop_oneof![
        Just(Retry::Never),
        Just(Retry::IfNotExecuted),
        Just(Retry::Once),
        Just(Retry::Twice)
    ];
    let admitted = prop::collection::vec((0..4u8, figure()), 0..5);
    let retries = prop::collection::vec((0..4u8, retry), 0..5);
    let min_shed_share = prop::option::of(figure());
    let heavy = prop::option::of(
        (figure(), figure()).prop_map(|(ordinary, heavy)| ShedShares { ordinary, heavy }),
    );
    (min_shed_share, heavy, admitted, retries, 0..100i64).prop_map(
        |(min_shed_share, heavy, admitted, retries, until)| Limits {
            min_shed_share,
            shed_shares: heavy,
            admitted: admitted
                .into_iter()
                .map(|(class, share)| ClassShare {
                    class: ClassId(class),
                    share,
                })
                .collect(),
            retries: retries
                .into_iter()
                .map(|(class, retry)| ClassRetry {
                    class: ClassId(class),
                    retry,
                })
                .collect(),
            expires_at: ms(1_000_000 + 1000 * until),
        },
    )
}

fn event_strategy() -> impl Strategy<Value = Event> {
    let lifecycle = prop_oneof![Just(Lifecycle::InService), Just(Lifecycle::Draining)];
    prop_oneof![
        3 => (0..8u32, 0.0..20.0f64, 0.0..1.0f64, prop::option::of(0.0..40.0f64)).prop_map(|(id, attempts, failing, queue)| {
            with_load(server_outcomes(id, attempts, attempts * failing, 200.0), LoadReport { queued: queue, ..LoadReport::default() })
        }),
        1 => (0..8u32, lifecycle).prop_map(|(id, lifecycle)| Event::EndpointList(EndpointUpdateKind::Delta, vec![Endpoint { lifecycle, ..endpoint(id) }])),
        3 => limits_strategy().prop_map(Event::Limits),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// No limits violate the invariants: no unsafe retry, levels between a tenth and all, messages within their
    /// limit, and a server for each proxy.
    #[test]
    fn invariants_hold_under_arbitrary_limits(rounds in prop::collection::vec(prop::collection::vec(event_strategy(), 0..6), 1..40)) {
        let settings = keyed_settings(4000);
        let mut fleet = Fleet::new(settings.clone(), 8, 6);
        for events in rounds {
            fleet.send(&events);
            fleet.run(1, &[]);
            prop_assert!(fleet.retries.get(&1).is_none_or(|retry| *retry <= Retry::IfNotExecuted), "could run twice");
            prop_assert!(fleet.retries.get(&2).is_none_or(|retry| *retry <= Retry::IfNotExecuted), "its key expires too soon");
            prop_assert!(fleet.retries.values().all(|retry| *retry <= Retry::Once));
            prop_assert!(fleet.levels.values().all(|level| (0.05..=1.0).contains(level)), "{:?}", fleet.levels);
            let is_leaving = |id: u32| fleet.suspended.contains(&ServerId(id));
            let any_in_service = (0..8).any(|id| !is_leaving(id));
            for assigned_tables in fleet.assigned_tables.values() {
                let table = assigned_tables.last().expect("assigned").0;
                let weights = fleet.tables.get(&table);
                let has_server = weights.is_some_and(|weights| weights.keys().any(|id| !is_leaving(id.0)));
                prop_assert!(!any_in_service || has_server, "no server to pick");
            }
            for written in fleet.messages.values() {
                let recent = written.iter().filter(|at| fleet.now - **at <= settings.message_window).count();
                prop_assert!(recent <= settings.max_messages);
            }
        }
    }
}
