//! All of it together: what reports tell becomes signals; signals move the ladder and the limit; what follows for each class
//! is given to whoever hands it to the decision module. It stands for a short time only and must be said again.

use crate::arrival_rates::{Came, Comings};
use crate::concurrency_limiter::{Limiter, Seen, LET_IN_LEAST, TARGET};
use crate::heavy_hitters::{Heavy, COUNTS};
use crate::pb::{self, adaptive::Rule};
use crate::retry_budget::{RetryAllowance, RetryBudget, Tried, RATIO};
use crate::service_levels::{ConfigError, ServiceLevels};
use crate::signals::{Observation, Signal, SignalWindow};
use crate::transitions::{LevelTransition, LevelTransitions};
use crate::{lowest_priority_first, Class};

/// Smoothing of what comes and is answered, a report: reports are lumpy, and half of what is new must count at once.
const NEWEST: f64 = 0.5;
/// Tries and requests at which a signal made of them counts as sure.
const SURE: f64 = 20.0;
/// How fast what front ends bring is forgotten, a second.
const FADE: f64 = 0.97;
/// A front end is heavy from so many times the mean, where nothing is said.
const TIMES_MEAN: f64 = 4.0;
/// Most refused of the heavy ones.
const HEAVY_MOST: f64 = 0.9;
/// Bounds of what may be given: a target that servers can be held to, a ratio that is still a budget.
const TARGETS: (f64, f64) = (0.05, 0.9);
const RATIOS: (f64, f64) = (0.0, 2.0);
const TIMES: (f64, f64) = (1.5, 1000.0);

/// What the operators switched on, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct OverloadConfig {
    /// The ladder, if there is one.
    pub ladder: Option<ServiceLevels>,
    /// The rule of the limit and its target, if there is one.
    pub concurrency_limit: Option<(Rule, f64)>,
    /// Repeats for each answer, and whether ways of trying again may be widened, if they are budgeted.
    pub retry_budget: Option<(f64, bool)>,
    /// From how many times the mean a front end is heavy, if that counts.
    pub fairness: Option<f64>,
}

impl OverloadConfig {
    /// Reads and checks what the operators wrote; all faults at once. Without classes, what depends on them is not checked.
    pub fn read(
        of: &pb::Limits,
        classes: Option<&[Class]>,
    ) -> Result<OverloadConfig, Vec<ConfigError>> {
        let mut faults = Vec::new();
        let mut within = |field, given: Option<f64>, usual: f64, (least, most): (f64, f64)| {
            let value = given.unwrap_or(usual);
            if !(least..=most).contains(&value) {
                let said = format!("{field} is {value}: give a figure from {least} to {most}");
                faults.push(ConfigError {
                    level: None,
                    field,
                    said,
                });
            }
            value
        };
        let adaptive = of.adaptive.as_ref().map(|adaptive| {
            let rule = if adaptive.rule() == Rule::Unspecified {
                Rule::Capacity
            } else {
                adaptive.rule()
            };
            (rule, within("target", adaptive.target, TARGET, TARGETS))
        });
        let repeats = of.repeats.as_ref().map(|repeats| {
            (
                within("ratio", repeats.ratio, RATIO, RATIOS),
                repeats.once_while_room.unwrap_or(false),
            )
        });
        let fairness = of
            .fairness
            .as_ref()
            .map(|of| within("times_mean", of.times_mean, TIMES_MEAN, TIMES));
        let ladder = match of
            .ladder
            .as_ref()
            .map(|ladder| ServiceLevels::read(ladder, classes))
        {
            Some(Err(wrong)) => {
                faults.extend(wrong);
                None
            }
            Some(Ok(ladder)) => Some(ladder),
            None => None,
        };
        if faults.is_empty() {
            Ok(OverloadConfig {
                ladder,
                concurrency_limit: adaptive,
                retry_budget: repeats,
                fairness,
            })
        } else {
            Err(faults)
        }
    }
}

/// Requests of a class that came to a front end, as reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// The front end.
    pub proxy: u32,
    /// The class.
    pub class: usize,
    /// Requests that came.
    pub arrivals: f64,
    /// Admitted ones without an answer.
    pub failed: f64,
}

/// What front ends met at a server, as reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Tries that ended.
    pub attempts: f64,
    /// Those without a good answer.
    pub failed: f64,
    /// Mean time of the good ones, in milliseconds.
    pub mean_latency_ms: f64,
    /// Requests that wait there, if told.
    pub queued: Option<f64>,
}

