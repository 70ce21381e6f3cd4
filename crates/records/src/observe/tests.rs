use super::*;

#[test]
fn only_the_begin_and_the_end_of_failing_are_recorded() {
    let mut observer = FailingServers::default();
    let mut observe = |attempts, failed| {
        observer
            .record_report("a", "s-1", attempts, failed)
            .map(|record| record.failing)
    };
    assert_eq!(observe(3.0, 3.0), None, "too few attempts");
    assert_eq!(observe(10.0, 4.0), None);
    assert_eq!(observe(10.0, 5.0), Some(true));
    assert_eq!(observe(10.0, 10.0), None);
    assert_eq!(observe(10.0, 2.0), None, "not recovered yet");
    assert_eq!(observe(10.0, 0.0), Some(false));
    assert_eq!(observe(10.0, 0.0), None);
    observer.record_report("a", "s-1", 10.0, 9.0);
    observer.remove("s-1");
    assert!(observer.record_report("a", "s-1", 10.0, 9.0).is_some());
}
