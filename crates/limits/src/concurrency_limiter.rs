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
mod tests;
