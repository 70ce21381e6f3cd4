//! Ground truth: the events that a fault script injected and their times, and a comparison with the recorded events.

use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

use chutegrade_records::segment::{self, Item};
use chutegrade_records::{frame, pb, Event, Gap, GapReason, Kind, Record};
use prost::Message;
use serde::Serialize;

/// An event that a fault script injected.
#[allow(missing_docs)]
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "what")]
pub enum InjectedEvent {
    /// The server list marks a server as draining.
    Drains { server: String },
    /// The server list no longer has a server.
    Removed { server: String },
    /// A server restarted and is listed again.
    Started { server: String },
    /// A server begins or stops to fail all requests and health checks.
    Fails { server: String, on: bool },
    /// A zone is partitioned from the others, or the partition ends.
    Cut { zone: String, on: bool },
    /// The usual request rate is multiplied by a factor.
    Demand { factor: f64 },
    /// A proxy's stream was closed.
    Broken { proxy: u32 },
    /// Reports of a zone's collectors are delayed by this time in milliseconds; 0 ends the delay.
    Late { zone: String, ms: u64 },
    /// Discovery stops sending on watches, or resumes.
    Mute { on: bool },
    /// A supervisor was killed with SIGKILL.
    Killed { supervisor: String },
    /// A supervisor was started.
    Begun { supervisor: String },
    /// A supervisor was sent SIGTERM.
    Ended { supervisor: String },
}

/// An injected event and its time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct GroundTruthEntry {
    /// Unix time in microseconds, taken before the event is injected.
    pub at_us: i64,
    /// Written as the tag `what` and the event's own fields.
    #[serde(flatten)]
    pub deed: InjectedEvent,
}

/// Returns the current Unix time in microseconds.
pub fn now_us() -> i64 {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    i64::try_from(unix.as_micros()).unwrap_or(i64::MAX)
}

/// The injected events of one run in chronological order.
#[derive(Clone, Debug, Default)]
pub struct GroundTruthLog(Arc<Mutex<Vec<GroundTruthEntry>>>);

impl GroundTruthLog {
    /// Appends an event with the current time.
    pub fn record(&self, event: InjectedEvent) {
        self.0
            .lock()
            .expect("no panic while locked")
            .push(GroundTruthEntry {
                at_us: now_us(),
                deed: event,
            });
    }

    /// Returns all entries.
    pub fn entries(&self) -> Vec<GroundTruthEntry> {
        self.0.lock().expect("no panic while locked").clone()
    }

    /// Writes the entries to a file, one JSON object per line.
    pub fn save(&self, path: &Path) -> std::io::Result<()> {
        let mut file = std::fs::File::create(path)?;
        for entry in self.entries() {
            writeln!(file, "{}", serde_json::to_string(&entry)?)?;
        }
        Ok(())
    }
}

/// Copies a supervisor's records to another directory, with timestamps as if its clock had been ahead by `offset_us`.
pub fn shift_clock(from: &Path, to: &Path, offset_us: i64) -> std::io::Result<()> {
    std::fs::create_dir_all(to)?;
    for id in segment::list(from)? {
        let bytes = segment::bytes(&id.path(from), 0, segment::MAX_SEGMENT_BYTES)?;
        let mut output = Vec::new();
        for (_, item) in segment::items(&bytes, 0) {
            let content = match item {
                Item::Header(header) => header.encode_to_vec(),
                Item::Record { decoded, .. } => {
                    let Record {
                        at_us, learned_us, ..
                    } = decoded.record;
                    // The start time of a server comes from the server list, not from the supervisor's clock.
                    let event_offset_us =
                        if matches!(decoded.record.kind, Some(Kind::ServerStarted(_))) {
                            0
                        } else {
                            offset_us
                        };
                    let (at_us, learned_us) = (at_us + event_offset_us, learned_us + offset_us);
                    Record {
                        at_us,
                        learned_us,
                        ..decoded.record
                    }
                    .encode_to_vec()
                }
                Item::Damaged(_) | Item::Torn(_) => continue,
            };
            frame::put(&mut output, &content);
        }
        std::fs::write(id.path(to), output)?;
    }
    Ok(())
}

/// Longest delay of an event after its injection, in microseconds: covers the delays of discovery, ticks, delayed
/// reports and a loaded machine.
const MAX_DELAY_US: i64 = 6_000_000;
/// Longest lead of an event before its injection, in microseconds; small, since both use the clock of one machine and
/// the injection is logged first.
const MAX_LEAD_US: i64 = 50_000;

