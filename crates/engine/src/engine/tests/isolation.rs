//! Engines in one process share no state.

use super::*;

const PROXIES: u32 = 2;
const SERVERS: u32 = 6;

/// Seconds between two streams of a proxy.
const STREAM_PERIOD: u32 = 9;

const TICK: Micros = Micros(250_000);
const TICKS_PER_SECOND: usize = 4;

/// A deployment under synthetic traffic, with a transcript of all its orders and health checks.
struct Deployment {
    engine: Engine,
    now: Micros,
    transcript: Vec<String>,
    class: String,
    zone: String,
}

impl Deployment {
    fn new(prefix: &str, settings: Settings) -> Self {
        let numbered = |kind: &str, count: usize| numbered_names(&format!("{prefix}{kind}"), count);
        let names = DeploymentNames {
            zones: numbered("z", settings.zones),
            classes: numbered("c", settings.classes.len()),
            machine_kinds: numbered("k", 2),
        };
        let class = names.classes[0].clone();
        let zone = names.zones[0].clone();
        let mut engine = Engine::new(settings, 7, names);
        let endpoints = (0..SERVERS).map(|server| NamedEndpoint {
            zone: zone.clone(),
            ..listed_endpoint(server)
        });
        report_endpoints(
            &mut engine,
            EndpointUpdateKind::CachedSnapshot,
            endpoints.collect(),
        );
        Deployment {
            engine,
            now: Micros(0),
            transcript: Vec::new(),
            class,
            zone,
        }
    }

    fn run_second(&mut self, second: u32) {
        for proxy in 0..PROXIES {
            self.report_proxy(second, proxy);
        }
        for server in 0..SERVERS {
            self.report_outcomes(second, server);
        }
        for _ in 0..TICKS_PER_SECOND {
            self.now = self.now + TICK;
            self.engine.tick(self.now);
            self.acknowledge_orders();
            self.pass_health_checks();
        }
    }

    fn report_proxy(&mut self, second: u32, proxy: u32) {
        if second % STREAM_PERIOD == proxy {
            let opened = Report::StreamOpened {
                stream: StreamId(u64::from(10 * second + proxy)),
                proxy,
                zone: self.zone.clone(),
                request_rate: 10.0,
                has_no_table: second < STREAM_PERIOD,
            };
            assert_eq!(self.engine.report(opened), Ok(()));
        }
        // Rejected until the proxy has joined.
        let _ = self.engine.report(demand(proxy, &self.class, 30.0));
    }

    fn report_outcomes(&mut self, second: u32, server: u32) {
        let outcomes = Report::ServerOutcomes {
            zone: self.zone.clone(),
            server: format!("s{server}"),
            attempts: 10.0,
            failed: f64::from(second * server % 7),
            mean_latency_ms: 50.0,
            period: Micros(1_000_000),
            load: LoadReport {
                queued: Some(f64::from(second % 5)),
                ..LoadReport::default()
            },
        };
        assert_eq!(self.engine.report(outcomes), Ok(()));
    }

    fn acknowledge_orders(&mut self) {
        for stream in self.engine.take_streams_with_orders() {
            let order = self.engine.take_order(stream).expect("an order");
            self.transcript.push(format!("{stream:?} {order:?}"));
            if order.acknowledge.is_some() {
                acknowledge(&mut self.engine, stream, &order, Micros(1000));
            }
        }
    }

    fn pass_health_checks(&mut self) {
        while let Some(check) = self.engine.take_health_check() {
            self.transcript.push(format!("{check:?}"));
            report_health_check(
                &mut self.engine,
                check,
                HealthCheckOutcome::Passed,
                Micros(3000),
            );
        }
    }
}

fn first_deployment() -> Deployment {
    Deployment::new("a", settings(CLASSES))
}

/// A deployment with different settings.
fn second_deployment() -> Deployment {
    let class = Class {
        idempotency: Idempotency::NotIdempotent,
        zone_local: true,
        ..settings(1).classes[0]
    };
    let settings = Settings {
        classes: vec![class; 2],
        zones: 1,
        admission_unit: AdmissionUnit::RequestsPerSecond,
        message_overhead: 9.0,
        slow_start_period: Micros(3_000_000),
        ..settings(2)
    };
    Deployment::new("b", settings)
}

fn run_alone(mut deployment: Deployment) -> Vec<String> {
    for second in 0..40 {
        deployment.run_second(second);
    }
    deployment.transcript
}

/// The settings and inputs of one engine must not affect another engine.
#[test]
fn two_engines_in_one_process_are_independent() {
    let mut first = first_deployment();
    let mut second = second_deployment();
    for number in 0..40 {
        first.run_second(number);
        second.run_second(number);
    }
    assert!(first.transcript.len() > 100);
    assert!(first.transcript != second.transcript);
    assert_eq!(first.transcript, run_alone(first_deployment()));
    assert_eq!(second.transcript, run_alone(second_deployment()));
}