/// What is seen in a turn.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Inputs {
    /// The time, in microseconds.
    pub now: i64,
    /// When the newest report or probe came in.
    pub last_report_at: Option<i64>,
    /// Time over which reports count, in microseconds.
    pub period: i64,
    /// Saturation, as the decisions have it.
    pub saturation: f64,
    /// Share let in by class, as ordered.
    pub admitted_shares: Vec<f64>,
    /// What warm servers weigh.
    pub warm_weight: f64,
    /// Share of the zones that are cut off.
    pub partitioned_share: f64,
    /// Reports since the last turn.
    pub demand: Vec<Demand>,
    /// Reports since the last turn.
    pub outcomes: Vec<Outcome>,
}

/// The shares of requests to shed where heavy proxies can be told apart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShedShares {
    /// At proxies that are not heavy.
    pub ordinary: f64,
    /// At heavy proxies.
    pub heavy: f64,
}

/// The largest share of a class that is admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassShare {
    /// The class, by its position.
    pub class: usize,
    /// The share, from 0 to 1.
    pub share: f64,
}

/// What follows, until it is said anew.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decision {
    /// The least share of requests to refuse, beside what saturation tells.
    pub min_shed_share: Option<f64>,
    /// The same for front ends that are not heavy, and for those that are, where they can be told apart.
    pub shed_shares: Option<ShedShares>,
    /// The most of a class that is let in, by class.
    pub admitted: Vec<ClassShare>,
    /// How classes may be tried again, by class; nothing said: as ever.
    pub retries: Vec<RetryAllowance>,
}

/// What came of a turn.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evaluation {
    /// What follows.
    pub decision: Decision,
    /// The level changed.
    pub transition: Option<LevelTransition>,
}

/// Rates by class, smoothed.
#[derive(Clone, Debug, Default)]
struct Rates {
    came: Vec<f64>,
    failed: Vec<f64>,
    let_in: Vec<f64>,
    good: f64,
    in_time: f64,
    tries: f64,
    took_ms: f64,
    since: Option<i64>,
}

/// Levels, limits and budgets of one supervisor.
#[derive(Clone, Debug)]
pub struct OverloadManager {
    classes: Vec<Class>,
    order: Vec<usize>,
    plan: OverloadConfig,
    board: SignalWindow,
    steps: Option<LevelTransitions>,
    limiter: Limiter,
    repeats: Option<RetryBudget>,
    comings: Comings,
    heavy: Heavy,
    proxies: usize,
    rates: Rates,
}

impl OverloadManager {
    /// One that has seen nothing yet. `proxies` is how many front ends there are in all.
    pub fn new(plan: OverloadConfig, classes: Vec<Class>, proxies: usize) -> Self {
        let (rule, target) = plan.concurrency_limit.unwrap_or((Rule::Capacity, TARGET));
        let count = classes.len();
        OverloadManager {
            order: lowest_priority_first(&classes),
            board: SignalWindow::default(),
            steps: plan.ladder.clone().map(LevelTransitions::new),
            limiter: Limiter::new(rule, target),
            repeats: plan
                .retry_budget
                .map(|(ratio, widens)| RetryBudget::new(ratio, widens, &classes)),
            comings: Comings::default(),
            heavy: Heavy::new(COUNTS),
            proxies: proxies.max(1),
            rates: Rates {
                came: vec![0.0; count],
                failed: vec![0.0; count],
                let_in: vec![0.0; count],
                ..Rates::default()
            },
            classes,
            plan,
        }
    }

    /// The ladder at work.
    pub fn transitions(&self) -> Option<&LevelTransitions> {
        self.steps.as_ref()
    }

    /// All signals.
    pub fn signals(&self) -> &SignalWindow {
        &self.board
    }

    /// Puts another plan in the place of this one; what is learned stays, and the level as far as the new ladder has it.
    pub fn replace(&mut self, now: i64, plan: OverloadConfig) -> Option<LevelTransition> {
        let (rule, target) = plan.concurrency_limit.unwrap_or((Rule::Capacity, TARGET));
        if plan.concurrency_limit != self.plan.concurrency_limit {
            self.limiter = Limiter::new(rule, target);
        }
        if plan.retry_budget != self.plan.retry_budget {
            self.repeats = plan
                .retry_budget
                .map(|(ratio, widens)| RetryBudget::new(ratio, widens, &self.classes));
        }
        let change = match (&mut self.steps, plan.ladder.clone()) {
            (Some(steps), Some(ladder)) => steps.replace(now, ladder, &self.board),
            (steps, ladder) => {
                let empty = ServiceLevels {
                    levels: Vec::new(),
                    without_signals: 0,
                    most_age: 0,
                    doubt_list: 0,
                };
                let change = steps
                    .as_mut()
                    .and_then(|steps| steps.replace(now, empty, &self.board));
                *steps = ladder.map(LevelTransitions::new);
                change
            }
        };
        self.plan = plan;
        change
    }

