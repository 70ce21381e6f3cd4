//! A deployment of the maximum size.

use super::*;

/// Number of servers, and of proxies, of the largest deployment.
const FLEET_SIZE: u32 = 1024;

/// Time between two ticks.
const TICK: Micros = Micros(100_000);

/// Number of ticks of the test, which take ten seconds of simulated time.
const TICKS: u32 = 100;

/// Minimum mean number of health checks for each server during the test; one per second is the regular rate.
const MIN_CHECKS_PER_SERVER: u32 = 8;

/// Creates the largest deployment with all its proxies joined.
fn largest_deployment() -> Engine {
    let settings = Settings {
        instances: FLEET_SIZE as usize,
        proxies: FLEET_SIZE as usize,
        channel_backlog: 60_000.0,
        channel_lines_per_second: 9_000.0,
        drain_grace: Micros(2_000_000),
        ..settings(CLASSES)
    };
    let mut engine = Engine::new(settings, 7, deployment_names(CLASSES));
    let endpoints = (0..FLEET_SIZE).map(listed_endpoint).collect();
    report_endpoints(&mut engine, EndpointUpdateKind::CachedSnapshot, endpoints);
    engine.tick(Micros(0));
    for proxy in 0..FLEET_SIZE {
        assert_eq!(
            engine.report(stream_opened(proxy.into(), proxy, true)),
            Ok(())
        );
    }
    engine
}

/// Applies all pending orders and acknowledges them.
fn apply_orders(engine: &mut Engine, proxies: &mut BTreeMap<StreamId, ProxyState>) {
    for stream in engine.take_streams_with_orders() {
        let order = engine.take_order(stream).expect("an order");
        proxies.entry(stream).or_default().apply(&order, CLASSES);
        acknowledge(engine, stream, &order, TICK);
    }
}

/// Answers all due health checks with success; returns their number.
fn pass_health_checks(engine: &mut Engine) -> u32 {
    let mut passed = 0;
    while let Some(check) = engine.take_health_check() {
        passed += 1;
        report_health_check(engine, check, HealthCheckOutcome::Passed, Micros(5000));
    }
    passed
}

/// Each proxy gets tables for all classes, and each server is in some table.
#[test]
fn a_thousand_servers_and_a_thousand_proxies_are_served() {
    let mut engine = largest_deployment();
    let mut proxies = BTreeMap::new();
    let mut checks = 0;
    let mut now = Micros(0);
    for _ in 0..TICKS {
        now = now + TICK;
        engine.tick(now);
        apply_orders(&mut engine, &mut proxies);
        checks += pass_health_checks(&mut engine);
    }
    assert_eq!(proxies.len(), FLEET_SIZE as usize);
    let has_tables =
        |proxy: &ProxyState| (0..CLASSES).all(|class| !proxy.eligible(class).is_empty());
    assert!(proxies.values().all(has_tables));
    let servers: BTreeSet<String> = proxies
        .values()
        .flat_map(|proxy| proxy.eligible(0).into_keys())
        .collect();
    assert_eq!(
        servers.len(),
        FLEET_SIZE as usize,
        "each server is in some table"
    );
    assert!(
        checks >= MIN_CHECKS_PER_SERVER * FLEET_SIZE,
        "each server is checked about once per second: {checks}"
    );
    let snapshot = engine.server_snapshot();
    assert_eq!(snapshot.servers.len(), FLEET_SIZE as usize);
    assert_eq!(
        engine.report(stream_opened(FLEET_SIZE.into(), FLEET_SIZE, true)),
        Err(ReportError::UnknownProxy(FLEET_SIZE))
    );
}
