//! Streams of proxies: orders, replacements and timeouts.

use std::sync::atomic::Ordering;
use std::time::Duration;

use chutegrade_emulators::{config, until, Peer, Proxy};
use serde_json::json;
use tokio::time::sleep;

use crate::common::{fleet, has_all, joined, program, serving};

#[tokio::test]
async fn a_proxy_is_served_from_hello_to_acknowledgement() {
    let (discovery, servers) = fleet().await;
    let mut supervisor = program().start(&config(&discovery, None, 1024)).await;
    assert!(supervisor.is_responsive().await);
    let mut proxy = joined(&supervisor, 3).await;
    assert_eq!(
        proxy.retries.get("order").map(String::as_str),
        Some("1"),
        "once, if not executed"
    );
    proxy.report_demand().await;
    let mut collector = Peer::connect(supervisor.address).await;
    collector.send("agent site=a").await;
    collector
        .send("outcomes site=a target=s-1 count=9 fail=0 mean=12.0 over=200.0 util=queue:0")
        .await;
    collector
        .send("demand id=3 lane=order count=2 fail=0 over=200.0")
        .await;
    collector.send("probe").await;
    assert_eq!(collector.line().await.as_deref(), Some("alive"));
    // Health checks use one connection per server.
    until("several health checks of each", || {
        servers
            .iter()
            .all(|server| server.health_check_count() >= 3)
    })
    .await;
    assert!(servers
        .iter()
        .all(|server| server.connections.load(Ordering::SeqCst) == 1));
    assert!(supervisor.is_running());
    assert_eq!(
        supervisor.count_log_lines(&["peer=\"proxy\"", "connection ended"]),
        0
    );
}

#[tokio::test]
async fn a_drain_reaches_every_stream() {
    let (discovery, servers, supervisor) = serving().await;
    let mut proxies = Vec::new();
    for id in 0..4 {
        proxies.push(Proxy::join(&supervisor, id, id % 2 == 0).await);
    }
    for proxy in &mut proxies {
        proxy.apply_until("a complete table", has_all).await;
    }
    discovery.set("s-2", servers[1].address, "draining");
    for proxy in &mut proxies {
        proxy
            .apply_until("the drain", |proxy| proxy.picks("lookup") == ["s-1", "s-3"])
            .await;
        assert!(!proxy.picks("order").contains(&"s-2"));
    }
    // A proxy that joins later with the old table must not use the server either.
    let mut late_proxy = Proxy::join(&supervisor, 5, false).await;
    late_proxy
        .apply_until("a table without it", |proxy| {
            proxy.picks("order") == ["s-1", "s-3"]
        })
        .await;
}

/// A proxy keeps suspensions across streams; those of another supervisor would otherwise never end.
#[tokio::test]
async fn servers_suspended_by_another_supervisor_are_resumed() {
    let (_discovery, _servers, supervisor) = serving().await;
    let mut proxy = Proxy::join(&supervisor, 1, false).await;
    proxy
        .suspended
        .extend(["s-1".to_string(), "s-3".to_string()]);
    proxy.apply_until("all three servers", has_all).await;
}

#[tokio::test]
async fn a_proxy_that_does_not_read_does_not_delay_others() {
    let (discovery, servers, supervisor) = serving().await;
    let mut stalled = Proxy::join(&supervisor, 0, true).await;
    let mut other = joined(&supervisor, 1).await;
    // Megabytes of reports from a proxy that does not read are still processed.
    let reports = "demand id=0 lane=lookup count=4 fail=0 over=200.0\r\n".repeat(40_000);
    assert!(stalled.peer.send_bytes(reports.as_bytes()).await);
    discovery.set("s-1", servers[0].address, "draining");
    other
        .apply_until("the drain", |proxy| !proxy.picks("lookup").contains(&"s-1"))
        .await;
    stalled
        .apply_until("the drain, late", |proxy| {
            proxy.picks("lookup") == ["s-2", "s-3"]
        })
        .await;
    assert_eq!(
        supervisor.count_log_lines(&["peer=\"proxy\"", "connection ended"]),
        0
    );
}

#[tokio::test]
async fn a_newer_stream_replaces_the_older_one() {
    let (discovery, servers, supervisor) = serving().await;
    let mut older = joined(&supervisor, 2).await;
    let mut newer = Proxy::join(&supervisor, 2, false).await;
    older.peer.wait_for_close().await;
    supervisor
        .expect_log_lines(1, &["reason=replaced", "2@a"])
        .await;
    newer.apply_until("a complete table", has_all).await;
    discovery.set("s-3", servers[2].address, "draining");
    newer
        .apply_until("the drain", |proxy| proxy.picks("order") == ["s-1", "s-2"])
        .await;
}

/// A stream counts as silent only if a message is due: a proxy that has reported demand before must report it every
/// period.
#[tokio::test]
async fn a_silent_stream_is_closed() {
    let (_discovery, _servers, supervisor) = serving().await;
    let mut proxy = joined(&supervisor, 0).await;
    proxy.report_demand().await;
    proxy.peer.wait_for_close().await;
    supervisor
        .expect_log_lines(
            1,
            &[
                "peer=\"proxy\"",
                "0@a",
                "reason=silent",
                "no demand reports",
            ],
        )
        .await;
    assert!(supervisor.is_responsive().await);
}

/// A proxy with few requests has none to report in most periods and must not lose its stream for that. After a pause of
/// 2 s, this stream may be idle for 7 s; that of a busy proxy is closed after 5 s.
#[tokio::test]
async fn a_proxy_with_few_requests_keeps_its_stream() {
    let (_discovery, _servers, supervisor) = serving().await;
    let mut proxy = joined(&supervisor, 0).await;
    sleep(Duration::from_secs(2)).await;
    proxy.report_demand().await;
    // If a weight changes meanwhile, an order arrives, which the proxy acknowledges.
    proxy.apply_for(Duration::from_secs(7)).await;
    proxy.peer.send("probe").await;
    // Orders that arrived meanwhile precede the answer.
    let mut line = proxy.peer.line().await;
    while line.as_ref().is_some_and(|line| line.starts_with("push")) {
        line = proxy.peer.line().await;
    }
    assert_eq!(line.as_deref(), Some("alive"), "its stream stays open");
}

/// A proxy with few requests reports nothing before its table arrives, and must not lose its stream while the table is
/// queued in a slow channel, here for about ten seconds.
#[tokio::test]
async fn an_acknowledgement_is_not_due_before_the_order_has_arrived() {
    let (discovery, _servers) = fleet().await;
    let mut configuration = config(&discovery, Some(discovery.list()), 1024);
    configuration["settings"]["familyInfo"]["linesPerS"] = json!(1.0);
    let supervisor = program().start(&configuration).await;
    let mut proxy = Peer::connect(supervisor.address).await;
    proxy.send("hello id=1 site=a rps=0.1 new=0").await;
    let table = proxy.line().await.expect("a table");
    assert!(
        table.contains("replace=1") && table.contains("stamp="),
        "{table}"
    );
    sleep(Duration::from_secs(9)).await;
    proxy.send("probe").await;
    assert_eq!(
        proxy.line().await.as_deref(),
        Some("alive"),
        "its stream stays open"
    );
    proxy.wait_for_close().await;
    supervisor
        .expect_log_lines(
            1,
            &[
                "peer=\"proxy\"",
                "1@a",
                "reason=silent",
                "no acknowledgement",
            ],
        )
        .await;
}
