use super::*;

/// Guards against draws from one stream that change the numbers of another.
#[test]
fn streams_are_independent() {
    let draw = |purpose, skipped| {
        let mut random = RandomSource::new(7, purpose, 0);
        for _ in 0..skipped {
            random.next_u64();
        }
        random.next_u64()
    };
    assert_eq!(draw(Purpose::Arrivals, 0), draw(Purpose::Arrivals, 0));
    assert_ne!(draw(Purpose::Arrivals, 0), draw(Purpose::Requests, 0));
    assert_ne!(draw(Purpose::Arrivals, 0), draw(Purpose::Arrivals, 1));
    let first_pick = |index| RandomSource::new(7, Purpose::Picks, index).next_u64();
    assert_ne!(first_pick(0), first_pick(1));
}

#[test]
fn means_and_sample_sizes_match_the_arguments() {
    let mut random = RandomSource::new(1, Purpose::Requests, 0);
    let mean =
        |mut draw: Box<dyn FnMut() -> f64>| (0..40_000).map(|_| draw()).sum::<f64>() / 40_000.0;
    let mut other = random.clone();
    assert!((mean(Box::new(move || random.log_normal(0.8))) - 1.0).abs() < 0.02);
    assert!((mean(Box::new(move || other.exponential(3.0))) - 3.0).abs() < 0.08);
    let mut random = RandomSource::new(2, Purpose::Faults, 0);
    let sample = random.sample_indices(10, 4);
    assert!(sample.len() == 4 && sample.windows(2).all(|pair| pair[0] < pair[1]) && sample[3] < 10);
    assert_eq!(random.sample_indices(3, 9), [0, 1, 2]);
}
