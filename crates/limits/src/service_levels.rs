//! The ladder of service levels as declared, and what is wrong with one: levels that flap, can't be left or reached, or shed
//! the dearest first.

use chutegrade_textproto::{find, find_within, Place};

use crate::condition::{Condition, Test};
use crate::signals::Signal;
use crate::{default_levels, lowest_priority_first, pb, Class};

/// Levels at most: what a person tells apart at a glance.
pub const LEVELS_MOST: usize = 12;
/// What is kept of a class at least: with nothing let in, nobody would see that it could be let in again.
pub const KEEP_LEAST: f64 = 0.1;
/// Least gap between entering and leaving, as a share of the greater bound: signals are that noisy.
pub const GAP_LEAST: f64 = 0.1;
/// Figures that hold where nothing is said, in seconds: twice the time in which orders take effect and tell; three reports
/// that are missing; a roster that is late by more than it ever was.
const STAY_S: f64 = 8.0;
const WITHOUT_SIGNALS_S: f64 = 15.0;
const MOST_AGE_S: f64 = 5.0;
const DOUBT_LIST_S: f64 = 60.0;
/// Longest times that may be given, in seconds: beyond, a level stands by itself.
const SECONDS_MOST: f64 = 3600.0;

/// One level of reduced service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLevel {
    /// Its name.
    pub name: String,
    /// What is kept, by class name; the others whole.
    pub keep: Vec<(String, f64)>,
    /// When it is entered.
    pub enter: Condition,
    /// When it may be left.
    pub leave: Condition,
    /// How long it stands at least, in microseconds.
    pub least_stay: i64,
    /// Who is told.
    pub tell: Vec<String>,
}

impl ServiceLevel {
    /// What is kept of a class.
    pub fn keeps(&self, class: &str) -> f64 {
        self.keep
            .iter()
            .find(|(name, _)| name == class)
            .map_or(1.0, |(_, keep)| *keep)
    }
}

/// All levels, the mildest first, and how missing and doubtful signals are taken. Times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLevels {
    /// The levels.
    pub levels: Vec<ServiceLevel>,
    /// How long a level stands without signals before a step towards full service.
    pub without_signals: i64,
    /// Beyond this age a signal is missing.
    pub most_age: i64,
    /// How long all that is measured must be good before what the list says is doubted.
    pub doubt_list: i64,
}

/// The name of full service.
pub const FULL_SERVICE: &str = "full";

/// One thing that is wrong with a ladder.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{said}")]
pub struct ConfigError {
    /// The level, counted from 0, if it is one's.
    pub level: Option<usize>,
    /// The field.
    pub field: &'static str,
    /// What is wrong, and what would be right.
    pub said: String,
}

impl ConfigError {
    /// Where the fault stands in the text that the ladder was read from.
    pub fn place(&self, text: &str) -> Option<Place> {
        match self.level {
            Some(level) => {
                find_within(text, "level", level, self.field).or_else(|| find(text, self.field))
            }
            None => find(text, self.field),
        }
    }
}

impl ServiceLevels {
    /// The name of a level by its number; 0 is full service.
    pub fn name(&self, number: usize) -> &str {
        match number.checked_sub(1) {
            None => FULL_SERVICE,
            Some(at) => self
                .levels
                .get(at)
                .map_or(FULL_SERVICE, |level| &level.name),
        }
    }

    /// The number of a level by its name; 0 is full service.
    pub fn number(&self, name: &str) -> Option<usize> {
        if name == FULL_SERVICE {
            return Some(0);
        }
        self.levels
            .iter()
            .position(|level| level.name == name)
            .map(|at| at + 1)
    }

