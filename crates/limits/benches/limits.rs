#![allow(missing_docs)]
//! Cost of an evaluation of the overload manager, and of the heavy-hitter sketch compared with an exact table.

use std::collections::HashMap;
use std::hint::black_box;

use chutegrade_limits::heavy_hitters::{HeavyHitters, DEFAULT_COUNTERS};
use chutegrade_limits::manager::{Demand, Inputs, Outcome};
use chutegrade_limits::{pb, Class, Idempotency, OverloadConfig, OverloadManager};
use criterion::{criterion_group, criterion_main, Criterion};
use rand::SeedableRng;
use rand_distr::{Distribution, Zipf};

fn heavy_hitters(criterion: &mut Criterion) {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    let zipf = Zipf::new(10_000.0, 1.1).expect("a distribution");
    let keys: Vec<u32> = (0..30_000)
        .map(|_| zipf.sample(&mut random) as u32)
        .collect();
    let mut group = criterion.benchmark_group("30,000 reports of 10,000 proxies");
    group.bench_function("sketch", |bench| {
        bench.iter(|| {
            let mut hitters = HeavyHitters::new(DEFAULT_COUNTERS);
            keys.iter().for_each(|key| hitters.add(*key, 1.0));
            black_box(hitters.heavier_than(300.0))
        });
    });
    group.bench_function("exact table", |bench| {
        bench.iter(|| {
            let mut sums: HashMap<u32, f64> = HashMap::new();
            keys.iter()
                .for_each(|key| *sums.entry(*key).or_default() += 1.0);
            let mut above: Vec<(u32, f64)> =
                sums.into_iter().filter(|(_, sum)| *sum > 300.0).collect();
            above.sort_by(|a, b| b.1.total_cmp(&a.1));
            black_box(above)
        });
    });
    group.finish();
}

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
        class("order", 3.0, Idempotency::NotIdempotent),
    ]
}

fn config(classes: &[Class]) -> OverloadConfig {
    let declared = pb::Limits {
        ladder: Some(pb::Ladder {
            usual: Some(true),
            ..Default::default()
        }),
        adaptive: Some(pb::Adaptive::default()),
        repeats: Some(pb::Repeats::default()),
        fairness: Some(pb::Fairness::default()),
    };
    OverloadConfig::read(&declared, Some(classes)).expect("a configuration")
}

fn inputs(proxies: u32, servers: usize) -> Inputs {
    let demand = |proxy, class| Demand {
        proxy,
        class,
        arrivals: 3.0,
        failed: 0.1,
    };
    let outcome = Outcome {
        attempts: 9.0,
        failed: 0.2,
        mean_latency_ms: 300.0,
        queued: Some(1.0),
    };
    Inputs {
        report_period_us: 1_000_000,
        admitted_shares: vec![1.0; 3],
        warm_weight: 100.0,
        saturation: 0.4,
        demand: (0..proxies)
            .flat_map(|proxy| (0..3).map(move |class| demand(proxy, class)))
            .collect(),
        outcomes: vec![outcome; servers],
        ..Inputs::default()
    }
}

fn evaluation(criterion: &mut Criterion) {
    let classes = classes();
    let config = config(&classes);
    let mut group = criterion.benchmark_group("an evaluation");
    for (name, proxies, servers) in [
        ("160 proxies, 32 servers", 160u32, 32),
        ("10,000 proxies, 3,000 servers", 10_000, 3000),
    ] {
        let mut manager = OverloadManager::new(config.clone(), classes.clone(), proxies as usize);
        let mut inputs = inputs(proxies, servers);
        group.bench_function(name, |bench| {
            bench.iter(|| {
                inputs.now_us += 1_000_000;
                inputs.last_report_at_us = Some(inputs.now_us);
                black_box(manager.evaluate(&inputs))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, heavy_hitters, evaluation);
criterion_main!(benches);
