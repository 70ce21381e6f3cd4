//! The state machine of service levels: the current level, its start and the reason of each change.
//!
//! It escalates to the most severe level whose condition is met, and recovers one level at a time, never before the
//! minimum duration of the current one. Backoff prevents oscillation; timeouts prevent it from staying in a level when
//! signals are missing or stale.

use crate::condition::{Condition, ConditionState};
use crate::level_history::LevelHistory;
use crate::pb;
use crate::service_levels::{ServiceLevel, ServiceLevels, FULL_SERVICE};
use crate::signals::{Signal, SignalWindow};

pub use crate::level_transition::{
    ConditionStatus, LevelTransition, RestoreError, TransitionReason,
};

const MICROSECONDS_PER_SECOND: i64 = 1_000_000;
/// Time until a change shows in the signals, in microseconds. Until then they describe the previous level, and there is
/// no further escalation.
const SETTLING_TIME_US: i64 = 4_000_000;
/// Factor by which the timeout of the endpoint list grows each time that the list is overruled.
const LIST_TIMEOUT_BACKOFF_FACTOR: i64 = 2;
/// Maximum multiple of the timeout of the endpoint list.
const MAX_LIST_TIMEOUT_FACTOR: i64 = 64;
/// Maximum age of a snapshot that is restored, in microseconds: the cause of an older level may be gone.
pub const MAX_SNAPSHOT_AGE_US: i64 = 60_000_000;
/// Start of the initial level, in microseconds; early enough that every minimum duration has elapsed.
const INITIAL_SINCE_US: i64 = i64::MIN / 2;

/// A change that is due.
struct Change {
    number: usize,
    reason: TransitionReason,
    condition: String,
}

/// The state machine of one supervisor.
#[derive(Clone, Debug)]
pub struct LevelTransitions {
    levels: ServiceLevels,
    /// The number of the current level; 0 is full service.
    current: usize,
    since_us: i64,
    /// Time from which signals of the condition for leaving have been missing.
    signals_lost_at_us: Option<i64>,
    /// Time from which the condition for leaving has been met, disregarding signals that depend on the endpoint list.
    recovered_at_us: Option<i64>,
    /// Indexed by the number of the level.
    history: Vec<LevelHistory>,
    /// Current multiple of the timeout of the endpoint list.
    list_timeout_factor: i64,
}

impl LevelTransitions {
    /// Creates a state machine at full service.
    pub fn new(levels: ServiceLevels) -> Self {
        let history = vec![LevelHistory::NEW; levels.levels.len() + 1];
        LevelTransitions {
            levels,
            current: 0,
            since_us: INITIAL_SINCE_US,
            signals_lost_at_us: None,
            recovered_at_us: None,
            history,
            list_timeout_factor: 1,
        }
    }

    /// Returns the number of the current level; 0 is full service.
    pub fn level(&self) -> usize {
        self.current
    }

    /// Returns the name of the current level.
    pub fn name(&self) -> &str {
        self.levels.name(self.current)
    }

    /// Returns when the current level started, in microseconds.
    pub fn since_us(&self) -> i64 {
        self.since_us
    }

    /// Returns the share of a class that the current level admits.
    pub fn admitted_share(&self, class: &str) -> f64 {
        self.current_level()
            .map_or(1.0, |level| level.admitted_share(class))
    }

    /// Evaluates the conditions, and changes the level if one is met.
    pub fn evaluate(&mut self, now_us: i64, signals: &SignalWindow) -> Option<LevelTransition> {
        let change = self
            .escalation(now_us, signals)
            .or_else(|| self.recovery(now_us, signals))?;
        Some(self.apply(now_us, change, signals))
    }

    /// Returns the change to the most severe level whose condition is met, if that is above the current one.
    fn escalation(&self, now_us: i64, signals: &SignalWindow) -> Option<Change> {
        if now_us.saturating_sub(self.since_us) < SETTLING_TIME_US {
            return None;
        }
        let higher = self.levels.levels.iter().enumerate().skip(self.current);
        let (index, level) = higher
            .rev()
            .find(|(_, level)| self.is_met(&level.enter, now_us, signals))?;
        Some(Change {
            number: index + 1,
            reason: TransitionReason::Entered,
            condition: level.enter.to_string(),
        })
    }

    fn is_met(&self, condition: &Condition, now_us: i64, signals: &SignalWindow) -> bool {
        let max_age_us = self.levels.max_signal_age_us;
        condition.state(signals, now_us, max_age_us, |_| false) == ConditionState::Met
    }