    /// Takes up the level from before a restart; or a sentence on why it is left.
    pub fn restore(
        &mut self,
        now: i64,
        saved: &pb::Saved,
    ) -> Result<Option<LevelTransition>, String> {
        match &mut self.steps {
            Some(steps) => steps.restore(now, saved, &self.board),
            None => Err("there is no ladder any more".to_string()),
        }
    }

    /// The limit's share of the work that is let in, and what it takes the fleet to be able to do over what comes.
    pub fn limit(&self) -> (f64, Option<f64>) {
        (
            self.limiter.share(),
            self.board
                .of(Signal::Room)
                .last()
                .map(|sample| sample.value),
        )
    }

    /// One turn: takes in what is seen, and says what follows.
    pub fn evaluate(&mut self, of: &Inputs) -> Evaluation {
        self.learn(of);
        let change = self
            .steps
            .as_mut()
            .and_then(|steps| steps.step(of.now, &self.board));
        Evaluation {
            decision: self.orders(),
            transition: change,
        }
    }

    fn learn(&mut self, of: &Inputs) {
        if let Some(heard) = of.last_report_at {
            self.tell(Signal::Saturation, heard, of.saturation, 1.0);
            self.tell(Signal::Cut, heard, of.partitioned_share, 1.0);
        }
        self.tell_queue(of);
        if of.demand.is_empty() && of.outcomes.is_empty() {
            return;
        }
        let since = self.rates.since.replace(of.now);
        // After a silence the first reports cover one period, not all of it.
        let passed = since.map_or(of.period, |since| {
            of.now
                .saturating_sub(since)
                .min(of.period.saturating_mul(2))
        });
        let seconds = (passed.max(100_000)) as f64 / 1e6;
        self.sum(of, seconds);
        // Reports tell of the period that ended; its middle is when it was so.
        let at = of.now.saturating_sub(of.period / 2);
        let (offered, let_in) = (self.work(&self.rates.came), self.work(&self.rates.let_in));
        let rates = &self.rates;
        let (came, admitted) = (
            rates.came.iter().sum::<f64>(),
            rates.let_in.iter().sum::<f64>(),
        );
        let refused = (came - admitted).max(0.0);
        let failed: f64 = rates.failed.iter().sum();
        let in_time = if admitted > 0.0 {
            (rates.in_time / admitted).min(1.0)
        } else {
            0.0
        };
        let answered = if admitted > 0.0 {
            (rates.good / admitted).min(1.0)
        } else {
            0.0
        };
        let good = let_in * answered;
        let ordered = if came > 0.0 { refused / came } else { 0.0 };
        self.comings.learn(Came {
            came,
            refused,
            failed,
            ordered,
        });
        let seen = Seen {
            seconds,
            offered,
            let_in,
            good,
            strain: of.saturation,
            took_ms: rates.took_ms,
            warm: of.warm_weight,
        };
        self.limiter.step(&seen);
        let again = self.comings.share();
        let sure = (admitted * seconds / SURE).min(1.0);
        let late = 1.0 - in_time;
        let room = self
            .limiter
            .capacity(of.warm_weight)
            .filter(|_| offered > 0.0)
            .map(|can| can / (offered * (1.0 - again)));
        if let Some(repeats) = &mut self.repeats {
            let tried = Tried {
                seconds,
                tries: rates.tries * seconds,
                good: rates.good * seconds,
                let_in: rates.let_in.iter().map(|rate| rate * seconds).collect(),
                failed: rates.failed.iter().map(|rate| rate * seconds).collect(),
                strain: of.saturation,
                room,
            };
            repeats.learn(&tried);
        }
        self.tell(Signal::Late, at, late, sure);
        self.tell(Signal::Again, at, again, sure);
        if let Some(room) = room {
            self.tell(Signal::Room, at, room, sure);
        }
    }

    /// The work in requests by class: their aims stand for it.
    fn work(&self, requests: &[f64]) -> f64 {
        requests
            .iter()
            .zip(&self.classes)
            .map(|(requests, class)| requests * class.latency_objective_seconds)
            .sum()
    }

