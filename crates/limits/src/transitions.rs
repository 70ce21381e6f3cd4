//! The state machine of a ladder: which level is in force, since when and why. It goes up as far as conditions hold and down
//! one level at a time, never before its least stay; it does not flap, is not kept by what is missing or doubtful, and says
//! of each change what it saw.

use crate::condition::{Distance, Known};
use crate::pb;
use crate::service_levels::{used, ServiceLevels};
use crate::signals::{Signal, SignalReading, SignalWindow};

/// Time that a change takes to show in the signals, in microseconds: orders, their effect, a report and its way. Until then
/// the signals tell of the level before, and nothing goes further up.
const SHOWS: i64 = 4_000_000;
/// A level that is entered again within this time of being left was left too early, in microseconds.
const AGAIN_WITHIN: i64 = 60_000_000;
/// After each such return its least stay is so many times as long, up to the second figure.
const BACKOFF: (i64, i64) = (2, 8);
/// A state older than this is not taken up again after a restart, in microseconds: the cause may be gone.
pub const RESTORE_WITHIN: i64 = 60_000_000;

/// Why a level changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransitionReason {
    /// The condition for entering it held.
    Entered,
    /// The condition for leaving the one before held.
    Left,
    /// Its signals were missing for too long.
    NoSignals,
    /// All that is measured was good for so long that what the list says is doubted.
    Doubted,
    /// Another ladder was put in the place of the one before.
    Replaced,
    /// It was in force before a restart.
    Restored,
}

impl TransitionReason {
    /// In a word, as records have it.
    pub fn word(self) -> &'static str {
        match self {
            TransitionReason::Entered => "entered",
            TransitionReason::Left => "left",
            TransitionReason::NoSignals => "no signals",
            TransitionReason::Doubted => "list doubted",
            TransitionReason::Replaced => "ladder replaced",
            TransitionReason::Restored => "restored",
        }
    }
}

/// A change of level.
#[derive(Clone, Debug, PartialEq)]
pub struct LevelTransition {
    /// The name of the level before.
    pub from: String,
    /// The name of the level now.
    pub to: String,
    /// Its number; 0 is full service.
    pub number: usize,
    /// Why.
    pub reason: TransitionReason,
    /// The condition that held, or what else decided.
    pub condition: String,
    /// All signals that the ladder uses.
    pub shown: Vec<SignalReading>,
    /// Who is told.
    pub tell: Vec<String>,
}

/// One level's condition, and how far its tests are from being met.
#[derive(Clone, Debug, PartialEq)]
pub struct ConditionStatus {
    /// The level that would be in force.
    pub to: String,
    /// Going up.
    pub up: bool,
    /// The condition as declared.
    pub condition: String,
    /// What is known of it.
    pub known: Known,
    /// Each of its tests.
    pub tests: Vec<Distance>,
    /// How much longer the standing level stays at least, in microseconds.
    pub stay: i64,
}

/// A ladder at work.
#[derive(Clone, Debug)]
pub struct LevelTransitions {
    ladder: ServiceLevels,
    level: usize,
    since: i64,
    /// Since when the signals for leaving are missing.
    missing: Option<i64>,
    /// Since when all that is measured would let the level be left.
    good: Option<i64>,
    /// When each level was last left, and how many times as long as usual it stays.
    left: Vec<(Option<i64>, i64)>,
    /// How many times as long as usual the list is believed.
    believed: i64,
}

impl LevelTransitions {
    /// Full service, under a ladder.
    pub fn new(ladder: ServiceLevels) -> Self {
        let left = vec![(None, 1); ladder.levels.len() + 1];
        LevelTransitions {
            ladder,
            level: 0,
            since: i64::MIN / 2,
            missing: None,
            good: None,
            left,
            believed: 1,
        }
    }

    /// The ladder.
    pub fn ladder(&self) -> &ServiceLevels {
        &self.ladder
    }

    /// The number of the level in force; 0 is full service.
    pub fn level(&self) -> usize {
        self.level
    }

    /// Its name.
    pub fn name(&self) -> &str {
        self.ladder.name(self.level)
    }

    /// Since when it is in force.
    pub fn since(&self) -> i64 {
        self.since
    }

