use chutegrade_policy::{DeduplicationScope, Micros};

use super::*;

#[test]
fn repeats_depend_on_idempotency_and_window() {
    let keyed = Idempotency::Keyed(DeduplicationScope::All, Micros(1000));
    assert!(
        may_repeat(Idempotency::Idempotent, Some(0), 9999)
            && may_repeat(Idempotency::NotIdempotent, None, 0)
    );
    assert!(!may_repeat(Idempotency::NotIdempotent, Some(0), 0));
    assert!(may_repeat(keyed, Some(500), 1500) && !may_repeat(keyed, Some(500), 1501));
}

#[test]
fn a_warming_up_server_is_overloaded_above_its_limit_and_the_rule_depends_on_informed_proxies() {
    let limits = (3.0, 1_000_000, 10.0);
    // The limit at a capacity of 1.5 is 4.5 s of work in a second, and 40 ms for random arrivals.
    let load_after = |is_informed: bool, more_ms: f64| {
        let mut sent = VecDeque::new();
        assert_eq!(
            check_warm_up_load(&mut sent, (0, 4000.0, is_informed), 1.5, limits),
            WarmUpLoad::Tolerated
        );
        check_warm_up_load(&mut sent, (500_000, more_ms, is_informed), 1.5, limits)
    };
    assert_eq!(
        (
            load_after(true, 540.0),
            load_after(true, 541.0),
            load_after(false, 541.0)
        ),
        (
            WarmUpLoad::Tolerated,
            WarmUpLoad::KnowinglyOverloaded,
            WarmUpLoad::Overloaded
        )
    );
    let mut sent = VecDeque::new();
    check_warm_up_load(&mut sent, (0, 4000.0, true), 1.5, limits);
    assert_eq!(
        check_warm_up_load(&mut sent, (1_000_001, 4000.0, true), 1.5, limits),
        WarmUpLoad::Tolerated,
        "the window has passed"
    );
}
