//! What the page shows.

use std::collections::BTreeMap;
use std::sync::Arc;

use chutegrade_records::incidents::Reconstruction;
use chutegrade_records::timeline::Supervisor;
use chutegrade_records::{Event, Gap, Window};

use crate::samples::Samples;

/// How much the page may contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PageLimits {
    /// Rows of faults.
    pub faults: usize,
    /// Rows of other events.
    pub other_events: usize,
    /// Rows of the chart of servers.
    pub servers: usize,
}

impl Default for PageLimits {
    /// A page of about 3 MiB at most, which browsers open in a second.
    fn default() -> Self {
        PageLimits {
            faults: 5000,
            other_events: 5000,
            servers: 80,
        }
    }
}

/// A supervisor, and the correction of its clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SupervisorClock {
    /// Its name.
    pub name: Arc<str>,
    /// How far its clock was ahead, in microseconds; negative if it was behind.
    pub ahead_us: i64,
    /// The number of shared events from which this follows.
    pub shared_events: usize,
}

impl From<&Supervisor> for SupervisorClock {
    fn from(supervisor: &Supervisor) -> Self {
        SupervisorClock {
            name: Arc::clone(&supervisor.name),
            ahead_us: supervisor.ahead_us,
            shared_events: supervisor.clock_samples,
        }
    }
}

/// All that the page shows.
pub struct Findings {
    /// The window.
    pub window: Window,
    /// The supervisors.
    pub supervisors: Vec<SupervisorClock>,
    /// The version of each supervisor's last start.
    pub versions: BTreeMap<Arc<str>, String>,
    /// The incidents and the state of servers over time.
    pub reconstruction: Reconstruction,
    /// Samples over time.
    pub samples: Samples,
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Events, by time.
    pub events: Vec<Event>,
    /// Number of events beyond the limits, by kind.
    pub omitted: BTreeMap<&'static str, u64>,
    /// Intervals of which records are missing.
    pub gaps: Vec<Gap>,
    /// Number of records in the window.
    pub records: u64,
    /// How much the page may contain.
    pub limits: PageLimits,
}
