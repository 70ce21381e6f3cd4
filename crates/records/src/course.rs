//! The course of an incident: what of all that was recorded was trouble, when it began, what came first, how far it went,
//! and when it was over. Decided here, without I/O, from events in true order.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::pb::{record::Kind, Life, State};
use crate::replay::Picture;
use crate::timeline::{Event, Gap, GapReason, Window};

/// Quiet for so long, in microseconds, means that one trouble is over and the next is another: servers return within
/// twelve seconds at the latest, so that a failing one is not told as many.
pub const APART_US: i64 = 30_000_000;

/// What a server was in a span of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Requests go there as usual.
    Full,
    /// It has less weight for its score.
    Reduced,
    /// It has no weight.
    Withdrawn,
    /// The list says that it drains.
    Draining,
    /// It is warming up.
    Cold,
    /// Nothing is known.
    Unknown,
}

impl Standing {
    /// The word for it.
    pub fn word(self) -> &'static str {
        match self {
            Standing::Full => "full",
            Standing::Reduced => "reduced",
            Standing::Withdrawn => "withdrawn",
            Standing::Draining => "draining",
            Standing::Cold => "cold",
            Standing::Unknown => "unknown",
        }
    }
}

/// A server's standing over a span of time, as one supervisor saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// Its begin, in Unix microseconds.
    pub from_us: i64,
    /// Its end.
    pub to_us: i64,
    /// What it was.
    pub standing: Standing,
}

/// The standings of all servers, by supervisor and server, without what was full all the time.
pub type Standings = BTreeMap<(Arc<str>, String), (String, Vec<Span>)>;

/// What is wrong, of which there may be several at once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trouble {
    /// A server has less weight, or none.
    Server(String),
    /// Reports tell that tries at a server fail.
    Failing(String),
    /// A zone is cut off.
    Zone(String),
    /// Requests are refused.
    Refusing,
    /// Service is reduced to a level.
    Reduced(String),
    /// Discovery says nothing.
    Discovery,
    /// A supervisor died or recorded nothing.
    Supervisor(Arc<str>),
}

impl Trouble {
    /// The trouble in words.
    pub fn line(&self) -> String {
        match self {
            Trouble::Server(name) => format!("server {name} out or reduced"),
            Trouble::Failing(name) => format!("tries at {name} fail"),
            Trouble::Zone(name) => format!("zone {name} cut off"),
            Trouble::Refusing => "requests refused".to_string(),
            Trouble::Reduced(level) => format!("service reduced to {level}"),
            Trouble::Discovery => "discovery silent".to_string(),
            Trouble::Supervisor(name) => format!("supervisor {name} away"),
        }
    }
}

/// One stretch of trouble.
#[derive(Clone, Debug, PartialEq)]
pub struct Incident {
    /// When it began.
    pub from_us: i64,
    /// When the last trouble of it ended; none if it lasts on.
    pub over_us: Option<i64>,
    /// What was first, in the words of its record.
    pub first: String,
    /// All that was wrong, in the order in which it began.
    pub troubles: Vec<(i64, Trouble)>,
    /// Servers that had no weight at some time.
    pub withdrawn: BTreeSet<String>,
}

/// What the events between two times amount to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Course {
    /// Stretches of trouble, in order.
    pub incidents: Vec<Incident>,
    /// Servers that the list took out, in order: drains that were meant.
    pub drains: Vec<(i64, String)>,
    /// Lowest level by class, with when and where.
    pub lowest: BTreeMap<String, (f64, i64, Arc<str>)>,
    /// Most lines waiting, with when and where.
    pub waiting: Option<(f64, i64, Arc<str>)>,
    /// Largest share of requests refused, with when and where.
    pub refused: Option<(f64, i64, Arc<str>)>,
    /// Streams that ended, by reason.
    pub ended: BTreeMap<String, u64>,
    /// Standings of servers.
    pub standings: Standings,
}