    /// What was reported since the last turn, as rates.
    fn sum(&mut self, of: &Inputs, seconds: f64) {
        let smooth = |old: &mut f64, new: f64| *old += NEWEST * (new - *old);
        let count = self.classes.len();
        let (mut came, mut failed) = (vec![0.0; count], vec![0.0; count]);
        self.heavy.fade(FADE.powf(seconds));
        for demand in of.demand.iter().filter(|demand| demand.class < count) {
            if !(demand.arrivals.is_finite() && demand.failed.is_finite()) || demand.arrivals < 0.0
            {
                continue;
            }
            came[demand.class] += demand.arrivals;
            failed[demand.class] += demand.failed.clamp(0.0, demand.arrivals);
            self.heavy.add(
                demand.proxy,
                demand.arrivals * self.classes[demand.class].latency_objective_seconds,
            );
        }
        if !of.demand.is_empty() {
            for class in 0..count {
                smooth(&mut self.rates.came[class], came[class] / seconds);
                smooth(&mut self.rates.failed[class], failed[class] / seconds);
                let level = of.admitted_shares.get(class).copied().unwrap_or(1.0);
                smooth(&mut self.rates.let_in[class], level * came[class] / seconds);
            }
        }
        let aims = self.work(&self.rates.came);
        let all: f64 = self.rates.came.iter().sum();
        let aim_ms = if all > 0.0 { 1000.0 * aims / all } else { 0.0 };
        let (mut tries, mut good, mut in_time, mut took) = (0.0, 0.0, 0.0, 0.0);
        let sane = |of: &&Outcome| {
            [of.attempts, of.failed, of.mean_latency_ms]
                .iter()
                .all(|f| f.is_finite() && *f >= 0.0)
        };
        for outcome in of.outcomes.iter().filter(sane) {
            let well = (outcome.attempts - outcome.failed).max(0.0);
            tries += outcome.attempts;
            good += well;
            took += well * outcome.mean_latency_ms;
            // Of answers with this mean, those within the aim: all at half of it, none at one and a half times it.
            let late = if aim_ms > 0.0 {
                (outcome.mean_latency_ms / aim_ms - 0.5).clamp(0.0, 1.0)
            } else {
                0.0
            };
            in_time += well * (1.0 - late);
        }
        if !of.outcomes.is_empty() {
            smooth(&mut self.rates.tries, tries / seconds);
            smooth(&mut self.rates.good, good / seconds);
            smooth(&mut self.rates.in_time, in_time / seconds);
            smooth(
                &mut self.rates.took_ms,
                if good > 0.0 { took / good } else { 0.0 },
            );
        }
    }

    fn tell(&mut self, signal: Signal, at: i64, value: f64, sure: f64) {
        self.board.learn(signal, Observation { at, value, sure });
    }

    fn tell_queue(&mut self, of: &Inputs) {
        let queues = of
            .outcomes
            .iter()
            .filter_map(|outcome| outcome.queued)
            .filter(|queue| queue.is_finite());
        let (sum, count) =
            queues.fold((0.0, 0.0), |(sum, count), queue| (sum + queue, count + 1.0));
        if count > 0.0 {
            self.tell(
                Signal::Queue,
                of.now.saturating_sub(of.period / 2),
                sum / count,
                1.0,
            );
        }
    }

    fn orders(&self) -> Decision {
        let kept = |steps: &LevelTransitions| {
            let keeps = self
                .classes
                .iter()
                .map(|class| steps.keeps(&class.name))
                .enumerate();
            keeps
                .filter(|(_, share)| *share < 1.0)
                .map(|(class, share)| ClassShare { class, share })
                .collect()
        };
        let refuse = self.plan.concurrency_limit.map(|_| self.refuse());
        Decision {
            min_shed_share: refuse,
            shed_shares: refuse
                .zip(self.plan.fairness)
                .and_then(|(refuse, times)| self.fair(refuse, times)),
            admitted: self.steps.as_ref().map(kept).unwrap_or_default(),
            retries: self
                .repeats
                .as_ref()
                .map(|repeats| {
                    (0..self.classes.len())
                        .map(|class| repeats.of(class))
                        .collect()
                })
                .unwrap_or_default(),
        }
    }

    /// The share of requests that goes, when the least worth for its time goes first, for the work to come down to the limit.
    fn refuse(&self) -> f64 {
        let came = &self.rates.came;
        let all: f64 = came.iter().sum();
        let (mut over, mut refused) = (self.work(came) * (1.0 - self.limiter.share()), 0.0);
        for class in &self.order {
            let aim = self.classes[*class].latency_objective_seconds.max(1e-3);
            let gone = (over / aim).min(came[*class] * (1.0 - LET_IN_LEAST));
            over -= gone * aim;
            refused += gone;
        }
        if all > 0.0 {
            refused / all
        } else {
            0.0
        }
    }

    /// What is refused of the others and of the heavy ones: these first, down to the least.
    fn fair(&self, refuse: f64, times: f64) -> Option<ShedShares> {
        let least = times * self.heavy.total() / self.proxies as f64;
        let brings: f64 = self.heavy.above(least).iter().map(|(_, sum)| sum).sum();
        let part = brings / self.heavy.total().max(f64::MIN_POSITIVE);
        if part <= 0.0 || part >= 1.0 {
            return None;
        }
        let heavy = (refuse / part).min(HEAVY_MOST);
        let rest = ((refuse - heavy * part) / (1.0 - part)).clamp(0.0, 1.0);
        Some(ShedShares {
            ordinary: rest,
            heavy,
        })
    }
}

#[cfg(test)]
mod tests;
