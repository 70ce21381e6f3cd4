//! Conversion of reports to events: names are resolved to ids, and a report with an unknown name is dropped.

use chutegrade_limits::manager::{Demand, Outcome};
use chutegrade_policy::{
    Endpoint, EndpointUpdateKind, Event, HealthCheckOutcome, LoadReport, Micros, ProxyId, ZoneId,
};

use super::Engine;
use crate::endpoint::NamedEndpoint;
use crate::health_check::HealthCheck;
use crate::report::{DemandReport, OutcomeReport, Report, ReportError};
use crate::streams::StreamId;

/// Maximum number of events queued for the next tick; beyond it, reports of outcomes and demand are dropped. The largest
/// deployments send this many reports in a minute, so a normal load does not reach the limit between two ticks.
pub(super) const MAX_QUEUED_EVENTS: usize = 50_000;

impl Engine {
    /// Queues a report for the next tick.
    ///
    /// # Errors
    ///
    /// The report is dropped if it contains an unknown name, belongs to a replaced stream, or the queue is full.
    pub fn report(&mut self, report: Report) -> Result<(), ReportError> {
        let is_droppable = matches!(
            report,
            Report::ServerOutcomes { .. } | Report::ProxyDemand { .. }
        );
        if is_droppable && self.events.len() >= MAX_QUEUED_EVENTS {
            return Err(ReportError::QueueFull);
        }
        let event = self.resolve_report(report)?;
        self.events.push(event);
        Ok(())
    }

    #[expect(clippy::too_many_lines, reason = "one simple arm for each report")]
    fn resolve_report(&mut self, report: Report) -> Result<Event, ReportError> {
        match report {
            Report::EndpointList(kind, endpoints) => Ok(self.endpoint_list(kind, &endpoints)),
            Report::StreamOpened {
                stream,
                proxy,
                zone,
                request_rate,
                has_no_table,
            } => {
                let zone = self.resolve_zone(&zone)?;
                let proxy = self.resolve_proxy(proxy)?;
                self.join(proxy, stream, !has_no_table);
                Ok(Event::ProxyJoined {
                    proxy,
                    zone,
                    request_rate,
                    has_previous_table: !has_no_table,
                })
            }
            Report::StreamLost(stream) => Ok(Event::ProxyLeft(self.leave(stream)?)),
            Report::StreamClosed(stream) => Ok(Event::StreamClosed(self.leave(stream)?)),
            Report::ServerOutcomes {
                zone,
                server,
                attempts,
                failed,
                mean_latency_ms,
                period,
                load,
            } => self.server_outcomes(&OutcomeReport {
                zone,
                server,
                attempts,
                failed,
                mean_latency_ms,
                period,
                load,
            }),
            Report::ProxyDemand {
                proxy,
                class,
                arrivals,
                failed,
                period,
            } => self.proxy_demand(DemandReport {
                proxy,
                class,
                arrivals,
                failed,
                period,
            }),
            Report::Acknowledged {
                stream,
                sequence,
                elapsed,
            } => self.acknowledged(stream, sequence, elapsed),
            Report::LivenessCheckDue(stream) => {
                let proxy = self.streams.proxy(stream);
                let proxy = proxy.ok_or(ReportError::StreamReplaced)?;
                Ok(Event::LivenessCheckDue(proxy))
            }
            Report::Advice(advice) => Ok(Event::Advice(self.resolve_advice(&advice))),
            Report::Limits(limits) => Ok(Event::Limits(self.resolve_limits(&limits))),
            Report::HealthChecked {
                check,
                outcome,
                elapsed,
                load,
            } => Ok(self.health_checked(&check, outcome, elapsed, load)),
        }
    }

    fn endpoint_list(&mut self, kind: EndpointUpdateKind, endpoints: &[NamedEndpoint]) -> Event {
        if kind == EndpointUpdateKind::Unavailable {
            // The subscription is lost with discovery; the decision module subscribes again.
            self.subscription.watch = false;
        }
        let resolved = endpoints
            .iter()
            .map(|endpoint| self.resolve_endpoint(endpoint));
        Event::EndpointList(kind, resolved.collect())
    }

