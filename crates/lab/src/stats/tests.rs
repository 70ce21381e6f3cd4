use rand_chacha::rand_core::RngCore as _;

use super::*;

#[test]
fn an_interval_by_hand() {
    // Mean 2, standard deviation 1, four figures: t of 3 degrees at 95 % is 3.182.
    let figures = [1.0, 1.5, 2.0, 3.5];
    let of = estimate(&figures, 0.95, 1);
    assert!((of.mean - 2.0).abs() < 1e-12 && (of.sd - 1.080_123_449_734_643_6).abs() < 1e-12);
    assert!(
        (of.half_width - 3.182_446 * of.sd / 2.0).abs() < 1e-4,
        "{of:?}"
    );
    assert!(of.bootstrap.0 > 1.0 && of.bootstrap.1 < 3.5 && of.p < 0.05);
    assert_eq!(estimate(&[1.0], 0.95, 1).half_width, f64::INFINITY);
    let same = estimate(&[0.0; 5], 0.95, 1);
    assert_eq!((same.half_width, same.p), (0.0, 1.0));
}

#[test]
fn many_comparisons_are_paid_for() {
    let corrected = holm(&[0.01, 0.04, 0.03]);
    assert!((corrected[0] - 0.03).abs() < 1e-12 && (corrected[1] - 0.06).abs() < 1e-12);
    assert_eq!(corrected[1], corrected[2], "never less than a smaller one");
}

/// Danger: bars that do not hold what they promise. Of intervals of 95 % about 95 in 100 hold the truth.
#[test]
fn bars_hold_the_truth_as_often_as_they_say() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut uniform = || rng.next_u32() as f64 / f64::from(u32::MAX);
    let held = (0..2000).filter(|_| {
        let figures: Vec<f64> = (0..12)
            .map(|_| (0..6).map(|_| uniform()).sum::<f64>() - 3.0)
            .collect();
        let (low, high) = interval(&figures, 0.95).ends();
        low <= 0.0 && 0.0 <= high
    });
    let held = held.count();
    assert!((1870..1930).contains(&held), "{held} of 2000");
}

#[test]
fn runs_needed_follow_the_square() {
    let pilot = [0.0, 1.0, 0.0, 1.0, 0.0, 1.0, 0.0, 1.0];
    let (rough, fine) = (needed(&pilot, 0.95, 0.2), needed(&pilot, 0.95, 0.1));
    assert!(
        (25..36).contains(&rough) && (100..125).contains(&fine),
        "{rough} {fine}"
    );
    assert_eq!(needed(&[1.0, 1.0, 1.0], 0.95, 0.1), 3);
}

#[test]
fn verdicts_need_both_bars_and_chance() {
    let of = |figures: &[f64]| estimate(figures, 0.95, 1);
    let clear = of(&[0.1, 0.11, 0.09, 0.1]);
    assert_eq!(verdict(&clear, clear.p, 0.95, 0.01), Verdict::More);
    assert_eq!(
        verdict(&clear, 0.2, 0.95, 0.01),
        Verdict::Open,
        "too many were compared"
    );
    assert_eq!(
        verdict(&of(&[0.001, -0.001, 0.0, 0.0005]), 1.0, 0.95, 0.01),
        Verdict::Alike
    );
    assert_eq!(
        verdict(&of(&[0.5, -0.5, 0.3]), 1.0, 0.95, 0.01),
        Verdict::Open
    );
}
