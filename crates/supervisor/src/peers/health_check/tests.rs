use chutegrade_emulators::{Peer, Scripted};
use chutegrade_engine::{
    DeploymentNames, EndpointUpdateKind, Engine, NamedEndpoint, Settings, StreamId,
};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;

const WITHIN: (Duration, Duration) = (Duration::from_secs(5), Duration::from_millis(300));

impl Servers {
    async fn ask(&self, name: &str) -> (HealthCheckOutcome, LoadReport) {
        let engine = Engine::new(Settings::default(), 0, DeploymentNames::default());
        self.asked(&Hub::new(engine), name, &mut Instant::now())
            .await
    }
}

const WELL: &str = "HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\nTEXT queue=3";

/// A server that gives these answers on each connection, then closes it at the next request; the ends of so many
/// probes.
fn ends(answers: &'static [&'static str], probes: usize) -> Vec<(HealthCheckOutcome, LoadReport)> {
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
        let servers = Servers::new(true, WITHIN, Duration::from_secs(60));
        let mut seen = Vec::new();
        for _ in 0..probes {
            seen.push(servers.ask(&address).await);
        }
        seen
    })
}

/// Danger: a connection closed between two probes would be held against a server that is well.
#[test]
fn a_kept_connection_that_closes_is_no_failure() {
    let load = LoadReport {
        queued: Some(3.0),
        ..LoadReport::default()
    };
    assert_eq!(
        ends(&[WELL], 4),
        vec![(HealthCheckOutcome::Passed, load); 4]
    );
    assert_eq!(
        ends(&[WELL, WELL, WELL], 5),
        vec![(HealthCheckOutcome::Passed, load); 5]
    );
}

#[test]
fn answers_become_ends() {
    let of = |answer: &'static [&'static str]| ends(answer, 1)[0].0;
    assert_eq!(
        of(&["HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n"]),
        HealthCheckOutcome::Rejected
    );
    assert_eq!(
        of(&["HTTP/1.1 500 Oh\r\ncontent-length: 0\r\n\r\n"]),
        HealthCheckOutcome::Error
    );
    assert_eq!(of(&["TEXT queue=3\r\n\r\n"]), HealthCheckOutcome::Error);
    assert_eq!(
        of(&["HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\nTEXT"]),
        HealthCheckOutcome::TimedOut
    );
    assert_eq!(of(&[""]), HealthCheckOutcome::TimedOut);
    assert_eq!(of(&[]), HealthCheckOutcome::Unreachable);
}

/// How a probe ends whose answer breaks off after so many bytes, on a connection of its own.
fn end_of_an_answer_cut_after(bytes: usize) -> HealthCheckOutcome {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let script = Scripted::start().await;
        let address = script.address.to_string();
        tokio::task::spawn_local(async move {
            let mut peer = script.asked_for("/-/load").await;
            peer.raw(&WELL.as_bytes()[..bytes]).await;
        });
        let servers = Servers::new(true, WITHIN, Duration::from_secs(60));
        servers.ask(&address).await.0
    })
}

/// Danger: a server that dies within its answer would pass for one that is well.
#[test]
fn an_answer_that_breaks_off_at_any_point_is_no_good_one() {
    for bytes in 0..WELL.len() {
        let end = end_of_an_answer_cut_after(bytes);
        assert!(
            matches!(
                end,
                HealthCheckOutcome::Unreachable | HealthCheckOutcome::Error
            ),
            "{end:?} after {bytes} bytes"
        );
    }
    assert_eq!(
        end_of_an_answer_cut_after(WELL.len()),
        HealthCheckOutcome::Passed
    );
}