    /// What it keeps of a class.
    pub fn keeps(&self, class: &str) -> f64 {
        self.level
            .checked_sub(1)
            .and_then(|at| self.ladder.levels.get(at))
            .map_or(1.0, |level| level.keeps(class))
    }

    /// Looks at the signals, and changes the level if it is time.
    pub fn step(&mut self, now: i64, board: &SignalWindow) -> Option<LevelTransition> {
        let age = self.ladder.most_age;
        let holds = |number: &usize| {
            let level = self.ladder.levels.get(number - 1);
            level.is_some_and(|level| level.enter.known(board, now, age, |_| false) == Known::Yes)
        };
        let up = (self.level + 1..=self.ladder.levels.len())
            .rev()
            .find(holds);
        if let Some(number) = up.filter(|_| now.saturating_sub(self.since) >= SHOWS) {
            let condition = self.ladder.levels[number - 1].enter.to_string();
            return Some(self.go(now, number, TransitionReason::Entered, condition, board));
        }
        let level = self.ladder.levels.get(self.level.checked_sub(1)?)?;
        let leave = level.leave.known(board, now, age, |_| false);
        let measured = level.leave.known(board, now, age, Signal::by_list);
        let stayed = now.saturating_sub(self.since) >= self.stays();
        self.missing = (leave == Known::Unknown).then(|| self.missing.unwrap_or(now));
        self.good = (measured == Known::Yes).then(|| self.good.unwrap_or(now));
        let long = |since: Option<i64>, most: i64| {
            since.is_some_and(|since| now.saturating_sub(since) >= most)
        };
        let (condition, reason) = if leave == Known::Yes && stayed {
            (level.leave.to_string(), TransitionReason::Left)
        } else if long(self.missing, self.ladder.without_signals) && stayed {
            let seconds = self.ladder.without_signals as f64 / 1e6;
            (
                format!("nothing known of {} for {seconds} s", level.leave),
                TransitionReason::NoSignals,
            )
        } else if long(
            self.good,
            self.ladder.doubt_list.saturating_mul(self.believed),
        ) && stayed
        {
            self.believed = (self.believed * BACKOFF.0).min(BACKOFF.1 * BACKOFF.1);
            (
                format!("all that is measured in {}", level.leave),
                TransitionReason::Doubted,
            )
        } else {
            return None;
        };
        Some(self.go(now, self.level - 1, reason, condition, board))
    }

    /// How long the level in force stays at least.
    fn stays(&self) -> i64 {
        let stay = self
            .level
            .checked_sub(1)
            .and_then(|at| self.ladder.levels.get(at))
            .map_or(0, |of| of.least_stay);
        stay.saturating_mul(self.left.get(self.level).map_or(1, |(_, times)| *times))
    }

    fn go(
        &mut self,
        now: i64,
        number: usize,
        reason: TransitionReason,
        condition: String,
        board: &SignalWindow,
    ) -> LevelTransition {
        let from = self.name().to_string();
        if number < self.level {
            if let Some(left) = self.left.get_mut(self.level) {
                left.0 = Some(now);
            }
        } else {
            // Danger: a load that hovers drives a level in and out as fast as its least stay allows.
            for left in self.left.iter_mut().skip(1).take(number) {
                let soon = left
                    .0
                    .take()
                    .map(|at| now.saturating_sub(at) < AGAIN_WITHIN);
                left.1 = match soon {
                    Some(true) => (left.1 * BACKOFF.0).min(BACKOFF.1),
                    Some(false) => 1,
                    None => left.1,
                };
            }
        }
        if number == 0 && reason == TransitionReason::Left {
            self.believed = 1;
        }
        (self.level, self.since, self.missing, self.good) = (number, now, None, None);
        let shown = used(&self.ladder)
            .into_iter()
            .map(|signal| board.shown(signal, now));
        let entered = number
            .checked_sub(1)
            .and_then(|at| self.ladder.levels.get(at));
        let tell = entered.map(|level| level.tell.clone()).unwrap_or_default();
        LevelTransition {
            from,
            to: self.name().to_string(),
            number,
            reason,
            condition,
            shown: shown.collect(),
            tell,
        }
    }

