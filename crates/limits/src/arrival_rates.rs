//! How much of what comes came before: clients that were refused or not answered come again. What comes and what is lost
//! rise together whatever the cause, so that their correlation tells nothing. What tells is what follows the own orders: when
//! a level falls, exactly so many more are lost, and whoever comes again does so within the next reports.

use std::collections::VecDeque;

/// Reports within which a client that comes again has come: three comings with growing waits, some seconds.
const FOLLOWS: usize = 3;
/// Reports before an order moves in which demand must have stood still, and by how much it may move at that: levels fall when
/// more comes, and what goes on coming more would pass for those who come again.
const STEADY: (usize, f64) = (3, 0.12);
/// How fast what was learned fades with each report: a few minutes.
const KEEP: f64 = 0.99;
/// Refusals, as a share of what came, by which an order must move before it teaches anything.
const MOVE_LEAST: f64 = 0.03;
/// The evidence at which what is learned counts as sure, in squares of shares.
const SURE: f64 = 0.05;
/// Weight of the assumption that nobody comes again, in the same unit: until shown otherwise demand is new.
const PRIOR: f64 = 0.004;

/// What one report tells of all requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Came {
    /// That came, a second.
    pub came: f64,
    /// Of these, refused by the levels in force.
    pub refused: f64,
    /// Of these, admitted without an answer.
    pub failed: f64,
    /// The share refused that levels order, whatever came.
    pub ordered: f64,
}

/// Learns what share of lost requests comes again.
#[derive(Clone, Debug, Default)]
pub struct Comings {
    past: VecDeque<Came>,
    /// Sums of order moves times what followed, and of their squares.
    followed: f64,
    moved: f64,
}

impl Comings {
    /// Takes a report in.
    pub fn learn(&mut self, came: Came) {
        let figures = [came.came, came.refused, came.failed, came.ordered];
        if figures
            .iter()
            .any(|figure| !figure.is_finite() || *figure < 0.0)
        {
            return;
        }
        self.past.push_back(came);
        if self.past.len() < STEADY.0 + 1 + FOLLOWS {
            return;
        }
        if self.past.len() > STEADY.0 + 1 + FOLLOWS {
            self.past.pop_front();
        }
        self.followed *= KEEP;
        self.moved *= KEEP;
        let (before, at) = (self.past[STEADY.0 - 1], self.past[STEADY.0]);
        let stood = self.past.iter().take(STEADY.0).all(|of| {
            (of.came - before.came).abs() <= STEADY.1 * before.came
                && (of.ordered - before.ordered).abs() < MOVE_LEAST
        });
        let step = at.ordered - before.ordered;
        // A step among others teaches nothing: what follows it would be theirs.
        let later = self
            .past
            .iter()
            .skip(STEADY.0 + 1)
            .zip(self.past.iter().skip(STEADY.0));
        let alone = later
            .clone()
            .all(|(next, last)| (next.ordered - last.ordered).abs() < MOVE_LEAST);
        if step.abs() >= MOVE_LEAST && alone && stood && before.came > 0.0 {
            let after = self
                .past
                .iter()
                .skip(STEADY.0 + 1)
                .map(|of| of.came)
                .sum::<f64>()
                / FOLLOWS as f64;
            // What comes again comes again and may be lost again: the share that comes grows by r * step for each that came.
            self.followed += step * (after - before.came) / before.came;
            self.moved += step * step;
        }
    }

    /// The share of lost requests that comes again, and how sure that is.
    pub fn again(&self) -> (f64, f64) {
        let share = self.followed / (self.moved + PRIOR);
        (share.clamp(0.0, 1.0), (self.moved / SURE).min(1.0))
    }

    /// The share of what came with the last report that came before.
    pub fn share(&self) -> f64 {
        let Some(last) = self.past.back().filter(|last| last.came > 0.0) else {
            return 0.0;
        };
        let before = self.past.iter().rev().nth(1).unwrap_or(last);
        let lost = 0.5 * (last.refused + last.failed + before.refused + before.failed);
        (self.again().0 * lost / last.came).clamp(0.0, 0.9)
    }
}

#[cfg(test)]
mod tests;
