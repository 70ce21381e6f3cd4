//! The engine: reports in, one batch a tick to the decision module, orders out.

use std::collections::{BTreeSet, VecDeque};

use chutegrade_limits::manager::{Demand, Outcome};
use chutegrade_policy::Policy;
use chutegrade_policy::*;
use chutegrade_records::{pb, Kind};

use crate::measure::{Measuring, TrafficSample};
use crate::names::{NamedEndpoint, Names};
use crate::notes::{self, LogEvent, Notes};
use crate::order::Order;
use crate::streams::Streams;
use crate::tables::Tables;
use crate::StreamId;

/// What peers tell.
#[derive(Clone, Debug, PartialEq)]
pub enum Report {
    /// News of the list of servers.
    EndpointList(EndpointUpdateKind, Vec<NamedEndpoint>),
    /// A proxy named itself on a new stream; an older stream of the same proxy has thereby ended.
    StreamOpened {
        /** The stream. */
        stream: StreamId,
        /** The proxy's number. */
        proxy: u32,
        /** Its zone. */
        zone: String,
        /** Its usual traffic in requests per second. */
        request_rate: f64,
        /** It holds no table that was ordered. */
        has_no_table: bool,
    },
    /// A stream ended.
    StreamLost(StreamId),
    /// This supervisor ended a stream, though its peer may live.
    StreamClosed(StreamId),
    /// What the proxies of a zone met at a server.
    ServerOutcomes {
        /** Zone of the proxies. */
        zone: String,
        /** The server. */
        server: String,
        /** Tries that ended. */
        attempts: f64,
        /** Those without a good answer. */
        failed: f64,
        /** Mean time of the good ones, in milliseconds. */
        mean_latency_ms: f64,
        /** Time over which it was counted. */
        period: Micros,
        /** Newest load report. */
        load: LoadReport,
    },
    /// Requests of a class that came to a proxy.
    ProxyDemand {
        /** The proxy's number. */
        proxy: u32,
        /** The class. */
        class: String,
        /** Requests that came. */
        arrivals: f64,
        /** Admitted ones without an answer. */
        failed: f64,
        /** Time over which it was counted. */
        period: Micros,
    },
    /// A proxy has applied everything up to this mark.
    Acknowledged {
        /** The stream that brought it. */
        stream: StreamId,
        /** The mark. */
        sequence: u16,
        /** Order to effect. */
        elapsed: Micros,
    },
    /// What plug-ins advise, in the place of what they advised before.
    Advice(PluginAdvice),
    /// What limits on service decide, in the place of what they decided before.
    Limits(OverloadLimits),
    /// The result of a probe.
    HealthChecked {
        /** The probe. */
        check: HealthCheck,
        /** How it ended. */
        outcome: HealthCheckOutcome,
        /** Time since it was sent. */
        elapsed: Micros,
        /** Load report, if one came with it. */
        load: LoadReport,
    },
}

/// A factor on the weight of one server in the tables of a zone's proxies, by names.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedWeightFactor {
    /// The server.
    pub server: String,
    /// The zone of the proxies.
    pub zone: String,
    /// The class with a separate table; none: all classes.
    pub class: Option<String>,
    /// Share of its weight that the server keeps, from 0 to 1.
    pub factor: f64,
}

/// A server to leave out of all tables for a while, by its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedExclusion {
    /// The server.
    pub server: String,
    /// When the exclusion ends.
    pub until: Micros,
}

/// The largest share of a class that is admitted, by the class's name.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedClassShare {
    /// The class.
    pub class: String,
    /// The share, from 0 to 1.
    pub share: f64,
}

/// The retry order of a class, by its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedClassRetry {
    /// The class.
    pub class: String,
    /// When proxies may retry its requests.
    pub retry: Retry,
}

/// What plug-ins advise, by names; a name that is not known any more is passed over.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PluginAdvice {
    /// Share of its weight that a server keeps for the proxies of a zone, for a class that is steered apart or for all.
    pub factors: Vec<NamedWeightFactor>,
    /// The most of a class that is let in, as a share.
    pub caps: Vec<NamedClassShare>,
    /// Classes that are not to be tried again.
    pub no_retry: Vec<String>,
    /// Servers to leave out, and until when.
    pub excluded: Vec<NamedExclusion>,
    /// Classes that are steered apart.
    pub separate_tables: Vec<String>,
    /// When all of it ends, unless it is said again.
    pub expires_at: Micros,
}

