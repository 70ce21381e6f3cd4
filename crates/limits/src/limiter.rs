//! A limit on the work that is let in, found by measurement. Four rules that differ in what they take for the measure of too
//! much; which of them serves best under late and lumpy signals is told in docs/limits.md.

use crate::pb::adaptive::Rule;

/// Least share let in: with nothing let in, nothing would be measured.
pub const LET_IN_LEAST: f64 = 0.1;
/// Saturation aimed at where nothing is said: servers busy, with little waiting.
pub const TARGET: f64 = 0.25;
/// Saturation from which what the fleet answers is all that it can do.
const SATURATED: f64 = 0.3;
/// How fast what is known of the capacity moves to what is seen while saturated, a second; and how fast it grows while work
/// is held back from a fleet that is not saturated at all.
const LEARN: (f64, f64) = (0.12, 0.05);
/// Saturation beyond which a fleet has collapsed: what it answers then is not what it can do.
const COLLAPSED: f64 = 0.7;
/// What a saturated fleet answers tells of its capacity if at least so much of it is let in: else it is what was let in.
const FILLED: f64 = 0.9;
/// By so much of its distance from the target the saturation moves the limit at once, while it is moderate; from the second
/// figure on steeply down to the least, where all that waits is worked off first. Steep everywhere would swing when reports
/// are late.
const AT_ONCE: (f64, f64) = (0.5, 0.35);
/// Least time that an answer is believed to take, in milliseconds.
const LEAST_MS: f64 = 1.0;
/// Additive increase a second, and multiplicative decrease at each report that shows too much.
const AIMD: (f64, f64) = (0.03, 0.88);
/// Answer time, as a multiple of the least, that is no sign of waiting; the least is forgotten so fast a second; smoothing,
/// and what is added to it each report.
const GRADIENT: (f64, f64, f64, f64) = (1.6, 0.01, 0.25, 0.03);
/// Gains of the rule that moves the share until the saturation is what it should be: by its change, and by its distance a
/// second.
const GAINS: (f64, f64) = (0.5, 0.12);

/// What is seen of the fleet since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Seen {
    /// Time since the last one, in seconds.
    pub seconds: f64,
    /// Work that came, a second; what came again counts.
    pub offered: f64,
    /// Work let in, a second.
    pub let_in: f64,
    /// Work answered, a second, late answers too.
    pub good: f64,
    /// Saturation, 0 to 1.
    pub strain: f64,
    /// Mean time of good answers, in milliseconds; 0 if there were none.
    pub took_ms: f64,
    /// What warm servers weigh.
    pub warm: f64,
}

/// A limit at work.
#[derive(Clone, Debug)]
pub struct Limiter {
    rule: Rule,
    target: f64,
    share: f64,
    /// Work that a unit of warm weight does in a second; 0 until it is known.
    does: f64,
    least_ms: f64,
    strain: f64,
    told: bool,
}

impl Limiter {
    /// One that lets all in.
    pub fn new(rule: Rule, target: f64) -> Self {
        Limiter {
            rule,
            target,
            share: 1.0,
            does: 0.0,
            least_ms: 0.0,
            strain: 0.0,
            told: false,
        }
    }

    /// The share let in.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Work that warm servers of this weight can do in a second, where it is known.
    pub fn capacity(&self, warm: f64) -> Option<f64> {
        (self.does > 0.0 && warm > 0.0).then_some(self.does * warm)
    }

    /// Takes in what a report shows, and moves the share. What is no number is passed over.
    pub fn step(&mut self, seen: &Seen) -> f64 {
        let figures = [
            seen.seconds,
            seen.offered,
            seen.let_in,
            seen.good,
            seen.strain,
            seen.took_ms,
            seen.warm,
        ];
        if figures
            .iter()
            .any(|figure| !figure.is_finite() || *figure < 0.0)
            || seen.seconds <= 0.0
        {
            return self.share;
        }
        self.learn(seen);
        let share = match self.rule {
            Rule::Aimd => self.by_steps(seen),
            Rule::Gradient => self.by_times(seen),
            Rule::Target => self.by_target(seen),
            Rule::Capacity | Rule::Unspecified => self.by_capacity(seen),
        };
        (self.strain, self.told) = (seen.strain, true);
        self.share = share.clamp(LET_IN_LEAST, 1.0);
        self.share
    }

    /// What the fleet can do: at least what it does. While it is saturated no more; but what it does then tells only if
    /// enough is let in, or else holding back would pass for weakness and be held back further. While work is held back
    /// from a fleet that is not saturated, it can do more.
    fn learn(&mut self, seen: &Seen) {
        if seen.warm <= 0.0 {
            return;
        }
        let does = seen.good / seen.warm;
        let filled = seen.let_in >= FILLED * self.does * seen.warm;
        // Beyond collapse what waits is worked off first; then it is seen again what the fleet can do.
        if (SATURATED..COLLAPSED).contains(&seen.strain) && filled {
            self.does += (1.0 - (1.0 - LEARN.0).powf(seen.seconds)) * (does - self.does).min(0.0);
        }
        self.does = self.does.max(does);
        if self.share < 1.0 && seen.strain < self.target {
            self.does *= (1.0 + LEARN.1 * (1.0 - seen.strain / self.target)).powf(seen.seconds);
        }
    }

    /// What can be done over what comes: follows demand and failing servers at once, and its cause is what is seen, not what
    /// was let in.
    fn by_capacity(&mut self, seen: &Seen) -> f64 {
        let moderate = seen.strain.min(AT_ONCE.1);
        let jam = ((seen.strain - AT_ONCE.1) / (1.0 - AT_ONCE.1)).max(0.0);
        let now = (1.0 + AT_ONCE.0 * (self.target - moderate)) * (1.0 - jam) + LET_IN_LEAST * jam;
        match self.capacity(seen.warm).filter(|_| seen.offered > 0.0) {
            // Danger: in a fleet that is not saturated, what it does is what came.
            Some(can) if seen.strain >= self.target || self.share < 1.0 => can * now / seen.offered,
            _ => 1.0,
        }
    }

    fn by_steps(&self, seen: &Seen) -> f64 {
        if seen.strain > self.target {
            self.share * AIMD.1
        } else {
            self.share + AIMD.0 * seen.seconds
        }
    }

    fn by_times(&mut self, seen: &Seen) -> f64 {
        if seen.took_ms <= 0.0 {
            // Nothing was answered: what is known says nothing of why.
            return self.share;
        }
        let least = self.least_ms * (1.0 + GRADIENT.1).powf(seen.seconds);
        self.least_ms = if self.least_ms > 0.0 {
            least.min(seen.took_ms)
        } else {
            seen.took_ms
        }
        .max(LEAST_MS);
        let gradient = (GRADIENT.0 * self.least_ms / seen.took_ms).clamp(0.5, 1.0);
        self.share + GRADIENT.2 * (self.share * gradient + GRADIENT.3 - self.share)
    }

    fn by_target(&self, seen: &Seen) -> f64 {
        let moved = if self.told {
            seen.strain - self.strain
        } else {
            0.0
        };
        self.share - GAINS.0 * moved - GAINS.1 * (seen.strain - self.target) * seen.seconds
    }
}

#[cfg(test)]
mod tests {
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
}
