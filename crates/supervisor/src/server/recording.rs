//! What the supervisor records of itself: the decisions' notes, its streams, and each second the fleet in figures. It
//! hands values over and decides nothing; without an operators' file that asks for records, nothing is made.

use std::cell::Cell;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use chutegrade_engine::{Engine, Micros};
use chutegrade_operator_config::RecordingConfig;
use chutegrade_records::maintenance::Retention;
use chutegrade_records::recorder::{self, Options};
use chutegrade_records::{pb, Kind, Recorder, Recording};
use chutegrade_scheduler::Cost;

use crate::server::hub::{micros, Clock};
use crate::server::overload::Limits;

/// Time between two records of the fleet in figures: charts by the second, and a reader knows by it that one stood still.
const GAUGE_EVERY: Micros = Micros(1_000_000);
/// Time between two records of all servers: where a reader begins, some 70 bytes a server.
const FLEET_EVERY: Micros = Micros(10_000_000);
/// A move of the system's clock against the time base that is worth a record: beyond what slewing does in a second.
const STEP_LEAST: Micros = Micros(250_000);

/// What is recorded, and when the next of each series is due.
pub struct Book {
    recorder: Recorder,
    recording: Cell<Option<Recording>>,
    gauge_due: Cell<Micros>,
    fleet_due: Cell<Micros>,
    /// What the system's clock was ahead of the time base when it was last compared.
    ahead: Cell<Micros>,
}

/// A directory name that any supervisor's name gives: nothing in it leads elsewhere.
pub fn directory_name(supervisor: &str) -> String {
    let plain = |c: char| {
        if c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.') {
            c
        } else {
            '_'
        }
    };
    let name: String = supervisor.chars().take(100).map(plain).collect();
    match name.trim_matches('.') {
        "" => "supervisor".to_string(),
        name => name.to_string(),
    }
}

/// Where a supervisor's records go.
pub fn directory(records: &RecordingConfig, supervisor: &str) -> PathBuf {
    records.directory.join(directory_name(supervisor))
}

fn ahead(clock: &Clock) -> Micros {
    let system = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    micros(system) - clock.now()
}

impl Book {
    /// Begins to record for a supervisor; whatever is wrong with the directory, it serves on.
    pub fn open(
        records: &RecordingConfig,
        supervisor: &str,
        clock: Clock,
    ) -> std::io::Result<Self> {
        let directory = directory(records, supervisor);
        let options = Options {
            directory,
            supervisor: supervisor.to_string(),
            retention: Retention {
                bytes: records.max_bytes,
                age: records.max_age,
            },
            budget: Cost {
                time: records.background_time,
                bytes: records.background_bytes,
            },
        };
        let (recorder, recording) = recorder::begin(options, move || clock.now().0)?;
        Ok(Book {
            recorder,
            recording: Cell::new(Some(recording)),
            gauge_due: Cell::default(),
            fleet_due: Cell::default(),
            ahead: Cell::new(ahead(&clock)),
        })
    }

    /// Notes what happened at one time and was learned at another.
    pub fn note(&self, at: Micros, learned: Micros, kind: Kind) {
        self.recorder.note(at.0, learned.0, kind);
    }

    /// Notes what is due of the series.
    pub fn series(&self, clock: &Clock, engine: &Engine, limits: &Limits) {
        let now = clock.now();
        if now >= self.gauge_due.get() {
            self.gauge_due.set(now + GAUGE_EVERY);
            let mut gauge = engine.fleet_metrics();
            limits.gauge(&mut gauge, now);
            self.note(now, now, Kind::Gauge(gauge));
            let (before, ahead) = (self.ahead.get(), ahead(clock));
            if Micros((ahead - before).0.saturating_abs()) >= STEP_LEAST {
                self.ahead.set(ahead);
                self.note(
                    now,
                    now,
                    Kind::ClockStepped(pb::ClockStepped {
                        by_us: (ahead - before).0,
                    }),
                );
            }
        }
        if now >= self.fleet_due.get() {
            self.fleet_due.set(now + FLEET_EVERY);
            self.note(now, now, Kind::Fleet(engine.server_snapshot()));
        }
    }

    /// How long until the next of the series is due.
    pub fn due(&self, now: Micros) -> Micros {
        (self.gauge_due.get() - now).max(Micros(0))
    }

    /// Writes what waits; a disk that hangs is awaited for no longer than this.
    pub fn close(&self, within: Duration) {
        if let Some(recording) = self.recording.take() {
            if !recording.close_within(within) {
                tracing::warn!("the last records may not have reached the disk");
            }
        }
    }
}

#[cfg(test)]
mod tests;