/// Follows events one by one, so that a day need not be in memory at once.
pub struct Follower {
    window: Window,
    pictures: BTreeMap<Arc<str>, Picture>,
    open: BTreeMap<(Arc<str>, Trouble), i64>,
    /// Times at which supervisors were away, the next one last.
    away: Vec<Gap>,
    course: Course,
}

/// Tells the course of events, which begin some time before the window so that its begin is known, and of the gaps.
pub fn tell(events: &[Event], gaps: &[Gap], window: Window) -> Course {
    let mut follower = Follower::new(gaps, window);
    events.iter().for_each(|event| follower.follow(event));
    follower.finish()
}

impl Follower {
    /// Follows what happens in a window with these gaps.
    pub fn new(gaps: &[Gap], window: Window) -> Self {
        let away = |gap: &&Gap| {
            matches!(
                gap.reason,
                GapReason::Crashed | GapReason::Stalled | GapReason::Stopped
            )
        };
        let mut away: Vec<Gap> = gaps.iter().filter(away).cloned().collect();
        away.sort_by_key(|gap| std::cmp::Reverse(gap.from_us));
        let (pictures, open, course) = (BTreeMap::new(), BTreeMap::new(), Course::default());
        Follower {
            window,
            pictures,
            open,
            away,
            course,
        }
    }

    /// One supervisor's view after what was followed so far.
    pub fn picture(&self, supervisor: &str) -> Option<&Picture> {
        self.pictures.get(supervisor)
    }

    /// Takes in the next event; they come in true order.
    pub fn follow(&mut self, event: &Event) {
        while let Some(gap) = self.away.pop_if(|gap| gap.from_us <= event.at_us) {
            self.gone(&gap);
        }
        let picture = self
            .pictures
            .entry(Arc::clone(&event.supervisor))
            .or_default();
        let before = picture.clone_light(event);
        picture.apply(&event.record);
        let after = picture.clone_light(event);
        self.figures(event);
        self.spans(event, before.as_ref(), after.as_ref());
        self.troubles(event);
    }

    /// A supervisor was away: nothing is known of its servers, and what it held as trouble is not known to last. That it
    /// stopped as asked is no trouble.
    fn gone(&mut self, gap: &Gap) {
        let by = Arc::clone(&gap.supervisor);
        let known: Vec<(String, String)> = self
            .course
            .standings
            .iter()
            .filter(|((its, _), _)| *its == by)
            .map(|((_, server), (zone, _))| (server.clone(), zone.clone()))
            .collect();
        for (server, zone) in known {
            self.span(gap.from_us, &by, &server, &zone, Standing::Unknown);
        }
        if gap.reason != GapReason::Stopped {
            let trouble = Trouble::Supervisor(Arc::clone(&by));
            self.begin(gap.from_us, Arc::clone(&by), trouble.clone(), gap.line());
            self.end(gap.to_us, &by, &trouble);
        }
    }

    fn within(&self, at_us: i64) -> bool {
        (self.window.from_us..=self.window.to_us).contains(&at_us)
    }

    fn figures(&mut self, event: &Event) {
        let (at, by) = (event.at_us, &event.supervisor);
        if !self.within(at) {
            return;
        }
        let course = &mut self.course;
        let more = |known: &Option<(f64, i64, Arc<str>)>, value: f64| {
            known.as_ref().is_none_or(|k| value > k.0)
        };
        match &event.record.kind {
            Some(Kind::Gauge(of)) => {
                if more(&course.waiting, of.waiting) {
                    course.waiting = Some((of.waiting, at, Arc::clone(by)));
                }
                if of.refused > 0.0 && more(&course.refused, of.refused) {
                    course.refused = Some((of.refused, at, Arc::clone(by)));
                }
                let classes = self
                    .pictures
                    .get(by)
                    .map(|picture| picture.classes.clone())
                    .unwrap_or_default();
                for (class, level) in classes.into_iter().zip(&of.levels) {
                    let lowest = course
                        .lowest
                        .entry(class)
                        .or_insert((1.0, at, Arc::clone(by)));
                    if *level < lowest.0 {
                        *lowest = (*level, at, Arc::clone(by));
                    }
                }
            }
            Some(Kind::StreamLeft(of)) => *course.ended.entry(of.reason.clone()).or_default() += 1,
            Some(Kind::LifeChanged(of))
                if of.life() == Life::Draining
                    && !course.drains.iter().any(|(_, known)| *known == of.server) =>
            {
                course.drains.push((at, of.server.clone()));
            }
            _ => {}
        }
    }

