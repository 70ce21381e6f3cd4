//! The vocabulary between the decision module and whatever protocol stands before it: the settings it
//! starts with, the events it takes in and the actions it gives back. Plain data only; nothing here decides
//! anything.

/// A point in time or a length of time, in microseconds. Points count from an arbitrary start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Micros(pub i64);

impl Micros {
    /// A length given in milliseconds; what is no number counts as none.
    pub fn from_ms(ms: f64) -> Self {
        Micros((ms * 1000.0) as i64)
    }
    /// The length in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl std::ops::Add for Micros {
    type Output = Micros;
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl std::ops::Sub for Micros {
    type Output = Micros;
    fn sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}

/// A server, by an id that carries no meaning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);
/// A proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProxyId(pub u32);
/// A zone: a position in the deployment's list of zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u16);
/// A table of servers and weights, or a slice where keys fall into slices.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TableId(pub u16);
/// A class of requests: a position in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u8);

/// A set of classes, one bit for each position.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassSet(pub u32);

impl ClassSet {
    /// The set with one more class.
    #[must_use]
    pub fn with(self, class: usize) -> Self {
        ClassSet(self.0 | 1u32.checked_shl(class as u32).unwrap_or(0))
    }
    /// Whether the class is in the set.
    pub fn has(self, class: usize) -> bool {
        self.0 & 1u32.checked_shl(class as u32).unwrap_or(0) != 0
    }
}

/// What a second run of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Nothing more than the first.
    Idempotent,
    /// Dropped as a repeat by the servers of the scope, for this long after the first try was sent.
    Keyed(DeduplicationScope, Micros),
    /// The effect would happen twice.
    NotIdempotent,
}

impl Idempotency {
    /// Whether a second run, anywhere and within so long after the first, changes nothing.
    pub fn is_idempotent_within(self, within: Micros) -> bool {
        match self {
            Idempotency::Idempotent => true,
            Idempotency::Keyed(DeduplicationScope::All, window) => window >= within,
            Idempotency::Keyed(..) | Idempotency::NotIdempotent => false,
        }
    }
}

/// The servers among which a repeat is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// When proxies try again at another server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Retry {
    /// Never.
    #[default]
    Never,
    /// Once, after proof that the first try did not run.
    IfNotExecuted,
    /// Once, after any failure.
    Once,
    /// Twice, after any failure.
    Twice,
}

/// How a level of admission is understood.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdmissionUnit {
    /// The admitted share of what comes.
    Share,
    /// Requests per second at each proxy.
    RequestsPerSecond,
    /// Levels are ignored; only retry orders are followed.
    #[default]
    Unsupported,
}

/// How a proxy chooses among the lines of a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PickPolicy {
    /// At random, by weight.
    #[default]
    Random,
    /// Evenly in turn, by weight.
    WeightedRoundRobin,
    /// Of two drawn by weight, the one with fewer of the proxy's own requests.
    PowerOfTwoChoices,
}

/// What a listed weight tells of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListedWeight {
    /// Nothing.
    #[default]
    Unspecified,
    /// Its registered capacity.
    RegisteredCapacity,
    /// Its approximate size, whatever the speed of its parts.
    ApproximateSize,
    /// Its size divided by its recent load.
    SizeOverLoad,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportSource {
    /// With tallies and probe results.
    ResponsesAndHealthChecks,
    /// With probe results only.
    HealthChecks,
    /// There are none.
    #[default]
    None,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Answers within this time earn the full worth.
    pub latency_objective: Micros,
    /// The client gives up after this time, all tries counted.
    pub deadline: Micros,
    /// What an answer in time is worth.
    pub priority_weight: f64,
    /// What a second run would do.
    pub idempotency: Idempotency,
    /// Served only by servers in the proxy's own zone.
    pub zone_local: bool,
}

/// What a limit counts as that the settings do not name, or name as nothing.
pub const NO_LIMIT: f64 = 1e12;