/// What limits on service decide, by names; a name that is not known is passed over.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OverloadLimits {
    /// The least share of requests to refuse, beside what saturation tells.
    pub min_shed_share: Option<f64>,
    /// The same for usual proxies and for heavy ones, where these have tables of their own.
    pub shed_shares: Option<ShedShares>,
    /// The most of a class that is let in, as a share.
    pub admitted: Vec<NamedClassShare>,
    /// How a class may be tried again.
    pub retries: Vec<NamedClassRetry>,
    /// When all of it ends, unless it is said again.
    pub expires_at: Micros,
}

/// A class as the settings describe it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassInfo {
    /// Its name.
    pub name: String,
    /// `safe`, `keyed` or `unsafe`: what a second run would do.
    pub idempotency: &'static str,
    /// All that they say of it.
    pub class: Class,
}

/// A report names what this supervisor does not know; it was dropped.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// A server that was never listed.
    #[error("unknown server {0}")]
    UnknownServer(String),
    /// A zone outside the settings.
    #[error("unknown site {0}")]
    UnknownZone(String),
    /// A class outside the settings.
    #[error("unknown lane {0}")]
    UnknownClass(String),
    /// A proxy outside the settings, or one that is not joined.
    #[error("unknown proxy {0}")]
    UnknownProxy(u32),
    /// A stream whose place a newer one has taken.
    #[error("stream replaced")]
    StreamReplaced,
    /// Nothing unknown: too many reports wait for the next tick.
    #[error("too many reports wait")]
    QueueFull,
}

/// A probe that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthCheck {
    server: ServerId,
    /// Where the server listens.
    pub address: String,
    started: Option<Micros>,
}

/// What the decisions want of the list of servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiscoverySubscription {
    /// Changes are wanted from now on.
    pub watch: bool,
    /// The complete list is wanted once.
    pub fetch: bool,
}

/// What decides behind the engine: the module of this build, or another build's, for comparison on the fleet model.
pub trait DecisionPolicy {
    /// Takes one batch in, and orders.
    fn handle_events(&mut self, now: Micros, events: &[Event]) -> Vec<Action>;
    /// The fleet in fleet_status; nothing where it can't be told.
    fn fleet_status(&self) -> FleetStatus {
        FleetStatus::default()
    }
    /// Joined proxies.
    fn proxy_count(&self) -> usize {
        0
    }
    /// All servers as they stand.
    fn server_statuses(&self) -> Vec<(ServerId, ServerStatus)> {
        Vec::new()
    }
}

impl DecisionPolicy for Policy {
    fn handle_events(&mut self, now: Micros, events: &[Event]) -> Vec<Action> {
        Policy::handle_events(self, now, events)
    }
    fn fleet_status(&self) -> FleetStatus {
        Policy::fleet_status(self)
    }
    fn proxy_count(&self) -> usize {
        Policy::proxy_count(self)
    }
    fn server_statuses(&self) -> Vec<(ServerId, ServerStatus)> {
        Policy::server_statuses(self).collect()
    }
}

/// The decisions and all that is needed to carry them out.
pub struct Engine {
    policy: Box<dyn DecisionPolicy>,
    names: Names,
    classes: Vec<ClassInfo>,
    proxies: usize,
    zones: usize,
    tables: Tables,
    streams: Streams,
    events: Vec<Event>,
    timers: BTreeSet<(Micros, u32)>,
    probes: VecDeque<ServerId>,
    /// Servers that the decisions have forgotten, until nothing that waits names them.
    going: BTreeSet<ServerId>,
    list: DiscoverySubscription,
    notes: Notes,
    measuring: Measuring,
    begun: bool,
}

/// Reports that wait for a tick, beyond which those on servers and usage are dropped: a minute's worth of the largest
/// deployments, which only a flood brings between two ticks.
const REPORTS_MOST: usize = 50_000;

impl Engine {
    /// Decisions that know their settings, the names that reports use, and nothing else.
    pub fn new(
        settings: Settings,
        seed: u64,
        zones: Vec<String>,
        classes: Vec<String>,
        kinds: Vec<String>,
    ) -> Self {
        let policy = Policy::new(settings.clone(), seed);
        Engine::with_policy(Box::new(policy), &settings, zones, classes, kinds)
    }

