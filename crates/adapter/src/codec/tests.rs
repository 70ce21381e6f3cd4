//! Round trips: encoding and decoding are inverse.

use chutegrade_policy::{
    Action, ClassId, ClassSet, Event, HealthCheckOutcome, LoadReport, Micros, ProxyId, Retry,
    ServerId, TableId, ZoneId,
};

use super::*;

/// A comparison of builds must show differences of their decisions, not of the codec.
#[test]
fn encoded_actions_decode_to_the_same() {
    let actions = [
        Action::SetWeight {
            table: TableId(7),
            server: ServerId(40),
            weight: 0.123_456_789,
        },
        Action::ClearTable(TableId(3)),
        Action::AssignTable {
            proxy: ProxyId(9),
            table: TableId(1),
            classes: ClassSet(5),
        },
        Action::SetSuspended {
            server: ServerId(1),
            suspended: true,
        },
        Action::SetAdmission {
            table: None,
            classes: ClassSet(0),
            level: 0.75,
            retry: Retry::IfNotExecuted,
        },
        Action::SetAdmission {
            table: Some(TableId(2)),
            classes: ClassSet(2),
            level: 1.0,
            retry: Retry::Twice,
        },
        Action::RequestAcknowledgement {
            sequence: 65_000,
            all_proxies: false,
        },
        Action::HealthCheck(ServerId(3)),
        Action::SetTimer {
            id: 4,
            delay: Micros(1_000_001),
        },
    ];
    for action in actions {
        let line = encode_action(&action).expect("a line");
        assert_eq!(decode_action(&line).expect("an action"), Some(action));
    }
    assert!(decode_action("endpoint\tmapId=1").is_err());
    assert!(decode_action("internal_error\twhat=x").is_err());
}

#[test]
fn encoded_events_decode_to_the_same() {
    let load = LoadReport {
        queued: Some(3.5),
        latency_ms: Some(1.25),
        ..LoadReport::default()
    };
    let events = [
        Event::ProxyLeft(ProxyId(3)),
        Event::ServerOutcomes {
            zone: ZoneId(1),
            server: ServerId(2),
            attempts: 7.0,
            failed: 1.0,
            mean_latency_ms: 12.345,
            period: Micros(1_000_001),
            load,
        },
        Event::ProxyDemand {
            proxy: ProxyId(1),
            class: ClassId(2),
            arrivals: 4.0,
            failed: 0.0,
            period: Micros(999_999),
        },
        Event::Acknowledged {
            proxy: ProxyId(5),
            sequence: 77,
            elapsed: Micros(123_457),
        },
        Event::HealthChecked {
            server: ServerId(8),
            outcome: HealthCheckOutcome::TimedOut,
            elapsed: Micros(300_000),
            load,
        },
        Event::Timer(6),
    ];
    for event in events {
        let line = encode_event(&event, 1);
        assert_eq!(decode_message(line.trim_end()), Ok(Message::Event(event)));
    }
}