/// The settings an instance starts with.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of instances in the deployment, this one included.
    pub instances: usize,
    /// Number of zones.
    pub zones: usize,
    /// The zone in which this instance stands.
    pub zone: ZoneId,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// Number of proxies across all instances.
    pub proxies: usize,
    /// Number of slices; without slices tables are the instance's own.
    pub slices: usize,
    /// A slice has a single owner.
    pub exclusive_ownership: bool,
    /// How long a proxy that lost its stream goes on sending writes to the owner it knows.
    pub lease: Micros,
    /// The longest time a write stays in hand at a server.
    pub write_settle_time: Micros,
    /// The list of servers comes only when asked for.
    pub endpoints_on_request: bool,
    /// How often a list on request must be asked for by an instance without a subscription.
    pub poll_interval: Micros,
    /// How levels are understood.
    pub admission_unit: AdmissionUnit,
    /// The retry order in force where none was given.
    pub default_retry: Retry,
    /// A try that may be followed waits this multiple of the aim.
    pub attempt_timeout_factor: f64,
    /// How proxies choose among lines.
    pub pick_policy: PickPolicy,
    /// A proxy avoids a server after this many failures of its own in a row; 0: never.
    pub proxy_ejection_threshold: u32,
    /// What listed weights tell.
    pub listed_weight: ListedWeight,
    /// Where load reports come from.
    pub report_source: ReportSource,
    /// Interval at which reports are gathered.
    pub report_period: Micros,
    /// Probes are allowed.
    pub health_checks_allowed: bool,
    /// Points of service each probe for each request costs.
    pub health_check_cost: f64,
    /// Points of service each zone crossing for each request costs.
    pub zone_crossing_cost: f64,
    /// Lines allowed to wait in the channel, headers included.
    pub channel_backlog: f64,
    /// Lines a second the channel sends usually.
    pub channel_lines_per_second: f64,
    /// Lines each message costs beside its own.
    pub message_overhead: f64,
    /// The longest way of a message from the channel to the proxy.
    pub max_delivery_delay: Micros,
    /// After this long without a request a proxy closes a connection.
    pub idle_timeout: Micros,
    /// Messages that may be written to one proxy within the window; 0: any number.
    pub max_messages: usize,
    /// The window for that count.
    pub message_window: Micros,
    /// The longest time a proxy may be without a server to pick.
    pub max_unserved: Micros,
    /// The time within which sending to a draining server must end.
    pub drain_grace: Micros,
    /// A server dropped from the list without having drained may stay in tables.
    pub explicit_drain_only: bool,
    /// The least share of its capacity a server starts with.
    pub slow_start_share: f64,
    /// The time after which a started server is warm.
    pub slow_start_period: Micros,
    /// A cold server falls over at more than this multiple of what it can do.
    pub overload_multiple: f64,
    /// The time over which that multiple is counted.
    pub overload_window: Micros,
}

/// What the list says of a server's life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// Open to requests.
    #[default]
    InService,
    /// Completing its work; nothing new may be sent.
    Draining,
    /// Removed.
    Removed,
}

/// One entry of the list of servers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine kind, an index without meaning.
    pub machine_kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Its life.
    pub lifecycle: Lifecycle,
    /// Its listed weight.
    pub weight: f64,
    /// Its latest start, if that is not long ago.
    pub started_at: Option<Micros>,
}

/// How a delivery of the list is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// Changed entries only.
    Delta,
    /// The complete list.
    Snapshot,
    /// The complete list as last held, possibly stale.
    CachedSnapshot,
    /// A call or the subscription failed; the list stays as it was.
    Unavailable,
}

/// A load report; what a deployment does not report is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests being handled.
    pub in_flight: Option<f64>,
    /// Requests waiting.
    pub queued: Option<f64>,
    /// Share of the cores in use.
    pub utilization: Option<f64>,
    /// Recent service time, without waiting, in milliseconds.
    pub latency_ms: Option<f64>,
    /// Requests served per second.
    pub requests_per_second: Option<f64>,
    /// Errors per second.
    pub errors_per_second: Option<f64>,
}

/// How a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckOutcome {
    /// Answered.
    Passed,
    /// Answered with an error.
    Error,
    /// Turned away: the server drains or answers too many probes.
    Rejected,
    /// No answer in time.
    TimedOut,
    /// The connection was refused or broke.
    Unreachable,
    /// An ending that says nothing of the server.
    Inconclusive,
}