    /// Reads and checks one; all faults at once. Without classes nothing is said of what depends on them.
    pub fn read(
        of: &pb::Ladder,
        classes: Option<&[Class]>,
    ) -> Result<ServiceLevels, Vec<ConfigError>> {
        let mut faults = Vec::new();
        let mut fault =
            |level, field, said: String| faults.push(ConfigError { level, field, said });
        let mut seconds = |field, given: Option<f64>, usual: f64| {
            let value = given.unwrap_or(usual);
            if !(0.0..=SECONDS_MOST).contains(&value) {
                fault(
                    None,
                    field,
                    format!("{field} is {value}: give seconds from 0 to {SECONDS_MOST}"),
                );
            }
            (value * 1e6) as i64
        };
        let mut ladder = ServiceLevels {
            levels: Vec::new(),
            without_signals: seconds("without_signals_s", of.without_signals_s, WITHOUT_SIGNALS_S),
            most_age: seconds("signal_most_age_s", of.signal_most_age_s, MOST_AGE_S),
            doubt_list: seconds("doubt_list_s", of.doubt_list_s, DOUBT_LIST_S),
        };
        if of.usual == Some(true) {
            if !of.level.is_empty() {
                fault(
                    None,
                    "usual",
                    "the usual ladder has its own levels: give either".to_string(),
                );
            }
            ladder.levels = default_levels::levels(classes.unwrap_or_default());
        } else if of.level.is_empty() {
            fault(
                None,
                "ladder",
                "a ladder without a level: give levels, or usual: true".to_string(),
            );
        }
        if of.level.len() > LEVELS_MOST {
            fault(
                None,
                "ladder",
                format!(
                    "{} levels are too many: at most {LEVELS_MOST}",
                    of.level.len()
                ),
            );
        }
        for (number, level) in of.level.iter().enumerate() {
            let mut own = |field, said| fault(Some(number), field, said);
            if let Some(level) = read_level(level, number, classes, &mut own) {
                ladder.levels.push(level);
            }
        }
        if faults.is_empty() {
            faults.extend(ladder.faults(classes));
        }
        if faults.is_empty() {
            Ok(ladder)
        } else {
            Err(faults)
        }
    }

    /// What is wrong with levels that are each right by themselves.
    pub fn faults(&self, classes: Option<&[Class]>) -> Vec<ConfigError> {
        let mut faults = Vec::new();
        let mut fault = |level, field, said: String| {
            faults.push(ConfigError {
                level: Some(level),
                field,
                said,
            })
        };
        for (at, level) in self.levels.iter().enumerate() {
            let name = &level.name;
            if self.levels.iter().take(at).any(|other| other.name == *name) || name == FULL_SERVICE
            {
                fault(
                    at,
                    "name",
                    format!("{name:?} is taken: every level has a name of its own"),
                );
            }
            if let Some((enter, leave)) = together(&level.enter, &level.leave) {
                fault(
                    at,
                    "leave",
                    format!("{name:?} could be entered and left at once ({enter}; {leave}): leave a gap of a tenth between them"),
                );
            }
            if let Some(classes) = classes {
                if let Some((dear, cheap)) = dear_first(level, classes) {
                    fault(
                        at,
                        "shed",
                        format!("{name:?} sheds more of {dear}, which is dearer, than of {cheap}"),
                    );
                }
            }
            let Some(next) = self.levels.get(at + 1) else {
                continue;
            };
            let milder = |(class, keep): &&(String, f64)| next.keeps(class) > *keep;
            if let Some((class, keep)) = level.keep.iter().find(milder) {
                fault(at + 1, "shed", format!("{:?} keeps more of {class} than {name:?}, which keeps {keep}: levels go from mild to severe", next.name));
            }
            if implied(&level.enter, &next.enter) {
                fault(
                    at,
                    "enter",
                    format!(
                        "{name:?} is never entered: whenever it would be, {:?} is already",
                        next.name
                    ),
                );
            }
        }
        faults
    }
}