    /// Puts another ladder in the place of this one. A level that it has too, by name, stays in force with its time; else the
    /// mildest of its levels that sheds no less takes over, or the last; its own condition lets it go.
    pub fn replace(
        &mut self,
        now: i64,
        ladder: ServiceLevels,
        board: &SignalWindow,
    ) -> Option<LevelTransition> {
        let from = self.name().to_string();
        let kept: Vec<(String, f64)> = self
            .level
            .checked_sub(1)
            .and_then(|at| self.ladder.levels.get(at))
            .map(|of| of.keep.clone())
            .unwrap_or_default();
        let (level, since, left) = (self.level, self.since, std::mem::take(&mut self.left));
        let old = std::mem::replace(&mut self.ladder, ladder);
        let sheds = |number: &usize| {
            kept.iter()
                .all(|(class, keep)| self.ladder.levels[number - 1].keeps(class) <= *keep)
        };
        let last = self.ladder.levels.len();
        let number = match self.ladder.number(&from) {
            Some(number) => number,
            None => (1..=last).find(sheds).unwrap_or(last),
        };
        // What is known of a level that stays declared stays known.
        let past = |name: &str| {
            old.number(name)
                .and_then(|number| left.get(number).copied())
                .unwrap_or((None, 1))
        };
        self.left = (0..=last)
            .map(|number| past(self.ladder.name(number)))
            .collect();
        if level == 0 || number > 0 && self.ladder.name(number) == from {
            (self.level, self.since, self.missing, self.good) = (number, since, None, None);
            return None;
        }
        self.level = 0;
        let mut change = self.go(
            now,
            number,
            TransitionReason::Replaced,
            format!("{from:?} is not in the new ladder"),
            board,
        );
        change.from = from;
        Some(change)
    }

    /// What should survive a restart.
    pub fn saved(&self, now: i64) -> pb::Saved {
        pb::Saved {
            level: self.name().to_string(),
            since_us: self.since,
            at_us: now,
        }
    }

    /// As it was at a moment of which records tell: for looking at it, not for serving. Whether the ladder has this level.
    pub fn resume(&mut self, level: &str, since: i64) -> bool {
        let known = self.ladder.number(level);
        if let Some(number) = known {
            (self.level, self.since, self.missing, self.good) = (number, since, None, None);
        }
        known.is_some()
    }

    /// Takes up the level that was in force before a restart; or a sentence on why it is left.
    pub fn restore(
        &mut self,
        now: i64,
        saved: &pb::Saved,
        board: &SignalWindow,
    ) -> Result<Option<LevelTransition>, String> {
        let age = now.saturating_sub(saved.at_us);
        if saved.level == self.ladder.name(0) {
            return Ok(None);
        }
        if !(0..=RESTORE_WITHIN).contains(&age) {
            let (age, most) = (age as f64 / 1e6, RESTORE_WITHIN / 1_000_000);
            return Err(format!(
                "{:?} was in force {age:.0} s ago, at most {most} s are bridged",
                saved.level
            ));
        }
        let number = self
            .ladder
            .number(&saved.level)
            .ok_or_else(|| format!("no level {:?} in this ladder", saved.level))?;
        let condition = format!("in force {:.1} s ago", age as f64 / 1e6);
        let change = self.go(now, number, TransitionReason::Restored, condition, board);
        self.since = saved
            .since_us
            .clamp(now.saturating_sub(SHOWS).min(saved.at_us), now);
        Ok(Some(change))
    }

    /// Which conditions would change the level, and how far each is from being met.
    pub fn explain(&self, now: i64, board: &SignalWindow) -> Vec<ConditionStatus> {
        let age = self.ladder.most_age;
        let stay = (self.stays() - now.saturating_sub(self.since)).max(0);
        let row = |to: usize, up: bool, condition: &crate::condition::Condition| ConditionStatus {
            to: self.ladder.name(to).to_string(),
            up,
            condition: condition.to_string(),
            known: condition.known(board, now, age, |_| false),
            tests: condition
                .tests()
                .map(|test| test.distance(board, now, age))
                .collect(),
            stay: if up { 0 } else { stay },
        };
        let higher = self.ladder.levels.iter().enumerate().skip(self.level);
        let mut rows: Vec<ConditionStatus> = higher
            .map(|(at, level)| row(at + 1, true, &level.enter))
            .collect();
        if let Some(level) = self
            .level
            .checked_sub(1)
            .and_then(|at| self.ladder.levels.get(at))
        {
            rows.insert(0, row(self.level - 1, false, &level.leave));
        }
        rows
    }
}