/// What an instance can learn.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list of servers.
    EndpointList(EndpointUpdateKind, Vec<Endpoint>),
    /// A proxy's stream to this instance stands; `rate` is its usual traffic in requests per second.
    ProxyJoined {
        /** The proxy. */
        proxy: ProxyId,
        /** Its zone. */
        zone: ZoneId,
        /** Its traffic. */
        request_rate: f64,
        /** It may hold another instance's withdrawals, which its first table puts right at a line a server. */
        has_previous_table: bool,
    },
    /// A proxy's stream broke; it goes on with what it holds. What waited for it is lost.
    ProxyLeft(ProxyId),
    /// This instance ended a proxy's stream, though the proxy may live: what waited for it may wait in the channel still.
    StreamClosed(ProxyId),
    /// What the joined proxies of a zone met at a server.
    ServerOutcomes {
        /** Zone of the proxies. */
        zone: ZoneId,
        /** The server. */
        server: ServerId,
        /** Tries that ended. */
        attempts: f64,
        /** Those without a good answer. */
        failed: f64,
        /** Mean time of the good ones, in milliseconds; 0 if none. */
        mean_latency_ms: f64,
        /** Time over which it was counted. */
        period: Micros,
        /** Newest load report. */
        load: LoadReport,
    },
    /// Requests of a class that came to a proxy.
    ProxyDemand {
        /** The proxy. */
        proxy: ProxyId,
        /** The class. */
        class: ClassId,
        /** Requests that came. */
        arrivals: f64,
        /** Admitted ones without an answer. */
        failed: f64,
        /** Time over which it was counted. */
        period: Micros,
    },
    /// Requests of a class that came for a slice.
    SliceDemand {
        /** The slice. */
        table: TableId,
        /** The class. */
        class: ClassId,
        /** Requests that came. */
        arrivals: f64,
        /** Admitted ones without an answer. */
        failed: f64,
        /** Time over which it was counted. */
        period: Micros,
    },
    /// A slice was put in this instance's charge, or taken from it.
    SliceOwnership {
        /** The slice. */
        table: TableId,
        /** Given or taken. */
        granted: bool,
    },
    /// One line of a slice's table, as stored.
    PublishedWeight {
        /** The slice. */
        table: TableId,
        /** The server. */
        server: ServerId,
        /** Its weight. */
        weight: f64,
    },
    /// A proxy has applied the message that carried this mark.
    Acknowledged {
        /** The proxy. */
        proxy: ProxyId,
        /** The mark. */
        sequence: u16,
        /** Order to effect. */
        elapsed: Micros,
    },
    /// The result of a probe.
    HealthChecked {
        /** The server. */
        server: ServerId,
        /** How it ended. */
        outcome: HealthCheckOutcome,
        /** Time since it was sent. */
        elapsed: Micros,
        /** Load report, if one came with it. */
        load: LoadReport,
    },
    /// A message of another instance.
    PeerMessage {
        /** The sender. */
        from: u32,
        /** The payload. */
        data: Vec<u8>,
    },
    /// What plug-ins advise from now on, in the place of what they advised before.
    Advice(Advice),
    /// What limits on service decide from now on, in the place of what they decided before.
    Limits(Limits),
    /// A timer came due.
    Timer(u32),
}

/// A factor on the weight of one server in the tables of a zone's proxies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightFactor {
    /// The server.
    pub server: ServerId,
    /// The zone of the proxies.
    pub zone: ZoneId,
    /// The class with a separate table; none: all classes.
    pub class: Option<ClassId>,
    /// Share of its weight that the server keeps, from 0 to 1.
    pub factor: f64,
}

/// A server to leave out of all tables for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerExclusion {
    /// The server.
    pub server: ServerId,
    /// When the exclusion ends.
    pub until: Micros,
}

/// The largest share of a class that is admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassShare {
    /// The class.
    pub class: ClassId,
    /// The share, from 0 to 1.
    pub share: f64,
}

/// The retry order of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassRetry {
    /// The class.
    pub class: ClassId,
    /// When proxies may retry its requests.
    pub retry: Retry,
}

/// The shares of requests to shed where heavy proxies have tables of their own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShedShares {
    /// At proxies whose demand one shard can serve.
    pub ordinary: f64,
    /// At proxies that bring more than one shard can serve.
    pub heavy: f64,
}