/// Compares the recorded events of these supervisors with the ground truth. Returns descriptions of the differences:
/// injected events that are not recorded, recorded events that were not injected, crashes that no gap marks, and events
/// out of order.
pub fn compare(
    truth: &[GroundTruthEntry],
    events: &[Event],
    gaps: &[Gap],
    supervisors: &[&str],
) -> Vec<String> {
    let mut differences = missing_events(truth, events, gaps, supervisors);
    differences.extend(unexpected_events(truth, events));
    differences.extend(unmarked_crashes(truth, gaps));
    differences.extend(out_of_order(events));
    differences
}

/// Returns the time ranges in which a supervisor did not run.
fn downtimes(truth: &[GroundTruthEntry], supervisor: &str) -> Vec<(i64, i64)> {
    let mut downtimes = Vec::new();
    let mut since = Some(i64::MIN);
    for entry in truth {
        match &entry.deed {
            InjectedEvent::Begun { supervisor: name } if name == supervisor => {
                downtimes.extend(since.take().map(|since| (since, entry.at_us)));
            }
            InjectedEvent::Killed { supervisor: name }
            | InjectedEvent::Ended { supervisor: name }
                if name == supervisor =>
            {
                since = Some(entry.at_us);
            }
            _ => {}
        }
    }
    downtimes.extend(since.map(|since| (since, i64::MAX)));
    downtimes
}

fn is_timely(event: &Event, at_us: i64) -> bool {
    (at_us - MAX_LEAD_US..=at_us + MAX_DELAY_US).contains(&event.at_us)
}

/// Whether a recorded event corresponds to an injected one.
fn matches_event(event: &Event, injected: &InjectedEvent) -> bool {
    let Some(kind) = &event.record.kind else {
        return false;
    };
    match (injected, kind) {
        (InjectedEvent::Drains { server }, Kind::LifeChanged(change)) => {
            change.server == *server && change.life() == pb::Life::Draining
        }
        (InjectedEvent::Removed { server }, Kind::LifeChanged(change)) => {
            change.server == *server && change.life() == pb::Life::Gone
        }
        (InjectedEvent::Started { server }, Kind::ServerStarted(change)) => {
            change.server == *server
        }
        (InjectedEvent::Fails { server, on: true }, Kind::Failing(change)) => {
            change.server == *server && change.failing
        }
        (InjectedEvent::Fails { server, on: true }, Kind::StateChanged(change)) => {
            change.server == *server && change.state() == pb::State::Withdrawn
        }
        (InjectedEvent::Cut { zone, on }, Kind::ZoneCut(change)) => {
            change.zone == *zone && change.cut == *on
        }
        (InjectedEvent::Demand { factor }, Kind::Saturation(change)) => {
            *factor > 1.0 && change.refused > 0.0
        }
        (InjectedEvent::Broken { proxy }, Kind::StreamLeft(change)) => change.proxy == *proxy,
        (InjectedEvent::Mute { on }, Kind::Discovery(change)) => change.tells != *on,
        (InjectedEvent::Begun { .. }, Kind::Started(_))
        | (InjectedEvent::Ended { .. }, Kind::Stopped(_)) => true,
        _ => false,
    }
}

/// Whether a supervisor can observe an injected event: those of a supervisor's own lifecycle only that supervisor, all
/// others every supervisor.
fn concerns(injected: &InjectedEvent, supervisor: &str) -> bool {
    match injected {
        InjectedEvent::Begun { supervisor: name }
        | InjectedEvent::Ended { supervisor: name }
        | InjectedEvent::Killed { supervisor: name } => name == supervisor,
        _ => true,
    }
}