    /// The same with another build's decisions, which know the same settings.
    pub fn with_policy(
        policy: Box<dyn DecisionPolicy>,
        settings: &Settings,
        zones: Vec<String>,
        classes: Vec<String>,
        kinds: Vec<String>,
    ) -> Self {
        let view = |(class, name): (&Class, &String)| {
            let effect = match class.idempotency {
                Idempotency::Idempotent => "safe",
                Idempotency::Keyed(..) => "keyed",
                Idempotency::NotIdempotent => "unsafe",
            };
            ClassInfo {
                name: name.clone(),
                idempotency: effect,
                class: *class,
            }
        };
        Engine {
            classes: settings.classes.iter().zip(&classes).map(view).collect(),
            names: Names::new(zones, classes, kinds),
            proxies: settings.proxies,
            zones: settings.zones,
            tables: Tables::new(settings.classes.len()),
            list: DiscoverySubscription {
                watch: !settings.endpoints_on_request,
                fetch: false,
            },
            policy,
            streams: Streams::default(),
            events: Vec::new(),
            timers: BTreeSet::new(),
            probes: VecDeque::new(),
            going: BTreeSet::new(),
            notes: Notes::default(),
            measuring: Measuring::default(),
            begun: false,
        }
    }

    /// Takes in what a peer told, for the next tick. A report that names what is not known is dropped.
    pub fn report(&mut self, report: Report) -> Result<(), ReportError> {
        let spare = matches!(
            report,
            Report::ServerOutcomes { .. } | Report::ProxyDemand { .. }
        );
        if spare && self.events.len() >= REPORTS_MOST {
            return Err(ReportError::QueueFull);
        }
        let event = match report {
            Report::EndpointList(kind, listed) => {
                // A subscription that was lost is none: the decisions ask for it anew.
                self.list.watch &= kind != EndpointUpdateKind::Unavailable;
                Event::EndpointList(
                    kind,
                    listed.iter().map(|listed| self.listed(listed)).collect(),
                )
            }
            Report::StreamOpened {
                stream,
                proxy,
                zone,
                request_rate: rate,
                has_no_table: new,
            } => {
                let (zone, id) = (self.zone(&zone)?, self.proxy(proxy)?);
                if self.streams.of(id).is_some() {
                    self.events.push(Event::ProxyLeft(id));
                }
                self.streams.join(id, stream, !new);
                Event::ProxyJoined {
                    proxy: id,
                    zone,
                    request_rate: rate,
                    has_previous_table: !new,
                }
            }
            Report::StreamLost(stream) => Event::ProxyLeft(
                self.streams
                    .leave(stream)
                    .ok_or(ReportError::StreamReplaced)?,
            ),
            Report::StreamClosed(stream) => Event::StreamClosed(
                self.streams
                    .leave(stream)
                    .ok_or(ReportError::StreamReplaced)?,
            ),
            Report::ServerOutcomes {
                zone,
                server,
                attempts: tries,
                failed,
                mean_latency_ms: mean_ms,
                period,
                load,
            } => {
                let id = self.names.server(&server);
                let (at, id) = (
                    self.zone(&zone)?,
                    id.ok_or_else(|| ReportError::UnknownServer(server.clone()))?,
                );
                self.notes.heard((&zone, &server), tries, failed, period);
                self.measuring.heard();
                self.measuring.met(Outcome {
                    attempts: tries,
                    failed,
                    mean_latency_ms: mean_ms,
                    queued: load.queued,
                });
                let (zone, server) = (at, id);
                Event::ServerOutcomes {
                    zone,
                    server,
                    attempts: tries,
                    failed,
                    mean_latency_ms: mean_ms,
                    period,
                    load,
                }
            }
            Report::ProxyDemand {
                proxy,
                class,
                arrivals: came,
                failed,
                period,
            } => {
                let class = self
                    .names
                    .class(&class)
                    .ok_or(ReportError::UnknownClass(class))?;
                let id = ProxyId(proxy);
                if self.streams.of(id).is_none() {
                    return Err(ReportError::UnknownProxy(proxy));
                }
                self.measuring.heard();
                self.measuring.came(Demand {
                    proxy,
                    class: class.0.into(),
                    arrivals: came,
                    failed,
                });
                Event::ProxyDemand {
                    proxy: id,
                    class,
                    arrivals: came,
                    failed,
                    period,
                }
            }
            Report::Acknowledged {
                stream,
                sequence: mark,
                elapsed: took,
            } => Event::Acknowledged {
                proxy: self
                    .streams
                    .proxy(stream)
                    .ok_or(ReportError::StreamReplaced)?,
                sequence: mark,
                elapsed: took,
            },
            Report::Advice(advised) => Event::Advice(self.advice(&advised)),
            Report::Limits(limited) => Event::Limits(self.limits(&limited)),
            Report::HealthChecked {
                check: probe,
                outcome: end,
                elapsed: took,
                load,
            } => {
                self.measuring.heard();
                let server = probe.server;
                if self.is_current(&probe) {
                    Event::HealthChecked {
                        server,
                        outcome: end,
                        elapsed: took,
                        load,
                    }
                } else {
                    Event::HealthChecked {
                        server,
                        outcome: HealthCheckOutcome::Inconclusive,
                        elapsed: took,
                        load: LoadReport::default(),
                    }
                }
            }
        };
        self.events.push(event);
        Ok(())
    }