/// The terms of a server's score, each from 0 to 1, where 1 is free of faults.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ScoreTerms {
    /// By failed attempts and health checks.
    pub errors: f64,
    /// By response and health check times.
    pub latency: f64,
}

/// What proxies do with the requests of a class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionLevel {
    /// The admitted share or rate, by [`Settings::admission_unit`].
    pub level: f64,
    /// When proxies retry.
    pub retry: Retry,
}

/// What plug-ins advise. It can lower traffic or move it, and nothing else: what is not named is left as it is.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Advice {
    /// Share of its weight that a server keeps in the tables of a zone's proxies: for a class that is steered apart, or
    /// for all.
    pub factors: Vec<WeightFactor>,
    /// The most of a class that is let in, as a share.
    pub caps: Vec<ClassShare>,
    /// Classes that are not to be tried again.
    pub no_retry: ClassSet,
    /// Servers to leave out, and until when.
    pub excluded: Vec<ServerExclusion>,
    /// Classes that are steered apart from the others, in tables of their own.
    pub separate_tables: ClassSet,
    /// When all but that ends, unless it is said again.
    pub expires_at: Micros,
}

/// What limits on service decide. What is not named is as it would be without them; it ends by itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    /// The least share of requests to refuse, beside what saturation tells.
    pub min_shed_share: Option<f64>,
    /// The same for usual proxies and for those that bring more than a part can bear, where these have tables of their own.
    pub shed_shares: Option<ShedShares>,
    /// The most of a class that is let in, as a share.
    pub admitted: Vec<ClassShare>,
    /// How a class may be tried again.
    pub retries: Vec<ClassRetry>,
    /// When all of it ends, unless it is said again.
    pub expires_at: Micros,
}

impl Limits {
    /// The most of a class that is let in: what is no number says nothing.
    pub fn admitted_share(&self, class: usize) -> f64 {
        let own = self
            .admitted
            .iter()
            .filter(|of| usize::from(of.class.0) == class && !of.share.is_nan());
        own.fold(1.0, |least, of| least.min(of.share))
    }
    /// How a class may be tried again, if anything is said of it: the narrowest.
    pub fn again(&self, class: usize) -> Option<Retry> {
        self.retries
            .iter()
            .filter(|of| usize::from(of.class.0) == class)
            .map(|of| of.retry)
            .min()
    }
}

/// What an instance can order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sets a line of a table; weight 0 removes it.
    SetWeight {
        /** The table. */
        table: TableId,
        /** The server. */
        server: ServerId,
        /** The weight. */
        weight: f64,
    },
    /// Removes all lines and levels of a table.
    ClearTable(TableId),
    /// Puts a joined proxy on a table for some classes.
    AssignTable {
        /** The proxy. */
        proxy: ProxyId,
        /** The table. */
        table: TableId,
        /** The classes. */
        classes: ClassSet,
    },
    /// Shuts a server out of all tables of joined proxies, or lets it in again. A proxy that has none of this instance's
    /// tables yet may learn of it with the first.
    SetSuspended {
        /** The server. */
        server: ServerId,
        /** Out or in. */
        suspended: bool,
    },
    /// Sets the level and retry order of classes in a table, or for all joined proxies without one.
    SetAdmission {
        /** The table; none: all joined proxies. */
        table: Option<TableId>,
        /** The classes. */
        classes: ClassSet,
        /** The level. */
        level: f64,
        /** The retry order. */
        retry: Retry,
    },
    /// Asks each proxy reached by this turn's orders for a receipt.
    RequestAcknowledgement {
        /** The number to echo. */
        sequence: u16,
        /** Reach all joined proxies. */
        all_proxies: bool,
    },
    /// Probes a server.
    HealthCheck(ServerId),
    /// Asks for changes of the list from now on, or no more.
    SubscribeEndpoints(bool),
    /// Asks for the complete list once.
    FetchEndpoints,
    /// Asks for a timer.
    SetTimer {
        /** The number to return. */
        id: u32,
        /** Time from now. */
        delay: Micros,
    },
    /// Sends a message to another instance, or to all.
    SendToPeer {
        /** The receiver; none: all. */
        peer: Option<u32>,
        /** The payload. */
        data: Vec<u8>,
    },
    /// Tells a joined proxy of each server that its tables name whether it is shut out: it may hold another instance's
    /// withdrawals. With its first table it is told of those alone that were seen to leave here.
    Reconcile(ProxyId),
    /// A server is long gone and no table names it: nothing need be kept of it. It may be listed again, as a new one.
    ForgetServer(ServerId),
    /// Something to tell; nothing follows from it.
    Emit(DecisionEvent),
}

