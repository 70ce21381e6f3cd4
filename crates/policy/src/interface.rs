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
pub enum Effect {
    /// Nothing more than the first.
    Safe,
    /// Dropped as a repeat by the servers of the scope, for this long after the first try was sent.
    Keyed(Scope, Micros),
    /// The effect would happen twice.
    Unsafe,
}

impl Effect {
    /// Whether a second run, anywhere and within so long after the first, changes nothing.
    pub fn harmless(self, within: Micros) -> bool {
        match self {
            Effect::Safe => true,
            Effect::Keyed(Scope::All, window) => window >= within,
            Effect::Keyed(..) | Effect::Unsafe => false,
        }
    }
}

/// The servers among which a repeat is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
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
    Unrun,
    /// Once, after any failure.
    Once,
    /// Twice, after any failure.
    Twice,
}

/// How a level of admission is understood.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LevelKind {
    /// The admitted share of what comes.
    Fraction,
    /// Requests per second at each proxy.
    PerSecond,
    /// Levels are ignored; only retry orders are followed.
    #[default]
    Silent,
}

/// How a proxy chooses among the lines of a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Pick {
    /// At random, by weight.
    #[default]
    Random,
    /// Evenly in turn, by weight.
    Rotate,
    /// Of two drawn by weight, the one with fewer of the proxy's own requests.
    LeastOfTwo,
}

/// What a listed weight tells of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Listed {
    /// Nothing.
    #[default]
    Silent,
    /// Its registered capacity.
    Nominal,
    /// Its approximate size, whatever the speed of its parts.
    Rough,
    /// Its size divided by its recent load.
    Live,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportSource {
    /// With tallies and probe results.
    Answers,
    /// With probe results only.
    Probes,
    /// There are none.
    #[default]
    None,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Answers within this time earn the full worth.
    pub aim: Micros,
    /// The client gives up after this time, all tries counted.
    pub deadline: Micros,
    /// What an answer in time is worth.
    pub worth: f64,
    /// What a second run would do.
    pub effect: Effect,
    /// Served only by servers in the proxy's own zone.
    pub home_only: bool,
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
    pub sole_owner: bool,
    /// How long a proxy that lost its stream goes on sending writes to the owner it knows.
    pub lease: Micros,
    /// The longest time a write stays in hand at a server.
    pub settle: Micros,
    /// The list of servers comes only when asked for.
    pub list_on_request: bool,
    /// How often a list on request must be asked for by an instance without a subscription.
    pub ask_every: Micros,
    /// How levels are understood.
    pub levels: LevelKind,
    /// The retry order in force where none was given.
    pub usual_retry: Retry,
    /// A try that may be followed waits this multiple of the aim.
    pub first_wait: f64,
    /// How proxies choose among lines.
    pub pick: Pick,
    /// A proxy avoids a server after this many failures of its own in a row; 0: never.
    pub proxy_ejects_after: u32,
    /// What listed weights tell.
    pub listed: Listed,
    /// Where load reports come from.
    pub reports: ReportSource,
    /// Interval at which reports are gathered.
    pub report_period: Micros,
    /// Probes are allowed.
    pub probes: bool,
    /// Points of service each probe for each request costs.
    pub probe_price: f64,
    /// Points of service each zone crossing for each request costs.
    pub cross_price: f64,
    /// Lines allowed to wait in the channel, headers included.
    pub backlog: f64,
    /// Lines a second the channel sends usually.
    pub lines_per_s: f64,
    /// Lines each message costs beside its own.
    pub message_head: f64,
    /// The longest way of a message from the channel to the proxy.
    pub way_most: Micros,
    /// After this long without a request a proxy closes a connection.
    pub idle_close: Micros,
    /// Messages that may be written to one proxy within the window; 0: any number.
    pub messages_most: usize,
    /// The window for that count.
    pub messages_window: Micros,
    /// The longest time a proxy may be without a server to pick.
    pub unserved_most: Micros,
    /// The time within which sending to a draining server must end.
    pub drain_grace: Micros,
    /// A server dropped from the list without having drained may stay in tables.
    pub drain_binds_alone: bool,
    /// The least share of its capacity a server starts with.
    pub cold_from: f64,
    /// The time after which a started server is warm.
    pub cold_for: Micros,
    /// A cold server falls over at more than this multiple of what it can do.
    pub fall_multiple: f64,
    /// The time over which that multiple is counted.
    pub fall_window: Micros,
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
    Gone,
}