    /// Whether the process that was probed is the one that the list names now. Danger: the end of the former one, or of
    /// whatever else answers at its address, would be held against one that has just started.
    fn is_current(&self, probe: &HealthCheck) -> bool {
        let address = self.names.address(probe.server);
        address == Some(probe.address.as_str()) && self.names.started(probe.server) == probe.started
    }

    fn listed(&mut self, listed: &NamedEndpoint) -> Endpoint {
        let (entry, returned) = self.names.listed(listed);
        self.notes.listed(entry.server, listed);
        if self.going.remove(&entry.server) || returned {
            self.tables.returned(entry.server);
        }
        entry
    }

    fn advice(&self, advised: &PluginAdvice) -> Advice {
        let server = |name: &str| self.names.server(name);
        let class = |name: &str| self.names.class(name);
        let set = |names: &[String]| {
            let known = names.iter().filter_map(|name| class(name));
            known.fold(ClassSet::default(), |set, class| set.with(class.0.into()))
        };
        let factor = |of: &NamedWeightFactor| {
            let class = match &of.class {
                Some(name) => Some(class(name)?),
                None => None,
            };
            Some(WeightFactor {
                server: server(&of.server)?,
                zone: self.zone(&of.zone).ok()?,
                class,
                factor: of.factor,
            })
        };
        Advice {
            factors: advised.factors.iter().filter_map(factor).collect(),
            caps: advised
                .caps
                .iter()
                .filter_map(|of| {
                    Some(ClassShare {
                        class: class(&of.class)?,
                        share: of.share,
                    })
                })
                .collect(),
            no_retry: set(&advised.no_retry),
            excluded: advised
                .excluded
                .iter()
                .filter_map(|of| {
                    Some(ServerExclusion {
                        server: server(&of.server)?,
                        until: of.until,
                    })
                })
                .collect(),
            separate_tables: set(&advised.separate_tables),
            expires_at: advised.expires_at,
        }
    }

    fn limits(&self, limited: &OverloadLimits) -> Limits {
        let class = |name: &str| self.names.class(name);
        Limits {
            min_shed_share: limited.min_shed_share,
            shed_shares: limited.shed_shares,
            admitted: limited
                .admitted
                .iter()
                .filter_map(|of| {
                    Some(ClassShare {
                        class: class(&of.class)?,
                        share: of.share,
                    })
                })
                .collect(),
            retries: limited
                .retries
                .iter()
                .filter_map(|of| {
                    Some(ClassRetry {
                        class: class(&of.class)?,
                        retry: of.retry,
                    })
                })
                .collect(),
            expires_at: limited.expires_at,
        }
    }

    /// From now on what is reported is kept for whoever limits service by it.
    pub fn enable_traffic_sampling(&mut self) {
        self.measuring.begin();
    }

    /// What was reported since this was last asked for.
    pub fn take_traffic_sample(&mut self) -> TrafficSample {
        self.measuring.take()
    }

    /// The fleet in figures, after the last tick.
    pub fn fleet_status(&self) -> FleetStatus {
        self.policy.fleet_status()
    }

    /// The classes as the settings describe them.
    pub fn classes(&self) -> &[ClassInfo] {
        &self.classes
    }

