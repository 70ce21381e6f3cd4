//! Extreme values, drains and ends of streams.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Course, Drain, Extreme};
use crate::pb::{record::Kind, Gauge, Life};
use crate::timeline::Event;

/// Adds an event within the window. `classes` are the classes that its supervisor knows.
pub(super) fn add(course: &mut Course, event: &Event, classes: &[String]) {
    match &event.record.kind {
        Some(Kind::Gauge(of)) => add_sample(course, event, of, classes),
        Some(Kind::StreamLeft(of)) => *course.ended.entry(of.reason.clone()).or_default() += 1,
        Some(Kind::LifeChanged(of)) if of.life() == Life::Draining => {
            add_drain(course, event.at_us, &of.server);
        }
        _ => {}
    }
}

fn add_sample(course: &mut Course, event: &Event, gauge: &Gauge, classes: &[String]) {
    let extreme = |value| Extreme {
        value,
        at_us: event.at_us,
        supervisor: Arc::clone(&event.supervisor),
    };
    keep_greater(&mut course.waiting, extreme(gauge.waiting));
    if gauge.refused > 0.0 {
        keep_greater(&mut course.refused, extreme(gauge.refused));
    }
    for (class, level) in classes.iter().zip(&gauge.levels) {
        keep_lower(&mut course.lowest, class, extreme(*level), extreme(1.0));
    }
}

fn keep_greater(greatest: &mut Option<Extreme>, extreme: Extreme) {
    let is_greater = greatest
        .as_ref()
        .is_none_or(|greatest| extreme.value > greatest.value);
    if is_greater {
        *greatest = Some(extreme);
    }
}

/// Keeps the lower level of a class, which is compared with an initial one where none is known.
fn keep_lower(
    lowest: &mut BTreeMap<String, Extreme>,
    class: &str,
    extreme: Extreme,
    initial: Extreme,
) {
    let lowest = lowest.entry(class.to_string()).or_insert(initial);
    if extreme.value < lowest.value {
        *lowest = extreme;
    }
}

fn add_drain(course: &mut Course, at_us: i64, server: &str) {
    if course.drains.iter().any(|drain| drain.server == server) {
        return;
    }
    course.drains.push(Drain {
        at_us,
        server: server.to_string(),
    });
}
