use super::*;

/// Danger: a change in what one source is asked for changes what another gives.
#[test]
fn sources_do_not_depend_on_each_other() {
    let draw = |source, skip| {
        let mut chance = Chance::new(7, source, 0);
        for _ in 0..skip {
            chance.number();
        }
        chance.number()
    };
    assert_eq!(draw(Source::Arrivals, 0), draw(Source::Arrivals, 0));
    assert_ne!(draw(Source::Arrivals, 0), draw(Source::Requests, 0));
    assert_ne!(draw(Source::Arrivals, 0), draw(Source::Arrivals, 1));
    let of = |number| Chance::new(7, Source::Picks, number).number();
    assert_ne!(of(0), of(1));
}

#[test]
fn means_are_as_asked() {
    let mut chance = Chance::new(1, Source::Requests, 0);
    let mean =
        |mut draw: Box<dyn FnMut() -> f64>| (0..40_000).map(|_| draw()).sum::<f64>() / 40_000.0;
    let mut other = chance.clone();
    assert!((mean(Box::new(move || chance.spread(0.8))) - 1.0).abs() < 0.02);
    assert!((mean(Box::new(move || other.gap(3.0))) - 3.0).abs() < 0.08);
    let mut chance = Chance::new(2, Source::Troubles, 0);
    let some = chance.some(10, 4);
    assert!(some.len() == 4 && some.windows(2).all(|two| two[0] < two[1]) && some[3] < 10);
    assert_eq!(chance.some(3, 9), [0, 1, 2]);
}