    fn zone(&self, name: &str) -> Result<ZoneId, ReportError> {
        let known = self
            .names
            .zone(name)
            .filter(|zone| usize::from(zone.0) < self.zones);
        known.ok_or_else(|| ReportError::UnknownZone(name.to_string()))
    }

    fn proxy(&self, number: u32) -> Result<ProxyId, ReportError> {
        let known = Some(ProxyId(number)).filter(|_| (number as usize) < self.proxies);
        known.ok_or(ReportError::UnknownProxy(number))
    }

    /// Whether the settings hold this zone and, if one is given, this proxy.
    pub fn validate_peer(&self, zone: &str, proxy: Option<u32>) -> Result<(), ReportError> {
        self.zone(zone)?;
        proxy.map_or(Ok(()), |proxy| self.proxy(proxy).map(|_| ()))
    }

    /// How many proxies, and how many zones, the settings hold.
    pub fn deployment_size(&self) -> (usize, usize) {
        (self.proxies, self.zones)
    }

    /// The stream on which a proxy is joined.
    pub fn stream_of(&self, proxy: u32) -> Option<StreamId> {
        self.streams.of(ProxyId(proxy))
    }

    /// Hands all reports since the last tick, and the timers that are due, to the decisions as one batch, and
    /// carries out what they order. Returns when the next timer is due.
    pub fn tick(&mut self, now: Micros) -> Option<Micros> {
        while let Some((_, id)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.pop_first();
            self.events.push(Event::Timer(id));
        }
        if !self.events.is_empty() || !self.begun {
            self.begun = true;
            self.notes.learn(now);
            self.measuring.learn(now);
            let events = std::mem::take(&mut self.events);
            let actions = self.policy.handle_events(now, &events);
            self.carry_out(now, actions);
        }
        self.timers.first().map(|(at, _)| *at)
    }

    fn carry_out(&mut self, now: Micros, actions: Vec<Action>) {
        let (mut mark, mut sent) = (None, pb::Published::default());
        for action in actions {
            match &action {
                Action::SetWeight {
                    table,
                    server,
                    weight,
                } => {
                    sent.lines += 1;
                    self.tables.line(*table, *server, *weight);
                }
                Action::ClearTable(table) => self.tables.clear(*table),
                Action::SetSuspended {
                    server,
                    suspended: out,
                } => {
                    // A server that is new is let back for the case that it was known before.
                    if !self.tables.withdraw(*server, *out) && !*out {
                        continue;
                    }
                    sent.withdrawals += 1;
                }
                Action::SetAdmission {
                    table,
                    classes,
                    level,
                    retry,
                } => {
                    let strain = if self.notes.recording {
                        self.policy.fleet_status().saturation
                    } else {
                        0.0
                    };
                    for class in self.tables.positions(*classes) {
                        self.tables.admit(*table, class, *level, *retry);
                        self.note_level((now, strain), *table, class, *level, *retry);
                    }
                }
                Action::AssignTable { .. } => sent.binds += 1,
                Action::RequestAcknowledgement {
                    sequence: number,
                    all_proxies: everyone,
                } => mark = Some((*number, *everyone)),
                Action::HealthCheck(server) => self.probes.push_back(*server),
                Action::SubscribeEndpoints(on) => self.list.watch = *on,
                Action::FetchEndpoints => self.list.fetch = true,
                Action::SetTimer { id, delay: after } => {
                    self.timers.insert((now + (*after).max(Micros(1)), *id));
                }
                Action::Emit(note) => {
                    let kind = notes::decision_record(
                        note,
                        |id| self.server_name(id),
                        |zone| self.names.zone_name(zone),
                    );
                    self.notes.add(now, now, kind, true);
                }
                Action::ForgetServer(server) => {
                    self.going.insert(*server);
                }
                Action::Reconcile(_) => sent.withdrawals += 1,
                // The protocol has no way between instances, and the decisions do not ask for one.
                Action::SendToPeer { .. } => {}
            }
            let reached = self.streams.apply(&action, &self.tables);
            if let Action::SetSuspended {
                server,
                suspended: out,
            } = action
            {
                let (server, streams) = (self.server_name(server), reached);
                self.notes.add(
                    now,
                    now,
                    Kind::Withdrawn(pb::Withdrawn {
                        server,
                        out,
                        streams,
                    }),
                    false,
                );
            }
        }
        self.streams.end_turn(mark);
        self.forget_the_gone();
        if sent != pb::Published::default() {
            sent.streams = u32::try_from(self.streams.reached()).unwrap_or(u32::MAX);
            self.notes.add(now, now, Kind::Published(sent), false);
        }
    }

