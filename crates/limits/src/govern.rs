//! All of it together: what reports tell becomes signals; signals move the ladder and the limit; what follows for each class
//! is given to whoever hands it to the decision module. It stands for a short time only and must be said again.

use crate::comings::{Came, Comings};
use crate::heavy::{Heavy, COUNTS};
use crate::ladder::{Fault, Ladder};
use crate::limiter::{Limiter, Seen, LET_IN_LEAST, TARGET};
use crate::pb::{self, adaptive::Rule};
use crate::repeats::{Again, Repeats, Tried, RATIO};
use crate::signals::{Board, Sample, Signal};
use crate::steps::{Change, Steps};
use crate::{cheapest_first, Class};

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
pub struct Plan {
    /// The ladder, if there is one.
    pub ladder: Option<Ladder>,
    /// The rule of the limit and its target, if there is one.
    pub adaptive: Option<(Rule, f64)>,
    /// Repeats for each answer, and whether ways of trying again may be widened, if they are budgeted.
    pub repeats: Option<(f64, bool)>,
    /// From how many times the mean a front end is heavy, if that counts.
    pub fairness: Option<f64>,
}

impl Plan {
    /// Reads and checks what the operators wrote; all faults at once. Without classes, what depends on them is not checked.
    pub fn read(of: &pb::Limits, classes: Option<&[Class]>) -> Result<Plan, Vec<Fault>> {
        let mut faults = Vec::new();
        let mut within = |field, given: Option<f64>, usual: f64, (least, most): (f64, f64)| {
            let value = given.unwrap_or(usual);
            if !(least..=most).contains(&value) {
                let said = format!("{field} is {value}: give a figure from {least} to {most}");
                faults.push(Fault {
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
            .map(|ladder| Ladder::read(ladder, classes))
        {
            Some(Err(wrong)) => {
                faults.extend(wrong);
                None
            }
            Some(Ok(ladder)) => Some(ladder),
            None => None,
        };
        if faults.is_empty() {
            Ok(Plan {
                ladder,
                adaptive,
                repeats,
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
    pub came: f64,
    /// Admitted ones without an answer.
    pub failed: f64,
}

/// What front ends met at a server, as reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Tries that ended.
    pub tries: f64,
    /// Those without a good answer.
    pub failed: f64,
    /// Mean time of the good ones, in milliseconds.
    pub mean_ms: f64,
    /// Requests that wait there, if told.
    pub queue: Option<f64>,
}

/// What is seen in a turn.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Inputs {
    /// The time, in microseconds.
    pub now: i64,
    /// When the newest report or probe came in.
    pub heard: Option<i64>,
    /// Time over which reports count, in microseconds.
    pub period: i64,
    /// Saturation, as the decisions have it.
    pub strain: f64,
    /// Share let in by class, as ordered.
    pub levels: Vec<f64>,
    /// What warm servers weigh.
    pub warm: f64,
    /// Share of the zones that are cut off.
    pub cut: f64,
    /// Reports since the last turn.
    pub demand: Vec<Demand>,
    /// Reports since the last turn.
    pub outcomes: Vec<Outcome>,
}

/// What follows, until it is said anew.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Orders {
    /// The least share of requests to refuse, beside what saturation tells.
    pub refuse: Option<f64>,
    /// The same for front ends that are not heavy, and for those that are, where they can be told apart.
    pub heavy: Option<(f64, f64)>,
    /// The most of a class that is let in, by class.
    pub keep: Vec<(usize, f64)>,
    /// How classes may be tried again, by class; nothing said: as ever.
    pub again: Vec<Again>,
}

/// What came of a turn.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Turn {
    /// What follows.
    pub orders: Orders,
    /// The level changed.
    pub change: Option<Change>,
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
pub struct Governor {
    classes: Vec<Class>,
    order: Vec<usize>,
    plan: Plan,
    board: Board,
    steps: Option<Steps>,
    limiter: Limiter,
    repeats: Option<Repeats>,
    comings: Comings,
    heavy: Heavy,
    proxies: usize,
    rates: Rates,
}

impl Governor {
    /// One that has seen nothing yet. `proxies` is how many front ends there are in all.
    pub fn new(plan: Plan, classes: Vec<Class>, proxies: usize) -> Self {
        let (rule, target) = plan.adaptive.unwrap_or((Rule::Capacity, TARGET));
        let count = classes.len();
        Governor {
            order: cheapest_first(&classes),
            board: Board::default(),
            steps: plan.ladder.clone().map(Steps::new),
            limiter: Limiter::new(rule, target),
            repeats: plan
                .repeats
                .map(|(ratio, widens)| Repeats::new(ratio, widens, &classes)),
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
    pub fn steps(&self) -> Option<&Steps> {
        self.steps.as_ref()
    }

    /// All signals.
    pub fn board(&self) -> &Board {
        &self.board
    }

    /// Puts another plan in the place of this one; what is learned stays, and the level as far as the new ladder has it.
    pub fn replace(&mut self, now: i64, plan: Plan) -> Option<Change> {
        let (rule, target) = plan.adaptive.unwrap_or((Rule::Capacity, TARGET));
        if plan.adaptive != self.plan.adaptive {
            self.limiter = Limiter::new(rule, target);
        }
        if plan.repeats != self.plan.repeats {
            self.repeats = plan
                .repeats
                .map(|(ratio, widens)| Repeats::new(ratio, widens, &self.classes));
        }
        let change = match (&mut self.steps, plan.ladder.clone()) {
            (Some(steps), Some(ladder)) => steps.replace(now, ladder, &self.board),
            (steps, ladder) => {
                let empty = Ladder {
                    levels: Vec::new(),
                    without_signals: 0,
                    most_age: 0,
                    doubt_list: 0,
                };
                let change = steps
                    .as_mut()
                    .and_then(|steps| steps.replace(now, empty, &self.board));
                *steps = ladder.map(Steps::new);
                change
            }
        };
        self.plan = plan;
        change
    }

    /// Takes up the level from before a restart; or a sentence on why it is left.
    pub fn restore(&mut self, now: i64, saved: &pb::Saved) -> Result<Option<Change>, String> {
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
    pub fn turn(&mut self, of: &Inputs) -> Turn {
        self.learn(of);
        let change = self
            .steps
            .as_mut()
            .and_then(|steps| steps.step(of.now, &self.board));
        Turn {
            orders: self.orders(),
            change,
        }
    }

    fn learn(&mut self, of: &Inputs) {
        if let Some(heard) = of.heard {
            self.tell(Signal::Saturation, heard, of.strain, 1.0);
            self.tell(Signal::Cut, heard, of.cut, 1.0);
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
            strain: of.strain,
            took_ms: rates.took_ms,
            warm: of.warm,
        };
        self.limiter.step(&seen);
        let again = self.comings.share();
        let sure = (admitted * seconds / SURE).min(1.0);
        let late = 1.0 - in_time;
        let room = self
            .limiter
            .capacity(of.warm)
            .filter(|_| offered > 0.0)
            .map(|can| can / (offered * (1.0 - again)));
        if let Some(repeats) = &mut self.repeats {
            let tried = Tried {
                seconds,
                tries: rates.tries * seconds,
                good: rates.good * seconds,
                let_in: rates.let_in.iter().map(|rate| rate * seconds).collect(),
                failed: rates.failed.iter().map(|rate| rate * seconds).collect(),
                strain: of.strain,
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
            .map(|(requests, class)| requests * class.aim_s)
            .sum()
    }

    /// What was reported since the last turn, as rates.
    fn sum(&mut self, of: &Inputs, seconds: f64) {
        let smooth = |old: &mut f64, new: f64| *old += NEWEST * (new - *old);
        let count = self.classes.len();
        let (mut came, mut failed) = (vec![0.0; count], vec![0.0; count]);
        self.heavy.fade(FADE.powf(seconds));
        for demand in of.demand.iter().filter(|demand| demand.class < count) {
            if !(demand.came.is_finite() && demand.failed.is_finite()) || demand.came < 0.0 {
                continue;
            }
            came[demand.class] += demand.came;
            failed[demand.class] += demand.failed.clamp(0.0, demand.came);
            self.heavy
                .add(demand.proxy, demand.came * self.classes[demand.class].aim_s);
        }
        if !of.demand.is_empty() {
            for class in 0..count {
                smooth(&mut self.rates.came[class], came[class] / seconds);
                smooth(&mut self.rates.failed[class], failed[class] / seconds);
                let level = of.levels.get(class).copied().unwrap_or(1.0);
                smooth(&mut self.rates.let_in[class], level * came[class] / seconds);
            }
        }
        let aims = self.work(&self.rates.came);
        let all: f64 = self.rates.came.iter().sum();
        let aim_ms = if all > 0.0 { 1000.0 * aims / all } else { 0.0 };
        let (mut tries, mut good, mut in_time, mut took) = (0.0, 0.0, 0.0, 0.0);
        let sane = |of: &&Outcome| {
            [of.tries, of.failed, of.mean_ms]
                .iter()
                .all(|f| f.is_finite() && *f >= 0.0)
        };
        for outcome in of.outcomes.iter().filter(sane) {
            let well = (outcome.tries - outcome.failed).max(0.0);
            tries += outcome.tries;
            good += well;
            took += well * outcome.mean_ms;
            // Of answers with this mean, those within the aim: all at half of it, none at one and a half times it.
            let late = if aim_ms > 0.0 {
                (outcome.mean_ms / aim_ms - 0.5).clamp(0.0, 1.0)
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
        self.board.learn(signal, Sample { at, value, sure });
    }

    fn tell_queue(&mut self, of: &Inputs) {
        let queues = of
            .outcomes
            .iter()
            .filter_map(|outcome| outcome.queue)
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

    fn orders(&self) -> Orders {
        let kept = |steps: &Steps| {
            let keeps = self
                .classes
                .iter()
                .map(|class| steps.keeps(&class.name))
                .enumerate();
            keeps.filter(|(_, keep)| *keep < 1.0).collect()
        };
        let refuse = self.plan.adaptive.map(|_| self.refuse());
        Orders {
            refuse,
            heavy: refuse
                .zip(self.plan.fairness)
                .and_then(|(refuse, times)| self.fair(refuse, times)),
            keep: self.steps.as_ref().map(kept).unwrap_or_default(),
            again: self
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
            let aim = self.classes[*class].aim_s.max(1e-3);
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
    fn fair(&self, refuse: f64, times: f64) -> Option<(f64, f64)> {
        let least = times * self.heavy.total() / self.proxies as f64;
        let brings: f64 = self.heavy.above(least).iter().map(|(_, sum)| sum).sum();
        let part = brings / self.heavy.total().max(f64::MIN_POSITIVE);
        if part <= 0.0 || part >= 1.0 {
            return None;
        }
        let heavy = (refuse / part).min(HEAVY_MOST);
        let rest = ((refuse - heavy * part) / (1.0 - part)).clamp(0.0, 1.0);
        Some((rest, heavy))
    }
}

#[cfg(test)]
mod tests;
