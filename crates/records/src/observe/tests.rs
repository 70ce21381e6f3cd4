use super::*;

#[test]
fn only_the_begin_and_the_end_of_failing_are_recorded() {
    let mut failing_servers = FailingServers::default();
    let mut report = |attempts, failed| {
        failing_servers
            .record_report("a", "s-1", attempts, failed)
            .map(|record| record.failing)
    };
    assert_eq!(report(3.0, 3.0), None, "too few attempts");
    assert_eq!(report(10.0, 4.0), None);
    assert_eq!(report(10.0, 5.0), Some(true));
    assert_eq!(report(10.0, 10.0), None);
    assert_eq!(report(10.0, 2.0), None, "not recovered yet");
    assert_eq!(report(10.0, 0.0), Some(false));
    assert_eq!(report(10.0, 0.0), None);
    failing_servers.record_report("a", "s-1", 10.0, 9.0);
    failing_servers.remove("s-1");
    assert!(failing_servers
        .record_report("a", "s-1", 10.0, 9.0)
        .is_some());
}