/// One entry of the list of servers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Entry {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine kind, an index without meaning.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Its life.
    pub life: Lifecycle,
    /// Its listed weight.
    pub weight: f64,
    /// Its latest start, if that is not long ago.
    pub started: Option<Micros>,
}

/// How a delivery of the list is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Changes,
    /// The complete list.
    Complete,
    /// The complete list as last held, possibly stale.
    WarmCopy,
    /// A call or the subscription failed; the list stays as it was.
    Lost,
}

/// A load report; what a deployment does not report is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests being handled.
    pub inflight: Option<f64>,
    /// Requests waiting.
    pub queue: Option<f64>,
    /// Share of the cores in use.
    pub util: Option<f64>,
    /// Recent service time, without waiting, in milliseconds.
    pub latency_ms: Option<f64>,
    /// Requests served per second.
    pub qps: Option<f64>,
    /// Errors per second.
    pub eps: Option<f64>,
}

/// How a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeEnd {
    /// Answered.
    Done,
    /// Answered with an error.
    Error,
    /// Turned away: the server drains or answers too many probes.
    Busy,
    /// No answer in time.
    TimedOut,
    /// The connection was refused or broke.
    Unreachable,
    /// An ending that says nothing of the server.
    Other,
}

/// What an instance can learn.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list of servers.
    Members(ListKind, Vec<Entry>),
    /// A proxy's stream to this instance stands; `rate` is its usual traffic in requests per second.
    Joined {
        /** The proxy. */
        proxy: ProxyId,
        /** Its zone. */
        zone: ZoneId,
        /** Its traffic. */
        rate: f64,
        /** It may hold another instance's withdrawals, which its first table puts right at a line a server. */
        brought: bool,
    },
    /// A proxy's stream broke; it goes on with what it holds. What waited for it is lost.
    Left(ProxyId),
    /// This instance ended a proxy's stream, though the proxy may live: what waited for it may wait in the channel still.
    Ended(ProxyId),
    /// What the joined proxies of a zone met at a server.
    Heard {
        /** Zone of the proxies. */
        zone: ZoneId,
        /** The server. */
        server: ServerId,
        /** Tries that ended. */
        tries: f64,
        /** Those without a good answer. */
        failed: f64,
        /** Mean time of the good ones, in milliseconds; 0 if none. */
        mean_ms: f64,
        /** Time over which it was counted. */
        period: Micros,
        /** Newest load report. */
        load: Load,
    },
    /// Requests of a class that came to a proxy.
    Usage {
        /** The proxy. */
        proxy: ProxyId,
        /** The class. */
        class: ClassId,
        /** Requests that came. */
        came: f64,
        /** Admitted ones without an answer. */
        failed: f64,
        /** Time over which it was counted. */
        period: Micros,
    },
    /// Requests of a class that came for a slice.
    SliceUsage {
        /** The slice. */
        table: TableId,
        /** The class. */
        class: ClassId,
        /** Requests that came. */
        came: f64,
        /** Admitted ones without an answer. */
        failed: f64,
        /** Time over which it was counted. */
        period: Micros,
    },
    /// A slice was put in this instance's charge, or taken from it.
    Tenure {
        /** The slice. */
        table: TableId,
        /** Given or taken. */
        given: bool,
    },
    /// One line of a slice's table, as stored.
    Held {
        /** The slice. */
        table: TableId,
        /** The server. */
        server: ServerId,
        /** Its weight. */
        weight: f64,
    },
    /// A proxy has applied the message that carried this mark.
    Receipt {
        /** The proxy. */
        proxy: ProxyId,
        /** The mark. */
        mark: u16,
        /** Order to effect. */
        took: Micros,
    },
    /// The result of a probe.
    Probed {
        /** The server. */
        server: ServerId,
        /** How it ended. */
        end: ProbeEnd,
        /** Time since it was sent. */
        took: Micros,
        /** Load report, if one came with it. */
        load: Load,
    },
    /// A message of another instance.
    Peer {
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

/// What plug-ins advise. It can lower traffic or move it, and nothing else: what is not named is left as it is.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Advice {
    /// Share of its weight that a server keeps in the tables of a zone's proxies: for a class that is steered apart, or
    /// for all.
    pub factors: Vec<(ServerId, ZoneId, Option<ClassId>, f64)>,
    /// The most of a class that is let in, as a share.
    pub caps: Vec<(ClassId, f64)>,
    /// Classes that are not to be tried again.
    pub never: ClassSet,
    /// Servers to leave out, and until when.
    pub excluded: Vec<(ServerId, Micros)>,
    /// Classes that are steered apart from the others, in tables of their own.
    pub apart: ClassSet,
    /// When all but that ends, unless it is said again.
    pub until: Micros,
}

