//! Ground truth: what was really done to a fleet, and when, written by whoever did it. And what of it records must show.

use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

use chutegrade_records::segment::{self, Item};
use chutegrade_records::{frame, pb, Event, Gap, GapReason, Kind, Record};
use prost::Message;
use serde::Serialize;

/// What was done.
#[allow(missing_docs)]
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "what")]
pub enum InjectedEvent {
    /// The list says that a server drains.
    Drains { server: String },
    /// The list drops a server.
    Removed { server: String },
    /// A server started anew and is listed again.
    Started { server: String },
    /// A server fails all requests and probes, or none any more.
    Fails { server: String, on: bool },
    /// A zone is cut off from the others, or not any more.
    Cut { zone: String, on: bool },
    /// So much more is asked than usually.
    Demand { factor: f64 },
    /// A front end's stream was broken.
    Broken { proxy: u32 },
    /// Reports of a zone's collector come so much later, in milliseconds.
    Late { zone: String, ms: u64 },
    /// Discovery says nothing, or speaks again.
    Mute { on: bool },
    /// A supervisor was killed outright.
    Killed { supervisor: String },
    /// A supervisor was started.
    Begun { supervisor: String },
    /// A supervisor was asked to end.
    Ended { supervisor: String },
}

/// A deed and when it was done.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct GroundTruthEntry {
    /// Unix microseconds.
    pub at_us: i64,
    /// What was done.
    #[serde(flatten)]
    pub deed: InjectedEvent,
}

/// Unix time now, in microseconds.
pub fn now_us() -> i64 {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    i64::try_from(unix.as_micros()).unwrap_or(i64::MAX)
}

/// The deeds of one run, in order.
#[derive(Clone, Debug, Default)]
pub struct GroundTruthLog(Arc<Mutex<Vec<GroundTruthEntry>>>);

impl GroundTruthLog {
    /// Writes down what is being done now.
    pub fn record(&self, deed: InjectedEvent) {
        self.0
            .lock()
            .expect("no panic while held")
            .push(GroundTruthEntry {
                at_us: now_us(),
                deed,
            });
    }

    /// All that was written down.
    pub fn entries(&self) -> Vec<GroundTruthEntry> {
        self.0.lock().expect("no panic while held").clone()
    }

    /// Writes it to a file, a JSON object a line.
    pub fn save(&self, path: &Path) -> std::io::Result<()> {
        let mut file = std::fs::File::create(path)?;
        for truth in self.entries() {
            writeln!(file, "{}", serde_json::to_string(&truth)?)?;
        }
        Ok(())
    }
}

/// Writes a supervisor's records anew as if its clock had been so much ahead, into another directory.
pub fn shift_clock(from: &Path, to: &Path, by_us: i64) -> std::io::Result<()> {
    std::fs::create_dir_all(to)?;
    for id in segment::list(from)? {
        let bytes = segment::bytes(&id.path(from), 0, segment::LENGTH_MOST)?;
        let mut out = Vec::new();
        for (_, item) in segment::items(&bytes, 0) {
            let content = match item {
                Item::Header(header) => header.encode_to_vec(),
                Item::Record { read, .. } => {
                    let Record {
                        at_us, learned_us, ..
                    } = read.record;
                    // A server's start has the list's time, whatever the supervisor's clock says.
                    let own = if matches!(read.record.kind, Some(Kind::ServerStarted(_))) {
                        0
                    } else {
                        by_us
                    };
                    let (at_us, learned_us) = (at_us + own, learned_us + by_us);
                    Record {
                        at_us,
                        learned_us,
                        ..read.record
                    }
                    .encode_to_vec()
                }
                Item::Damaged(_) | Item::Torn(_) => continue,
            };
            frame::put(&mut out, &content);
        }
        std::fs::write(id.path(to), out)?;
    }
    Ok(())
}

/// How late an event may be against the deed that it follows, in microseconds: the list's own lateness, ticks, a loaded
/// machine; reports may be later by what makes them late.
const LATE_MOST_US: i64 = 6_000_000;
/// How much earlier than its deed: both clocks are this machine's, and the deed is written down first.
const EARLY_MOST_US: i64 = 50_000;

