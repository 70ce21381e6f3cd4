use chutegrade_policy::{DeduplicationScope, Micros};

use super::*;

#[test]
fn repeats_are_judged_by_effect_and_window() {
    let keyed = Idempotency::Keyed(DeduplicationScope::All, Micros(1000));
    assert!(
        may_repeat(Idempotency::Idempotent, Some(0), 9999)
            && may_repeat(Idempotency::NotIdempotent, None, 0)
    );
    assert!(!may_repeat(Idempotency::NotIdempotent, Some(0), 0));
    assert!(may_repeat(keyed, Some(500), 1500) && !may_repeat(keyed, Some(500), 1501));
}

#[test]
fn a_cold_server_falls_at_its_multiple_and_the_rule_asks_who_knew() {
    let by = (3.0, 1_000_000, 10.0);
    // A core and a half may be sent 4.5 s of work in a second, and 40 ms by chance.
    let push = |knowing: bool, more: f64| {
        let mut sent = VecDeque::new();
        assert_eq!(
            sent_cold(&mut sent, (0, 4000.0, knowing), 1.5, by),
            Cold::Stands
        );
        sent_cold(&mut sent, (500_000, more, knowing), 1.5, by)
    };
    assert_eq!(
        (push(true, 540.0), push(true, 541.0), push(false, 541.0)),
        (Cold::Stands, Cold::Pushed, Cold::Falls)
    );
    let mut sent = VecDeque::new();
    sent_cold(&mut sent, (0, 4000.0, true), 1.5, by);
    assert_eq!(
        sent_cold(&mut sent, (1_000_001, 4000.0, true), 1.5, by),
        Cold::Stands,
        "the window has passed"
    );
}
