
use super::*;

/// Danger: what goes over the wire is not what was decided.
#[test]
fn actions_that_are_written_read_the_same() {
    let all = [
        Action::Line {
            table: TableId(7),
            server: ServerId(40),
            weight: 0.123_456_789,
        },
        Action::Clear(TableId(3)),
        Action::Bind {
            proxy: ProxyId(9),
            table: TableId(1),
            classes: ClassSet(5),
        },
        Action::Withdraw {
            server: ServerId(1),
            out: true,
        },
        Action::Admit {
            table: None,
            classes: ClassSet(0),
            level: 0.75,
            retry: Retry::Unrun,
        },
        Action::Admit {
            table: Some(TableId(2)),
            classes: ClassSet(2),
            level: 1.0,
            retry: Retry::Twice,
        },
        Action::Mark {
            mark: 65_000,
            everyone: false,
        },
        Action::Probe(ServerId(3)),
        Action::Timer {
            id: 4,
            after: Micros(1_000_001),
        },
    ];
    for of in all {
        let line = crate::codec::write(&of).expect("a line");
        assert_eq!(action(&line).expect("an action"), Some(of));
    }
    assert!(action("endpoint\tmapId=1").is_err() && action("internal_error\twhat=x").is_err());
}

#[test]
fn events_that_are_written_read_the_same() {
    let load = Load {
        queue: Some(3.5),
        latency_ms: Some(1.25),
        ..Load::default()
    };
    let all = [
        Event::Left(ProxyId(3)),
        Event::Heard {
            zone: ZoneId(1),
            server: ServerId(2),
            tries: 7.0,
            failed: 1.0,
            mean_ms: 12.345,
            period: Micros(1_000_001),
            load,
        },
        Event::Usage {
            proxy: ProxyId(1),
            class: ClassId(2),
            came: 4.0,
            failed: 0.0,
            period: Micros(999_999),
        },
        Event::Receipt {
            proxy: ProxyId(5),
            mark: 77,
            took: Micros(123_457),
        },
        Event::Probed {
            server: ServerId(8),
            end: ProbeEnd::TimedOut,
            took: Micros(300_000),
            load,
        },
        Event::Timer(6),
    ];
    for of in all {
        let line = lines(&of, 1);
        assert_eq!(
            crate::codec::parse(line.trim_end()),
            Ok(crate::codec::Message::Event(of))
        );
    }
}
