//! Acceptance and rejection of reports.

use super::*;

fn outcomes(zone: &str, server: &str) -> Report {
    Report::ServerOutcomes {
        zone: zone.into(),
        server: server.into(),
        attempts: 1.0,
        failed: 0.0,
        mean_latency_ms: 1.0,
        period: Micros(1),
        load: LoadReport::default(),
    }
}

#[test]
fn a_report_with_an_unknown_name_is_dropped() {
    let mut engine = engine_with_servers();
    let rejected = [
        (
            outcomes("z0", "s99"),
            ReportError::UnknownServer("s99".into()),
        ),
        (outcomes("z9", "s0"), ReportError::UnknownZone("z9".into())),
        (stream_opened(1, 4, true), ReportError::UnknownProxy(4)),
        (demand(0, "c0", 1.0), ReportError::UnknownProxy(0)),
        (demand(0, "c7", 1.0), ReportError::UnknownClass("c7".into())),
        (Report::StreamLost(StreamId(5)), ReportError::StreamReplaced),
    ];
    for (report, error) in rejected {
        assert_eq!(engine.report(report), Err(error));
    }
    assert!(engine.events.is_empty());
    assert_eq!(engine.report(stream_opened(1, 0, true)), Ok(()));
    assert_eq!(engine.report(demand(0, "c0", 1.0)), Ok(()));
    assert_eq!(engine.report(outcomes("z0", "s0")), Ok(()));
}

#[test]
fn queued_reports_are_bounded_and_displace_no_other_events() {
    let mut engine = engine_with_servers();
    assert_eq!(engine.report(stream_opened(1, 0, true)), Ok(()));
    let report = demand(0, "c0", 1.0);
    let accepted = (0..2 * MAX_QUEUED_EVENTS)
        .filter(|_| engine.report(report.clone()).is_ok())
        .count();
    assert!(accepted < MAX_QUEUED_EVENTS);
    assert_eq!(engine.report(report.clone()), Err(ReportError::QueueFull));
    assert_eq!(engine.report(stream_opened(2, 1, true)), Ok(()));
    engine.tick(Micros(10_000));
    assert!(engine.take_order(StreamId(2)).is_some());
    assert_eq!(engine.report(report), Ok(()));
}

/// Such a zone has servers, but the settings do not contain it.
#[test]
fn a_zone_that_only_the_endpoint_list_contains_has_no_proxies() {
    let mut engine = engine_with_servers();
    let endpoint = NamedEndpoint {
        zone: "unconfigured".into(),
        ..listed_endpoint(9)
    };
    report_endpoints(&mut engine, EndpointUpdateKind::Delta, vec![endpoint]);
    let opened = Report::StreamOpened {
        stream: StreamId(1),
        proxy: 0,
        zone: "unconfigured".into(),
        request_rate: 1.0,
        has_no_table: true,
    };
    assert_eq!(
        engine.report(opened),
        Err(ReportError::UnknownZone("unconfigured".into()))
    );
}
