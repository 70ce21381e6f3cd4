//! Records fleet metrics and server snapshots at regular intervals, and steps of the system clock.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use chutegrade_engine::Micros;
use chutegrade_records::{pb, Kind};

use crate::server::overload_control::OverloadControl;
use crate::shared::clock::{to_duration, Clock};
use crate::shared::engine_handle::EngineHandle;
use crate::shared::event_recorder::EventRecorder;

/// Time between two records of fleet metrics: charts have a point per second, and a gap shows that the supervisor stalled.
const METRICS_INTERVAL: Micros = Micros(1_000_000);
/// Time between two snapshots of all servers, from which readers start; a snapshot takes about 70 bytes per server.
const SNAPSHOT_INTERVAL: Micros = Micros(10_000_000);
/// Minimum step of the system clock that is recorded: more than slewing changes in a second.
const MIN_CLOCK_STEP: Micros = Micros(250_000);

/// Records the series of one supervisor when they are due.
pub struct FleetSeries {
    clock: Clock,
    engine: EngineHandle,
    recorder: EventRecorder,
    overload: Rc<OverloadControl>,
    metrics_due: Cell<Micros>,
    snapshot_due: Cell<Micros>,
    /// How far the system clock was ahead of `clock` when that was last recorded.
    system_offset: Cell<Micros>,
}

impl FleetSeries {
    /// Creates series that are due immediately.
    pub fn new(
        clock: Clock,
        engine: EngineHandle,
        recorder: EventRecorder,
        overload: Rc<OverloadControl>,
    ) -> Self {
        FleetSeries {
            clock,
            engine,
            recorder,
            overload,
            metrics_due: Cell::default(),
            snapshot_due: Cell::default(),
            // `Clock` starts at the time of the system clock.
            system_offset: Cell::new(Micros(0)),
        }
    }

    /// Records the metrics and the snapshot if they are due.
    pub fn record_due(&self) {
        let now = self.clock.now();
        if now >= self.metrics_due.get() {
            self.metrics_due.set(now + METRICS_INTERVAL);
            self.record_metrics(now);
            self.record_clock_step(now);
        }
        if now >= self.snapshot_due.get() {
            self.snapshot_due.set(now + SNAPSHOT_INTERVAL);
            let snapshot = self.engine.borrow_mut().server_snapshot();
            self.recorder.record_at(now, now, Kind::Fleet(snapshot));
        }
    }

    /// Returns the time until the metrics are due.
    pub fn until_due(&self) -> Duration {
        to_duration(self.metrics_due.get() - self.clock.now())
    }

    fn record_metrics(&self, now: Micros) {
        let mut metrics = self.engine.borrow_mut().fleet_metrics();
        self.overload.add_metrics(&mut metrics, now);
        self.recorder.record_at(now, now, Kind::Gauge(metrics));
    }

    fn record_clock_step(&self, now: Micros) {
        let offset = self.clock.system_offset();
        let step = offset - self.system_offset.get();
        if Micros(step.0.saturating_abs()) < MIN_CLOCK_STEP {
            return;
        }
        self.system_offset.set(offset);
        let stepped = Kind::ClockStepped(pb::ClockStepped { by_us: step.0 });
        self.recorder.record_at(now, now, stepped);
    }
}