    fn spans(&mut self, event: &Event, before: Option<&Seen>, after: Option<&Seen>) {
        if matches!(event.record.kind, Some(Kind::Fleet(_) | Kind::Started(_))) {
            self.spans_of_all(event);
            return;
        }
        if before == after {
            return;
        }
        if let Some(Seen {
            server,
            zone,
            standing,
        }) = after
        {
            self.span(event.at_us, &event.supervisor, server, zone, *standing);
        } else if let Some(Seen { server, zone, .. }) = before {
            self.span(
                event.at_us,
                &event.supervisor,
                server,
                zone,
                Standing::Unknown,
            );
        }
    }

    fn spans_of_all(&mut self, event: &Event) {
        let Some(picture) = self.pictures.get(&event.supervisor) else {
            return;
        };
        let seen: Vec<(String, String, Standing)> = picture
            .servers
            .iter()
            .map(|(name, server)| (name.clone(), server.zone.clone(), standing(server)))
            .collect();
        for (name, zone, standing) in seen {
            self.span(event.at_us, &event.supervisor, &name, &zone, standing);
        }
    }

    fn span(&mut self, at_us: i64, by: &Arc<str>, server: &str, zone: &str, standing: Standing) {
        let at_us = at_us.clamp(self.window.from_us, self.window.to_us);
        let key = (Arc::clone(by), server.to_string());
        let (_, spans) = self
            .course
            .standings
            .entry(key)
            .or_insert_with(|| (zone.to_string(), Vec::new()));
        match spans.last_mut() {
            Some(last) if last.standing == standing => {}
            Some(last) => {
                last.to_us = at_us;
                spans.push(Span {
                    from_us: at_us,
                    to_us: at_us,
                    standing,
                });
            }
            None => spans.push(Span {
                from_us: at_us,
                to_us: at_us,
                standing,
            }),
        }
    }

    fn troubles(&mut self, event: &Event) {
        let (at, by) = (event.at_us, Arc::clone(&event.supervisor));
        let mut set = |holds: bool, trouble: Trouble| {
            if holds {
                self.begin(at, Arc::clone(&by), trouble, event.line());
            } else {
                self.end(at, &by, &trouble);
            }
        };
        match &event.record.kind {
            Some(Kind::StateChanged(of)) => {
                set(
                    of.state() != State::Full,
                    Trouble::Server(of.server.clone()),
                );
                if of.state() == State::Withdrawn {
                    if let Some(incident) = self.course.incidents.last_mut() {
                        incident.withdrawn.insert(of.server.clone());
                    }
                }
            }
            Some(Kind::LifeChanged(of)) if of.life() != Life::InService => {
                // What leaves is no trouble any more, whatever it was.
                set(false, Trouble::Server(of.server.clone()));
                set(false, Trouble::Failing(of.server.clone()));
            }
            Some(Kind::Failing(of)) => set(of.failing, Trouble::Failing(of.server.clone())),
            Some(Kind::ZoneCut(of)) => set(of.cut, Trouble::Zone(of.zone.clone())),
            Some(Kind::Saturation(of)) => set(of.refused > 0.0, Trouble::Refusing),
            Some(Kind::Gauge(of)) if of.refused <= 0.0 => set(false, Trouble::Refusing),
            Some(Kind::ServiceLevel(of)) => {
                set(of.number > 0, Trouble::Reduced(of.to.clone()));
                set(false, Trouble::Reduced(of.from.clone()));
            }
            Some(Kind::Discovery(of)) => set(!of.tells, Trouble::Discovery),
            Some(Kind::Fleet(of)) => {
                for server in of
                    .servers
                    .iter()
                    .filter(|server| server.state() == State::Full)
                {
                    self.end(at, &by, &Trouble::Server(server.name.clone()));
                }
            }
            // A start holds nothing against anybody.
            Some(Kind::Started(_)) => {
                let own: Vec<Trouble> = self
                    .open
                    .keys()
                    .filter(|(its, _)| *its == by)
                    .map(|(_, trouble)| trouble.clone())
                    .collect();
                own.iter().for_each(|trouble| self.end(at, &by, trouble));
            }
            _ => {}
        }
    }