/// Compares what was recorded with what was done, for these supervisors. Every sentence is a fault: a deed without its
/// event, an event without a deed, or a silence that is not marked.
pub fn compare(
    truth: &[GroundTruthEntry],
    events: &[Event],
    gaps: &[Gap],
    supervisors: &[&str],
) -> Vec<String> {
    let mut faults = missing(truth, events, gaps, supervisors);
    faults.extend(invented(truth, events));
    faults.extend(unmarked(truth, gaps));
    faults.extend(disordered(events));
    faults
}

/// Times at which a supervisor did not run.
fn away(truth: &[GroundTruthEntry], supervisor: &str) -> Vec<(i64, i64)> {
    let mut away = Vec::new();
    let mut since = Some(i64::MIN);
    for one in truth {
        match &one.deed {
            InjectedEvent::Begun { supervisor: its } if its == supervisor => {
                away.extend(since.take().map(|since| (since, one.at_us)));
            }
            InjectedEvent::Killed { supervisor: its }
            | InjectedEvent::Ended { supervisor: its }
                if its == supervisor =>
            {
                since = Some(one.at_us);
            }
            _ => {}
        }
    }
    away.extend(since.map(|since| (since, i64::MAX)));
    away
}

fn follows(event: &Event, at_us: i64) -> bool {
    (at_us - EARLY_MOST_US..=at_us + LATE_MOST_US).contains(&event.at_us)
}

/// Whether an event shows a deed.
fn shows(event: &Event, deed: &InjectedEvent) -> bool {
    let Some(kind) = &event.record.kind else {
        return false;
    };
    match (deed, kind) {
        (InjectedEvent::Drains { server }, Kind::LifeChanged(of)) => {
            of.server == *server && of.life() == pb::Life::Draining
        }
        (InjectedEvent::Removed { server }, Kind::LifeChanged(of)) => {
            of.server == *server && of.life() == pb::Life::Gone
        }
        (InjectedEvent::Started { server }, Kind::ServerStarted(of)) => of.server == *server,
        (InjectedEvent::Fails { server, on: true }, Kind::Failing(of)) => {
            of.server == *server && of.failing
        }
        (InjectedEvent::Fails { server, on: true }, Kind::StateChanged(of)) => {
            of.server == *server && of.state() == pb::State::Withdrawn
        }
        (InjectedEvent::Cut { zone, on }, Kind::ZoneCut(of)) => of.zone == *zone && of.cut == *on,
        (InjectedEvent::Demand { factor }, Kind::Saturation(of)) => {
            *factor > 1.0 && of.refused > 0.0
        }
        (InjectedEvent::Broken { proxy }, Kind::StreamLeft(of)) => of.proxy == *proxy,
        (InjectedEvent::Mute { on }, Kind::Discovery(of)) => of.tells != *on,
        (InjectedEvent::Begun { .. }, Kind::Started(_))
        | (InjectedEvent::Ended { .. }, Kind::Stopped(_)) => true,
        _ => false,
    }
}

/// Whether every supervisor that runs learns of a deed, or only the one concerned.
fn concerns(deed: &InjectedEvent, supervisor: &str) -> bool {
    match deed {
        InjectedEvent::Begun { supervisor: its }
        | InjectedEvent::Ended { supervisor: its }
        | InjectedEvent::Killed { supervisor: its } => its == supervisor,
        _ => true,
    }
}

