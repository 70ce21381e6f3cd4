use super::*;

#[test]
fn only_the_begin_and_the_end_of_failing_are_news() {
    let mut observer = Observer::default();
    let mut tell = |tries, failed| {
        observer
            .heard("a", "s-1", tries, failed)
            .map(|of| of.failing)
    };
    assert_eq!(tell(3.0, 3.0), None, "too few to say");
    assert_eq!(tell(10.0, 4.0), None);
    assert_eq!(tell(10.0, 5.0), Some(true));
    assert_eq!(tell(10.0, 10.0), None);
    assert_eq!(tell(10.0, 2.0), None, "not well yet");
    assert_eq!(tell(10.0, 0.0), Some(false));
    assert_eq!(tell(10.0, 0.0), None);
    observer.heard("a", "s-1", 10.0, 9.0);
    observer.forget("s-1");
    assert!(observer.heard("a", "s-1", 10.0, 9.0).is_some());
}
