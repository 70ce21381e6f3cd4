use chutegrade_emulators::{Peer, ScriptedListener};
use chutegrade_engine::{
    DeploymentNames, EndpointUpdateKind, Engine, NamedEndpoint, Settings, StreamId,
};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;
use crate::shared::clock::Clock;

/// Creates a checker that reports to this engine and requests load reports.
fn checker_for(engine: EngineHandle, shutdown: Shutdown) -> Rc<HealthChecker> {
    let config = HealthCheckConfig {
        uses_load_reports: true,
        connect_timeout: Duration::from_secs(5),
        response_timeout: Duration::from_millis(300),
        idle_timeout: Duration::from_secs(60),
    };
    HealthChecker::new(engine, shutdown, config)
}

/// Creates a checker that reports to an engine without settings.
pub(super) fn checker() -> Rc<HealthChecker> {
    let engine = Engine::new(Settings::default(), 0, DeploymentNames::default());
    checker_for(EngineHandle::new(engine), Shutdown::new())
}

impl HealthChecker {
    /// Checks the server at an address, and returns the result without its duration.
    pub(super) async fn outcome_at(&self, address: &str) -> (HealthCheckOutcome, LoadReport) {
        let result = self.check(address).await;
        (result.outcome, result.load)
    }
}

const GOOD_ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\nTEXT queue=3";

/// Returns the results of consecutive checks of a server that sends these answers on each connection, and closes it at the
/// next request.
fn results(
    answers: &'static [&'static str],
    checks: usize,
) -> Vec<(HealthCheckOutcome, LoadReport)> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        tokio::task::spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut request = [0; 4096];
                for answer in answers {
                    let _ = stream.read(&mut request).await;
                    let _ = stream.write_all(answer.as_bytes()).await;
                }
                let _ = stream.read(&mut request).await;
            }
        });
        let checker = checker();
        let mut results = Vec::new();
        for _ in 0..checks {
            results.push(checker.outcome_at(&address).await);
        }
        results
    })
}

/// A server may close an idle connection between two health checks, which must not count as a failure.
#[test]
fn an_idle_connection_that_closes_does_not_fail_the_check() {
    let load = LoadReport {
        queued: Some(3.0),
        ..LoadReport::default()
    };
    assert_eq!(
        results(&[GOOD_ANSWER], 4),
        vec![(HealthCheckOutcome::Passed, load); 4]
    );
    assert_eq!(
        results(&[GOOD_ANSWER, GOOD_ANSWER, GOOD_ANSWER], 5),
        vec![(HealthCheckOutcome::Passed, load); 5]
    );
}

#[test]
fn answers_are_mapped_to_outcomes() {
    let outcome_of = |answers: &'static [&'static str]| results(answers, 1)[0].0;
    assert_eq!(
        outcome_of(&["HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n"]),
        HealthCheckOutcome::Rejected
    );
    assert_eq!(
        outcome_of(&["HTTP/1.1 500 Oh\r\ncontent-length: 0\r\n\r\n"]),
        HealthCheckOutcome::Error
    );
    assert_eq!(
        outcome_of(&["TEXT queue=3\r\n\r\n"]),
        HealthCheckOutcome::Error
    );
    assert_eq!(
        outcome_of(&["HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\nTEXT"]),
        HealthCheckOutcome::TimedOut
    );
    assert_eq!(outcome_of(&[""]), HealthCheckOutcome::TimedOut);
    assert_eq!(outcome_of(&[]), HealthCheckOutcome::Unreachable);
}

/// Returns the outcome of a check on a new connection that ends after the first `bytes` bytes of the answer.
fn outcome_of_an_answer_truncated_after(bytes: usize) -> HealthCheckOutcome {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let script = ScriptedListener::start().await;
        let address = script.address.to_string();
        tokio::task::spawn_local(async move {
            let mut peer = script.expect_request("/-/load").await;
            peer.send_bytes(&GOOD_ANSWER.as_bytes()[..bytes]).await;
        });
        checker().outcome_at(&address).await.0
    })
}

