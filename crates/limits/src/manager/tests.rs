use super::*;
use crate::Idempotency;

fn classes() -> Vec<Class> {
    let class = |name: &str, worth, effect| Class {
        name: name.into(),
        priority_weight: worth,
        latency_objective_seconds: 1.0,
        deadline_seconds: 3.0,
        idempotency: effect,
    };
    vec![
        class("read", 1.0, Idempotency::Idempotent),
        class("file", 5.0, Idempotency::Keyed(10.0)),
    ]
}

fn plan(text: &str) -> Result<OverloadConfig, Vec<ConfigError>> {
    let of: pb::Limits =
        chutegrade_textproto::parse(crate::SCHEMA, "chutegrade.limits.v1.Limits", text)
            .expect(text);
    OverloadConfig::read(&of, Some(&classes()))
}

/// A second in which so many of each class come to each of ten front ends, the first bringing so many times as much.
fn second(now: i64, rate: f64, can: f64, strain: f64, first: f64, levels: &[f64]) -> Inputs {
    let of = |proxy: u32, class| {
        let came = rate / 20.0 * if proxy == 0 { first } else { 1.0 };
        Demand {
            proxy,
            class,
            arrivals: came,
            failed: 0.0,
        }
    };
    let demand: Vec<Demand> = (0..10)
        .flat_map(|proxy| [of(proxy, 0), of(proxy, 1)])
        .collect();
    let let_in: f64 = demand.iter().map(|of| of.arrivals * levels[of.class]).sum();
    let outcomes = vec![Outcome {
        attempts: let_in,
        failed: (let_in - can).max(0.0),
        mean_latency_ms: 100.0,
        queued: Some(strain),
    }];
    Inputs {
        now: now * 1_000_000,
        last_report_at: Some(now * 1_000_000),
        period: 1_000_000,
        saturation: strain,
        admitted_shares: levels.to_vec(),
        warm_weight: 10.0,
        partitioned_share: 0.0,
        demand,
        outcomes,
    }
}

#[test]
fn what_is_off_orders_nothing() {
    let mut governor = OverloadManager::new(plan("").expect("a plan"), classes(), 10);
    for now in 0..30 {
        let turn = governor.evaluate(&second(now, 200.0, 100.0, 0.9, 1.0, &[1.0, 1.0]));
        assert_eq!(turn, Evaluation::default());
    }
}

#[test]
fn twice_as_much_as_can_be_done_sheds_the_cheap_class() {
    let mut governor = OverloadManager::new(plan("adaptive {}").expect("a plan"), classes(), 10);
    let (mut levels, mut queue, mut shares) = ([1.0, 1.0], 0.0f64, Vec::new());
    for now in 0..80 {
        let offered = if now < 10 { 60.0 } else { 200.0 };
        queue = (queue + offered * 0.5 * (levels[0] + levels[1]) - 100.0).clamp(0.0, 400.0);
        let turn = governor.evaluate(&second(
            now,
            offered,
            100.0,
            (queue / 300.0).min(1.0),
            1.0,
            &levels,
        ));
        let refuse = turn.decision.min_shed_share.expect("a limit");
        levels = [
            (1.0 - 2.0 * refuse).max(0.1),
            (1.0 - (2.0 * refuse - 0.9).max(0.0)).clamp(0.1, 1.0),
        ];
        shares.push(refuse);
    }
    let refuse = shares[40..].iter().sum::<f64>() / 40.0;
    assert!((0.35..0.65).contains(&refuse), "{refuse}");
    assert!(
        governor.limit().1.expect("known") < 0.7,
        "{:?}",
        governor.limit()
    );
}

#[test]
fn one_heavy_front_end_is_held_to_its_share_first() {
    let mut governor = OverloadManager::new(
        plan("adaptive { rule: AIMD } fairness {}").expect("a plan"),
        classes(),
        10,
    );
    let mut turn = Evaluation::default();
    let strain = |now: i64| if now > 26 { 0.6 } else { 0.0 };
    for now in 0..30 {
        turn = governor.evaluate(&second(now, 200.0, 300.0, strain(now), 12.0, &[1.0, 1.0]));
    }
    let ShedShares {
        ordinary: rest,
        heavy,
    } = turn.decision.shed_shares.expect("one is heavy");
    assert!(
        heavy > 2.0 * rest && rest < turn.decision.min_shed_share.expect("a limit"),
        "{rest} {heavy}"
    );
    let mut even = OverloadManager::new(
        plan("adaptive { rule: AIMD } fairness {}").expect("a plan"),
        classes(),
        10,
    );
    for now in 0..30 {
        turn = even.evaluate(&second(now, 200.0, 300.0, strain(now), 1.0, &[1.0, 1.0]));
    }
    assert_eq!(turn.decision.shed_shares, None);
}

#[test]
fn a_plan_with_faults_tells_them_all() {
    let faults =
        plan("adaptive { target: 2 } repeats { ratio: -1 } fairness { times_mean: 1 } ladder {}")
            .expect_err("faults");
    let fields: Vec<&str> = faults.iter().map(|fault| fault.field).collect();
    assert_eq!(fields, ["target", "ratio", "times_mean", "ladder"]);
}

#[test]
fn a_plan_that_drops_its_ladder_ends_the_level_with_a_reason() {
    let mut governor = OverloadManager::new(
        plan("ladder { usual: true }").expect("a plan"),
        classes(),
        10,
    );
    for now in 0..10 {
        governor.evaluate(&second(now, 100.0, 50.0, 0.9, 1.0, &[1.0, 1.0]));
    }
    assert!(governor.transitions().expect("a ladder").level() > 0);
    let change = governor
        .replace(11_000_000, plan("").expect("a plan"))
        .expect("a change");
    assert_eq!((change.to.as_str(), change.number), ("full", 0));
    assert!(governor.transitions().is_none());
}