/// Danger: over months of replaced servers, the addresses of those that are gone add up.
#[test]
fn servers_that_are_gone_leave_nothing_behind() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let servers = Servers::new(true, WITHIN, Duration::from_secs(60));
        let gone = |port: u16| {
            (
                SocketAddr::from(([127, 0, 0, 1], port)),
                Instant::now() - 2 * TRIED_WITHIN,
            )
        };
        servers.closed.borrow_mut().extend((1..=20).map(gone));
        assert_eq!(
            servers.ask("127.0.0.1:21").await.0,
            HealthCheckOutcome::Unreachable
        );
        assert_eq!(
            servers
                .closed
                .borrow()
                .keys()
                .map(SocketAddr::port)
                .collect::<Vec<_>>(),
            [21]
        );
    });
}

#[test]
fn an_address_that_is_none_says_nothing_of_the_server() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let servers = Servers::new(false, WITHIN, Duration::from_secs(60));
    assert_eq!(
        runtime.block_on(servers.ask("nowhere")),
        (HealthCheckOutcome::Inconclusive, LoadReport::default())
    );
}

/// Two servers' worth of connections at one address: what the first probe leaves is kept, and the second one meets what
/// `broken` does on it, then a good answer on a new one. How the second ended, how long it took by its own count, and since
/// it began.
fn after_a_broken_connection(
    broken: impl AsyncFnOnce(&mut Peer) + 'static,
) -> ((HealthCheckOutcome, LoadReport), Duration, Duration) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let script = Scripted::start().await;
        let address = script.address.to_string();
        tokio::task::spawn_local(async move {
            let mut kept = script.asked_for("/-/load").await;
            kept.answer(200, "TEXT queue=1").await;
            assert!(kept.request().await.is_some());
            broken(&mut kept).await;
            kept.reset();
            script
                .asked_for("/-/load")
                .await
                .answer(200, "TEXT queue=3")
                .await;
        });
        let engine = Engine::new(Settings::default(), 0, DeploymentNames::default());
        let (hub, servers) = (
            Hub::new(engine),
            Servers::new(true, WITHIN, Duration::from_secs(60)),
        );
        assert_eq!(
            servers.asked(&hub, &address, &mut Instant::now()).await.0,
            HealthCheckOutcome::Passed
        );
        let begun = Instant::now();
        let mut sent = begun;
        let end = servers.asked(&hub, &address, &mut sent).await;
        (end, sent.elapsed(), begun.elapsed())
    })
}