    /// What waits to be written keeps its names, or a line that takes a server out would be lost.
    fn forget_the_gone(&mut self) {
        let (tables, streams) = (&mut self.tables, &mut self.streams);
        let named = |server: &ServerId| tables.mention(*server) || streams.mention(*server);
        let (kept, gone): (BTreeSet<_>, BTreeSet<_>) =
            std::mem::take(&mut self.going).into_iter().partition(named);
        self.going = kept;
        for server in gone {
            tables.forget(server);
            streams.forget(server);
            self.notes
                .forget(server, &self.names.name(server).unwrap_or_default());
            self.names.forget(server);
        }
    }

    fn server_name(&self, id: ServerId) -> String {
        self.names
            .name(id)
            .map_or_else(|| id.0.to_string(), |name| name.to_string())
    }

    fn note_level(
        &mut self,
        (now, strain): (Micros, f64),
        table: Option<TableId>,
        class: usize,
        level: f64,
        retry: Retry,
    ) {
        if self.notes.recording {
            let class = self
                .names
                .class_name(class)
                .map_or_else(|| class.to_string(), |name| name.to_string());
            let (table, retry) = (
                table.map_or(0, |table| u32::from(table.0)),
                notes::retry(retry),
            );
            self.notes.add(
                now,
                now,
                Kind::Level(pb::Level {
                    class,
                    level,
                    retry,
                    table,
                    strain,
                }),
                false,
            );
        }
    }

    /// From now on notes for the records are made too.
    pub fn enable_recording(&mut self) {
        self.notes.recording = true;
    }

    /// The next thing that happened. What is for the log alone, or for both, is made in any case.
    pub fn take_log_event(&mut self, now: Micros) -> Option<LogEvent> {
        self.notes.pick(now)
    }

    /// The fleet in figures, as it stands after the last tick.
    pub fn fleet_metrics(&self) -> pb::Gauge {
        notes::gauge(
            self.policy.fleet_status(),
            self.policy.proxy_count(),
            self.policy.server_statuses().into_iter().map(|of| of.1),
        )
    }

    /// All servers, as they stand after the last tick.
    pub fn server_snapshot(&self) -> pb::Fleet {
        let named = |(id, of): (ServerId, ServerStatus)| {
            notes::server(
                self.server_name(id),
                self.names.zone_name(of.endpoint.zone),
                &of,
            )
        };
        pb::Fleet {
            servers: self
                .policy
                .server_statuses()
                .into_iter()
                .map(named)
                .collect(),
            classes: self
                .classes
                .iter()
                .map(|class| class.name.clone())
                .collect(),
        }
    }

    /// The names of zones and classes.
    pub fn zone_and_class_names(&self) -> (Vec<String>, Vec<String>) {
        let classes = (0..self.tables.classes()).filter_map(|class| self.names.class_name(class));
        (
            self.names.zones().to_vec(),
            classes.map(|name| name.to_string()).collect(),
        )
    }

    /// Streams that have had an order waiting since this was last asked.
    pub fn take_streams_with_orders(&mut self) -> BTreeSet<StreamId> {
        self.streams.take_reached()
    }

    /// The next message of a stream: all that was ordered for it and not picked yet.
    pub fn take_order(&mut self, stream: StreamId) -> Option<Order> {
        let draft = self.streams.take_draft(stream)?;
        Some(draft.into_order(self.tables.classes(), &self.names))
    }

    /// The next probe that is due.
    pub fn take_health_check(&mut self) -> Option<HealthCheck> {
        let server = self.probes.pop_front()?;
        let address = self.names.address(server).unwrap_or_default().to_string();
        Some(HealthCheck {
            server,
            address,
            started: self.names.started(server),
        })
    }

    /// What is wanted of the list of servers now; a wish to fetch it is given once.
    pub fn take_subscription(&mut self) -> DiscoverySubscription {
        let wish = self.list;
        self.list.fetch = false;
        wish
    }
}

#[cfg(test)]
mod tests;
