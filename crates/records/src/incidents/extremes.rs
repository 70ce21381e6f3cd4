//! Extreme values, drains and ends of streams.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Drain, Extreme, Reconstruction};
use crate::pb::{record::Kind, Gauge, Life};
use crate::timeline::Event;

/// Adds an event within the window. `classes` are the class names that its supervisor has recorded so far.
pub(super) fn add(reconstruction: &mut Reconstruction, event: &Event, classes: &[String]) {
    match &event.record.kind {
        Some(Kind::Gauge(gauge)) => add_sample(reconstruction, event, gauge, classes),
        Some(Kind::StreamLeft(stream)) => {
            let count = reconstruction.ended_streams.entry(stream.reason.clone());
            *count.or_default() += 1;
        }
        Some(Kind::LifeChanged(change)) if change.life() == Life::Draining => {
            add_drain(reconstruction, event.at_us, &change.server);
        }
        _ => {}
    }
}

fn add_sample(
    reconstruction: &mut Reconstruction,
    event: &Event,
    gauge: &Gauge,
    classes: &[String],
) {
    let extreme = |value| Extreme {
        value,
        at_us: event.at_us,
        supervisor: Arc::clone(&event.supervisor),
    };
    update_max(&mut reconstruction.max_waiting, extreme(gauge.waiting));
    if gauge.refused > 0.0 {
        update_max(&mut reconstruction.max_rejected, extreme(gauge.refused));
    }
    for (class, level) in classes.iter().zip(&gauge.levels) {
        update_min_level(
            &mut reconstruction.lowest_levels,
            class,
            extreme(*level),
            extreme(1.0),
        );
    }
}

fn update_max(greatest: &mut Option<Extreme>, extreme: Extreme) {
    let is_greater = greatest
        .as_ref()
        .is_none_or(|greatest| extreme.value > greatest.value);
    if is_greater {
        *greatest = Some(extreme);
    }
}

/// Updates the lowest level of a class, starting from an initial level.
fn update_min_level(
    lowest_levels: &mut BTreeMap<String, Extreme>,
    class: &str,
    extreme: Extreme,
    initial: Extreme,
) {
    let lowest = lowest_levels.entry(class.to_string()).or_insert(initial);
    if extreme.value < lowest.value {
        *lowest = extreme;
    }
}

fn add_drain(reconstruction: &mut Reconstruction, at_us: i64, server: &str) {
    if reconstruction
        .drains
        .iter()
        .any(|drain| drain.server == server)
    {
        return;
    }
    reconstruction.drains.push(Drain {
        at_us,
        server: server.to_string(),
    });
}
