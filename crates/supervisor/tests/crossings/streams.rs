//! Streams of a proxy that race with orders, acknowledgements and one another.

use std::time::{Duration, Instant};

use chutegrade_emulators::{config, until, wait_for, Peer};
use serde_json::json;
use tokio::time::{sleep, timeout};

use crate::common::{fleet, has_all, joined, program, serving};
use crate::{applies_picks, next_line, sequence_number};

/// Slightly more than twice the idle timeout of a stream.
const TWO_IDLE_TIMEOUTS: Duration = Duration::from_secs(11);

/// A proxy that reports demand but applies no orders would otherwise keep its old tables and removed servers forever.
#[tokio::test]
async fn demand_reports_do_not_replace_acknowledgements() {
    let (_discovery, _servers, supervisor) = serving().await;
    let mut proxy = joined(&supervisor, 1).await;
    let mut stalled = Peer::connect(supervisor.address).await;
    stalled.send("hello id=0 site=a rps=20.0 new=0").await;
    let report_until_closed = async {
        while supervisor.count_log_lines(&["0@a", "reason=silent", "no acknowledgement"]) == 0 {
            stalled
                .send_bytes(b"demand id=0 lane=lookup count=4 fail=0 over=200.0\r\n")
                .await;
            proxy.report_demand().await;
            sleep(Duration::from_millis(100)).await;
        }
    };
    wait_for(
        "the end of a stream without acknowledgements",
        report_until_closed,
    )
    .await;
    assert_eq!(
        supervisor.count_log_lines(&["1@a", "connection ended"]),
        0,
        "one that acknowledges stays"
    );
}

/// The acknowledgement of an older order must not count for the newest one, which is never acknowledged.
#[tokio::test]
async fn acknowledging_an_older_order_does_not_acknowledge_a_newer_one() {
    let (discovery, servers, supervisor) = serving().await;
    let mut proxy_peer = Peer::connect(supervisor.address).await;
    proxy_peer.send("hello id=0 site=a rps=1.0 new=1").await;
    let first = next_line(&mut proxy_peer).await;
    discovery.set("s-2", servers[1].address, "draining");
    let mut second = next_line(&mut proxy_peer).await;
    while !second.contains("drop=s-2") {
        second = next_line(&mut proxy_peer).await;
    }
    assert_ne!(sequence_number(&first), sequence_number(&second));
    proxy_peer
        .send(&format!("ack id=0 seq={} ms=1.0", sequence_number(&first)))
        .await;
    proxy_peer.wait_for_close().await;
    supervisor
        .expect_log_lines(1, &["0@a", "reason=silent", "no acknowledgement"])
        .await;
}

/// Several streams of one proxy and a drain arrive in one tick; the older streams are reset or left open.
#[tokio::test]
async fn the_newest_of_several_streams_is_used_and_gets_the_drain() {
    let (discovery, servers, supervisor) = serving().await;
    until("a watch", || discovery.watches_opened() == 1).await;
    let mut proxy = joined(&supervisor, 0).await;
    supervisor.pause().await;
    let mut older = Vec::new();
    for _ in 0..3 {
        let mut peer = Peer::connect(supervisor.address).await;
        peer.send_bytes(b"hello id=0 site=a rps=20.0 new=0\r\n")
            .await;
        older.push(peer);
    }
    older.remove(0).reset();
    discovery.set("s-2", servers[1].address, "draining");
    let mut first = std::mem::replace(&mut proxy.peer, Peer::connect(supervisor.address).await);
    proxy
        .peer
        .send_bytes(b"hello id=0 site=a rps=20.0 new=0\r\n")
        .await;
    supervisor.resume(&[]).await;
    proxy
        .apply_until("the drain", |proxy| {
            proxy.picks("order") == ["s-1", "s-3"] && proxy.messages > 1
        })
        .await;
    for peer in older.iter_mut().chain([&mut first]) {
        peer.wait_for_close().await;
    }
    proxy.peer.send("probe").await;
    while next_line(&mut proxy.peer).await != "alive" {}
    discovery.set("s-3", servers[2].address, "draining");
    applies_picks(&mut proxy, &["s-1"]).await;
}

/// An order that was lost with its stream is sent again on the next one, as a complete table.
#[tokio::test]
async fn an_order_lost_with_its_stream_is_sent_on_the_next() {
    let (discovery, servers, supervisor) = serving().await;
    until("a watch", || discovery.watches_opened() == 1).await;
    let mut proxy = joined(&supervisor, 0).await;
    let mut other = joined(&supervisor, 1).await;
    supervisor.pause().await;
    discovery.set("s-2", servers[1].address, "draining");
    let next = Peer::connect(supervisor.address).await;
    std::mem::replace(&mut proxy.peer, next).reset();
    supervisor.resume(&[]).await;
    applies_picks(&mut other, &["s-1", "s-3"]).await;
    supervisor
        .expect_log_lines(1, &["0@a", "connection ended"])
        .await;
    proxy.peer.send("hello id=0 site=a rps=20.0 new=0").await;
    applies_picks(&mut proxy, &["s-1", "s-3"]).await;
}