    /// Returns the change to the next milder level, if it is due. Updates the times of signal loss and of recovery.
    fn recovery(&mut self, now_us: i64, signals: &SignalWindow) -> Option<Change> {
        let level = self.levels.level(self.current)?;
        let max_age_us = self.levels.max_signal_age_us;
        let leave = level.leave.state(signals, now_us, max_age_us, |_| false);
        let measured = level.leave.state(
            signals,
            now_us,
            max_age_us,
            Signal::depends_on_endpoint_list,
        );
        self.signals_lost_at_us =
            (leave == ConditionState::Unknown).then(|| self.signals_lost_at_us.unwrap_or(now_us));
        self.recovered_at_us =
            (measured == ConditionState::Met).then(|| self.recovered_at_us.unwrap_or(now_us));
        if now_us.saturating_sub(self.since_us) < self.min_duration_us() {
            return None;
        }
        let reason = self.recovery_reason(now_us, leave)?;
        let condition = self.recovery_text(reason, &level.leave);
        if reason == TransitionReason::EndpointListOverruled {
            let factor = self.list_timeout_factor * LIST_TIMEOUT_BACKOFF_FACTOR;
            self.list_timeout_factor = factor.min(MAX_LIST_TIMEOUT_FACTOR);
        }
        Some(Change {
            number: self.current - 1,
            reason,
            condition,
        })
    }

    fn recovery_reason(&self, now_us: i64, leave: ConditionState) -> Option<TransitionReason> {
        let has_passed = |since_us: Option<i64>, timeout_us: i64| {
            since_us.is_some_and(|since_us| now_us.saturating_sub(since_us) >= timeout_us)
        };
        let list_timeout_us = self
            .levels
            .endpoint_list_timeout_us
            .saturating_mul(self.list_timeout_factor);
        if leave == ConditionState::Met {
            Some(TransitionReason::Left)
        } else if has_passed(self.signals_lost_at_us, self.levels.signal_loss_timeout_us) {
            Some(TransitionReason::SignalsLost)
        } else if has_passed(self.recovered_at_us, list_timeout_us) {
            Some(TransitionReason::EndpointListOverruled)
        } else {
            None
        }
    }

    /// Describes the condition for leaving in a transition for this reason.
    fn recovery_text(&self, reason: TransitionReason, leave: &Condition) -> String {
        match reason {
            TransitionReason::SignalsLost => {
                let timeout_us = self.levels.signal_loss_timeout_us;
                let seconds = timeout_us as f64 / MICROSECONDS_PER_SECOND as f64;
                format!("signals missing for {seconds} s: {leave}")
            }
            TransitionReason::EndpointListOverruled => {
                format!("met without signals of the endpoint list: {leave}")
            }
            _ => leave.to_string(),
        }
    }

    fn current_level(&self) -> Option<&ServiceLevel> {
        self.levels.level(self.current)
    }

    /// Returns the minimum duration of the current level, including its backoff.
    fn min_duration_us(&self) -> i64 {
        let min_duration_us = self
            .current_level()
            .map_or(0, |level| level.min_duration_us);
        let factor = self
            .history
            .get(self.current)
            .map_or(1, |history| history.duration_factor);
        min_duration_us.saturating_mul(factor)
    }

    fn apply(&mut self, now_us: i64, change: Change, signals: &SignalWindow) -> LevelTransition {
        let from = self.name().to_string();
        if change.number < self.current {
            if let Some(history) = self.history.get_mut(self.current) {
                history.left_at_us = Some(now_us);
            }
        } else {
            let entered = self.history.iter_mut().skip(1).take(change.number);
            entered.for_each(|history| history.enter(now_us));
        }
        if change.number == 0 && change.reason == TransitionReason::Left {
            self.list_timeout_factor = 1;
        }
        self.set_level(change.number, now_us);
        let signals_in_use = self.levels.signals_in_use();
        let readings = signals_in_use
            .into_iter()
            .map(|signal| signals.reading(signal, now_us));
        let notify = self.current_level().map(|level| level.notify.clone());
        LevelTransition {
            from,
            to: self.name().to_string(),
            number: change.number,
            reason: change.reason,
            condition: change.condition,
            readings: readings.collect(),
            notify: notify.unwrap_or_default(),
        }
    }

    fn set_level(&mut self, number: usize, since_us: i64) {
        self.current = number;
        self.since_us = since_us;
        self.signals_lost_at_us = None;
        self.recovered_at_us = None;
    }

    /// Replaces the levels. If the new ones include the name of the current level, it stays current and keeps its
    /// start. Otherwise the mildest new level that admits no more of any class replaces it, or the last one.
    pub fn replace(
        &mut self,
        now_us: i64,
        levels: ServiceLevels,
        signals: &SignalWindow,
    ) -> Option<LevelTransition> {
        let from = self.name().to_string();
        let number = match levels.number(&from) {
            Some(number) => number,
            None => self.replacement_level(&levels),
        };
        self.history = self.history_for(&levels);
        self.levels = levels;
        if self.current == 0 || number > 0 && self.levels.name(number) == from {
            self.set_level(number, self.since_us);
            return None;
        }
        self.current = 0;
        let change = Change {
            number,
            reason: TransitionReason::Replaced,
            condition: format!("{from:?} is not among the new levels"),
        };
        let transition = self.apply(now_us, change, signals);
        Some(LevelTransition { from, ..transition })
    }