    fn begin(&mut self, at_us: i64, by: Arc<str>, trouble: Trouble, words: String) {
        if self.open.contains_key(&(Arc::clone(&by), trouble.clone())) {
            return;
        }
        let lasting = self.course.incidents.last_mut().filter(|last| {
            last.over_us
                .is_none_or(|over| at_us.saturating_sub(over) < APART_US)
        });
        let first = format!("{by}: {words}");
        match lasting {
            Some(last) => {
                last.over_us = None;
                if !last.troubles.iter().any(|(_, known)| *known == trouble) {
                    last.troubles.push((at_us, trouble.clone()));
                }
            }
            None => self.course.incidents.push(Incident {
                from_us: at_us,
                over_us: None,
                first,
                troubles: vec![(at_us, trouble.clone())],
                withdrawn: BTreeSet::new(),
            }),
        }
        self.open.insert((by, trouble), at_us);
    }

    fn end(&mut self, at_us: i64, by: &Arc<str>, trouble: &Trouble) {
        if self
            .open
            .remove(&(Arc::clone(by), trouble.clone()))
            .is_none()
            || !self.open.is_empty()
        {
            return;
        }
        if let Some(last) = self.course.incidents.last_mut() {
            last.over_us = Some(at_us.max(last.from_us));
        }
    }

    /// The course of it all.
    pub fn finish(mut self) -> Course {
        while let Some(gap) = self.away.pop() {
            self.gone(&gap);
        }
        let to_us = self.window.to_us;
        for (_, spans) in self.course.standings.values_mut() {
            if let Some(last) = spans.last_mut() {
                last.to_us = to_us;
            }
            spans.retain(|span| span.to_us > span.from_us || span.from_us == to_us);
        }
        // What was over before the window is not its trouble.
        let from_us = self.window.from_us;
        self.course
            .incidents
            .retain(|one| one.over_us.is_none_or(|over| over >= from_us) && one.from_us <= to_us);
        self.course
    }
}

/// What one event shows of one server.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Seen {
    server: String,
    zone: String,
    standing: Standing,
}

fn standing(server: &crate::replay::Server) -> Standing {
    match (server.life, server.state) {
        (Life::Draining, _) => Standing::Draining,
        (Life::Gone, _) => Standing::Unknown,
        (_, State::Withdrawn) => Standing::Withdrawn,
        _ if server.warmth < 1.0 => Standing::Cold,
        (_, State::Reduced) => Standing::Reduced,
        (_, State::Full) => Standing::Full,
    }
}

impl Picture {
    /// The one server that an event is about, as it stands.
    fn clone_light(&self, event: &Event) -> Option<Seen> {
        let name = event.record.kind.as_ref().and_then(crate::kind::server)?;
        let server = self.servers.get(name)?;
        Some(Seen {
            server: name.to_string(),
            zone: server.zone.clone(),
            standing: standing(server),
        })
    }
}

#[cfg(test)]
mod tests;
