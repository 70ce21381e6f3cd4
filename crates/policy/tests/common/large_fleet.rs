//! Many proxies behind a channel that sends in order, possibly below its nominal rate.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use chutegrade_policy::*;

use super::{class, endpoint, health_checked, ms, settings};

/// An instance with its proxies and channel. Each message is checked against the limits when it is written.
pub struct LargeFleet {
    policy: Policy,
    pub settings: Settings,
    pub now: Micros,
    /// Actual send rate of the channel, in lines per second.
    pub send_rate: f64,
    pub tables: BTreeMap<TableId, BTreeMap<ServerId, f64>>,
    /// How often the level of each table was set.
    pub level_changes: BTreeMap<TableId, usize>,
    pub assigned_tables: BTreeMap<ProxyId, BTreeMap<ClassSet, TableId>>,
    pub request_rates: BTreeMap<ProxyId, f64>,
    pub suspended: BTreeSet<ServerId>,
    queue: VecDeque<QueuedMessage>,
    acknowledgements: VecDeque<Acknowledgement>,
    /// Time at which the first message to each proxy on its current stream took effect.
    pub first_applied: BTreeMap<ProxyId, Micros>,
    written: BTreeMap<ProxyId, VecDeque<Micros>>,
    timers: BTreeMap<Micros, u32>,
    pending_health_checks: Vec<ServerId>,
    pub max_queued_lines: f64,
    /// Number of actions so far.
    pub action_count: usize,
}

/// A message that the channel has not sent.
struct QueuedMessage {
    proxy: ProxyId,
    sequence: u16,
    lines: f64,
}

/// An acknowledgement in flight.
struct Acknowledgement {
    at: Micros,
    proxy: ProxyId,
    sequence: u16,
}

/// Time from the sending of a message to its acknowledgement.
const ACKNOWLEDGEMENT_DELAY: Micros = Micros(400_000);

pub fn large_settings(classes: Vec<Class>) -> Settings {
    let (backlog, lines_per_s) = (20_000.0, 12_000.0);
    Settings {
        instances: 1,
        zone_crossing_cost: 0.0,
        proxies: 1000,
        classes,
        channel_backlog: backlog,
        channel_lines_per_second: lines_per_s,
        ..settings()
    }
}

/// Settings for very many proxies with few requests per second each.
pub fn sparse_settings() -> Settings {
    large_settings(vec![
        class(Idempotency::Idempotent, false),
        class(Idempotency::NotIdempotent, false),
    ])
}

impl LargeFleet {
    pub fn new(settings: Settings, send_rate_share: f64) -> LargeFleet {
        LargeFleet {
            policy: Policy::new(settings.clone(), 11),
            send_rate: send_rate_share * settings.channel_lines_per_second,
            settings,
            now: ms(1_000_000),
            tables: BTreeMap::new(),
            level_changes: BTreeMap::new(),
            assigned_tables: BTreeMap::new(),
            request_rates: BTreeMap::new(),
            suspended: BTreeSet::new(),
            queue: VecDeque::new(),
            acknowledgements: VecDeque::new(),
            first_applied: BTreeMap::new(),
            written: BTreeMap::new(),
            timers: BTreeMap::new(),
            pending_health_checks: Vec::new(),
            max_queued_lines: 0.0,
            action_count: 0,
        }
    }

    pub fn started(
        settings: Settings,
        send_rate_share: f64,
        servers: u32,
        proxies: u32,
    ) -> LargeFleet {
        let mut fleet = LargeFleet::new(settings, send_rate_share);
        let mut events = vec![Event::EndpointList(
            EndpointUpdateKind::CachedSnapshot,
            (0..servers).map(endpoint).collect(),
        )];
        events.extend((0..proxies).map(|id| joined_with_rate(id, 1.0 + f64::from(id % 10))));
        fleet.send(&events);
        fleet
    }

    pub fn proxies_using(&self, uses: impl Fn(&TableId) -> bool) -> Vec<ProxyId> {
        self.assigned_tables
            .iter()
            .filter(|(_, tables)| tables.values().any(&uses))
            .map(|(id, _)| *id)
            .collect()
    }