fn missing(
    truth: &[GroundTruthEntry],
    events: &[Event],
    gaps: &[Gap],
    supervisors: &[&str],
) -> Vec<String> {
    let mut faults = Vec::new();
    for one in truth {
        // What is only the end of something, or has no event of its own, is not looked for.
        let silent = matches!(
            one.deed,
            InjectedEvent::Killed { .. }
                | InjectedEvent::Late { .. }
                | InjectedEvent::Fails { on: false, .. }
                | InjectedEvent::Demand { .. }
        );
        if silent {
            continue;
        }
        let found = |by: &str| {
            events
                .iter()
                .any(|e| &*e.supervisor == by && follows(e, one.at_us) && shows(e, &one.deed))
        };
        for supervisor in supervisors
            .iter()
            .filter(|supervisor| concerns(&one.deed, supervisor))
        {
            let (from, to) = (one.at_us - EARLY_MOST_US, one.at_us + LATE_MOST_US);
            let absent = away(truth, supervisor)
                .iter()
                .any(|(since, until)| *since <= to && *until >= from);
            let own = matches!(
                one.deed,
                InjectedEvent::Begun { .. } | InjectedEvent::Ended { .. }
            );
            // A front end's stream ends at the one supervisor that it had joined.
            let elsewhere = matches!(one.deed, InjectedEvent::Broken { .. })
                && supervisors.iter().any(|by| found(by));
            let hidden = gaps.iter().any(|gap| {
                *gap.supervisor == **supervisor
                    && gap.reason == GapReason::Lost
                    && gap.from_us <= to
                    && gap.to_us >= from
            });
            if !found(supervisor) && !elsewhere && !hidden && (own || !absent) {
                faults.push(format!(
                    "{supervisor} shows nothing of {:?} at {}",
                    one.deed, one.at_us
                ));
            }
        }
    }
    // An overload need not reach every supervisor's threshold; one must have told of it.
    let heavy = truth
        .iter()
        .filter(|one| matches!(one.deed, InjectedEvent::Demand { factor } if factor > 1.0));
    for one in heavy {
        if !events
            .iter()
            .any(|event| follows(event, one.at_us) && shows(event, &one.deed))
        {
            faults.push(format!("nobody shows {:?}", one.deed));
        }
    }
    faults
}

/// Events of kinds that only a deed can bring about, without one.
fn invented(truth: &[GroundTruthEntry], events: &[Event]) -> Vec<String> {
    let mut faults = Vec::new();
    for event in events {
        let Some(kind) = &event.record.kind else {
            continue;
        };
        let told = truth
            .iter()
            .any(|one| follows(event, one.at_us) && shows(event, &one.deed));
        let needs = match kind {
            Kind::LifeChanged(of) => of.life() != pb::Life::InService,
            Kind::ServerStarted(_)
            | Kind::Discovery(_)
            | Kind::ZoneCut(_)
            | Kind::Started(_)
            | Kind::Stopped(_) => true,
            _ => false,
        };
        // A supervisor that begins learns again what the list holds.
        let again = matches!(kind, Kind::LifeChanged(_) | Kind::ServerStarted(_))
            && truth.iter().any(|one| {
                matches!(one.deed, InjectedEvent::Begun { .. })
                    && event.learned_us() - one.at_us < LATE_MOST_US
            });
        if needs && !told && !again {
            faults.push(format!(
                "{} tells without cause: {}",
                event.supervisor,
                event.line()
            ));
        }
    }
    faults
}

/// Times at which a supervisor did not run and that no gap marks.
fn unmarked(truth: &[GroundTruthEntry], gaps: &[Gap]) -> Vec<String> {
    let mut faults = Vec::new();
    for (at, one) in truth.iter().enumerate() {
        let InjectedEvent::Killed { supervisor } = &one.deed else {
            continue;
        };
        let again = |next: &&GroundTruthEntry| matches!(&next.deed, InjectedEvent::Begun { supervisor: its } if its == supervisor);
        let Some(next) = truth.iter().skip(at).find(again) else {
            continue;
        };
        let marked = gaps.iter().any(|gap| {
            *gap.supervisor == **supervisor
                && gap.reason == GapReason::Crashed
                && gap.from_us <= one.at_us
                && gap.to_us >= next.at_us
        });
        if !marked {
            faults.push(format!(
                "the death of {supervisor} from {} to {} is not marked",
                one.at_us, next.at_us
            ));
        }
    }
    faults
}

fn disordered(events: &[Event]) -> Vec<String> {
    let pairs = events
        .windows(2)
        .filter(|pair| pair.first().map(|e| e.at_us) > pair.last().map(|e| e.at_us));
    pairs
        .map(|pair| {
            format!(
                "out of order: {:?}",
                pair.iter().map(Event::line).collect::<Vec<_>>()
            )
        })
        .collect()
}
