use std::collections::VecDeque;

use proptest::prelude::*;

use super::*;

const RULES: [Rule; 4] = [Rule::Capacity, Rule::Aimd, Rule::Gradient, Rule::Target];

/// A fleet that does 100 a second, waits grow by what is let in beyond, and reports that are so many seconds late.
/// Returns the shares let in.
fn play(
    rule: Rule,
    late: usize,
    offered: impl Fn(usize) -> f64,
    warm: impl Fn(usize) -> f64,
) -> Vec<f64> {
    let mut limiter = Limiter::new(rule, TARGET);
    let (mut queue, mut shares) = (0.0f64, Vec::new());
    let mut reports: VecDeque<Seen> = VecDeque::new();
    for second in 0..180 {
        let (comes, can) = (offered(second), 100.0 * warm(second));
        let let_in = comes * limiter.share();
        let good = (queue + let_in).min(can);
        queue = (queue + let_in - can).clamp(0.0, 400.0);
        // Three seconds of work that wait are a fleet wholly saturated.
        let strain = (queue / 300.0).min(1.0);
        let seen = Seen {
            seconds: 1.0,
            offered: comes,
            let_in,
            good,
            strain,
            took_ms: 50.0 + queue * 4.0,
            warm: warm(second),
        };
        reports.push_back(seen);
        if reports.len() > late {
            limiter.step(&reports.pop_front().expect("there"));
        }
        shares.push(limiter.share());
    }
    shares
}

fn mean(of: &[f64]) -> f64 {
    of.iter().sum::<f64>() / of.len() as f64
}

#[test]
fn every_rule_lets_all_in_while_there_is_room() {
    for rule in RULES {
        let shares = play(rule, 2, |_| 60.0, |_| 1.0);
        assert!(
            shares.iter().all(|share| *share > 0.95),
            "{rule:?}: {shares:?}"
        );
    }
}

/// Twice as much as can be done for a minute: about half is let in, and all again after it.
#[test]
fn every_rule_finds_what_can_be_done_and_lets_go() {
    for rule in RULES {
        let shares = play(
            rule,
            2,
            |second| {
                if (40..100).contains(&second) {
                    200.0
                } else {
                    60.0
                }
            },
            |_| 1.0,
        );
        let during = mean(&shares[70..100]);
        assert!((0.3..0.7).contains(&during), "{rule:?}: {during}");
        assert!(mean(&shares[150..]) > 0.9, "{rule:?}: {:?}", &shares[140..]);
    }
}

/// What sets the rule by capacity apart: it hardly swings, however late reports are.
#[test]
fn by_capacity_the_share_stands_still_under_a_steady_overload() {
    let swing = |rule: Rule, late: usize| {
        let shares = play(
            rule,
            late,
            |second| if second >= 40 { 200.0 } else { 60.0 },
            |_| 1.0,
        );
        let (least, most) = shares[100..]
            .iter()
            .fold((1.0f64, 0.0f64), |(l, m), s| (l.min(*s), m.max(*s)));
        most - least
    };
    for late in [1, 2] {
        assert!(
            swing(Rule::Capacity, late) < 0.2,
            "{}",
            swing(Rule::Capacity, late)
        );
    }
    assert!(swing(Rule::Aimd, 2) > swing(Rule::Capacity, 2));
}

/// Half of the servers are lost: known at once by their weight, not by what waits.
#[test]
fn by_capacity_lost_servers_count_at_once() {
    let shares = play(
        Rule::Capacity,
        1,
        |second| if second >= 30 { 180.0 } else { 60.0 },
        |second| if second >= 90 { 0.5 } else { 1.0 },
    );
    assert!(
        shares[95] < 0.75 * mean(&shares[70..88]),
        "{:?}",
        &shares[86..98]
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Danger: figures that can be read but not be true move the limit beyond its bounds, or for good.
    #[test]
    fn any_figures_keep_the_share_in_bounds(
        rule in 0..4usize,
        of in prop::collection::vec((-1.0..1e9f64, -1.0..1e9f64, 0.0..2.0f64, prop::num::f64::ANY, 0.0..1e6f64), 1..60),
    ) {
        let mut limiter = Limiter::new(RULES[rule], TARGET);
        for (offered, good, strain, took_ms, warm) in of {
            let share = limiter.step(&Seen { seconds: 1.0, offered, let_in: good, good, strain, took_ms, warm });
            prop_assert!((LET_IN_LEAST..=1.0).contains(&share));
        }
        // All is well again for ten minutes.
        for _ in 0..600 {
            limiter.step(&Seen { seconds: 1.0, offered: 10.0, let_in: 10.0, good: 10.0, strain: 0.0, took_ms: 50.0, warm: 10.0 });
        }
        prop_assert!(limiter.share() > 0.9, "{}", limiter.share());
    }
}
