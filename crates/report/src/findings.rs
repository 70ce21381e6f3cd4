//! The content of the page.

use std::collections::BTreeMap;
use std::sync::Arc;

use chutegrade_records::incidents::Reconstruction;
use chutegrade_records::timeline::Supervisor;
use chutegrade_records::{Event, Gap, Window};

use crate::samples::Samples;

/// Limits on the content of the page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PageLimits {
    /// Maximum number of rows for faults.
    pub faults: usize,
    /// Maximum number of rows for other events.
    pub other_events: usize,
    /// Maximum number of rows in the chart of servers.
    pub servers: usize,
}

impl Default for PageLimits {
    /// Limits the page to about 3 MiB, which browsers open in a second.
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
    /// The supervisor that has the clock.
    pub name: Arc<str>,
    /// How far its clock was ahead, in microseconds; negative if it was behind.
    pub ahead_us: i64,
    /// The number of events, also recorded by another supervisor, from which the offset is computed.
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

/// The content of the page.
pub struct Findings {
    /// The interval that the page describes.
    pub window: Window,
    /// All supervisors with records, with the offsets of their clocks.
    pub supervisors: Vec<SupervisorClock>,
    /// The version at the last start of each supervisor, by supervisor.
    pub versions: BTreeMap<Arc<str>, String>,
    /// The incidents and the state of servers over time.
    pub reconstruction: Reconstruction,
    /// Samples over time.
    pub samples: Samples,
    /// Names of the classes, in the order of the recorded levels.
    pub classes: Vec<String>,
    /// Events up to the limits, by time.
    pub events: Vec<Event>,
    /// Number of events beyond the limits, by kind.
    pub omitted: BTreeMap<&'static str, u64>,
    /// Intervals with missing or unreliable records, by time.
    pub gaps: Vec<Gap>,
    /// Number of records in the window.
    pub records: u64,
    /// The limits that applied.
    pub limits: PageLimits,
}