/// What limits on service decide. What is not named is as it would be without them; it ends by itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    /// The least share of requests to refuse, beside what saturation tells.
    pub refuse: Option<f64>,
    /// The same for usual proxies and for those that bring more than a part can bear, where these have tables of their own.
    pub heavy: Option<(f64, f64)>,
    /// The most of a class that is let in, as a share.
    pub keep: Vec<(ClassId, f64)>,
    /// How a class may be tried again.
    pub again: Vec<(ClassId, Retry)>,
    /// When all of it ends, unless it is said again.
    pub until: Micros,
}

impl Limits {
    /// The most of a class that is let in: what is no number says nothing.
    pub fn keeps(&self, class: usize) -> f64 {
        let own = self
            .keep
            .iter()
            .filter(|(of, keep)| usize::from(of.0) == class && !keep.is_nan());
        own.fold(1.0, |least, (_, keep)| least.min(*keep))
    }
    /// How a class may be tried again, if anything is said of it: the narrowest.
    pub fn again(&self, class: usize) -> Option<Retry> {
        self.again
            .iter()
            .filter(|(of, _)| usize::from(of.0) == class)
            .map(|(_, again)| *again)
            .min()
    }
}

/// What an instance can order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sets a line of a table; weight 0 removes it.
    Line {
        /** The table. */
        table: TableId,
        /** The server. */
        server: ServerId,
        /** The weight. */
        weight: f64,
    },
    /// Removes all lines and levels of a table.
    Clear(TableId),
    /// Puts a joined proxy on a table for some classes.
    Bind {
        /** The proxy. */
        proxy: ProxyId,
        /** The table. */
        table: TableId,
        /** The classes. */
        classes: ClassSet,
    },
    /// Shuts a server out of all tables of joined proxies, or lets it in again. A proxy that has none of this instance's
    /// tables yet may learn of it with the first.
    Withdraw {
        /** The server. */
        server: ServerId,
        /** Out or in. */
        out: bool,
    },
    /// Sets the level and retry order of classes in a table, or for all joined proxies without one.
    Admit {
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
    Mark {
        /** The number to echo. */
        mark: u16,
        /** Reach all joined proxies. */
        everyone: bool,
    },
    /// Probes a server.
    Probe(ServerId),
    /// Asks for changes of the list from now on, or no more.
    Subscribe(bool),
    /// Asks for the complete list once.
    FetchList,
    /// Asks for a timer.
    Timer {
        /** The number to return. */
        id: u32,
        /** Time from now. */
        after: Micros,
    },
    /// Sends a message to another instance, or to all.
    Tell {
        /** The receiver; none: all. */
        peer: Option<u32>,
        /** The payload. */
        data: Vec<u8>,
    },
    /// Tells a joined proxy of each server that its tables name whether it is shut out: it may hold another instance's
    /// withdrawals. With its first table it is told of those alone that were seen to leave here.
    Reconcile(ProxyId),
    /// A server is long gone and no table names it: nothing need be kept of it. It may be listed again, as a new one.
    Forget(ServerId),
    /// Something to tell; nothing follows from it.
    Note(Note),
}

