//! Converts request classes of the settings for the overload manager.

use chutegrade_engine::Engine;
use chutegrade_limits::{Class, Idempotency};
use chutegrade_policy as policy;

/// Returns the classes of an engine, in their order.
pub fn overload_classes(engine: &Engine) -> Vec<Class> {
    let classes = engine.classes().iter();
    classes
        .map(|info| overload_class(info.name.clone(), &info.class))
        .collect()
}

/// Converts a class of the settings.
pub fn overload_class(name: String, class: &policy::Class) -> Class {
    Class {
        name,
        priority_weight: class.priority_weight,
        latency_objective_seconds: class.latency_objective.secs(),
        deadline_seconds: class.deadline.secs(),
        idempotency: idempotency(class.idempotency),
    }
}

/// Converts the idempotency of a class. A retry may reach any server, so keys that only a zone or a cell recognizes
/// don't make it safe: their window is 0.
fn idempotency(idempotency: policy::Idempotency) -> Idempotency {
    match idempotency {
        policy::Idempotency::Idempotent => Idempotency::Idempotent,
        policy::Idempotency::Keyed(policy::DeduplicationScope::All, window) => {
            Idempotency::Keyed(window.secs())
        }
        policy::Idempotency::Keyed(..) => Idempotency::Keyed(0.0),
        policy::Idempotency::NotIdempotent => Idempotency::NotIdempotent,
    }
}
