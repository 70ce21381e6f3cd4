//! Decoding and encoding of each line of the wire protocol.

use chutegrade_adapter::codec::{decode_message, encode_action, CodecError, Message};
use chutegrade_policy::{
    Action, AdmissionUnit, ClassSet, DecisionEvent, DeduplicationScope, Endpoint,
    EndpointUpdateKind, Event, HealthCheckOutcome, Idempotency, Lifecycle, ListedWeight,
    LoadReport, Micros, ProxyId, Retry, ServerId, TableId, ZoneId,
};

fn decode_event(line: &str) -> Event {
    match decode_message(line) {
        Ok(Message::Event(event)) => event,
        other => panic!("{line}: {other:?}"),
    }
}

#[test]
fn control_lines_are_decoded() {
    let cases = [
        (
            "frame\tframe=7\tatTimeMs=1250.5",
            Message::BatchStart {
                now: Micros(1_250_500),
                number: 7,
            },
        ),
        ("your_turn", Message::BatchEnd),
        ("at\tsupervisor=2", Message::SelectInstance(2)),
        ("teardown", Message::StopInstance),
        ("something_new\tx=1", Message::Unknown),
    ];
    for (line, message) in cases {
        assert_eq!(decode_message(line), Ok(message));
    }
}

#[test]
fn fields_are_decoded_in_any_order_and_unknown_ones_skipped() {
    let line =
        "tally\tserver=901\tlocality=2\tbad=3\ttotal=17\tperiodLenMs=900.0\tnovel=x\tcostTimeMs=61.5\t\
         healthInfo=queue:4,mood:9,util:0.5";
    let load = LoadReport {
        queued: Some(4.0),
        utilization: Some(0.5),
        ..LoadReport::default()
    };
    assert_eq!(
        decode_event(line),
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
        decode_event("health\tcostTimeMs=2.25\tserver=901\tending=econnreset"),
        Event::HealthChecked {
            server: ServerId(901),
            outcome: HealthCheckOutcome::Unreachable,
            elapsed: Micros(2250),
            load: LoadReport::default()
        }
    );
}

#[test]
fn events_of_proxies_are_decoded() {
    assert_eq!(
        decode_event("joined\tclientLb=12\tlocality=1\tweight=3.5\tactive=1"),
        Event::ProxyJoined {
            proxy: ProxyId(12),
            zone: ZoneId(1),
            request_rate: 3.5,
            has_previous_table: false
        }
    );
    assert_eq!(
        decode_event("lost_stream\tclientLb=12"),
        Event::ProxyLeft(ProxyId(12))
    );
    assert_eq!(
        decode_event("receipt\tclientLb=3\tgen=9\tcostTimeMs=88"),
        Event::Acknowledged {
            proxy: ProxyId(3),
            sequence: 9,
            elapsed: Micros(88_000),
        }
    );
}

#[test]
fn timers_slices_and_peer_messages_are_decoded() {
    let peer_message = |data| Event::PeerMessage { from: 1, data };
    assert_eq!(decode_event("ring\thandle=31"), Event::Timer(31));
    assert_eq!(
        decode_event("tenure\tactive=0\tmapId=5"),
        Event::SliceOwnership {
            table: TableId(5),
            granted: false
        }
    );
    assert_eq!(
        decode_event("whisper\tfrom=1\tcontents=AQI="),
        peer_message(vec![1, 2])
    );
    assert_eq!(
        decode_event("whisper\tfrom=1\tcontents=-"),
        peer_message(vec![])
    );
}

#[test]
fn endpoint_lists_are_decoded() {
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
fn settings_are_decoded_and_absent_ones_have_their_defaults() {
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
fn a_malformed_line_is_an_error() {
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
        Err(CodecError::MissingField {
            tag: "lost_stream".to_string(),
            key: "clientLb"
        })
    );
}

fn assert_encoded<const COUNT: usize>(cases: [(Action, &str); COUNT]) {
    for (action, line) in cases {
        assert_eq!(encode_action(&action).as_deref(), Ok(line));
    }
}

#[test]
fn actions_on_tables_are_encoded() {
    let table = TableId(3);
    let server = ServerId(8);
    let classes = ClassSet::default().with(0).with(2);
    let set_weight = Action::SetWeight {
        table,
        server,
        weight: 1.25,
    };
    let assign = Action::AssignTable {
        proxy: ProxyId(6),
        table,
        classes,
    };
    let suspend = Action::SetSuspended {
        server,
        suspended: true,
    };
    let admit = Action::SetAdmission {
        table: None,
        classes,
        level: 0.5,
        retry: Retry::IfNotExecuted,
    };
    assert_encoded([
        (set_weight, "endpoint\tmapId=3\tserver=8\tweight=1.25"),
        (Action::ClearTable(table), "wipe\tmapId=3"),
        (assign, "point\tclientLb=6\tmapId=3\tclassBits=5"),
        (suspend, "suspend\tserver=8\tactive=1"),
        (
            admit,
            "allow\tallowance=0.5\tclassBits=5\tmapId=65535\tsecondTry=1",
        ),
    ]);
}

#[test]
fn other_actions_are_encoded() {
    let request_acknowledgement = Action::RequestAcknowledgement {
        sequence: 4,
        all_proxies: false,
    };
    let set_timer = Action::SetTimer {
        id: 1,
        delay: Micros(1500),
    };
    let send_to_all = Action::SendToPeer {
        peer: None,
        data: vec![1, 2],
    };
    let zone_answers = DecisionEvent::ZonePartition {
        zone: ZoneId(2),
        partitioned: false,
        unanswered_share: 0.0,
    };
    assert_encoded([
        (request_acknowledgement, "ask_receipt\tgen=4\tactive=0"),
        (Action::HealthCheck(ServerId(8)), "ping\tserver=8"),
        (Action::SubscribeEndpoints(true), "subscribe\tactive=1"),
        (Action::FetchEndpoints, "list_all"),
        (set_timer, "arm\thandle=1\tfromNowMs=1.5"),
        (send_to_all, "notify\trecipient=all\tcontents=AQI="),
        (
            Action::Emit(zone_answers),
            "write_log\twhat=zone 2 reachable again",
        ),
    ]);
}

#[test]
fn a_weight_that_is_negative_or_not_finite_is_not_encoded() {
    for weight in [f64::NAN, f64::INFINITY, -0.5] {
        let action = Action::SetWeight {
            table: TableId(3),
            server: ServerId(8),
            weight,
        };
        assert!(encode_action(&action).is_err());
    }
}
