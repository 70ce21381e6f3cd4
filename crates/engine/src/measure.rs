//! What is reported, kept for whoever limits service by it: all of a turn. Kept only once it is asked for, and bounded.

use chutegrade_limits::manager::{Demand, Outcome};
use chutegrade_policy::Micros;

/// Reports of each sort that are kept for a turn at most: a few seconds of the largest deployments.
const KEPT_MOST: usize = 50_000;

/// What was reported since this was last asked for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrafficSample {
    /// When the newest report or answered probe was learned of by a tick.
    pub last_report_at: Option<Micros>,
    /// What came.
    pub demand: Vec<Demand>,
    /// What was met.
    pub outcomes: Vec<Outcome>,
}

/// Keeps what is reported, once somebody wants it.
#[derive(Debug, Default)]
pub(crate) struct Measuring {
    on: bool,
    fresh: bool,
    kept: TrafficSample,
}

impl Measuring {
    /// From now on reports are kept.
    pub fn begin(&mut self) {
        self.on = true;
    }

    /// Something was heard of servers or front ends.
    pub fn heard(&mut self) {
        self.fresh = true;
    }

    /// Requests came.
    pub fn came(&mut self, of: Demand) {
        if self.on && self.kept.demand.len() < KEPT_MOST {
            self.kept.demand.push(of);
        }
    }

    /// Tries ended.
    pub fn met(&mut self, of: Outcome) {
        if self.on && self.kept.outcomes.len() < KEPT_MOST {
            self.kept.outcomes.push(of);
        }
    }

    /// A tick learns of what was heard.
    pub fn learn(&mut self, now: Micros) {
        if std::mem::take(&mut self.fresh) {
            self.kept.last_report_at = Some(now);
        }
    }

    /// All that was kept; when something was last heard stays known.
    pub fn take(&mut self) -> TrafficSample {
        let heard = self.kept.last_report_at;
        std::mem::replace(
            &mut self.kept,
            TrafficSample {
                last_report_at: heard,
                ..TrafficSample::default()
            },
        )
    }
}
