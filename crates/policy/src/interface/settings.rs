//! The settings that an instance starts with.

use super::{Class, Micros, Retry, ZoneId};

/// The unit of an admission level.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdmissionUnit {
    /// The admitted share of the arriving requests.
    Share,
    /// Requests per second at each proxy.
    RequestsPerSecond,
    /// Levels are ignored; only the retry policy is followed.
    #[default]
    Unsupported,
}

/// How a proxy picks a server from a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PickPolicy {
    /// At random, by weight.
    #[default]
    Random,
    /// In round, by weight.
    WeightedRoundRobin,
    /// Of two drawn by weight, the one with fewer requests of this proxy in flight.
    PowerOfTwoChoices,
}

/// What the weight in the endpoint list stands for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListedWeight {
    /// Nothing.
    #[default]
    Unspecified,
    /// Its registered capacity.
    RegisteredCapacity,
    /// Its approximate size, whatever the speed of its hardware.
    ApproximateSize,
    /// Its size divided by its recent load.
    SizeOverLoad,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportSource {
    /// With the outcomes of requests and of health checks.
    ResponsesAndHealthChecks,
    /// With the outcomes of health checks only.
    HealthChecks,
    /// There are none.
    #[default]
    None,
}

/// Value of a limit that the settings leave out or set to nothing.
pub const NO_LIMIT: f64 = 1e12;

/// The settings an instance starts with.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of instances in the deployment, this one included.
    pub instances: usize,
    /// Number of zones.
    pub zones: usize,
    /// The zone of this instance.
    pub zone: ZoneId,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// Number of proxies across all instances.
    pub proxies: usize,
    /// Number of slices; 0 where each instance has tables of its own.
    pub slices: usize,
    /// A slice has a single owner.
    pub exclusive_ownership: bool,
    /// Lease: how long a proxy that lost its stream goes on sending writes to the owner it last knew.
    pub lease: Micros,
    /// The longest time a write stays in flight at a server.
    pub write_settle_time: Micros,
    /// The endpoint list is delivered on request only.
    pub endpoints_on_request: bool,
    /// How often an instance without a subscription must poll such a list.
    pub poll_interval: Micros,
    /// The unit of admission levels.
    pub admission_unit: AdmissionUnit,
    /// The retry policy in force where none was ordered.
    pub default_retry: Retry,
    /// An attempt that may be retried times out after this multiple of the latency objective.
    pub attempt_timeout_factor: f64,
    /// How proxies pick a server from a table.
    pub pick_policy: PickPolicy,
    /// A proxy ejects a server after this many consecutive failures of its own; 0: never.
    pub proxy_ejection_threshold: u32,
    /// What the weights in the endpoint list stand for.
    pub listed_weight: ListedWeight,
    /// Where load reports come from.
    pub report_source: ReportSource,
    /// Interval between load reports.
    pub report_period: Micros,
    /// Health checks are allowed.
    pub health_checks_allowed: bool,
    /// Service points that each health check per request costs.
    pub health_check_cost: f64,
    /// Service points that each zone crossing per request costs.
    pub zone_crossing_cost: f64,
    /// Lines that may be queued in the channel, headers included.
    pub channel_backlog: f64,
    /// Lines per second that the channel usually sends.
    pub channel_lines_per_second: f64,
    /// Lines that each message costs in addition to its content.
    pub message_overhead: f64,
    /// The longest delivery delay of a message between channel and proxy.
    pub max_delivery_delay: Micros,
    /// After this long without a request a proxy closes a connection.
    pub idle_timeout: Micros,
    /// Messages that may be written to one proxy within the window; 0: any number.
    pub max_messages: usize,
    /// The window for that count.
    pub message_window: Micros,
    /// The longest time for which a proxy may have no server to pick.
    pub max_unserved: Micros,
    /// The time within which requests to a draining server must end.
    pub drain_grace: Micros,
    /// A server that left the list without draining may stay in tables.
    pub explicit_drain_only: bool,
    /// The share of its capacity that a server has right after its start.
    pub slow_start_share: f64,
    /// The time after its start at which a server has all its capacity.
    pub slow_start_period: Micros,
    /// A server that warms up fails at more than this multiple of its capacity.
    pub overload_multiple: f64,
    /// The time over which that multiple is counted.
    pub overload_window: Micros,
}
