//! The settings that an instance starts with.

use super::{Class, Micros, Retry, ZoneId};

/// The unit of an admission level.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdmissionUnit {
    /// The admitted share of the arriving requests.
    Share,
    /// Requests per second at each proxy.
    RequestsPerSecond,
    /// Levels are ignored; only the retry policy applies.
    #[default]
    Unsupported,
}

/// How a proxy picks a server from a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PickPolicy {
    /// At random, by weight.
    #[default]
    Random,
    /// In rotation, in proportion to the weights.
    WeightedRoundRobin,
    /// Of two servers drawn by weight, the one with fewer requests of this proxy in flight.
    PowerOfTwoChoices,
}

/// The meaning of a weight in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListedWeight {
    /// Not stated.
    #[default]
    Unspecified,
    /// The capacity that the server is registered with, including the speed of its hardware.
    RegisteredCapacity,
    /// The approximate size of the server, without the speed of its hardware.
    ApproximateSize,
    /// The size of the server divided by its recent load.
    SizeOverLoad,
}

/// The source of load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportSource {
    /// With the outcomes of requests and of health checks.
    ResponsesAndHealthChecks,
    /// With the outcomes of health checks only.
    HealthChecks,
    /// There are no load reports.
    #[default]
    None,
}

/// Value of a limit that the settings omit or that is not above 0.
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
    /// Number of slices; 0 where each instance publishes separate tables.
    pub slices: usize,
    /// Whether a slice has at most one owner at any time.
    pub exclusive_ownership: bool,
    /// How long a proxy that lost its stream continues to send writes to the last known owner.
    pub lease: Micros,
    /// The longest time a write stays in flight at a server.
    pub write_settle_time: Micros,
    /// Whether the endpoint list is delivered on request only.
    pub endpoints_on_request: bool,
    /// Interval at which an instance without a subscription must poll such a list.
    pub poll_interval: Micros,
    /// The unit of admission levels.
    pub admission_unit: AdmissionUnit,
    /// The retry policy that applies until another one is ordered.
    pub default_retry: Retry,
    /// An attempt that may be retried times out after this multiple of the latency objective.
    pub attempt_timeout_factor: f64,
    /// How proxies pick a server from a table.
    pub pick_policy: PickPolicy,
    /// Number of consecutive failures at one proxy after which that proxy ejects a server; 0 if it never does.
    pub proxy_ejection_threshold: u32,
    /// The meaning of the weights in the endpoint list.
    pub listed_weight: ListedWeight,
    /// How servers report their load.
    pub report_source: ReportSource,
    /// Interval between load reports.
    pub report_period: Micros,
    /// Whether health checks are allowed.
    pub health_checks_allowed: bool,
    /// Cost of health checks, in service points for each health check per request.
    pub health_check_cost: f64,
    /// Cost of zone crossings, in service points for each crossing per request.
    pub zone_crossing_cost: f64,
    /// Lines that may be queued in the channel, headers included.
    pub channel_backlog: f64,
    /// Nominal send rate of the channel, in lines per second.
    pub channel_lines_per_second: f64,
    /// Lines that each message costs in addition to its content.
    pub message_overhead: f64,
    /// The longest delivery delay of a message between channel and proxy.
    pub max_delivery_delay: Micros,
    /// Time without requests after which a proxy closes a connection.
    pub idle_timeout: Micros,
    /// Number of messages that may be written to one proxy within the window; 0 if unlimited.
    pub max_messages: usize,
    /// The window in which messages count against `max_messages`.
    pub message_window: Micros,
    /// The longest time for which a proxy may have no server to pick.
    pub max_unserved: Micros,
    /// The time within which requests to a draining server must end.
    pub drain_grace: Micros,
    /// Whether a server that left the list without draining may stay in tables.
    pub explicit_drain_only: bool,
    /// The share of its capacity that a server has right after its start.
    pub slow_start_share: f64,
    /// The time after its start at which a server has its full capacity.
    pub slow_start_period: Micros,
    /// Load above which a warming server fails, as a multiple of its capacity.
    pub overload_multiple: f64,
    /// The time over which that load is counted.
    pub overload_window: Micros,
}
