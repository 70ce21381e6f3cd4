//! The decisions of chutegrade. [`Policy`] applies events, and at each tick it scores the servers, updates admission
//! and publishes the changes. It coordinates the other modules, each of which owns one concern and its state.
//!
//! A server's weight depends on its score: the smoothed minimum of an error term and a latency term, each from 1 (no
//! faults) to 0. Hysteresis and dwell times map scores to full, reduced or withdrawn weights, which are published in
//! few shared tables.

mod admission;
mod advice;
mod assignment;
mod channel;
mod class_levels;
mod desired_tables;
mod events;
mod evidence;
mod health;
mod health_checks;
mod limits;
mod liveness_checks;
mod orders;
mod proxies;
mod publication;
mod publish;
mod registry;
mod retry_policy;
mod scoring;
mod server;
mod shard_balance;
mod sharding;
mod slices;
mod smoothing;
mod speed;
mod status;
mod suspension;
mod table_layout;
mod tables;
mod tick;
mod warm_up;
mod weights;
mod zone_affinity;
mod zone_links;

use crate::interface::{Action, EndpointUpdateKind, Event, Micros, Settings};

use admission::{Admission, AdmissionInputs};
use advice::ActiveAdvice;
use channel::Channel;
use limits::ActiveLimits;
use proxies::Proxies;
use publication::UpdatePacer;
use registry::Registry;
use scoring::Scoring;
use sharding::Sharding;
use slices::Slices;
use tables::Tables;
use tick::{first_tick_delay, TICK_INTERVAL, TICK_TIMER_ID};
use zone_links::{extra_check_seconds, Reachability, References, ZoneLinks};

/// The decision state machine of one instance.
#[derive(Clone, Debug, Default)]
pub struct Policy {
    settings: Settings,
    /// Determines the delay of the first tick; should differ between the instances of a deployment.
    seed: u64,
    /// Whether any events were handled.
    started: bool,
    /// The time of the last tick.
    ticked_at: Micros,
    registry: Registry,
    proxies: Proxies,
    links: ZoneLinks,
    admission: Admission,
    advice: ActiveAdvice,
    limits: ActiveLimits,
    sharding: Sharding,
    tables: Tables,
    slices: Slices,
    channel: Channel,
    update_pacer: UpdatePacer,
    /// Whether warming servers are withheld from tables.
    warming_withheld: bool,
}

impl Policy {
    /// Creates an instance without servers and proxies. Instances of a deployment should have different seeds.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Policy {
            seed,
            channel: Channel::new(&settings),
            admission: Admission::new(settings.classes.len()),
            settings,
            ..Policy::default()
        }
    }

    /// Applies events that happened by `now` and returns the resulting orders.
    pub fn handle_events(&mut self, now: Micros, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.started {
            self.start(now, &mut actions);
        }
        for event in events {
            self.apply_event(now, event);
        }
        let is_tick = events.contains(&Event::Timer(TICK_TIMER_ID));
        if is_tick {
            actions.push(Action::SetTimer {
                id: TICK_TIMER_ID,
                delay: TICK_INTERVAL,
            });
            self.tick(now, &mut actions);
        }
        if is_tick || events.iter().any(|event| self.is_urgent(event)) {
            self.start_health_checks(now, &mut actions);
            self.publish(now, &mut actions);
        }
        actions
    }

    fn start(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.started = true;
        self.ticked_at = now;
        if self.settings.endpoints_on_request {
            actions.push(Action::SubscribeEndpoints(true));
            self.registry.expect_answer();
        }
        actions.push(Action::SetTimer {
            id: TICK_TIMER_ID,
            delay: first_tick_delay(self.seed),
        });
    }

    /// Returns whether orders follow an event at once. All other events wait for the tick: publication after each of
    /// them would delay the orders of a large fleet.
    fn is_urgent(&self, event: &Event) -> bool {
        match event {
            Event::EndpointList(kind, _) => *kind != EndpointUpdateKind::Pending,
            Event::ProxyJoined { .. } | Event::SliceOwnership { .. } => true,
            // These may complete a hand-over.
            Event::Acknowledged { .. } | Event::ProxyLeft(_) | Event::StreamClosed(_) => {
                self.settings.exclusive_ownership
            }
            _ => false,
        }
    }

    /// Runs one tick: updates scores, health states and saturation from the evidence.
    fn tick(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let elapsed_seconds = (now - self.ticked_at).secs().max(0.0);
        self.ticked_at = now;
        self.expire_guidance(now);
        if self.registry.take_due_resubscription(now) {
            actions.push(Action::SubscribeEndpoints(true));
        }
        self.links.extra_check_seconds = extra_check_seconds(&self.registry, self.settings.zone);
        self.channel
            .update_send_rate(elapsed_seconds, &self.settings);
        let reachability = self.links.detect_partitions(&self.registry, actions);
        let references = self.links.update(&mut self.registry, &self.settings);
        self.detect_common_failures(now, &references, &reachability);
        let scoring = Scoring::new(&self.registry, &self.settings, &references, &reachability);
        scoring.score_servers(&mut self.registry, actions);
        self.decay(elapsed_seconds);
        let inputs = AdmissionInputs {
            settings: &self.settings,
            registry: &self.registry,
            limits: &self.limits,
            references: &references,
            unanswered_share: reachability.median_unanswered,
            warming_withheld: self.warming_withheld,
        };
        self.admission.update(elapsed_seconds, &inputs, actions);
    }

    fn expire_guidance(&mut self, now: Micros) {
        self.advice.expire(now);
        self.limits.expire(now);
    }

    /// Requests narrower tables if attempts fail over every link while servers have headroom.
    fn detect_common_failures(
        &mut self,
        now: Micros,
        references: &References,
        reachability: &Reachability,
    ) {
        let least_failed_share = references
            .values()
            .map(|link| link.failed_share)
            .reduce(f64::min)
            .unwrap_or(0.0);
        if reachability.is_conclusive() && self.admission.has_headroom() {
            self.sharding.record_failures(now, least_failed_share);
        }
    }

    fn decay(&mut self, elapsed_seconds: f64) {
        for (_, server) in self.registry.in_service_mut() {
            server.decay(elapsed_seconds);
        }
        self.proxies.decay(elapsed_seconds);
    }

    /// Starts the health checks that are due. There are none without proxies, since the duration of health checks of
    /// idle servers is no baseline for servers under load.
    fn start_health_checks(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.settings.health_checks_allowed || self.proxies.is_empty() {
            return;
        }
        for (id, server) in self.registry.in_service_mut() {
            if server.health_checks.start_if_due(now) {
                actions.push(Action::HealthCheck(*id));
            }
        }
    }
}