/// A server that crashes while it answers must not be considered healthy.
#[test]
fn a_truncated_answer_never_passes() {
    for bytes in 0..GOOD_ANSWER.len() {
        let outcome = outcome_of_an_answer_truncated_after(bytes);
        assert!(
            matches!(
                outcome,
                HealthCheckOutcome::Unreachable | HealthCheckOutcome::Error
            ),
            "{outcome:?} after {bytes} bytes"
        );
    }
    assert_eq!(
        outcome_of_an_answer_truncated_after(GOOD_ANSWER.len()),
        HealthCheckOutcome::Passed
    );
}

#[test]
fn an_invalid_address_is_inconclusive() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    assert_eq!(
        runtime.block_on(checker().outcome_at("nowhere")),
        (HealthCheckOutcome::Inconclusive, LoadReport::default())
    );
}

/// The second of two checks of one server.
struct SecondCheck {
    result: (HealthCheckOutcome, LoadReport),
    /// How long its last attempt took.
    elapsed: Duration,
    /// How long it took in total.
    total: Duration,
}

/// Checks a server twice. The first check leaves an idle connection. On it, the second check is subject to
/// `break_connection` and a reset; on a new connection, it receives a valid answer.
fn check_after_a_broken_connection(
    break_connection: impl AsyncFnOnce(&mut Peer) + 'static,
) -> SecondCheck {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let script = ScriptedListener::start().await;
        let address = script.address.to_string();
        tokio::task::spawn_local(async move {
            let mut idle = script.expect_request("/-/load").await;
            idle.respond(200, "TEXT queue=1").await;
            assert!(idle.next_request_path().await.is_some());
            break_connection(&mut idle).await;
            idle.reset();
            script
                .expect_request("/-/load")
                .await
                .respond(200, "TEXT queue=3")
                .await;
        });
        let checker = checker();
        assert_eq!(
            checker.check(&address).await.outcome,
            HealthCheckOutcome::Passed
        );
        let started_at = Instant::now();
        let second = checker.check(&address).await;
        SecondCheck {
            result: (second.outcome, second.load),
            elapsed: second.sent_at.elapsed(),
            total: started_at.elapsed(),
        }
    })
}