fn read_level(
    of: &pb::ServiceLevel,
    number: usize,
    classes: Option<&[Class]>,
    fault: &mut impl FnMut(&'static str, String),
) -> Option<ServiceLevel> {
    let name = if of.name.is_empty() {
        format!("level-{}", number + 1)
    } else {
        of.name.clone()
    };
    if !name
        .chars()
        .all(|c| c.is_alphanumeric() || matches!(c, '-' | '_' | ' '))
        || name.chars().count() > 40
    {
        fault(
            "name",
            format!("{name:?}: give up to 40 letters, digits, blanks, - and _"),
        );
    }
    for shed in &of.shed {
        if classes.is_some_and(|classes| classes.iter().all(|class| class.name != shed.class)) {
            fault("class", format!("no class {:?}", shed.class));
        }
        if !(KEEP_LEAST..=1.0).contains(&shed.keep) {
            let least = KEEP_LEAST;
            fault(
                "keep",
                format!(
                    "{name:?} keeps {} of {}: give a share from {least} to 1",
                    shed.keep, shed.class
                ),
            );
        }
    }
    if of.shed.is_empty() {
        fault(
            "level",
            format!("{name:?} sheds nothing: say of which class how much is kept"),
        );
    }
    let mut condition = |field, of: &Option<pb::Condition>, what: &str| {
        let Some(of) = of else {
            fault(field, format!("{name:?} can't be {what}: give a condition"));
            return None;
        };
        Condition::read(of)
            .map_err(|said| fault(field, format!("{name:?} can't be {what}: {said}")))
            .ok()
    };
    let (enter, leave) = (
        condition("enter", &of.enter, "reached"),
        condition("leave", &of.leave, "left"),
    );
    let stay = of.least_stay_s.unwrap_or(STAY_S);
    if !(0.0..=SECONDS_MOST).contains(&stay) {
        fault(
            "least_stay_s",
            format!("{name:?} stays {stay}: give seconds from 0 to {SECONDS_MOST}"),
        );
    }
    let keep = of
        .shed
        .iter()
        .map(|shed| (shed.class.clone(), shed.keep))
        .collect();
    let (tell, least_stay) = (of.tell.clone(), (stay * 1e6) as i64);
    Some(ServiceLevel {
        name,
        keep,
        enter: enter?,
        leave: leave?,
        least_stay,
        tell,
    })
}

/// The ways in which a condition can hold, each a set of tests.
fn ways(of: &Condition) -> Vec<Vec<Test>> {
    let with = |test: Option<&Test>| of.all.iter().chain(test).copied().collect();
    if of.any.is_empty() {
        vec![with(None)]
    } else {
        of.any.iter().map(|test| with(Some(test))).collect()
    }
}

/// Two ways of entering and leaving that could both hold, or hold by turns at the least noise.
fn together(enter: &Condition, leave: &Condition) -> Option<(String, String)> {
    let apart = |one: &Test, other: &Test| {
        let (high, low) = if one.above {
            (one, other)
        } else {
            (other, one)
        };
        let gap = GAP_LEAST * high.bound.abs().max(low.bound.abs());
        one.signal == other.signal
            && one.above != other.above
            && high.bound - low.bound >= gap - 1e-9
    };
    let told = |way: &[Test]| {
        way.iter()
            .map(Test::to_string)
            .collect::<Vec<_>>()
            .join(" and ")
    };
    let (enters, leaves) = (ways(enter), ways(leave));
    let pairs = enters
        .iter()
        .flat_map(|enter| leaves.iter().map(move |leave| (enter, leave)));
    let mut both = pairs.filter(|(enter, leave)| {
        !enter
            .iter()
            .any(|one| leave.iter().any(|other| apart(one, other)))
    });
    both.next().map(|(enter, leave)| (told(enter), told(leave)))
}

/// Whether the second condition holds whenever the first does.
fn implied(first: &Condition, second: &Condition) -> bool {
    let stronger = |one: &Test, other: &Test| {
        let bound = if one.above {
            one.bound >= other.bound
        } else {
            one.bound <= other.bound
        };
        one.signal == other.signal && one.above == other.above && bound && one.hold >= other.hold
    };
    let weaker = ways(second);
    ways(first).iter().all(|way| {
        weaker.iter().any(|other| {
            other
                .iter()
                .all(|test| way.iter().any(|one| stronger(one, test)))
        })
    })
}

/// A class that loses more than a cheaper one does.
fn dear_first<'a>(level: &ServiceLevel, classes: &'a [Class]) -> Option<(&'a str, &'a str)> {
    let order: Vec<&Class> = lowest_priority_first(classes)
        .into_iter()
        .map(|at| &classes[at])
        .collect();
    let kept = |class: &Class| level.keeps(&class.name);
    // Of two that are worth the same either may go first.
    let pair = order.iter().enumerate().find_map(|(at, dear)| {
        let cheap = order[..at]
            .iter()
            .find(|cheap| cheap.value() < dear.value() && kept(cheap) > kept(dear))?;
        Some((dear.name.as_str(), cheap.name.as_str()))
    });
    pair
}

/// Signals that any condition of a ladder uses.
pub fn used(ladder: &ServiceLevels) -> Vec<Signal> {
    let mut used: Vec<Signal> = Vec::new();
    for level in &ladder.levels {
        used.extend(
            level
                .enter
                .tests()
                .chain(level.leave.tests())
                .map(|test| test.signal),
        );
    }
    used.sort_unstable();
    used.dedup();
    used
}

#[cfg(test)]
mod tests;
