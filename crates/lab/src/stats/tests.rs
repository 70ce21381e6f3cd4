use rand_chacha::rand_core::RngCore as _;

use super::*;

#[test]
fn the_interval_matches_a_calculation_by_hand() {
    // Four values with mean 2 and standard deviation 1.08: t with 3 degrees of freedom at 95 % is 3.182.
    let sample = [1.0, 1.5, 2.0, 3.5];
    let result = estimate(&sample, 0.95, 1);
    assert!(
        (result.mean - 2.0).abs() < 1e-12
            && (result.standard_deviation - 1.080_123_449_734_643_6).abs() < 1e-12
    );
    assert!(
        (result.half_width - 3.182_446 * result.standard_deviation / 2.0).abs() < 1e-4,
        "{result:?}"
    );
    assert!(result.bootstrap_low > 1.0 && result.bootstrap_high < 3.5 && result.p_value < 0.05);
    assert_eq!(estimate(&[1.0], 0.95, 1).half_width, f64::INFINITY);
    let same = estimate(&[0.0; 5], 0.95, 1);
    assert_eq!((same.half_width, same.p_value), (0.0, 1.0));
}

#[test]
fn many_comparisons_raise_p_values() {
    let corrected = holm(&[0.01, 0.04, 0.03]);
    assert!((corrected[0] - 0.03).abs() < 1e-12 && (corrected[1] - 0.06).abs() < 1e-12);
    assert_eq!(corrected[1], corrected[2], "corrected values stay in order");
}

/// Guards against intervals that are too narrow or too wide: about 95 in 100 intervals of 95 % contain the true mean.
#[test]
fn intervals_contain_the_true_mean_as_often_as_their_confidence() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut uniform = || rng.next_u32() as f64 / f64::from(u32::MAX);
    let covering = (0..2000).filter(|_| {
        let sample: Vec<f64> = (0..12)
            .map(|_| (0..6).map(|_| uniform()).sum::<f64>() - 3.0)
            .collect();
        let (low, high) = interval(&sample, 0.95).bounds();
        low <= 0.0 && 0.0 <= high
    });
    let covering = covering.count();
    assert!((1870..1930).contains(&covering), "{covering} of 2000");
}

#[test]
fn required_runs_grow_with_the_inverse_square_of_the_half_width() {
    let pilot = [0.0, 1.0, 0.0, 1.0, 0.0, 1.0, 0.0, 1.0];
    let (coarse, fine) = (
        required_runs(&pilot, 0.95, 0.2),
        required_runs(&pilot, 0.95, 0.1),
    );
    assert!(
        (25..36).contains(&coarse) && (100..125).contains(&fine),
        "{coarse} {fine}"
    );
    assert_eq!(required_runs(&[1.0, 1.0, 1.0], 0.95, 0.1), 3);
}

#[test]
fn a_verdict_requires_both_the_interval_and_the_p_value() {
    let estimate_of = |sample: &[f64]| estimate(sample, 0.95, 1);
    let clear = estimate_of(&[0.1, 0.11, 0.09, 0.1]);
    assert_eq!(verdict(&clear, clear.p_value, 0.95, 0.01), Verdict::More);
    assert_eq!(
        verdict(&clear, 0.2, 0.95, 0.01),
        Verdict::Inconclusive,
        "the corrected p-value is not significant"
    );
    assert_eq!(
        verdict(&estimate_of(&[0.001, -0.001, 0.0, 0.0005]), 1.0, 0.95, 0.01),
        Verdict::Equivalent
    );
    assert_eq!(
        verdict(&estimate_of(&[0.5, -0.5, 0.3]), 1.0, 0.95, 0.01),
        Verdict::Inconclusive
    );
}