    pub fn send(&mut self, events: &[Event]) -> Vec<Action> {
        for event in events {
            self.apply_stream_event(event);
        }
        let actions = self.policy.handle_events(self.now, events);
        self.action_count += actions.len();
        let mut lines_by_proxy = BTreeMap::new();
        let mut sequence = 0;
        for action in &actions {
            if let Action::RequestAcknowledgement {
                sequence: requested,
                ..
            } = action
            {
                sequence = *requested;
            }
            for proxy in self.apply(action) {
                *lines_by_proxy.entry(proxy).or_default() += 1.0;
            }
            if let Action::AssignTable { proxy, table, .. } = action {
                let servers = self.tables.get(table).map_or(0, BTreeMap::len);
                *lines_by_proxy.entry(*proxy).or_default() += 1.0 + servers as f64;
            }
        }
        self.write(lines_by_proxy, sequence);
        actions
    }

    /// Applies the start or end of a stream.
    fn apply_stream_event(&mut self, event: &Event) {
        match event {
            Event::ProxyJoined {
                proxy,
                request_rate,
                ..
            } => {
                self.assigned_tables.remove(proxy);
                self.written.remove(proxy);
                self.first_applied.remove(proxy);
                self.request_rates.insert(*proxy, *request_rate);
            }
            Event::ProxyLeft(proxy) => {
                self.assigned_tables.remove(proxy);
                self.request_rates.remove(proxy);
                self.queue.retain(|message| message.proxy != *proxy);
            }
            _ => {}
        }
    }

    /// Applies an action and returns the proxies at which it takes a line.
    fn apply(&mut self, action: &Action) -> Vec<ProxyId> {
        match action {
            Action::SetWeight {
                table,
                server,
                weight,
            } => {
                let weights = self.tables.entry(*table).or_default();
                weights.insert(*server, *weight);
                weights.retain(|_, weight| *weight > 0.0);
                self.proxies_using(|used| used == table)
            }
            Action::SetAdmission {
                table: Some(table), ..
            } => {
                *self.level_changes.entry(*table).or_default() += 1;
                self.proxies_using(|used| used == table)
            }
            Action::SetSuspended { server, suspended } => {
                self.set_suspended(*server, *suspended);
                self.proxies_using(|table| {
                    self.tables
                        .get(table)
                        .is_some_and(|weights| weights.contains_key(server))
                })
            }
            Action::AssignTable {
                proxy,
                table,
                classes,
            } => {
                let tables = self.assigned_tables.entry(*proxy).or_default();
                tables.insert(*classes, *table);
                vec![]
            }
            Action::SetTimer { id, delay } => {
                self.timers.insert(self.now + *delay, *id);
                vec![]
            }
            Action::HealthCheck(server) => {
                self.pending_health_checks.push(*server);
                vec![]
            }
            _ => vec![],
        }
    }

    fn set_suspended(&mut self, server: ServerId, suspended: bool) {
        if suspended {
            self.suspended.insert(server);
        } else {
            self.suspended.remove(&server);
        }
    }

    /// Queues a message for each proxy and checks the limits of the channel.
    fn write(&mut self, lines_by_proxy: BTreeMap<ProxyId, f64>, sequence: u16) {
        for (proxy, lines) in lines_by_proxy {
            self.queue.push_back(QueuedMessage {
                proxy,
                sequence,
                lines: lines + 1.0 + self.settings.message_overhead,
            });
            let written = self.written.entry(proxy).or_default();
            written.push_back(self.now);
            let window_start = self.now - self.settings.message_window;
            written.retain(|at| *at > window_start);
            assert!(
                written.len() <= self.settings.max_messages,
                "messages to {proxy:?}"
            );
        }
        let queued_lines: f64 = self.queue.iter().map(|message| message.lines).sum();
        assert!(
            queued_lines <= self.settings.channel_backlog,
            "{queued_lines} lines queued at {:?}",
            self.now
        );
        self.max_queued_lines = self.max_queued_lines.max(queued_lines);
    }

