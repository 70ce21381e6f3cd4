//! Disturbances of the fleet, its streams and its channel.

use chutegrade_emulators::tables::CLASSES;
use chutegrade_engine::{
    EndpointUpdateKind, HealthCheckOutcome, Lifecycle, Micros, NamedClassRetry, OverloadLimits,
    Report, Retry, StreamId,
};

use super::channel::ProxyState;
use super::conditions::Disturbance;
use super::simulation::{Reconnect, Simulation};

/// Maximum time until a proxy reconnects after its stream broke, in microseconds.
const MAX_RECONNECT_DELAY_US: u64 = 600_000;
/// How long requested retries stay in force.
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
            Disturbance::BreakStreams {
                percent,
                loses_state,
            } => self.break_streams(percent, loses_state),
            Disturbance::CloseStream(proxy) => self.close_stream(proxy % self.conditions.proxies),
            Disturbance::SetQueues(queued) => self.queued = f64::from(queued),
            Disturbance::Stall => self.stalled_steps = self.conditions.stall_steps,
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
            Disturbance::DeferHealthChecks => self.defer_or_fail_health_checks(),
            Disturbance::RequestRetries => self.request_retries(),
        }
    }

    fn drain(&mut self, max: u32) {
        let already_draining = self.draw_servers(u32::MAX, &[Lifecycle::Draining]);
        self.change_servers(already_draining, Lifecycle::Removed, None);
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

    fn break_streams(&mut self, percent: u32, loses_state: bool) {
        for proxy in 0..self.conditions.proxies {
            if self.draw(100) < u64::from(percent) {
                self.break_stream(proxy, loses_state);
            }
        }
    }

    /// Breaks a stream: its queued messages are lost, and the supervisor detects it at once or when the next stream
    /// opens.
    fn break_stream(&mut self, proxy: u32, loses_state: bool) {
        let Some(stream) = self.proxies[proxy as usize].stream.take() else {
            return;
        };
        self.channel.retain(|message| message.stream != stream);
        if self.draw(2) == 0 {
            self.report(Report::StreamLost(stream));
        }
        let delay = Micros(self.draw(MAX_RECONNECT_DELAY_US) as i64);
        let at = self.now + delay;
        self.reconnects.insert(
            proxy,
            Reconnect {
                at,
                has_lost_state: loses_state,
            },
        );
    }

    /// Closes a stream as the supervisor does; the proxy reconnects at once.
    fn close_stream(&mut self, proxy: u32) {
        let Some(stream) = self.proxies[proxy as usize].stream.take() else {
            return;
        };
        self.report(Report::StreamClosed(stream));
        let at = self.now;
        self.reconnects.insert(
            proxy,
            Reconnect {
                at,
                has_lost_state: false,
            },
        );
    }

    /// Opens two streams in one tick, with the end of the older stream before, between or after them.
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
        // Late ends of replaced streams have no effect.
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

    /// Opens new streams for the proxies whose reconnect is due.
    pub fn open_due_streams(&mut self) {
        let due: Vec<u32> = self
            .reconnects
            .iter()
            .filter(|(_, reconnect)| reconnect.at <= self.now)
            .map(|(proxy, _)| *proxy)
            .collect();
        for proxy in due {
            let Some(reconnect) = self.reconnects.remove(&proxy) else {
                continue;
            };
            self.last_stream += 1;
            let stream = StreamId(self.last_stream);
            if reconnect.has_lost_state {
                self.proxies[proxy as usize] = ProxyState::default();
            }
            self.join(proxy, stream);
            self.report_stream_opened(stream, proxy, reconnect.has_lost_state);
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

    fn defer_or_fail_health_checks(&mut self) {
        let Some(deferred_checks) = self.deferred_checks.take() else {
            self.deferred_checks = Some(Vec::new());
            return;
        };
        for check in deferred_checks {
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
