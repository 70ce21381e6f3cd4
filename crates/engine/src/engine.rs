//! The engine: queues reports, passes them to the decision module as one batch per tick and executes its actions.

mod actions;
mod guidance_resolution;
mod report_handling;

use std::collections::{BTreeSet, VecDeque};

use chutegrade_policy::{
    Class, Event, FleetStatus, Micros, Policy, ProxyId, ServerId, ServerStatus, Settings,
};
use chutegrade_records::pb;
use chutegrade_settings::DeploymentNames;

use crate::health_check::HealthCheck;
use crate::log_events::{LogEvent, LogEvents};
use crate::names::Names;
use crate::orders::Order;
use crate::policy::DecisionPolicy;
use crate::records;
use crate::report::ReportError;
use crate::streams::{StreamId, Streams};
use crate::subscription::DiscoverySubscription;
use crate::tables::Tables;
use crate::traffic_sampling::{TrafficSample, TrafficSampler};

/// A class of requests in the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassInfo {
    /// Name under which reports and orders reference the class.
    pub name: String,
    /// Latency objective, deadline and the other settings of the class.
    pub class: Class,
}

impl ClassInfo {
    fn new(name: &str, class: &Class) -> Self {
        ClassInfo {
            name: name.to_string(),
            class: *class,
        }
    }
}

/// Size of the deployment according to the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeploymentSize {
    /// Number of proxies; they are numbered from 0.
    pub proxies: usize,
    /// Number of zones, without those that only the endpoint list contains.
    pub zones: usize,
}

/// A timer of the decision module; timers sort by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    due_at: Micros,
    id: u32,
}

/// The decision module with the state that is needed to execute its actions.
pub struct Engine {
    policy: Box<dyn DecisionPolicy>,
    names: Names,
    classes: Vec<ClassInfo>,
    size: DeploymentSize,
    tables: Tables,
    streams: Streams,
    /// Events for the next tick.
    events: Vec<Event>,
    timers: BTreeSet<Timer>,
    due_health_checks: VecDeque<ServerId>,
    /// Servers that the decision module has released; removed once no table and no pending order references them.
    servers_pending_removal: BTreeSet<ServerId>,
    subscription: DiscoverySubscription,
    log_events: LogEvents,
    traffic_sampler: TrafficSampler,
    has_ticked: bool,
}

impl Engine {
    /// Creates an engine with the decision module of this build. `seed` determines the delay of the first
    /// tick.
    pub fn new(settings: Settings, seed: u64, names: DeploymentNames) -> Self {
        let policy = Policy::new(settings.clone(), seed);
        Engine::with_policy(Box::new(policy), &settings, names)
    }

    /// Creates an engine with another decision module, which must have been created with the same settings.
    pub fn with_policy(
        policy: Box<dyn DecisionPolicy>,
        settings: &Settings,
        names: DeploymentNames,
    ) -> Self {
        let classes = settings.classes.iter().zip(&names.classes);
        Engine {
            classes: classes
                .map(|(class, name)| ClassInfo::new(name, class))
                .collect(),
            names: Names::new(names),
            size: DeploymentSize {
                proxies: settings.proxies,
                zones: settings.zones,
            },
            tables: Tables::new(settings.classes.len()),
            subscription: DiscoverySubscription {
                watch: !settings.endpoints_on_request,
                fetch: false,
            },
            policy,
            streams: Streams::default(),
            events: Vec::new(),
            timers: BTreeSet::new(),
            due_health_checks: VecDeque::new(),
            servers_pending_removal: BTreeSet::new(),
            log_events: LogEvents::default(),
            traffic_sampler: TrafficSampler::default(),
            has_ticked: false,
        }
    }

    /// Passes all reports since the last tick and the due timers to the decision module as one batch, and executes the
    /// returned actions. Returns when the next timer is due; `None` without timers.
    pub fn tick(&mut self, now: Micros) -> Option<Micros> {
        self.take_due_timers(now);
        if !self.events.is_empty() || !self.has_ticked {
            self.has_ticked = true;
            self.log_events.tick(now);
            self.traffic_sampler.tick(now);
            let events = std::mem::take(&mut self.events);
            let actions = self.policy.handle_events(now, &events);
            self.execute_actions(now, actions);
        }
        self.timers.first().map(|timer| timer.due_at)
    }

    fn take_due_timers(&mut self, now: Micros) {
        while let Some(timer) = self.timers.first().copied() {
            if timer.due_at > now {
                return;
            }
            self.timers.pop_first();
            self.events.push(Event::Timer(timer.id));
        }
    }