fn missing_events(
    truth: &[GroundTruthEntry],
    events: &[Event],
    gaps: &[Gap],
    supervisors: &[&str],
) -> Vec<String> {
    let mut differences = Vec::new();
    for entry in truth {
        // Skips events that are not recorded by themselves. `Demand` is checked below.
        let has_no_event = matches!(
            entry.deed,
            InjectedEvent::Killed { .. }
                | InjectedEvent::Late { .. }
                | InjectedEvent::Fails { on: false, .. }
                | InjectedEvent::Demand { .. }
        );
        if has_no_event {
            continue;
        }
        let is_recorded = |by: &str| {
            events.iter().any(|event| {
                &*event.supervisor == by
                    && is_timely(event, entry.at_us)
                    && matches_event(event, &entry.deed)
            })
        };
        for supervisor in supervisors
            .iter()
            .filter(|supervisor| concerns(&entry.deed, supervisor))
        {
            let (from, to) = (entry.at_us - MAX_LEAD_US, entry.at_us + MAX_DELAY_US);
            let was_down = downtimes(truth, supervisor)
                .iter()
                .any(|(since, until)| *since <= to && *until >= from);
            let is_own_lifecycle = matches!(
                entry.deed,
                InjectedEvent::Begun { .. } | InjectedEvent::Ended { .. }
            );
            // The end of a proxy's stream is recorded only by the supervisor that it had joined.
            let is_recorded_elsewhere = matches!(entry.deed, InjectedEvent::Broken { .. })
                && supervisors.iter().any(|by| is_recorded(by));
            let is_in_gap = gaps.iter().any(|gap| {
                *gap.supervisor == **supervisor
                    && gap.reason == GapReason::Lost
                    && gap.from_us <= to
                    && gap.to_us >= from
            });
            if !is_recorded(supervisor)
                && !is_recorded_elsewhere
                && !is_in_gap
                && (is_own_lifecycle || !was_down)
            {
                differences.push(format!(
                    "{supervisor} did not record {:?} at {}",
                    entry.deed, entry.at_us
                ));
            }
        }
    }
    // An overload need not reach every supervisor's threshold; at least one must have recorded it.
    let overloads = truth
        .iter()
        .filter(|entry| matches!(entry.deed, InjectedEvent::Demand { factor } if factor > 1.0));
    for entry in overloads {
        if !events
            .iter()
            .any(|event| is_timely(event, entry.at_us) && matches_event(event, &entry.deed))
        {
            differences.push(format!("no supervisor recorded {:?}", entry.deed));
        }
    }
    differences
}

/// Describes events that only an injection can cause, but that were not injected.
fn unexpected_events(truth: &[GroundTruthEntry], events: &[Event]) -> Vec<String> {
    let mut differences = Vec::new();
    for event in events {
        let Some(kind) = &event.record.kind else {
            continue;
        };
        let is_injected = truth
            .iter()
            .any(|entry| is_timely(event, entry.at_us) && matches_event(event, &entry.deed));
        let requires_injection = match kind {
            Kind::LifeChanged(change) => change.life() != pb::Life::InService,
            Kind::ServerStarted(_)
            | Kind::Discovery(_)
            | Kind::ZoneCut(_)
            | Kind::Started(_)
            | Kind::Stopped(_) => true,
            _ => false,
        };
        // A supervisor that starts records the contents of the server list again.
        let is_replayed = matches!(kind, Kind::LifeChanged(_) | Kind::ServerStarted(_))
            && truth.iter().any(|entry| {
                matches!(entry.deed, InjectedEvent::Begun { .. })
                    && event.learned_us() - entry.at_us < MAX_DELAY_US
            });
        if requires_injection && !is_injected && !is_replayed {
            differences.push(format!(
                "{} recorded an event that was not injected: {}",
                event.supervisor,
                event.line()
            ));
        }
    }
    differences
}

/// Describes crashes of a supervisor whose downtime no gap marks.
fn unmarked_crashes(truth: &[GroundTruthEntry], gaps: &[Gap]) -> Vec<String> {
    let mut differences = Vec::new();
    for (index, entry) in truth.iter().enumerate() {
        let InjectedEvent::Killed { supervisor } = &entry.deed else {
            continue;
        };
        let is_restart = |next: &&GroundTruthEntry| matches!(&next.deed, InjectedEvent::Begun { supervisor: name } if name == supervisor);
        let Some(next) = truth.iter().skip(index).find(is_restart) else {
            continue;
        };
        let is_marked = gaps.iter().any(|gap| {
            *gap.supervisor == **supervisor
                && gap.reason == GapReason::Crashed
                && gap.from_us <= entry.at_us
                && gap.to_us >= next.at_us
        });
        if !is_marked {
            differences.push(format!(
                "no gap marks the crash of {supervisor} from {} to {}",
                entry.at_us, next.at_us
            ));
        }
    }
    differences
}

fn out_of_order(events: &[Event]) -> Vec<String> {
    let pairs = events.windows(2).filter(|pair| {
        pair.first().map(|event| event.at_us) > pair.last().map(|event| event.at_us)
    });
    pairs
        .map(|pair| {
            format!(
                "events out of order: {:?}",
                pair.iter().map(Event::line).collect::<Vec<_>>()
            )
        })
        .collect()
}
