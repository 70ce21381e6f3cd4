//! What happens to the fleet, its streams and its channel.

use chutegrade_emulators::tables::CLASSES;
use chutegrade_engine::{
    EndpointUpdateKind, HealthCheckOutcome, Lifecycle, Micros, NamedClassRetry, OverloadLimits,
    Report, Retry, StreamId,
};

use super::channel::ProxyState;
use super::conditions::Disturbance;
use super::simulation::{Dial, Simulation};

/// The longest time until a proxy whose stream broke dials again, in microseconds.
const MAX_DIAL_DELAY_US: u64 = 600_000;
/// How long requested retries are allowed.
const RETRIES_TTL: Micros = Micros(10_000_000);

impl Simulation {
    pub fn disturb(&mut self, disturbance: Disturbance) {
        match disturbance {
            Disturbance::Drain(max) => self.drain(max),
            Disturbance::ReturnToService(max) => {
                let out_of_service = [Lifecycle::Draining, Lifecycle::Removed];
                let names = self.draw_servers(max, &out_of_service);
                self.change_servers(names, Lifecycle::InService, Some(self.now));
            }
            Disturbance::AddServers(count) => self.add_servers(count, Some(self.now)),
            Disturbance::BreakStreams { percent, as_new } => self.break_streams(percent, as_new),
            Disturbance::CloseStream(proxy) => self.close_stream(proxy % self.conditions.proxies),
            Disturbance::SetQueues(queued) => self.queued = f64::from(queued),
            Disturbance::Stall => self.stalled_steps = self.conditions.max_stall_steps,
            Disturbance::Rejoin(proxy) => self.rejoin(proxy % self.conditions.proxies),
            Disturbance::Restart(max) => self.restart(max),
            Disturbance::Snapshot => {
                let listed = [Lifecycle::InService, Lifecycle::Draining];
                let names = self.draw_servers(u32::MAX, &listed);
                self.report_endpoints(EndpointUpdateKind::Snapshot, &names);
            }
            Disturbance::StaleAcknowledgement(proxy) => {
                self.acknowledge_out_of_order(proxy % self.conditions.proxies);
            }
            Disturbance::HoldHealthChecks => self.hold_or_fail_health_checks(),
            Disturbance::RequestRetries => self.request_retries(),
        }
    }

    fn drain(&mut self, max: u32) {
        let drained = self.draw_servers(u32::MAX, &[Lifecycle::Draining]);
        self.change_servers(drained, Lifecycle::Removed, None);
        let names = self.draw_servers(max, &[Lifecycle::InService]);
        self.change_servers(names, Lifecycle::Draining, None);
    }

    fn restart(&mut self, max: u32) {
        let names = self.draw_servers(max, &[Lifecycle::InService]);
        for name in &names {
            *self.restarts.entry(name.clone()).or_default() += 1;
        }
        self.change_servers(names, Lifecycle::InService, Some(self.now));
    }

    fn break_streams(&mut self, percent: u32, as_new: bool) {
        for proxy in 0..self.conditions.proxies {
            if self.draw(100) < u64::from(percent) {
                self.break_stream(proxy, as_new);
            }
        }
    }

    /// A stream breaks: what waits for it is lost, and the supervisor learns of it at once or with the next one.
    fn break_stream(&mut self, proxy: u32, as_new: bool) {
        let Some(stream) = self.proxies[proxy as usize].stream.take() else {
            return;
        };
        self.channel.retain(|message| message.stream != stream);
        if self.draw(2) == 0 {
            self.report(Report::StreamLost(stream));
        }
        let delay = Micros(self.draw(MAX_DIAL_DELAY_US) as i64);
        let at = self.now + delay;
        self.dials.insert(proxy, Dial { at, as_new });
    }

    /// This side closes a stream; the proxy dials again at once.
    fn close_stream(&mut self, proxy: u32) {
        let Some(stream) = self.proxies[proxy as usize].stream.take() else {
            return;
        };
        self.report(Report::StreamClosed(stream));
        let at = self.now;
        self.dials.insert(proxy, Dial { at, as_new: false });
    }

    /// All in one turn: two newer streams, and the end of the older one before, between or after them.
    fn rejoin(&mut self, proxy: u32) {
        let Some(older) = self.proxies[proxy as usize].stream else {
            return;
        };
        self.channel.retain(|message| message.stream != older);
        self.last_stream += 2;
        let between = StreamId(self.last_stream - 1);
        let newest = StreamId(self.last_stream);
        let older_ends_before = self.draw(3);
        for (position, stream) in [(0, between), (1, newest)] {
            if older_ends_before == position {
                self.report(Report::StreamLost(older));
            }
            self.report_stream_opened(stream, proxy, false);
        }
        // The late ends of streams that were replaced change nothing.
        self.report(Report::StreamLost(older));
        self.report(Report::StreamClosed(between));
        self.join(proxy, newest);
    }

    fn join(&mut self, proxy: u32, stream: StreamId) {
        let state = &mut self.proxies[proxy as usize];
        state.stream = Some(stream);
        state.joined_at = self.now;
        state.written_at.clear();
    }

    /// Proxies that are due to dial join with new streams.
    pub fn open_due_streams(&mut self) {
        let due: Vec<u32> = self
            .dials
            .iter()
            .filter(|(_, dial)| dial.at <= self.now)
            .map(|(proxy, _)| *proxy)
            .collect();
        for proxy in due {
            let Some(dial) = self.dials.remove(&proxy) else {
                continue;
            };
            self.last_stream += 1;
            let stream = StreamId(self.last_stream);
            if dial.as_new {
                self.proxies[proxy as usize] = ProxyState::default();
            }
            self.join(proxy, stream);
            self.report_stream_opened(stream, proxy, dial.as_new);
        }
    }

    fn acknowledge_out_of_order(&mut self, proxy: u32) {
        let Some(stream) = self.proxies[proxy as usize].stream else {
            return;
        };
        for sequence in [self.draw(65_535) as u16, 1] {
            self.report(Report::Acknowledged {
                stream,
                sequence,
                elapsed: self.max_delay,
            });
        }
    }

    fn hold_or_fail_health_checks(&mut self) {
        let Some(held_checks) = self.held_checks.take() else {
            self.held_checks = Some(Vec::new());
            return;
        };
        for check in held_checks {
            self.report_health_check(check, HealthCheckOutcome::Unreachable);
        }
    }

    fn request_retries(&mut self) {
        let retries = CLASSES.map(|class| NamedClassRetry {
            class: class.to_string(),
            retry: Retry::Twice,
        });
        self.report(Report::Limits(OverloadLimits {
            retries: retries.to_vec(),
            expires_at: self.now + RETRIES_TTL,
            ..OverloadLimits::default()
        }));
    }
}
