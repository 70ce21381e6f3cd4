//! Limits on service on the simulator's wire: what is seen in its events, and what is decided as one more event. Classes have
//! no names there; they are numbered, `c0` being the first.

use chutegrade_engine::Measure;
use chutegrade_levels::{seen, way, STANDS, TURN_EVERY};
use chutegrade_limits::govern::{Demand, Orders, Outcome};
use chutegrade_limits::{pb, Class, Fault, Governor, Plan};
use chutegrade_policy::interface::{ClassId, Event, Limits, Micros, Settings};
use chutegrade_policy::policy::Policy;

/// Limits of one instance.
pub struct Service {
    governor: Governor,
    period: Micros,
    due: Option<Micros>,
    measure: Measure,
}

fn classes(settings: &Settings) -> Vec<Class> {
    let named = |(number, of)| chutegrade_levels::class(format!("c{number}"), of);
    settings.classes.iter().enumerate().map(named).collect()
}

impl Service {
    /// Limits as the operators wrote them, for these settings.
    pub fn new(written: &pb::Limits, settings: &Settings) -> Result<Self, Vec<Fault>> {
        let classes = classes(settings);
        let plan = Plan::read(written, Some(&classes))?;
        Ok(Service {
            governor: Governor::new(plan, classes, settings.proxies),
            period: settings.report_period.max(TURN_EVERY),
            due: None,
            measure: Measure::default(),
        })
    }

    /// Takes in what a batch tells, and gives what is decided if it is time.
    pub fn turn(&mut self, now: Micros, events: &[Event], policy: &Policy) -> Option<Event> {
        events.iter().for_each(|event| self.take(now, event));
        if self.due.is_some_and(|due| now < due) {
            return None;
        }
        self.due = Some(now + TURN_EVERY);
        let kept = Measure {
            heard: self.measure.heard,
            ..Measure::default()
        };
        let measure = std::mem::replace(&mut self.measure, kept);
        let inputs = seen(now, self.period, measure, policy.figures());
        Some(Event::Limits(limits(
            &self.governor.turn(&inputs).orders,
            now,
        )))
    }

    fn take(&mut self, now: Micros, event: &Event) {
        match event {
            Event::Usage {
                proxy,
                class,
                came,
                failed,
                ..
            } => {
                let class = usize::from(class.0);
                self.measure.demand.push(Demand {
                    proxy: proxy.0,
                    class,
                    came: *came,
                    failed: *failed,
                });
            }
            Event::Heard {
                tries,
                failed,
                mean_ms,
                load,
                ..
            } => {
                let (tries, failed, mean_ms) = (*tries, *failed, *mean_ms);
                self.measure.outcomes.push(Outcome {
                    tries,
                    failed,
                    mean_ms,
                    queue: load.queue,
                });
            }
            Event::Probed { .. } => {}
            _ => return,
        }
        self.measure.heard = Some(now);
    }
}

fn limits(orders: &Orders, now: Micros) -> Limits {
    let class = |at: usize| ClassId(u8::try_from(at).unwrap_or(u8::MAX));
    Limits {
        refuse: orders.refuse,
        heavy: orders.heavy,
        keep: orders
            .keep
            .iter()
            .map(|(at, keep)| (class(*at), *keep))
            .collect(),
        again: orders
            .again
            .iter()
            .enumerate()
            .map(|(at, again)| (class(at), way(*again)))
            .collect(),
        until: now + STANDS,
    }
}