/// The three states of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HealthState {
    /// It has the weight that its size and speed give it.
    #[default]
    Full,
    /// It has less, by its score.
    Reduced,
    /// It has none.
    Withdrawn,
}

/// What a change of state comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChangeCause {
    /// The score, both terms alike.
    Score,
    /// Mostly tries that failed.
    Errors,
    /// Mostly times that grew.
    Latency,
    /// Mostly probes that failed.
    HealthChecks,
    /// The time out is over: it is tried again.
    EjectionElapsed,
    /// Enough good ticks in a row.
    SustainedRecovery,
}

/// What the decisions tell of themselves.
#[derive(Clone, Debug, PartialEq)]
pub enum DecisionEvent {
    /// A server's state changed.
    HealthChanged {
        /** The server. */
        server: ServerId,
        /** Its zone. */
        zone: ZoneId,
        /** The state it is in now. */
        state: HealthState,
        /** Its smoothed score. */
        score: f64,
        /** The error term, 1 being free. */
        errors: f64,
        /** The latency term. */
        latency: f64,
        /** What it comes from. */
        cause: HealthChangeCause,
    },
    /// The list tells of another life of a server.
    LifecycleChanged {
        /** The server. */
        server: ServerId,
        /** Its zone. */
        zone: ZoneId,
        /** Its life. */
        lifecycle: Lifecycle,
    },
    /// Cold servers are held out of tables, or let in again.
    WarmingWithheld {
        /** Held out. */
        withheld: bool,
        /** Tries that an answer takes. */
        attempts_per_answer: f64,
    },
    /// A zone answers no probes while another does, or answers again.
    ZonePartition {
        /** The zone. */
        zone: ZoneId,
        /** It is cut off. */
        partitioned: bool,
        /** Share of its servers that answer no probe. */
        unanswered_share: f64,
    },
    /// The share of requests refused moved by a tenth.
    Saturation {
        /** The share refused. */
        shed_share: f64,
        /** The smoothed saturation. */
        saturation: f64,
        /** Its term by the queues that servers report. */
        queue_term: f64,
        /** By the time that probes take. */
        latency_term: f64,
        /** By the probes that fail. */
        unanswered_term: f64,
    },
    /// Advice on a table's servers is void, or holds again: it would leave the table too little.
    AdviceOverruled {
        /** The table. */
        table: TableId,
        /** It is void. */
        overruled: bool,
    },
    /// The fleet was dealt into parts anew.
    Resharded {
        /** How many. */
        shards: usize,
        /** More than usual, since tries fail everywhere. */
        narrowed: bool,
    },
}

/// A server as the decisions see it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerStatus {
    /** What the list says of it. */
    pub endpoint: Endpoint,
    /** Its state. */
    pub state: HealthState,
    /** Its smoothed score. */
    pub score: f64,
    /** The error and the latency term of the last tick, 1 being free. */
    pub terms: ScoreTerms,
    /** Its weight before what tables make of it. */
    pub weight: f64,
    /** Share of its capacity that it is sure to have. */
    pub warm_up_share: f64,
    /** It is shut out of all tables. */
    pub suspended: bool,
}

/// The fleet in figures.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetStatus {
    /** Lines waiting in the channel. */
    pub queued_lines: f64,
    /** How long they take, at the channel's present pace. */
    pub queue_delay: Micros,
    /** Share of requests refused. */
    pub shed_share: f64,
    /** The smoothed saturation. */
    pub saturation: f64,
    /** Requests a second that come to all joined proxies. */
    pub request_rate: f64,
    /** What warm servers weigh, by what is left of them. */
    pub warm_weight: f64,
    /** Share of the zones that are cut off. */
    pub partitioned_share: f64,
    /** The lowest level of each class in any table; a rate counts as the share it admits of the highest. */
    pub admitted_shares: Vec<f64>,
}