    fn resolve_endpoint(&mut self, named: &NamedEndpoint) -> Endpoint {
        let resolved = self.names.resolve(named);
        let server = resolved.endpoint.server;
        self.log_events.observe_endpoint(server, named);
        let was_pending_removal = self.servers_pending_removal.remove(&server);
        if was_pending_removal || resolved.was_removed {
            self.tables.mark_returned(server);
        }
        resolved.endpoint
    }

    fn join(&mut self, proxy: ProxyId, stream: StreamId, has_previous_table: bool) {
        if self.streams.stream_of(proxy).is_some() {
            self.events.push(Event::ProxyLeft(proxy));
        }
        self.streams.join(proxy, stream, has_previous_table);
    }

    fn leave(&mut self, stream: StreamId) -> Result<ProxyId, ReportError> {
        let proxy = self.streams.leave(stream);
        proxy.ok_or(ReportError::StreamReplaced)
    }

    fn server_outcomes(&mut self, report: &OutcomeReport) -> Result<Event, ReportError> {
        let zone = self.resolve_zone(&report.zone)?;
        let Some(server) = self.names.server(&report.server) else {
            return Err(ReportError::UnknownServer(report.server.clone()));
        };
        self.log_events.observe_outcomes(report);
        self.traffic_sampler.record_report();
        self.traffic_sampler.record_outcome(Outcome {
            attempts: report.attempts,
            failed: report.failed,
            mean_latency_ms: report.mean_latency_ms,
            queued: report.load.queued,
        });
        Ok(Event::ServerOutcomes {
            zone,
            server,
            attempts: report.attempts,
            failed: report.failed,
            mean_latency_ms: report.mean_latency_ms,
            period: report.period,
            load: report.load,
        })
    }

    fn proxy_demand(&mut self, report: DemandReport) -> Result<Event, ReportError> {
        let Some(class) = self.names.class(&report.class) else {
            return Err(ReportError::UnknownClass(report.class));
        };
        let proxy = ProxyId(report.proxy);
        if self.streams.stream_of(proxy).is_none() {
            return Err(ReportError::UnknownProxy(report.proxy));
        }
        self.traffic_sampler.record_report();
        self.traffic_sampler.record_demand(Demand {
            proxy: report.proxy,
            class: usize::from(class.0),
            arrivals: report.arrivals,
            failed: report.failed,
        });
        Ok(Event::ProxyDemand {
            proxy,
            class,
            arrivals: report.arrivals,
            failed: report.failed,
            period: report.period,
        })
    }

    fn acknowledged(
        &self,
        stream: StreamId,
        sequence: u16,
        elapsed: Micros,
    ) -> Result<Event, ReportError> {
        let Some(proxy) = self.streams.proxy(stream) else {
            return Err(ReportError::StreamReplaced);
        };
        Ok(Event::Acknowledged {
            proxy,
            sequence,
            elapsed,
        })
    }

    fn health_checked(
        &mut self,
        check: &HealthCheck,
        outcome: HealthCheckOutcome,
        elapsed: Micros,
        load: LoadReport,
    ) -> Event {
        self.traffic_sampler.record_report();
        let server = check.server;
        if self.is_current(check) {
            Event::HealthChecked {
                server,
                outcome,
                elapsed,
                load,
            }
        } else {
            Event::HealthChecked {
                server,
                outcome: HealthCheckOutcome::Inconclusive,
                elapsed,
                load: LoadReport::default(),
            }
        }
    }

    /// Whether a health check was sent to the process that the endpoint list has now. The result for an earlier process,
    /// or for another one at its address, must not count against a server that has just started.
    fn is_current(&self, check: &HealthCheck) -> bool {
        let HealthCheck {
            server,
            address,
            started_at,
        } = check;
        self.names.address(*server) == Some(address.as_str())
            && self.names.started_at(*server) == *started_at
    }

    /// Returns the id of a zone of the settings; zones that only the endpoint list contains have no proxies.
    pub(super) fn resolve_zone(&self, name: &str) -> Result<ZoneId, ReportError> {
        let zone = self.names.zone(name);
        zone.filter(|zone| usize::from(zone.0) < self.size.zones)
            .ok_or_else(|| ReportError::UnknownZone(name.to_string()))
    }

    /// Returns the id of a proxy of the settings.
    pub(super) fn resolve_proxy(&self, number: u32) -> Result<ProxyId, ReportError> {
        if (number as usize) < self.size.proxies {
            Ok(ProxyId(number))
        } else {
            Err(ReportError::UnknownProxy(number))
        }
    }
}
