use rand::{Rng, SeedableRng};

use super::*;

/// New demand that wanders, clients of whom a share comes again the second after, and a level that moves now and then.
fn play(again: f64, seconds: usize, seed: u64) -> (Comings, f64, f64) {
    let mut chance = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let (mut comings, mut lost, mut level, mut fresh) = (Comings::default(), 0.0, 1.0, 100.0);
    let (mut repeated, mut all) = (0.0, 0.0);
    for second in 0..seconds {
        if second % 12 == 5 {
            level = [1.0, 0.6, 0.8, 0.5][(second / 12) % 4];
        }
        fresh = (fresh + chance.random_range(-3.0..3.0f64)).clamp(70.0, 130.0);
        let came = fresh + again * lost;
        let refused = came * (1.0 - level);
        comings.learn(Came {
            came,
            refused,
            failed: 0.0,
            ordered: 1.0 - level,
        });
        if second * 2 > seconds {
            repeated += again * lost;
            all += came;
        }
        lost = refused;
    }
    let share = comings.share();
    (comings, share, repeated / all)
}

#[test]
fn those_who_come_again_are_told_from_new_ones() {
    for seed in 0..5 {
        let (none, share, _) = play(0.0, 400, seed);
        assert!(none.again().0 < 0.2 && share < 0.1, "{:?}", none.again());
        let (most, _, _) = play(0.8, 400, seed);
        assert!(
            (0.5..=1.0).contains(&most.again().0) && most.again().1 > 0.9,
            "{:?}",
            most.again()
        );
    }
}

/// Danger: what makes a level fall is that more comes; that it goes on coming is no storm.
#[test]
fn new_demand_that_makes_levels_fall_is_no_storm() {
    let mut comings = Comings::default();
    let mut came: f64 = 60.0;
    for second in 0..200 {
        let wanted = if second % 50 > 20 { 200.0 } else { 60.0 };
        came += 0.5 * (wanted - came);
        let ordered = if second % 50 > 22 || (second > 50 && second % 50 < 3) {
            0.5
        } else {
            0.0
        };
        comings.learn(Came {
            came,
            refused: came * ordered,
            failed: 0.0,
            ordered,
        });
    }
    assert!(comings.share() < 0.1, "{:?}", comings.again());
}

/// Danger: a burst of new demand, which raises what comes and what is lost alike, passes for clients that come again.
#[test]
fn a_burst_is_no_storm() {
    let mut comings = Comings::default();
    for second in 0..300 {
        let came = if second % 40 > 20 { 200.0 } else { 80.0 };
        let failed = f64::max(0.0, came - 100.0);
        comings.learn(Came {
            came,
            refused: 0.0,
            failed,
            ordered: 0.0,
        });
    }
    assert_eq!((comings.again(), comings.share()), ((0.0, 0.0), 0.0));
}