    /// Advances the time in steps of a tenth of a second and delivers `each_second` every second.
    pub fn run(
        &mut self,
        seconds: u32,
        each_second: &[Event],
        is_unresponsive: &dyn Fn(ServerId) -> bool,
    ) {
        for step in 0..10 * seconds {
            self.now = self.now + ms(100);
            self.send_queued();
            let mut events = self.due_acknowledgements();
            events.extend(self.health_check_results(is_unresponsive));
            events.extend(self.due_timers());
            if step % 10 == 0 {
                events.extend(each_second.iter().cloned());
            }
            if !events.is_empty() {
                self.send(&events);
            }
        }
    }

    /// Sends the messages that the channel can send in a tenth of a second.
    fn send_queued(&mut self) {
        let mut capacity = self.send_rate / 10.0;
        while let Some(message) = self.queue.front_mut() {
            if message.lines > capacity {
                message.lines -= capacity;
                break;
            }
            capacity -= message.lines;
            self.acknowledgements.push_back(Acknowledgement {
                at: self.now + ACKNOWLEDGEMENT_DELAY,
                proxy: message.proxy,
                sequence: message.sequence,
            });
            self.queue.pop_front();
        }
    }

    fn due_acknowledgements(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        while self
            .acknowledgements
            .front()
            .is_some_and(|acknowledgement| acknowledgement.at <= self.now)
        {
            let due = self.acknowledgements.pop_front().expect("checked above");
            self.first_applied.entry(due.proxy).or_insert(due.at);
            events.push(Event::Acknowledged {
                proxy: due.proxy,
                sequence: due.sequence,
                elapsed: ACKNOWLEDGEMENT_DELAY,
            });
        }
        events
    }

    fn health_check_results(&mut self, is_unresponsive: &dyn Fn(ServerId) -> bool) -> Vec<Event> {
        let checked = std::mem::take(&mut self.pending_health_checks);
        let result = |server| {
            let outcome = if is_unresponsive(server) {
                HealthCheckOutcome::TimedOut
            } else {
                HealthCheckOutcome::Passed
            };
            health_checked(server, outcome)
        };
        checked.into_iter().map(result).collect()
    }

    fn due_timers(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        while self
            .timers
            .first_key_value()
            .is_some_and(|(at, _)| *at <= self.now)
        {
            let (_, id) = self.timers.pop_first().expect("checked above");
            events.push(Event::Timer(id));
        }
        events
    }

    /// The servers in a proxy's tables that are not suspended.
    pub fn visible_servers(&self, proxy: u32) -> BTreeSet<ServerId> {
        let tables = self
            .assigned_tables
            .get(&ProxyId(proxy))
            .into_iter()
            .flat_map(BTreeMap::values);
        let servers = tables
            .filter_map(|table| self.tables.get(table))
            .flat_map(BTreeMap::keys)
            .copied();
        servers
            .filter(|server| !self.suspended.contains(server))
            .collect()
    }

    pub fn assigned_count(&self) -> usize {
        self.assigned_tables.len()
    }
}

pub fn joined_with_rate(id: u32, rate: f64) -> Event {
    Event::ProxyJoined {
        proxy: ProxyId(id),
        zone: ZoneId((id % 2) as u16),
        request_rate: rate,
        has_previous_table: false,
    }
}

pub fn none_unresponsive(_: ServerId) -> bool {
    false
}

pub fn warming(id: u32, now: Micros) -> Endpoint {
    Endpoint {
        started_at: Some(now),
        ..endpoint(id)
    }
}

/// A fleet whose proxies all join one instance, with the given send rate of its channel.
pub fn joining_one_instance(lines_per_s: f64, drain_grace: Micros) -> LargeFleet {
    let settings = Settings {
        channel_lines_per_second: lines_per_s,
        channel_backlog: 60_000.0,
        drain_grace,
        ..sparse_settings()
    };
    LargeFleet::started(settings, 1.0, 500, 1000)
}
