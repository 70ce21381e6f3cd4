use super::*;
use crate::service_levels::ServiceLevels;
use crate::{pb, Idempotency};

fn class(name: &str, worth: f64, aim_s: f64) -> Class {
    Class {
        name: name.into(),
        priority_weight: worth,
        latency_objective_seconds: aim_s,
        deadline_seconds: 3.0,
        idempotency: Idempotency::Idempotent,
    }
}

#[test]
fn the_usual_ladder_is_right_for_any_classes() {
    let of = pb::Ladder {
        usual: Some(true),
        ..pb::Ladder::default()
    };
    for count in 1..=6 {
        let classes: Vec<Class> = (0..count)
            .map(|n| class(&format!("c{n}"), 1.0 + f64::from((n * 5) % 7), 0.5))
            .collect();
        let ladder =
            ServiceLevels::read(&of, Some(&classes)).unwrap_or_else(|faults| panic!("{faults:?}"));
        assert_eq!(ladder.levels.len(), 2 * count as usize - 1);
    }
}

#[test]
fn the_dearest_goes_last_and_never_whole() {
    let levels = levels(&[class("file", 8.0, 1.5), class("read", 2.0, 0.6)]);
    let told: Vec<(&str, f64, f64)> = levels
        .iter()
        .map(|level| {
            (
                level.name.as_str(),
                level.keeps("read"),
                level.keeps("file"),
            )
        })
        .collect();
    assert_eq!(
        told,
        [
            ("half of read", 0.5, 1.0),
            ("little of read", 0.1, 1.0),
            ("half of file", 0.1, 0.5)
        ]
    );
}
