//! Application of events to the state of an instance. Orders are derived separately: at once after urgent events, else
//! at the next tick.

use crate::interface::{Event, HealthCheckOutcome, LoadReport, Micros, ProxyId, ServerId};

use super::evidence::AttemptCounts;
use super::proxies::{ClassDemand, Proxy};
use super::Policy;

impl Policy {
    /// Applies one event.
    pub(super) fn apply_event(&mut self, now: Micros, event: &Event) {
        match event {
            Event::EndpointList(kind, endpoints) => {
                self.registry
                    .apply_update(now, &self.settings, *kind, endpoints);
            }
            Event::ServerOutcomes { .. } | Event::HealthChecked { .. } => {
                self.apply_server_event(event);
            }
            Event::ProxyJoined { .. }
            | Event::ProxyLeft(_)
            | Event::StreamClosed(_)
            | Event::LivenessCheckDue(_)
            | Event::Acknowledged { .. } => self.apply_proxy_event(now, event),
            Event::ProxyDemand {
                proxy,
                class,
                arrivals,
                failed,
                period,
            } => {
                let demand = ClassDemand {
                    class: *class,
                    arrivals: *arrivals,
                    failed: *failed,
                    period: *period,
                };
                self.record_proxy_demand(*proxy, &demand);
            }
            Event::SliceDemand {
                class, arrivals, ..
            } => self.admission.record_arrivals(*class, *arrivals),
            Event::SliceOwnership { table, granted } => {
                self.tables.reset(*table);
                self.slices.set_ownership(*table, *granted);
            }
            Event::PublishedWeight {
                table,
                server,
                weight,
            } => self.tables.record_published(*table, *server, *weight),
            Event::Advice(advice) => {
                let is_saturated = self.admission.is_saturated();
                self.advice.accept(now, advice, is_saturated);
            }
            Event::Limits(limits) => self.limits.accept(limits),
            Event::PeerMessage { .. } | Event::Timer(_) => {}
        }
    }

    /// Applies the outcomes of attempts or of a health check at a server.
    fn apply_server_event(&mut self, event: &Event) {
        match event {
            Event::ServerOutcomes {
                zone,
                server,
                attempts,
                failed,
                mean_latency_ms,
                load,
                ..
            } => {
                let Some(server) = self.registry.get_mut(*server) else {
                    return;
                };
                let counts = AttemptCounts {
                    attempts: *attempts,
                    failed: *failed,
                    mean_latency_ms: *mean_latency_ms,
                };
                server.evidence.record_outcomes(*zone, counts);
                server.evidence.record_load(load);
            }
            Event::HealthChecked {
                server,
                outcome,
                elapsed,
                load,
            } => self.record_health_check(*server, *outcome, *elapsed, load),
            _ => {}
        }
    }

    /// Applies the start or end of a stream, or an acknowledgement.
    fn apply_proxy_event(&mut self, now: Micros, event: &Event) {
        match event {
            Event::ProxyJoined {
                proxy,
                zone,
                request_rate,
                has_previous_table,
            } => {
                let joined = Proxy::joined(*zone, *request_rate, *has_previous_table);
                self.proxies.join(*proxy, joined);
            }
            Event::ProxyLeft(proxy) => {
                self.channel.drop_queued(*proxy);
                self.remove_proxy(now, *proxy);
            }
            Event::StreamClosed(proxy) => self.remove_proxy(now, *proxy),
            Event::LivenessCheckDue(proxy) => {
                if let Some(proxy) = self.proxies.get_mut(*proxy) {
                    proxy.is_check_due = true;
                }
            }
            Event::Acknowledged {
                proxy,
                sequence,
                elapsed,
            } => {
                self.channel.acknowledge(now, *proxy, *sequence, *elapsed);
                self.slices.acknowledge(*proxy, *sequence);
            }
            _ => {}
        }
    }

    fn record_health_check(
        &mut self,
        server: ServerId,
        outcome: HealthCheckOutcome,
        elapsed: Micros,
        load: &LoadReport,
    ) {
        let Some(server) = self.registry.get_mut(server) else {
            return;
        };
        let network_seconds = if server.endpoint.zone == self.settings.zone {
            0.0
        } else {
            self.links.extra_check_seconds
        };
        server.record_health_check(outcome, elapsed, network_seconds);
        server.evidence.record_load(load);
    }

    fn record_proxy_demand(&mut self, proxy: ProxyId, demand: &ClassDemand) {
        let class_count = self.settings.classes.len() as f64;
        if let Some(proxy) = self.proxies.get_mut(proxy) {
            proxy.record_demand(demand, class_count);
        }
        self.admission
            .record_arrivals(demand.class, demand.arrivals);
    }

    fn remove_proxy(&mut self, now: Micros, proxy: ProxyId) {
        self.proxies.leave(proxy);
        self.slices.proxy_left(proxy, now + self.settings.lease);
    }
}
