
use proptest::prelude::*;

use super::*;

fn class(worth: f64, effect: Effect) -> Class {
    Class {
        name: format!("{worth}"),
        worth,
        aim_s: 1.0,
        deadline_s: 5.0,
        effect,
    }
}

fn classes() -> Vec<Class> {
    vec![
        class(3.0, Effect::Unsafe),
        class(1.0, Effect::Safe),
        class(5.0, Effect::Keyed(10.0)),
        class(4.0, Effect::Keyed(6.0)),
    ]
}

fn report(tries: f64, failed: f64, strain: f64) -> Tried {
    Tried {
        seconds: 1.0,
        tries,
        good: 100.0 - failed,
        let_in: vec![25.0; 4],
        failed: vec![failed / 4.0; 4],
        strain,
        room: Some(2.0),
    }
}

fn ways(repeats: &Repeats) -> Vec<Again> {
    (0..4).map(|class| repeats.of(class)).collect()
}

#[test]
fn a_spent_budget_narrows_the_cheapest_first_and_widens_slowly() {
    let mut repeats = Repeats::new(RATIO, false, &classes());
    assert_eq!(ways(&repeats), [Again::Unrun; 4]);
    for _ in 0..3 {
        repeats.learn(&report(140.0, 10.0, 0.5));
    }
    assert_eq!(
        ways(&repeats),
        [Again::Unrun, Again::Never, Again::Unrun, Again::Unrun]
    );
    for _ in 0..10 {
        repeats.learn(&report(140.0, 10.0, 0.5));
    }
    assert_eq!(ways(&repeats), [Again::Never; 4]);
    for _ in 0..120 {
        repeats.learn(&report(100.0, 0.0, 0.0));
    }
    assert_eq!(ways(&repeats), [Again::Unrun; 4]);
}

#[test]
fn with_room_and_some_failures_what_may_run_twice_is_tried_once_more() {
    let mut repeats = Repeats::new(RATIO, true, &classes());
    for _ in 0..20 {
        repeats.learn(&report(100.0, 6.0, 0.0));
    }
    assert_eq!(
        ways(&repeats),
        [Again::Unrun, Again::Once, Again::Once, Again::Unrun],
        "a window of 6 s is too short for 5 s"
    );
    // It gets busy: at once no more.
    repeats.learn(&report(104.0, 6.0, 0.3));
    assert_eq!(ways(&repeats), [Again::Unrun; 4]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// The rule: no order of a repeat that could run twice, whatever is reported.
    #[test]
    fn no_report_widens_what_could_run_twice(
        of in prop::collection::vec((prop::num::f64::ANY, prop::num::f64::ANY, 0.0..1.0f64, prop::option::of(prop::num::f64::ANY), 0.0..400.0f64), 0..80),
        window in 0.0..30.0f64, deadline in 0.1..20.0f64, ratio in 0.0..10.0f64,
    ) {
        let mut classes = classes();
        classes[2] = Class { deadline_s: deadline, ..class(5.0, Effect::Keyed(window)) };
        let mut repeats = Repeats::new(ratio, true, &classes);
        for (tries, failed, strain, room, let_in) in of {
            repeats.learn(&Tried { seconds: 1.0, tries, good: let_in, let_in: vec![let_in; 4], failed: vec![failed; 4], strain, room });
            prop_assert!(repeats.of(0) <= Again::Unrun && repeats.of(3) <= Again::Unrun);
            prop_assert!(repeats.of(2) <= Again::Unrun || window >= deadline + CLOCKS);
        }
    }
}
