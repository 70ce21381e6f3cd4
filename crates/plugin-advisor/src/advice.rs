//! Translates the advice of plug-ins, which identifies servers, classes and zones by position, into a report that names them.

use chutegrade_engine::{Micros, NamedClassShare, NamedExclusion, NamedWeightFactor, PluginAdvice};
use chutegrade_plugins::{Advice, Inputs};

use crate::ADVICE_LIFETIME;

const MS_PER_SECOND: f64 = 1000.0;

/// Returns the advice with names instead of positions. Entries whose positions are not in the inputs are dropped.
pub fn advice_by_name(advice: &Advice, inputs: &Inputs, now: Micros) -> PluginAdvice {
    PluginAdvice {
        factors: weight_factors(advice, inputs),
        caps: class_caps(advice, inputs),
        no_retry: class_names(&advice.no_retry, inputs),
        excluded: exclusions(advice, inputs, now),
        separate_tables: class_names(&advice.steered, inputs),
        expires_at: now + ADVICE_LIFETIME,
    }
}

fn weight_factors(advice: &Advice, inputs: &Inputs) -> Vec<NamedWeightFactor> {
    let factors = advice.factors.iter();
    factors
        .filter_map(|((server, zone, class), factor)| {
            Some(NamedWeightFactor {
                server: server_name(inputs, *server)?,
                zone: zone_name(inputs, *zone)?,
                class: class.and_then(|class| class_name(inputs, class)),
                factor: *factor,
            })
        })
        .collect()
}

fn class_caps(advice: &Advice, inputs: &Inputs) -> Vec<NamedClassShare> {
    let caps = advice.caps.iter();
    caps.filter_map(|(class, share)| {
        Some(NamedClassShare {
            class: class_name(inputs, *class)?,
            share: *share,
        })
    })
    .collect()
}

fn exclusions(advice: &Advice, inputs: &Inputs, now: Micros) -> Vec<NamedExclusion> {
    let excluded = advice.excluded.iter();
    excluded
        .filter_map(|(server, (_reason, seconds))| {
            Some(NamedExclusion {
                server: server_name(inputs, *server)?,
                until: now + Micros::from_ms(seconds * MS_PER_SECOND),
            })
        })
        .collect()
}

fn class_names(positions: &[u32], inputs: &Inputs) -> Vec<String> {
    let positions = positions.iter();
    positions
        .filter_map(|position| class_name(inputs, *position))
        .collect()
}

fn server_name(inputs: &Inputs, position: u32) -> Option<String> {
    let server = inputs.servers.get(position as usize)?;
    Some(server.name.to_string())
}

fn class_name(inputs: &Inputs, position: u32) -> Option<String> {
    let class = inputs.classes.get(position as usize)?;
    Some(class.name.to_string())
}

fn zone_name(inputs: &Inputs, position: u32) -> Option<String> {
    let zone = inputs.zones.get(position as usize)?;
    Some(zone.to_string())
}
