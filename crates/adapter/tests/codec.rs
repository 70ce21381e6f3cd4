//! The wire's forms, in numbers of the project's own.

use chutegrade_adapter::codec::{decode_message, encode_action, CodecError, Message};
use chutegrade_policy::{
    Action, AdmissionUnit, ClassSet, DecisionEvent, DeduplicationScope, Endpoint,
    EndpointUpdateKind, Event, HealthCheckOutcome, Idempotency, Lifecycle, ListedWeight,
    LoadReport, Micros, ProxyId, Retry, ServerId, TableId, ZoneId,
};

fn event(line: &str) -> Event {
    match decode_message(line) {
        Ok(Message::Event(event)) => event,
        other => panic!("{line}: {other:?}"),
    }
}

#[test]
fn frame_lines_are_read() {
    assert_eq!(
        decode_message("frame\tframe=7\tatTimeMs=1250.5"),
        Ok(Message::BatchStart {
            now: Micros(1_250_500),
            number: 7
        })
    );
    assert_eq!(decode_message("your_turn"), Ok(Message::BatchEnd));
    assert_eq!(
        decode_message("at\tsupervisor=2"),
        Ok(Message::SelectInstance(2))
    );
    assert_eq!(decode_message("teardown"), Ok(Message::StopInstance));
    assert_eq!(decode_message("something_new\tx=1"), Ok(Message::Unknown));
}

#[test]
fn events_are_read_in_any_order_of_their_parts_and_unknown_parts_are_skipped() {
    let tally =
        "tally\tserver=901\tlocality=2\tbad=3\ttotal=17\tperiodLenMs=900.0\tnovel=x\tcostTimeMs=61.5\t\
                 healthInfo=queue:4,mood:9,util:0.5";
    let load = LoadReport {
        queued: Some(4.0),
        utilization: Some(0.5),
        ..LoadReport::default()
    };
    assert_eq!(
        event(tally),
        Event::ServerOutcomes {
            zone: ZoneId(2),
            server: ServerId(901),
            attempts: 17.0,
            failed: 3.0,
            mean_latency_ms: 61.5,
            period: Micros(900_000),
            load
        }
    );
    assert_eq!(
        event("health\tcostTimeMs=2.25\tserver=901\tending=econnreset"),
        Event::HealthChecked {
            server: ServerId(901),
            outcome: HealthCheckOutcome::Unreachable,
            elapsed: Micros(2250),
            load: LoadReport::default()
        }
    );
    assert_eq!(
        event("joined\tclientLb=12\tlocality=1\tweight=3.5\tactive=1"),
        Event::ProxyJoined {
            proxy: ProxyId(12),
            zone: ZoneId(1),
            request_rate: 3.5,
            has_previous_table: false
        }
    );
    assert_eq!(
        event("lost_stream\tclientLb=12"),
        Event::ProxyLeft(ProxyId(12))
    );
    assert_eq!(event("ring\thandle=31"), Event::Timer(31));
    assert_eq!(
        event("tenure\tactive=0\tmapId=5"),
        Event::SliceOwnership {
            table: TableId(5),
            granted: false
        }
    );
    assert_eq!(
        event("whisper\tfrom=1\tcontents=AQI="),
        Event::PeerMessage {
            from: 1,
            data: vec![1, 2]
        }
    );
    assert_eq!(
        event("whisper\tfrom=1\tcontents=-"),
        Event::PeerMessage {
            from: 1,
            data: vec![]
        }
    );
    let took = Micros(88_000);
    let receipt = Event::Acknowledged {
        proxy: ProxyId(3),
        sequence: 9,
        elapsed: took,
    };
    assert_eq!(event("receipt\tclientLb=3\tgen=9\tcostTimeMs=88"), receipt);
}

#[test]
fn list_rows_are_read() {
    assert_eq!(
        decode_message("discovery\tgen=3\thow=total\trows=2"),
        Ok(Message::EndpointListStart {
            kind: EndpointUpdateKind::Snapshot,
            entries: 2
        })
    );
    assert_eq!(
        decode_message("discovery\tgen=3\thow=lost"),
        Ok(Message::EndpointListStart {
            kind: EndpointUpdateKind::Unavailable,
            entries: 0
        })
    );
    let row = "row\tserver=44\tlocality=1\tfamilyType=2\tcluster=6\tlifecycle=terminating\tweight=2.5\tupSinceMs=70.5";
    let entry = Endpoint {
        server: ServerId(44),
        zone: ZoneId(1),
        machine_kind: 2,
        cell: 6,
        lifecycle: Lifecycle::Draining,
        weight: 2.5,
        started_at: Some(Micros(70_500)),
    };
    assert_eq!(decode_message(row), Ok(Message::EndpointListEntry(entry)));
}

