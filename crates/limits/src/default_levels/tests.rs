use super::*;
use crate::service_levels::ServiceLevels;
use crate::{pb, Idempotency};

fn class(name: &str, priority_weight: f64, latency_objective_seconds: f64) -> Class {
    Class {
        name: name.into(),
        priority_weight,
        latency_objective_seconds,
        deadline_seconds: 3.0,
        idempotency: Idempotency::Idempotent,
    }
}

#[test]
fn default_levels_are_valid_for_any_number_of_classes() {
    let declared = pb::Ladder {
        usual: Some(true),
        ..pb::Ladder::default()
    };
    for count in 1..=6 {
        let classes: Vec<Class> = (0..count)
            .map(|n| class(&format!("c{n}"), 1.0 + f64::from((n * 5) % 7), 0.5))
            .collect();
        let levels = ServiceLevels::read(&declared, Some(&classes))
            .unwrap_or_else(|errors| panic!("{errors:?}"));
        assert_eq!(levels.levels.len(), 2 * count as usize - 1);
    }
}

#[test]
fn the_highest_priority_is_reduced_last_and_never_to_the_minimum_share() {
    let levels = levels(&[class("file", 8.0, 1.5), class("read", 2.0, 0.6)]);
    let shares: Vec<(&str, f64, f64)> = levels
        .iter()
        .map(|level| {
            (
                level.name.as_str(),
                level.admitted_share("read"),
                level.admitted_share("file"),
            )
        })
        .collect();
    assert_eq!(
        shares,
        [
            ("half of read", 0.5, 1.0),
            ("little of read", 0.1, 1.0),
            ("half of file", 0.1, 0.5)
        ]
    );
}
