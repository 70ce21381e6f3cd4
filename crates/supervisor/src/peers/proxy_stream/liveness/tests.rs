use super::*;

const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const SEQUENCE: u16 = 7;

fn seconds(seconds: f64) -> Micros {
    Micros::from_ms(1000.0 * seconds)
}

fn no_delay() -> Micros {
    Micros(0)
}

/// How a look at a stream ended.
#[derive(Debug, PartialEq)]
enum Verdict {
    Alive,
    CheckDue,
    Dead,
}

fn look(stream: &StreamLiveness, now: Micros) -> Verdict {
    if stream.is_silent(now) || stream.is_acknowledgement_overdue(now, no_delay) {
        Verdict::Dead
    } else if stream.is_check_due(now, no_delay) {
        stream.record_check(now);
        Verdict::CheckDue
    } else {
        Verdict::Alive
    }
}

/// Returns the times in seconds of the first check and of the end, looking at the stream each tenth of a second; it ends
/// within a minute.
fn check_and_end(stream: &StreamLiveness, each_look: impl Fn(Micros)) -> (f64, f64) {
    let mut first_check = None;
    for tenths in 1..600 {
        let now = seconds(f64::from(tenths) / 10.0);
        each_look(now);
        match look(stream, now) {
            Verdict::Alive => {}
            Verdict::CheckDue => first_check = first_check.or(Some(now.secs())),
            Verdict::Dead => return (first_check.expect("a check before the end"), now.secs()),
        }
    }
    panic!("the stream does not end");
}

#[test]
fn a_stream_without_acknowledgements_is_checked_and_then_dead_though_it_reports() {
    let stream = StreamLiveness::new(seconds(0.0), IDLE_TIMEOUT);
    stream.record_order(SEQUENCE, seconds(0.0));
    let reports = |now| {
        stream.record_message(now);
        stream.record_demand(now);
    };
    assert_eq!(check_and_end(&stream, reports), (5.0, 10.0));
}

#[test]
fn a_stream_without_messages_is_checked_and_then_dead() {
    let stream = StreamLiveness::new(seconds(0.0), IDLE_TIMEOUT);
    stream.record_demand(seconds(0.0));
    assert_eq!(check_and_end(&stream, |_| {}), (5.0, 10.0));
}

/// Guards against the end of a working stream whose answers arrive spoilt
/// (`docs/incidents/review-6-spoilt-answers-end-streams.md`).
#[test]
fn unreadable_acknowledgements_keep_the_stream_and_the_order_awaited() {
    let stream = StreamLiveness::new(seconds(0.0), IDLE_TIMEOUT);
    stream.record_order(SEQUENCE, seconds(0.0));
    let mut checks = 0;
    for tenths in 1..6000 {
        let now = seconds(f64::from(tenths) / 10.0);
        match look(&stream, now) {
            Verdict::Alive => {}
            // The proxy answers, but the answer cannot be decoded.
            Verdict::CheckDue => {
                checks += 1;
                stream.record_answer(now);
            }
            Verdict::Dead => panic!("it ended after {} s", now.secs()),
        }
    }
    assert_eq!(checks, 119, "one each five seconds: the order is awaited");
    stream.record_acknowledgement(SEQUENCE);
    assert_eq!(look(&stream, seconds(700.0)), Verdict::Alive);
}

/// The look at a quiet stream may come late; the proxy must have had the time to answer all the same.
#[test]
fn a_stream_is_not_dead_before_it_was_checked() {
    let stream = StreamLiveness::new(seconds(0.0), IDLE_TIMEOUT);
    stream.record_order(SEQUENCE, seconds(0.0));
    assert_eq!(look(&stream, seconds(30.0)), Verdict::CheckDue);
    assert_eq!(look(&stream, seconds(34.9)), Verdict::Alive);
    assert_eq!(look(&stream, seconds(35.0)), Verdict::Dead);
}

/// A message that cannot be decoded still shows that the proxy runs.
#[test]
fn any_message_ends_the_silence() {
    let stream = StreamLiveness::new(seconds(0.0), IDLE_TIMEOUT);
    stream.record_demand(seconds(0.0));
    for second in 1..100 {
        let now = seconds(f64::from(second));
        if second % 4 == 0 {
            stream.record_message(now);
        }
        assert_eq!(look(&stream, now), Verdict::Alive);
    }
}

#[test]
fn the_delay_of_the_queue_extends_the_timeout() {
    let stream = StreamLiveness::new(seconds(0.0), IDLE_TIMEOUT);
    stream.record_order(SEQUENCE, seconds(0.0));
    let delay = || seconds(8.0);
    assert!(!stream.is_check_due(seconds(12.9), delay));
    assert!(stream.is_check_due(seconds(13.0), delay));
    stream.record_check(seconds(13.0));
    assert!(!stream.is_acknowledgement_overdue(seconds(17.9), delay));
    assert!(stream.is_acknowledgement_overdue(seconds(18.0), delay));
}

/// The next look comes when a check or the end is due, not after a complete timeout without messages.
#[test]
fn the_wait_for_a_message_ends_with_the_next_deadline() {
    let stream = StreamLiveness::new(seconds(0.0), IDLE_TIMEOUT);
    assert_eq!(stream.until_next_check(seconds(0.0)), IDLE_TIMEOUT / 2);
    stream.record_order(SEQUENCE, seconds(1.0));
    let after = |at: f64| stream.until_next_check(seconds(at));
    assert_eq!(after(3.0), Duration::from_secs(3));
    assert_eq!(after(20.0), MIN_WAIT);
    stream.record_check(seconds(20.0));
    assert_eq!(after(21.0), Duration::from_secs(4));
}