#[test]
fn settings_are_read_and_missing_ones_read_as_nothing() {
    let line = r#"begin	nonce64=99	env={"classes":[{"aimMs":400,"hardLimitMs":1500.0,"worth":2,
        "effect":"idempotency_key","dedupScope":"zone","windowMs":6000}],"zones":["x","y"],"locality":1,
        "familyInfo":{"homeOnly":[true],"levelKind":"per_second","linesPerS":500,"messagesMost":"many"},
        "limits":{"probes":true},"peersTotal":3,"weights":"nominal"}"#
        .replace('\n', " ");
    let Ok(Message::StartInstance { seed: 99, settings }) = decode_message(&line) else {
        panic!("{:?}", decode_message(&line))
    };
    assert_eq!(settings.classes.len(), 1);
    assert_eq!(
        settings.classes[0].idempotency,
        Idempotency::Keyed(DeduplicationScope::Zone, Micros(6_000_000))
    );
    assert!(settings.classes[0].zone_local && settings.health_checks_allowed);
    assert_eq!(
        (settings.zones, settings.zone, settings.instances),
        (2, ZoneId(1), 3)
    );
    assert_eq!(
        (settings.admission_unit, settings.listed_weight),
        (
            AdmissionUnit::RequestsPerSecond,
            ListedWeight::RegisteredCapacity
        )
    );
    assert_eq!(
        (settings.channel_lines_per_second, settings.max_messages),
        (500.0, 0)
    );
}

#[test]
fn what_is_malformed_is_an_error() {
    for line in [
        "tally\tlocality=0\tserver=1\ttotal=-3\tbad=0\tcostTimeMs=0\tperiodLenMs=1",
        "tally\tlocality=0\tserver=1\ttotal=NaN\tbad=0\tcostTimeMs=0\tperiodLenMs=1",
        "joined\tclientLb=x\tlocality=0\tweight=1",
        "discovery\tgen=1\thow=sideways\trows=1",
        "whisper\tfrom=1\tcontents=%%%",
        "begin\tnonce64=1\tenv=[1]",
        "begin\tnonce64=1\tenv={broken",
        "row\tserver=1\tlifecycle=in_service\tweight=inf",
    ] {
        assert!(decode_message(line).is_err(), "{line}");
    }
    assert_eq!(
        decode_message("lost_stream"),
        Err(CodecError::MissingField(
            "lost_stream".to_string(),
            "clientLb"
        ))
    );
}

#[test]
fn actions_are_written() {
    let table = TableId(3);
    let classes = ClassSet::default().with(0).with(2);
    let cases = [
        (
            Action::SetWeight {
                table,
                server: ServerId(8),
                weight: 1.25,
            },
            "endpoint\tmapId=3\tserver=8\tweight=1.25",
        ),
        (Action::ClearTable(table), "wipe\tmapId=3"),
        (
            Action::AssignTable {
                proxy: ProxyId(6),
                table,
                classes,
            },
            "point\tclientLb=6\tmapId=3\tclassBits=5",
        ),
        (
            Action::SetSuspended {
                server: ServerId(8),
                suspended: true,
            },
            "suspend\tserver=8\tactive=1",
        ),
        (
            Action::SetAdmission {
                table: None,
                classes,
                level: 0.5,
                retry: Retry::IfNotExecuted,
            },
            "allow\tallowance=0.5\tclassBits=5\tmapId=65535\tsecondTry=1",
        ),
        (
            Action::RequestAcknowledgement {
                sequence: 4,
                all_proxies: false,
            },
            "ask_receipt\tgen=4\tactive=0",
        ),
        (Action::HealthCheck(ServerId(8)), "ping\tserver=8"),
        (Action::SubscribeEndpoints(true), "subscribe\tactive=1"),
        (Action::FetchEndpoints, "list_all"),
        (
            Action::SetTimer {
                id: 1,
                delay: Micros(1500),
            },
            "arm\thandle=1\tfromNowMs=1.5",
        ),
        (
            Action::SendToPeer {
                peer: None,
                data: vec![1, 2],
            },
            "notify\trecipient=all\tcontents=AQI=",
        ),
        (
            Action::Emit(DecisionEvent::ZonePartition {
                zone: ZoneId(2),
                partitioned: false,
                unanswered_share: 0.0,
            }),
            "write_log\twhat=zone 2 answers again",
        ),
    ];
    for (action, line) in cases {
        assert_eq!(encode_action(&action).as_deref(), Ok(line));
    }
    for weight in [f64::NAN, f64::INFINITY, -0.5] {
        assert!(encode_action(&Action::SetWeight {
            table,
            server: ServerId(8),
            weight
        })
        .is_err());
    }
}