/// Danger: half an answer on a connection that breaks would pass for a bad answer of a server that is well.
#[test]
fn half_an_answer_on_a_kept_connection_is_no_answer() {
    let half = async |peer: &mut Peer| {
        peer.raw(b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\nTEXT qu")
            .await;
    };
    let load = LoadReport {
        queued: Some(3.0),
        ..LoadReport::default()
    };
    assert_eq!(
        after_a_broken_connection(half).0,
        (HealthCheckOutcome::Passed, load)
    );
    assert_eq!(
        after_a_broken_connection(async |_: &mut Peer| {}).0,
        (HealthCheckOutcome::Passed, load)
    );
}

/// Danger: with the time that a broken connection took, a quick server would pass for a slow one.
#[test]
fn the_time_of_a_second_attempt_is_its_own() {
    let held = Duration::from_millis(100);
    let (end, took, all) =
        after_a_broken_connection(async move |_: &mut Peer| tokio::time::sleep(held).await);
    assert_eq!(end.0, HealthCheckOutcome::Passed);
    assert!(took + held <= all, "{took:?} of {all:?}");
}

/// Danger: a time for probes that suits one customer's aims takes another's servers for dead, or waits too long for them.
#[test]
fn an_answer_is_awaited_by_the_shortest_aim() {
    let of = |aims: &[i64]| {
        let class = |aim: &i64| json!({"name": "c", "aimMs": aim});
        let settings = json!({"classes": aims.iter().map(class).collect::<Vec<_>>()});
        answer_most(
            &chutegrade_settings::from_json(&settings)
                .expect("settings")
                .classes,
        )
        .as_millis()
    };
    assert_eq!(
        [
            of(&[1500, 600]),
            of(&[1000]),
            of(&[0, 500]),
            of(&[9000]),
            of(&[])
        ],
        [300, 500, 250, 1000, 1000]
    );
}

/// So many servers without an address that can be dialled, one joined proxy, and the probes that the first tick orders.
fn ordered_probes(servers: usize) -> (Rc<Hub>, Vec<HealthCheck>) {
    let settings = json!({"classes": [{"name": "lookup", "aimMs": 600}], "zones": ["a"],
        "limits": {"probes": true}, "familyInfo": {"proxies": 1, "backlog": 9000, "linesPerS": 6000}});
    let settings = chutegrade_settings::from_json(&settings).expect("settings");
    let names = |name: &str| vec![name.to_string()];
    let names = DeploymentNames {
        zones: names("a"),
        classes: names("lookup"),
        machine_kinds: names("m"),
    };
    let mut engine = Engine::new(settings, 0, names);
    let listed = |server: usize| NamedEndpoint {
        name: format!("s{server}"),
        address: "nowhere".to_string(),
        zone: "a".to_string(),
        machine_kind: "m".to_string(),
        weight: 1.0,
        ..NamedEndpoint::default()
    };
    let list = Report::EndpointList(
        EndpointUpdateKind::Snapshot,
        (0..servers).map(listed).collect(),
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
    let hub = Hub::new(engine);
    let now = hub.clock.now();
    hub.engine().tick(now);
    let probes: Vec<HealthCheck> =
        std::iter::from_fn(|| hub.engine().take_health_check()).collect();
    assert_eq!(probes.len(), servers);
    (hub, probes)
}

fn paused_runtime() -> tokio::runtime::Runtime {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    runtime
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime")
}

/// Lets every task run that is due now, and a length of the runtime's paused time pass.
async fn pass(length: Duration) {
    tokio::time::advance(length).await;
    for _ in 0..1000 {
        tokio::task::yield_now().await;
    }
}

/// Seen on a busy machine: 120 probes sent at once waited for each other in this process, the whole fleet passed for saturated,
/// and two thirds of its requests were refused.
#[test]
fn the_probes_of_a_tick_are_spread_over_the_time_they_are_given() {
    let (hub, probes) = ordered_probes(100);
    tokio::task::LocalSet::new().block_on(&paused_runtime(), async {
        let servers = Servers::new(true, WITHIN, Duration::from_secs(60));
        servers.probe_spread(&hub, probes, Duration::from_millis(200));
        pass(Duration::ZERO).await;
        for answered in [0, 25, 50, 75] {
            let waiting = servers.under_way.get();
            assert!(
                (98 - answered..=100 - answered).contains(&waiting),
                "{waiting} wait, {answered} had time"
            );
            pass(Duration::from_millis(50)).await;
        }
        pass(Duration::from_millis(2)).await;
        assert_eq!(
            servers.under_way.get(),
            0,
            "all were sent within their time"
        );
        assert_eq!(hub.take_dropped().0, 0, "each result was reported");
    });
}

/// Danger: a probe that is still waiting would be sent after SIGTERM, and cost its server work for nothing.
#[test]
fn probes_that_wait_are_not_sent_once_the_supervisor_stops() {
    let (hub, mut probes) = ordered_probes(100);
    tokio::task::LocalSet::new().block_on(&paused_runtime(), async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        listener
            .set_nonblocking(true)
            .expect("a listener that does not wait");
        let address = listener.local_addr().expect("an address").to_string();
        let servers = Servers::new(true, WITHIN, Duration::from_secs(60));
        probes
            .iter_mut()
            .for_each(|probe| probe.address.clone_from(&address));
        servers.probe_spread(&hub, probes, Duration::from_millis(200));
        hub.stopping.send_replace(true);
        pass(Duration::from_millis(300)).await;
        assert_eq!(servers.under_way.get(), 0, "none waits any more");
        let dialled = listener.accept().map_err(|fault| fault.kind());
        assert_eq!(
            dialled.err(),
            Some(std::io::ErrorKind::WouldBlock),
            "nobody dialled"
        );
    });
}
