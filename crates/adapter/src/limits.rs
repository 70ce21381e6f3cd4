//! Limits on service on the simulator's wire: what is seen in its events, and what is decided as one more event. Classes have
//! no names there; they are numbered, `c0` being the first.

use chutegrade_engine::TrafficSample;
use chutegrade_limits::manager::{Decision, Demand, Outcome};
use chutegrade_limits::{pb, Class, ConfigError, OverloadConfig, OverloadManager};
use chutegrade_overload_control::{
    manager_inputs, retry_order, DECISION_LIFETIME, EVALUATION_INTERVAL,
};
use chutegrade_policy::Policy;
use chutegrade_policy::{ClassId, ClassRetry, ClassShare, Event, Limits, Micros, Settings};

/// Limits of one instance.
pub struct Service {
    governor: OverloadManager,
    period: Micros,
    due: Option<Micros>,
    measure: TrafficSample,
}

fn classes(settings: &Settings) -> Vec<Class> {
    let named =
        |(number, of)| chutegrade_overload_control::overload_class(format!("c{number}"), of);
    settings.classes.iter().enumerate().map(named).collect()
}

impl Service {
    /// Limits as the operators wrote them, for these settings.
    pub fn new(written: &pb::Limits, settings: &Settings) -> Result<Self, Vec<ConfigError>> {
        let classes = classes(settings);
        let plan = OverloadConfig::read(written, Some(&classes))?;
        Ok(Service {
            governor: OverloadManager::new(plan, classes, settings.proxies),
            period: settings.report_period.max(EVALUATION_INTERVAL),
            due: None,
            measure: TrafficSample::default(),
        })
    }

    /// Takes in what a batch tells, and gives what is decided if it is time.
    pub fn turn(&mut self, now: Micros, events: &[Event], policy: &Policy) -> Option<Event> {
        events.iter().for_each(|event| self.take(now, event));
        if self.due.is_some_and(|due| now < due) {
            return None;
        }
        self.due = Some(now + EVALUATION_INTERVAL);
        let kept = TrafficSample {
            last_report_at: self.measure.last_report_at,
            ..TrafficSample::default()
        };
        let measure = std::mem::replace(&mut self.measure, kept);
        let inputs = manager_inputs(now, self.period, measure, policy.fleet_status());
        Some(Event::Limits(limits(
            &self.governor.evaluate(&inputs).decision,
            now,
        )))
    }

    fn take(&mut self, now: Micros, event: &Event) {
        match event {
            Event::ProxyDemand {
                proxy,
                class,
                arrivals: came,
                failed,
                ..
            } => {
                let class = usize::from(class.0);
                self.measure.demand.push(Demand {
                    proxy: proxy.0,
                    class,
                    arrivals: *came,
                    failed: *failed,
                });
            }
            Event::ServerOutcomes {
                attempts: tries,
                failed,
                mean_latency_ms: mean_ms,
                load,
                ..
            } => {
                let (tries, failed, mean_ms) = (*tries, *failed, *mean_ms);
                self.measure.outcomes.push(Outcome {
                    attempts: tries,
                    failed,
                    mean_latency_ms: mean_ms,
                    queued: load.queued,
                });
            }
            Event::HealthChecked { .. } => {}
            _ => return,
        }
        self.measure.last_report_at = Some(now);
    }
}

fn limits(orders: &Decision, now: Micros) -> Limits {
    let class = |at: usize| ClassId(u8::try_from(at).unwrap_or(u8::MAX));
    Limits {
        min_shed_share: orders.min_shed_share,
        shed_shares: orders
            .shed_shares
            .map(chutegrade_overload_control::shed_shares),
        admitted: orders
            .admitted
            .iter()
            .map(|of| ClassShare {
                class: class(of.class),
                share: of.share,
            })
            .collect(),
        retries: orders
            .retries
            .iter()
            .enumerate()
            .map(|(at, again)| ClassRetry {
                class: class(at),
                retry: retry_order(*again),
            })
            .collect(),
        expires_at: now + DECISION_LIFETIME,
    }
}