/// A proxy joins another supervisor and returns, each time with the suspensions of the previous one.
#[tokio::test]
async fn servers_suspended_by_two_supervisors_are_resumed_by_either() {
    let (discovery, servers, first) = serving().await;
    let second = program()
        .start(&config(&discovery, Some(discovery.list()), 1024))
        .await;
    until("both watches", || discovery.watches_opened() == 2).await;
    let mut proxy = joined(&first, 0).await;
    discovery.set("s-1", servers[0].address, "draining");
    applies_picks(&mut proxy, &["s-2", "s-3"]).await;
    assert!(proxy.suspended.contains("s-1"));
    proxy.rejoin(&second).await;
    discovery.set("s-1", servers[0].address, "up");
    proxy
        .apply_until("all servers, at the second", has_all)
        .await;
    discovery.set("s-3", servers[2].address, "draining");
    applies_picks(&mut proxy, &["s-1", "s-2"]).await;
    proxy.rejoin(&first).await;
    discovery.set("s-3", servers[2].address, "up");
    proxy
        .apply_until("all servers, back at the first", has_all)
        .await;
}

/// Each complete table includes the retry policy of the unsafe class, so that no request is executed twice.
#[tokio::test]
async fn a_complete_table_always_has_the_retry_policy() {
    let (discovery, _servers) = fleet().await;
    let mut configuration = config(&discovery, Some(discovery.list()), 1024);
    configuration["settings"]["familyInfo"]["usualHow"] = json!(3);
    let supervisor = program().start(&configuration).await;
    for has_no_table in [1, 0, 0] {
        let mut peer = Peer::connect(supervisor.address).await;
        peer.send(&format!("hello id=0 site=a rps=20.0 new={has_no_table}"))
            .await;
        let table = next_line(&mut peer).await;
        assert!(
            table.contains("replace=1") && table.contains("again=1"),
            "{table}"
        );
    }
}

/// Guards against the end of a working stream whose acknowledgements arrive spoilt: drains would reach its proxy only after
/// it has joined again (`docs/incidents/review-6-spoilt-answers-end-streams.md`).
#[tokio::test]
async fn unreadable_acknowledgements_do_not_end_a_working_stream() {
    let (discovery, servers, supervisor) = serving().await;
    let mut peer = Peer::connect(supervisor.address).await;
    peer.send("hello id=0 site=a rps=20.0 new=1").await;
    let spoilt_answers = [
        "ack id=0 seq=1",
        "ack id=0 ms=12.5",
        "ack id=0 seq=70000 ms=12.5",
        "ack id=0 seq=1 ms=soon",
        "ack id=99 seq=1 ms=12.5",
    ];
    let mut answers = spoilt_answers.iter().cycle();
    let mut checks = 0;
    let end = Instant::now() + TWO_IDLE_TIMEOUTS;
    while Instant::now() < end {
        peer.send("demand id=0 lane=lookup count=4 fail=0 over=200.0")
            .await;
        if let Ok(line) = timeout(Duration::from_millis(200), peer.line()).await {
            let line = line.expect("the stream stays open");
            if line.contains("stamp=") {
                peer.send(answers.next().expect("a cycle")).await;
            }
            checks += usize::from(line.starts_with("push stamp="));
        }
    }
    assert!(checks >= 2, "{checks}");
    discovery.set("s-2", servers[1].address, "draining");
    while !next_line(&mut peer).await.contains("drop=s-2") {}
    assert_eq!(supervisor.count_log_lines(&["0@a", "connection ended"]), 0);
}

/// A proxy that has no requests any more reports none; it is alive as long as it acknowledges.
#[tokio::test]
async fn a_proxy_whose_requests_cease_keeps_its_stream() {
    let (discovery, servers, supervisor) = serving().await;
    let mut proxy = joined(&supervisor, 0).await;
    proxy.report_demand().await;
    proxy.apply_for(TWO_IDLE_TIMEOUTS).await;
    discovery.set("s-2", servers[1].address, "draining");
    applies_picks(&mut proxy, &["s-1", "s-3"]).await;
    assert_eq!(supervisor.count_log_lines(&["0@a", "connection ended"]), 0);
}
