#![allow(missing_docs)]
//! What limits cost: a turn, the sketch of heavy front ends against an exact table, the ladder's step.

use std::collections::HashMap;
use std::hint::black_box;

use chutegrade_limits::heavy_hitters::{Heavy, COUNTS};
use chutegrade_limits::manager::{Demand, Inputs, Outcome};
use chutegrade_limits::{pb, Class, Idempotency, OverloadConfig, OverloadManager};
use criterion::{criterion_group, criterion_main, Criterion};
use rand::SeedableRng;
use rand_distr::{Distribution, Zipf};

fn heavy(criterion: &mut Criterion) {
    let mut chance = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    let zipf = Zipf::new(10_000.0, 1.1).expect("a distribution");
    let keys: Vec<u32> = (0..30_000)
        .map(|_| zipf.sample(&mut chance) as u32)
        .collect();
    let mut group = criterion.benchmark_group("30,000 reports of 10,000 front ends");
    group.bench_function("sketch", |bench| {
        bench.iter(|| {
            let mut heavy = Heavy::new(COUNTS);
            keys.iter().for_each(|key| heavy.add(*key, 1.0));
            black_box(heavy.above(300.0))
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

fn turn(criterion: &mut Criterion) {
    let class = |name: &str, worth, effect| Class {
        name: name.into(),
        priority_weight: worth,
        latency_objective_seconds: 1.0,
        deadline_seconds: 3.0,
        idempotency: effect,
    };
    let classes = vec![
        class("read", 1.0, Idempotency::Idempotent),
        class("file", 5.0, Idempotency::Keyed(10.0)),
        class("order", 3.0, Idempotency::NotIdempotent),
    ];
    let of = pb::Limits {
        ladder: Some(pb::Ladder {
            usual: Some(true),
            ..Default::default()
        }),
        adaptive: Some(pb::Adaptive::default()),
        repeats: Some(pb::Repeats::default()),
        fairness: Some(pb::Fairness::default()),
    };
    let plan = OverloadConfig::read(&of, Some(&classes)).expect("a plan");
    let mut group = criterion.benchmark_group("a turn");
    for (name, proxies, servers) in [
        ("160 front ends, 32 servers", 160u32, 32),
        ("10,000 front ends, 3,000 servers", 10_000, 3000),
    ] {
        let mut governor = OverloadManager::new(plan.clone(), classes.clone(), proxies as usize);
        let mut inputs = Inputs {
            period: 1_000_000,
            admitted_shares: vec![1.0; 3],
            warm_weight: 100.0,
            saturation: 0.4,
            demand: (0..proxies)
                .flat_map(|proxy| {
                    (0..3).map(move |class| Demand {
                        proxy,
                        class,
                        arrivals: 3.0,
                        failed: 0.1,
                    })
                })
                .collect(),
            outcomes: (0..servers)
                .map(|_| Outcome {
                    attempts: 9.0,
                    failed: 0.2,
                    mean_latency_ms: 300.0,
                    queued: Some(1.0),
                })
                .collect(),
            ..Inputs::default()
        };
        group.bench_function(name, |bench| {
            bench.iter(|| {
                inputs.now += 1_000_000;
                inputs.last_report_at = Some(inputs.now);
                black_box(governor.evaluate(&inputs))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, heavy, turn);
criterion_main!(benches);
