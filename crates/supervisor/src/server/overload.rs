//! Reduced service at work: the operators' ladder, limits and budgets, asked once a second; what they decide goes to the
//! decisions as a report, what changed into the log and the records. Read anew at SIGHUP, whole or not at all.

use std::cell::RefCell;
use std::path::{Path, PathBuf};

use chutegrade_engine::{Engine, Micros};
use chutegrade_limits::{pb as limits, Class, OverloadConfig};
use chutegrade_operator_config::OperatorConfig;
use chutegrade_overload_control::{overload_classes, transition_record, OverloadController};
use chutegrade_records::index::Query;
use chutegrade_records::timeline::gauge;
use chutegrade_records::{pb, text, Kind, Timeline};

use crate::server::hub::Hub;

/// How far back records are looked at for the level before a restart, in microseconds: a little more than what is bridged.
const LOOK_BACK_US: i64 = 70_000_000;

/// Levels, limits and budgets of the operators' file.
pub struct Limits {
    path: Option<PathBuf>,
    classes: Vec<Class>,
    period: Micros,
    service: RefCell<Option<OverloadController>>,
}

/// All faults of the operators' file in one sentence.
pub fn sentence(faults: &[chutegrade_operator_config::ConfigError]) -> String {
    faults
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join("; ")
}

fn plan(operator: &OperatorConfig, classes: &[Class]) -> Result<Option<OverloadConfig>, String> {
    let plan = operator
        .limits
        .as_ref()
        .map(|limits| limits.overload_config(Some(classes)));
    plan.transpose().map_err(|faults| sentence(&faults))
}

impl Limits {
    /// What the operators' file switches on; a fault is a sentence.
    pub fn new(
        path: Option<&Path>,
        operator: &OperatorConfig,
        engine: &mut Engine,
        period: Micros,
    ) -> Result<Self, String> {
        let classes = overload_classes(engine);
        let service =
            plan(operator, &classes)?.map(|plan| OverloadController::new(plan, engine, period));
        Ok(Limits {
            path: path.map(Path::to_path_buf),
            classes,
            period,
            service: RefCell::new(service),
        })
    }

    /// Takes up the level that a directory of records tells of, if it is not too old.
    pub fn restore(&self, hub: &Hub, directory: &Path) {
        let mut service = self.service.borrow_mut();
        let Some(service) = service
            .as_mut()
            .filter(|service| service.manager().transitions().is_some())
        else {
            return;
        };
        let Some(saved) = last_level(directory, hub.clock.now()) else {
            return;
        };
        if let Some(kind) = service.restore(hub.clock.now(), &saved) {
            tell(hub, kind);
        }
    }

    /// Reads the operators' file anew; one that is wrong changes nothing.
    pub fn reload(&self, hub: &Hub) {
        let Some(path) = &self.path else { return };
        let read = chutegrade_operator_config::load(path).map_err(|faults| sentence(&faults));
        let plan = match read.and_then(|operator| plan(&operator, &self.classes)) {
            Ok(plan) => plan,
            Err(fault) => {
                tracing::error!(fault, "limits are not taken, those in force stay");
                return hub.note(Kind::Reloaded(pb::Reloaded {
                    taken: false,
                    detail: fault,
                }));
            }
        };
        let mut service = self.service.borrow_mut();
        match (service.as_mut(), plan) {
            (Some(service), plan) => {
                let config = plan.unwrap_or_default();
                if let Some(kind) = service.reconfigure(hub.clock.now(), config) {
                    tell(hub, kind);
                }
            }
            (None, Some(plan)) => {
                *service = Some(OverloadController::new(
                    plan,
                    &mut hub.engine(),
                    self.period,
                ))
            }
            (None, None) => {}
        }
    }

    /// Asks for what follows if it is time, and hands it on.
    pub fn turn(&self, hub: &Hub) {
        let mut service = self.service.borrow_mut();
        let change = service
            .as_mut()
            .and_then(|service| service.evaluate(hub.clock.now(), &mut hub.engine()));
        if let Some(change) = change {
            tell(hub, transition_record(&change));
        }
    }

    /// Adds what is known to the figures of one moment.
    pub fn gauge(&self, gauge: &mut pb::Gauge, now: Micros) {
        if let Some(service) = self.service.borrow().as_ref() {
            service.add_metrics(gauge, now);
        }
    }
}

fn tell(hub: &Hub, kind: Kind) {
    if let Kind::ServiceLevel(of) = &kind {
        let (level, reason, tell) = (&of.to, &of.reason, of.tell.join(","));
        tracing::warn!(
            kind = "service-level",
            level,
            reason,
            tell,
            "{}",
            text::line(&kind)
        );
    }
    hub.note(kind);
}

/// The level that was in force at the end of the records, and when that was.
fn last_level(directory: &Path, now: Micros) -> Option<limits::Saved> {
    let timeline = Timeline::open(&[directory.to_path_buf()]).ok()?;
    let (events, _) = timeline.read(&Query::between(now.0.saturating_sub(LOOK_BACK_US), now.0));
    events.iter().rev().find_map(|event| {
        let gauge = gauge(event)?;
        let level = gauge.service_level.clone()?;
        Some(limits::Saved {
            level,
            since_us: gauge.level_since_us,
            at_us: event.at_us,
        })
    })
}