    /// Returns the streams with a new order to write since the last call.
    pub fn take_streams_with_orders(&mut self) -> BTreeSet<StreamId> {
        self.streams.take_streams_with_orders()
    }

    /// Returns the next message of a stream: all changes that were ordered for it since its last message.
    pub fn take_order(&mut self, stream: StreamId) -> Option<Order> {
        let pending = self.streams.take_pending_order(stream)?;
        Some(pending.into_order(self.tables.class_count(), &self.names))
    }

    /// Returns the next due health check.
    pub fn take_health_check(&mut self) -> Option<HealthCheck> {
        let server = self.due_health_checks.pop_front()?;
        let address = self.names.address(server).unwrap_or_default();
        Some(HealthCheck {
            server,
            address: address.to_string(),
            started_at: self.names.started_at(server),
        })
    }

    /// Returns the service discovery requests. Each request to fetch the list is returned once.
    pub fn take_subscription(&mut self) -> DiscoverySubscription {
        let subscription = self.subscription;
        self.subscription.fetch = false;
        subscription
    }

    /// Enables the collection of traffic samples for the overload manager.
    pub fn enable_traffic_sampling(&mut self) {
        self.traffic_sampler.enable();
    }

    /// Returns the traffic that was reported since the last call.
    pub fn take_traffic_sample(&mut self) -> TrafficSample {
        self.traffic_sampler.take()
    }

    /// Enables events for the records, in addition to those for the log.
    pub fn enable_recording(&mut self) {
        self.log_events.enable_recording();
    }

    /// Returns the next log event. Events for the log are created whether or not recording is enabled.
    pub fn take_log_event(&mut self, now: Micros) -> Option<LogEvent> {
        self.log_events.take(now)
    }

    /// Returns the status of the fleet after the last tick.
    pub fn fleet_status(&self) -> FleetStatus {
        self.policy.fleet_status()
    }

    /// Returns the status of the fleet after the last tick, with the number of servers in each state, as a record.
    pub fn fleet_metrics(&self) -> pb::Gauge {
        let servers = self.policy.server_statuses().into_iter();
        records::fleet_record(
            self.policy.fleet_status(),
            self.policy.proxy_count(),
            servers.map(|(_, status)| status),
        )
    }

    /// Returns the status of each server after the last tick as a record.
    pub fn server_snapshot(&self) -> pb::Fleet {
        let statuses = self.policy.server_statuses();
        let servers = statuses
            .iter()
            .map(|(server, status)| self.server_record(*server, status));
        let class_names = self.classes.iter().map(|class| class.name.clone());
        pb::Fleet {
            servers: servers.collect(),
            classes: class_names.collect(),
        }
    }

    fn server_record(&self, server: ServerId, status: &ServerStatus) -> pb::Server {
        let zone = self.names.zone_name(status.endpoint.zone);
        records::server_record(self.server_name(server), zone, status)
    }

    /// Returns the classes of the settings, by position.
    pub fn classes(&self) -> &[ClassInfo] {
        &self.classes
    }

    /// Returns the size of the deployment according to the settings.
    pub fn deployment_size(&self) -> DeploymentSize {
        self.size
    }

    /// Returns the names of zones, classes and machine kinds. Zones and machine kinds that only the endpoint list
    /// contains come last.
    pub fn deployment_names(&self) -> DeploymentNames {
        let mut names = self.names.deployment();
        names.classes.truncate(self.tables.class_count());
        names
    }

    /// Returns the current stream of a proxy; `None` if it has no open stream.
    pub fn stream_of(&self, proxy: u32) -> Option<StreamId> {
        self.streams.stream_of(ProxyId(proxy))
    }

    /// Checks that the settings contain this zone and, if given, this proxy.
    ///
    /// # Errors
    ///
    /// [`ReportError::UnknownZone`] or [`ReportError::UnknownProxy`].
    pub fn validate_peer(&self, zone: &str, proxy: Option<u32>) -> Result<(), ReportError> {
        self.resolve_zone(zone)?;
        if let Some(proxy) = proxy {
            self.resolve_proxy(proxy)?;
        }
        Ok(())
    }

    /// Returns the name of a server, or its id if the name is unknown.
    fn server_name(&self, server: ServerId) -> String {
        match self.names.server_name(server) {
            Some(name) => name.to_string(),
            None => server.0.to_string(),
        }
    }
}

#[cfg(test)]
mod tests;