/// A partial answer on a connection that breaks must not count as an invalid answer of a healthy server.
#[test]
fn a_partial_answer_on_an_idle_connection_is_retried_on_a_new_one() {
    let answer_partially = async |peer: &mut Peer| {
        peer.send_bytes(b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\nTEXT qu")
            .await;
    };
    let load = LoadReport {
        queued: Some(3.0),
        ..LoadReport::default()
    };
    assert_eq!(
        check_after_a_broken_connection(answer_partially).result,
        (HealthCheckOutcome::Passed, load)
    );
    assert_eq!(
        check_after_a_broken_connection(async |_: &mut Peer| {}).result,
        (HealthCheckOutcome::Passed, load)
    );
}

/// If the time spent on a broken connection counted, a fast server would seem slow.
#[test]
fn a_second_attempt_counts_only_its_own_time() {
    let delay = Duration::from_millis(100);
    let SecondCheck {
        result,
        elapsed,
        total,
    } = check_after_a_broken_connection(async move |_: &mut Peer| tokio::time::sleep(delay).await);
    assert_eq!(result.0, HealthCheckOutcome::Passed);
    assert!(elapsed + delay <= total, "{elapsed:?} of {total:?}");
}

/// A fixed timeout that suits one deployment would fail the healthy servers of another, or wait too long.
#[test]
fn the_response_timeout_follows_the_shortest_latency_objective() {
    let timeout_ms = |objectives_ms: &[i64]| {
        let class = |objective_ms: &i64| json!({"name": "c", "aimMs": objective_ms});
        let settings = json!({"classes": objectives_ms.iter().map(class).collect::<Vec<_>>()});
        response_timeout(
            &chutegrade_settings::from_json(&settings)
                .expect("settings")
                .classes,
        )
        .as_millis()
    };
    assert_eq!(
        [
            timeout_ms(&[1500, 600]),
            timeout_ms(&[1000]),
            timeout_ms(&[0, 500]),
            timeout_ms(&[9000]),
            timeout_ms(&[])
        ],
        [300, 500, 250, 1000, 1000]
    );
}

/// Returns an engine with one connected proxy and `servers` servers without a valid address, and the health checks that its
/// first tick requests.
fn engine_with_due_checks(servers: usize) -> (EngineHandle, Vec<HealthCheck>) {
    let settings = json!({"classes": [{"name": "lookup", "aimMs": 600}], "zones": ["a"],
        "limits": {"probes": true}, "familyInfo": {"proxies": 1, "backlog": 9000, "linesPerS": 6000}});
    let settings = chutegrade_settings::from_json(&settings).expect("settings");
    let names = DeploymentNames {
        zones: vec!["a".to_string()],
        classes: vec!["lookup".to_string()],
        machine_kinds: vec!["m".to_string()],
    };
    let mut engine = Engine::new(settings, 0, names);
    let endpoint = |server: usize| NamedEndpoint {
        name: format!("s{server}"),
        address: "nowhere".to_string(),
        zone: "a".to_string(),
        machine_kind: "m".to_string(),
        weight: 1.0,
        ..NamedEndpoint::default()
    };
    let list = Report::EndpointList(
        EndpointUpdateKind::Snapshot,
        (0..servers).map(endpoint).collect(),
    );
    assert_eq!(engine.report(list), Ok(()));
    let joined = Report::StreamOpened {
        stream: StreamId(1),
        proxy: 0,
        zone: "a".into(),
        request_rate: 5.0,
        has_no_table: true,
    };
    assert_eq!(engine.report(joined), Ok(()));
    engine.tick(Clock::start().now());
    let checks: Vec<HealthCheck> = std::iter::from_fn(|| engine.take_health_check()).collect();
    assert_eq!(checks.len(), servers);
    (EngineHandle::new(engine), checks)
}

fn paused_runtime() -> tokio::runtime::Runtime {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    runtime
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime")
}

/// Advances the runtime's paused time, and runs all tasks that become due.
async fn advance(duration: Duration) {
    tokio::time::advance(duration).await;
    for _ in 0..1000 {
        tokio::task::yield_now().await;
    }
}

/// Responses to health checks that are sent at once wait for each other in this process, and fast servers would seem slow.
#[test]
fn the_checks_of_a_tick_are_spread_over_the_given_time() {
    let (engine, checks) = engine_with_due_checks(100);
    tokio::task::LocalSet::new().block_on(&paused_runtime(), async {
        let checker = checker_for(engine.clone(), Shutdown::new());
        checker.schedule(checks, Duration::from_millis(200));
        advance(Duration::ZERO).await;
        for answered in [0, 25, 50, 75] {
            let waiting = checker.pending.get();
            assert!(
                (98 - answered..=100 - answered).contains(&waiting),
                "{waiting} are pending after {answered} were due"
            );
            advance(Duration::from_millis(50)).await;
        }
        advance(Duration::from_millis(2)).await;
        assert_eq!(checker.pending.get(), 0, "all were sent within their time");
        assert_eq!(engine.take_dropped().count, 0, "each result was reported");
    });
}

/// The result of a health check that is sent after SIGTERM would not be used.
#[test]
fn pending_checks_are_not_sent_once_the_supervisor_stops() {
    let (engine, mut checks) = engine_with_due_checks(100);
    tokio::task::LocalSet::new().block_on(&paused_runtime(), async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        listener
            .set_nonblocking(true)
            .expect("a listener that does not wait");
        let address = listener.local_addr().expect("an address").to_string();
        let shutdown = Shutdown::new();
        let checker = checker_for(engine, shutdown.clone());
        for check in &mut checks {
            check.address.clone_from(&address);
        }
        checker.schedule(checks, Duration::from_millis(200));
        shutdown.request();
        advance(Duration::from_millis(300)).await;
        assert_eq!(checker.pending.get(), 0, "no check is pending");
        let accepted = listener.accept().map_err(|error| error.kind());
        assert_eq!(
            accepted.err(),
            Some(std::io::ErrorKind::WouldBlock),
            "no connection was opened"
        );
    });
}