    /// Returns the number of the mildest of `levels` that admits no more of any class than the current one, or of the
    /// last.
    fn replacement_level(&self, levels: &ServiceLevels) -> usize {
        let current_shares = self
            .current_level()
            .map(|level| level.admitted_shares.as_slice())
            .unwrap_or_default();
        let admits_no_more = |level: &ServiceLevel| {
            current_shares
                .iter()
                .all(|admitted| level.admitted_share(&admitted.class) <= admitted.share)
        };
        let index = levels.levels.iter().position(admits_no_more);
        index.map_or(levels.levels.len(), |index| index + 1)
    }

    /// Returns the history of each of `levels` that exists already, by name; other levels have none.
    fn history_for(&self, levels: &ServiceLevels) -> Vec<LevelHistory> {
        let history = |number: usize| {
            let old_number = self.levels.number(levels.name(number))?;
            self.history.get(old_number).copied()
        };
        (0..=levels.levels.len())
            .map(|number| history(number).unwrap_or(LevelHistory::NEW))
            .collect()
    }

    /// Returns the state to restore after a restart.
    pub fn snapshot(&self, now_us: i64) -> pb::Saved {
        pb::Saved {
            level: self.name().to_string(),
            since_us: self.since_us,
            at_us: now_us,
        }
    }

    /// Sets the level to a recorded one of a past moment, for inspection. Returns whether there is a level of that
    /// name.
    pub fn resume(&mut self, level: &str, since_us: i64) -> bool {
        let Some(number) = self.levels.number(level) else {
            return false;
        };
        self.set_level(number, since_us);
        true
    }

    /// Restores the level from before a restart. Returns `None` if that was full service.
    ///
    /// # Errors
    ///
    /// If the snapshot is too old, or there is no level of that name.
    pub fn restore(
        &mut self,
        now_us: i64,
        saved: &pb::Saved,
        signals: &SignalWindow,
    ) -> Result<Option<LevelTransition>, RestoreError> {
        if saved.level == FULL_SERVICE {
            return Ok(None);
        }
        let level = saved.level.clone();
        let age_us = now_us.saturating_sub(saved.at_us);
        let age_seconds = age_us as f64 / MICROSECONDS_PER_SECOND as f64;
        if !(0..=MAX_SNAPSHOT_AGE_US).contains(&age_us) {
            return Err(RestoreError::Expired {
                level,
                age_seconds,
                max_age_seconds: MAX_SNAPSHOT_AGE_US / MICROSECONDS_PER_SECOND,
            });
        }
        let Some(number) = self.levels.number(&level) else {
            return Err(RestoreError::UnknownLevel { level });
        };
        let change = Change {
            number,
            reason: TransitionReason::Restored,
            condition: format!("in force {age_seconds:.1} s ago"),
        };
        let transition = self.apply(now_us, change, signals);
        let earliest_us = now_us.saturating_sub(SETTLING_TIME_US).min(saved.at_us);
        self.since_us = saved.since_us.clamp(earliest_us, now_us);
        Ok(Some(transition))
    }

    /// Returns the conditions that would change the level, and how far each is from being met: first the one for
    /// leaving the current level, then those for entering more severe ones.
    pub fn explain(&self, now_us: i64, signals: &SignalWindow) -> Vec<ConditionStatus> {
        let elapsed_us = now_us.saturating_sub(self.since_us);
        let leave = self.current_level().map(|level| ConditionStatus {
            to: self.levels.name(self.current - 1).to_string(),
            is_escalation: false,
            remaining_duration_us: (self.min_duration_us() - elapsed_us).max(0),
            ..self.condition_status(&level.leave, now_us, signals)
        });
        let higher = self.levels.levels.iter().skip(self.current);
        let enter = higher.map(|level| ConditionStatus {
            to: level.name.clone(),
            ..self.condition_status(&level.enter, now_us, signals)
        });
        leave.into_iter().chain(enter).collect()
    }

    /// Returns the status of a condition for an escalation; the caller sets the name of the level.
    fn condition_status(
        &self,
        condition: &Condition,
        now_us: i64,
        signals: &SignalWindow,
    ) -> ConditionStatus {
        let max_age_us = self.levels.max_signal_age_us;
        let tests = condition
            .tests()
            .map(|test| test.status(signals, now_us, max_age_us));
        ConditionStatus {
            to: String::new(),
            is_escalation: true,
            condition: condition.to_string(),
            state: condition.state(signals, now_us, max_age_us, |_| false),
            tests: tests.collect(),
            remaining_duration_us: 0,
        }
    }
}
