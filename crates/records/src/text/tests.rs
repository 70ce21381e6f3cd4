use super::*;

#[test]
fn times_are_parsed_and_printed() {
    let last = parse_time("2026-12-01T10:00:00Z", 0).expect("a time");
    assert_eq!(time(last), "2026-12-01T10:00:00.000Z");
    assert_eq!(
        time_of_day(parse_time("09:12", last).expect("a time")),
        "09:12:00.000"
    );
    assert_eq!(
        time_of_day(parse_time("09:12:30.5", last).expect("a time")),
        "09:12:30.500"
    );
    assert_eq!(
        time_of_day(parse_time("10m", last).expect("a time")),
        "09:50:00.000"
    );
    for wrong in ["", "9", "25:00", "xm", "-5m", "09:12:30:1"] {
        let error = parse_time(wrong, last).expect_err(wrong).to_string();
        assert!(
            error.contains("is not a valid time") && !error.contains('\n'),
            "{error}"
        );
    }
}

#[test]
fn durations_are_printed() {
    let printed: Vec<String> = [0, 250_000, 1_500_000, 61_000_000, 7_260_000_000, -1_000_000]
        .map(duration)
        .into();
    assert_eq!(
        printed,
        [
            "0 ms",
            "250 ms",
            "1.5 s",
            "1 min 1 s",
            "2 h 1 min",
            "-1.0 s"
        ]
    );
    assert_eq!(
        (time(i64::MAX).len() > 20, time(i64::MIN).is_empty()),
        (true, false)
    );
}
