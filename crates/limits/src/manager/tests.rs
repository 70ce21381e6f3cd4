use super::*;
use crate::{ConfigError, Idempotency};

fn classes() -> Vec<Class> {
    let class = |name: &str, priority_weight, idempotency| Class {
        name: name.into(),
        priority_weight,
        latency_objective_seconds: 1.0,
        deadline_seconds: 3.0,
        idempotency,
    };
    vec![
        class("read", 1.0, Idempotency::Idempotent),
        class("file", 5.0, Idempotency::Keyed(10.0)),
    ]
}

fn config(text: &str) -> Result<OverloadConfig, Vec<ConfigError>> {
    let declared: pb::Limits =
        chutegrade_textproto::parse(crate::SCHEMA, "chutegrade.limits.v1.Limits", text)
            .expect(text);
    OverloadConfig::read(&declared, Some(&classes()))
}

/// The load of one second.
struct Load {
    arrivals: f64,
    capacity: f64,
    saturation: f64,
    /// Arrivals at the first proxy, as a multiple of those at another.
    first_proxy_factor: f64,
    admitted_shares: [f64; 2],
}

/// Everything is admitted, and all proxies have the same load.
const EVEN_LOAD: Load = Load {
    arrivals: 200.0,
    capacity: 300.0,
    saturation: 0.0,
    first_proxy_factor: 1.0,
    admitted_shares: [1.0, 1.0],
};

/// Returns the inputs of one second, with ten proxies and two classes.
fn inputs_at(second: i64, load: &Load) -> Inputs {
    let demand_at = |proxy: u32, class| {
        let factor = if proxy == 0 {
            load.first_proxy_factor
        } else {
            1.0
        };
        Demand {
            proxy,
            class,
            arrivals: load.arrivals / 20.0 * factor,
            failed: 0.0,
        }
    };
    let demand: Vec<Demand> = (0..10)
        .flat_map(|proxy| [demand_at(proxy, 0), demand_at(proxy, 1)])
        .collect();
    let admitted: f64 = demand
        .iter()
        .map(|demand| demand.arrivals * load.admitted_shares[demand.class])
        .sum();
    let outcomes = vec![Outcome {
        attempts: admitted,
        failed: (admitted - load.capacity).max(0.0),
        mean_latency_ms: 100.0,
        queued: Some(load.saturation),
    }];
    Inputs {
        now_us: second * 1_000_000,
        last_report_at_us: Some(second * 1_000_000),
        report_period_us: 1_000_000,
        saturation: load.saturation,
        admitted_shares: load.admitted_shares.to_vec(),
        warm_weight: 10.0,
        partitioned_share: 0.0,
        demand,
        outcomes,
    }
}

#[test]
fn without_configuration_nothing_is_decided() {
    let mut manager = OverloadManager::new(config("").expect("a configuration"), classes(), 10);
    let overload = Load {
        arrivals: 200.0,
        capacity: 100.0,
        saturation: 0.9,
        ..EVEN_LOAD
    };
    for second in 0..30 {
        let evaluation = manager.evaluate(&inputs_at(second, &overload));
        assert_eq!(evaluation, Evaluation::default());
    }
}

#[test]
fn overload_sheds_the_class_of_lower_priority() {
    let mut manager = OverloadManager::new(
        config("adaptive {}").expect("a configuration"),
        classes(),
        10,
    );
    let (mut admitted_shares, mut queue, mut shares) = ([1.0, 1.0], 0.0f64, Vec::new());
    for second in 0..80 {
        let arrivals = if second < 10 { 60.0 } else { 200.0 };
        queue = (queue + arrivals * 0.5 * (admitted_shares[0] + admitted_shares[1]) - 100.0)
            .clamp(0.0, 400.0);
        let load = Load {
            arrivals,
            capacity: 100.0,
            saturation: (queue / 300.0).min(1.0),
            admitted_shares,
            ..EVEN_LOAD
        };
        let evaluation = manager.evaluate(&inputs_at(second, &load));
        let shed_share = evaluation.decision.min_shed_share.expect("a limit");
        admitted_shares = [
            (1.0 - 2.0 * shed_share).max(0.1),
            (1.0 - (2.0 * shed_share - 0.9).max(0.0)).clamp(0.1, 1.0),
        ];
        shares.push(shed_share);
    }
    let shed_share = shares[40..].iter().sum::<f64>() / 40.0;
    assert!((0.35..0.65).contains(&shed_share), "{shed_share}");
    assert!(
        manager.limit().headroom.expect("known") < 0.7,
        "{:?}",
        manager.limit()
    );
}

#[test]
fn load_of_a_heavy_proxy_is_shed_first() {
    let mut manager = OverloadManager::new(
        config("adaptive { rule: AIMD } fairness {}").expect("a configuration"),
        classes(),
        10,
    );
    let mut evaluation = Evaluation::default();
    let load = |second: i64, first_proxy_factor: f64| Load {
        saturation: if second > 26 { 0.6 } else { 0.0 },
        first_proxy_factor,
        ..EVEN_LOAD
    };
    for second in 0..30 {
        evaluation = manager.evaluate(&inputs_at(second, &load(second, 12.0)));
    }
    let ShedShares { ordinary, heavy } = evaluation.decision.shed_shares.expect("one is heavy");
    assert!(
        heavy > 2.0 * ordinary && ordinary < evaluation.decision.min_shed_share.expect("a limit"),
        "{ordinary} {heavy}"
    );
    let mut even = OverloadManager::new(
        config("adaptive { rule: AIMD } fairness {}").expect("a configuration"),
        classes(),
        10,
    );
    for second in 0..30 {
        evaluation = even.evaluate(&inputs_at(second, &load(second, 1.0)));
    }
    assert_eq!(evaluation.decision.shed_shares, None);
}

#[test]
fn an_invalid_configuration_reports_all_errors() {
    let errors =
        config("adaptive { target: 2 } repeats { ratio: -1 } fairness { times_mean: 1 } ladder {}")
            .expect_err("errors");
    let fields: Vec<&str> = errors.iter().map(|error| error.field).collect();
    assert_eq!(fields, ["target", "ratio", "times_mean", "ladder"]);
}

#[test]
fn removing_the_service_levels_ends_the_level() {
    let mut manager = OverloadManager::new(
        config("ladder { usual: true }").expect("a configuration"),
        classes(),
        10,
    );
    let overload = Load {
        arrivals: 100.0,
        capacity: 50.0,
        saturation: 0.9,
        ..EVEN_LOAD
    };
    for second in 0..10 {
        manager.evaluate(&inputs_at(second, &overload));
    }
    assert!(manager.transitions().expect("levels").level() > 0);
    let transition = manager
        .replace(11_000_000, config("").expect("a configuration"))
        .expect("a transition");
    assert_eq!((transition.to.as_str(), transition.number), ("full", 0));
    assert!(manager.transitions().is_none());
}