/// The three states of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
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
pub enum Cause {
    /// The score, both terms alike.
    Score,
    /// Mostly tries that failed.
    Errors,
    /// Mostly times that grew.
    Latency,
    /// Mostly probes that failed.
    Probes,
    /// The time out is over: it is tried again.
    TriedAgain,
    /// Enough good ticks in a row.
    GoodTicks,
}

/// What the decisions tell of themselves.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A server's state changed.
    State {
        /** The server. */
        server: ServerId,
        /** Its zone. */
        zone: ZoneId,
        /** The state it is in now. */
        state: State,
        /** Its smoothed score. */
        score: f64,
        /** The error term, 1 being free. */
        errors: f64,
        /** The latency term. */
        latency: f64,
        /** What it comes from. */
        cause: Cause,
    },
    /// The list tells of another life of a server.
    Life {
        /** The server. */
        server: ServerId,
        /** Its zone. */
        zone: ZoneId,
        /** Its life. */
        life: Lifecycle,
    },
    /// Cold servers are held out of tables, or let in again.
    Cold {
        /** Held out. */
        held: bool,
        /** Tries that an answer takes. */
        tries: f64,
    },
    /// A zone answers no probes while another does, or answers again.
    Cut {
        /** The zone. */
        zone: ZoneId,
        /** It is cut off. */
        cut: bool,
        /** Share of its servers that answer no probe. */
        mute: f64,
    },
    /// The share of requests refused moved by a tenth.
    Saturation {
        /** The share refused. */
        refused: f64,
        /** The smoothed saturation. */
        strain: f64,
        /** Its term by the queues that servers report. */
        queues: f64,
        /** By the time that probes take. */
        probes: f64,
        /** By the probes that fail. */
        mute: f64,
    },
    /// Advice on a table's servers is void, or holds again: it would leave the table too little.
    Void {
        /** The table. */
        table: TableId,
        /** It is void. */
        void: bool,
    },
    /// The fleet was dealt into parts anew.
    Parts {
        /** How many. */
        parts: usize,
        /** More than usual, since tries fail everywhere. */
        narrowed: bool,
    },
}

/// A server as the decisions see it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /** What the list says of it. */
    pub entry: Entry,
    /** Its state. */
    pub state: State,
    /** Its smoothed score. */
    pub score: f64,
    /** The error and the latency term of the last tick, 1 being free. */
    pub terms: (f64, f64),
    /** Its weight before what tables make of it. */
    pub weight: f64,
    /** Share of its capacity that it is sure to have. */
    pub warmth: f64,
    /** It is shut out of all tables. */
    pub shut: bool,
}

/// The fleet in figures.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /** Lines waiting in the channel. */
    pub waiting: f64,
    /** How long they take, at the channel's present pace. */
    pub wait: Micros,
    /** Share of requests refused. */
    pub refused: f64,
    /** The smoothed saturation. */
    pub strain: f64,
    /** Requests a second that come to all joined proxies. */
    pub demand: f64,
    /** What warm servers weigh, by what is left of them. */
    pub warm: f64,
    /** Share of the zones that are cut off. */
    pub cut: f64,
    /** The lowest level of each class in any table; a rate counts as the share it admits of the highest. */
    pub levels: Vec<f64>,
}
