//! Deliveries of the endpoint list that race with failures, address changes and health checks.

use std::time::{Duration, Instant};

use chutegrade_emulators::{
    config, delivery, entry, until, Discovery, Proxy, ScriptedListener, Server,
};
use serde_json::{json, Value};
use tokio::time::{sleep, timeout};

use crate::common::{joined, program, servers};
use crate::{applies_picks, ScriptedFleet, CONFIRMED_WATCH_PATH, LIST_PATH, WATCH_PATH};

/// The first part of a delivery.
const PARTIAL_DELIVERY: &str =
    r#"{"index":42,"snapshot":false,"endpoints":[{"name":"s-1","status":"draining""#;
/// Time for which discovery takes connections and says nothing: several requests time out.
const OUTAGE: Duration = Duration::from_millis(4000);
/// Slightly more than the time for which a list with an older version is ignored.
const STALE_TIMEOUT: Duration = Duration::from_millis(6100);

/// Returns a server as discovery delivers it.
fn endpoint(server: &Server, status: &str) -> Value {
    entry(server.name, server.address, status, 0)
}

/// A watch from a newer version would not deliver the unreadable endpoint again.
#[tokio::test]
async fn a_delivery_with_an_unreadable_endpoint_is_requested_again() {
    let ScriptedFleet {
        script,
        servers,
        supervisor,
        ..
    } = ScriptedFleet::start().await;
    let mut proxy = joined(&supervisor, 0).await;
    let draining = entry("s-2", servers[1].address, "draining", 0);
    let removed = entry("s-3", servers[2].address, "removed", 0);
    let mut malformed = draining.clone();
    malformed["status"] = json!("dra\u{fffd}ning");
    let mut watch = script.expect_request(WATCH_PATH).await;
    watch.begin_watch().await;
    watch
        .send_watch_line(&delivery(42, false, &[malformed, removed.clone()]))
        .await;
    // The readable endpoint is applied at once.
    applies_picks(&mut proxy, &["s-1", "s-2"]).await;
    let mut second_watch = script.expect_request(WATCH_PATH).await;
    second_watch.begin_watch().await;
    second_watch
        .send_watch_line(&delivery(42, false, &[draining, removed]))
        .await;
    applies_picks(&mut proxy, &["s-1"]).await;
}

/// A delivery that is malformed each time is applied without its unreadable endpoints, and later deliveries are read.
#[tokio::test]
async fn a_permanently_unreadable_endpoint_does_not_block_later_updates() {
    let ScriptedFleet {
        script,
        servers,
        supervisor,
        ..
    } = ScriptedFleet::start().await;
    let mut proxy = joined(&supervisor, 0).await;
    let unreadable = delivery(42, false, &[json!({"name": "s-9", "status": "resting"})]);
    let mut watch = script.expect_request(WATCH_PATH).await;
    for _ in 0..4 {
        watch.begin_watch().await;
        watch.send_watch_line(&unreadable).await;
        watch = script.expect_request(WATCH_PATH).await;
    }
    watch.begin_watch().await;
    watch.send_watch_line(&unreadable).await;
    watch
        .send_watch_line(&delivery(
            43,
            false,
            &[entry("s-1", servers[0].address, "draining", 0)],
        ))
        .await;
    applies_picks(&mut proxy, &["s-2", "s-3"]).await;
    // The fifth watch stays open, and the next one starts after both deliveries.
    drop(watch);
    script.expect_request("/api/targets?watch=1&from=43").await;
}

/// A complete list that lacks a server must remove it although another endpoint is malformed.
#[tokio::test]
async fn a_snapshot_with_a_malformed_endpoint_still_removes_missing_servers() {
    let ScriptedFleet {
        script,
        servers,
        supervisor,
        ..
    } = ScriptedFleet::start().await;
    let mut proxy = joined(&supervisor, 0).await;
    let mut watch = script.expect_request(WATCH_PATH).await;
    watch.begin_watch().await;
    let mut malformed = entry("s-2", servers[1].address, "up", 0);
    malformed["weight"] = json!(-1.0);
    watch
        .send_watch_line(&delivery(
            50,
            true,
            &[entry("s-1", servers[0].address, "up", 0), malformed],
        ))
        .await;
    applies_picks(&mut proxy, &["s-1", "s-2"]).await;
}

/// The unreadable endpoint may be older than the version of the cached list, so the watch starts from 0.
#[tokio::test]
async fn a_partially_read_cached_list_is_watched_from_the_first_version() {
    let (script, servers) = (ScriptedListener::start().await, servers().await);
    let in_service = entry("s-1", servers[0].address, "up", 0);
    let known = delivery(41, true, &[in_service, json!({"name": "s-2", "status": 7})]);
    let mut configuration = config(
        &Discovery::start().await,
        serde_json::from_str(&known).ok(),
        1024,
    );
    configuration["discovery"] = json!(script.address.to_string());
    let _supervisor = program().start(&configuration).await;
    script.expect_request("/api/targets?watch=1&from=0").await;
}

/// When the version count restarts, the changes that are accepted again lack those that were ignored as stale.
#[tokio::test]
async fn a_list_whose_version_count_restarts_is_fetched_completely() {
    let ScriptedFleet {
        script,
        servers,
        supervisor,
        ..
    } = ScriptedFleet::start().await;
    let mut proxy = joined(&supervisor, 0).await;
    let draining = |position: usize| endpoint(&servers[position], "draining");
    let in_service = endpoint(&servers[2], "up");
    let complete_list = delivery(3, true, &[draining(0), draining(1), in_service]);
    let mut watch = script.expect_request(WATCH_PATH).await;
    watch.begin_watch().await;
    watch
        .send_watch_line(&delivery(2, false, &[draining(0)]))
        .await;
    supervisor
        .expect_log_lines(1, &["discovery is behind"])
        .await;
    let stale_since = Instant::now();
    while stale_since.elapsed() < STALE_TIMEOUT {
        sleep(Duration::from_millis(500)).await;
        watch.send_watch_line(&delivery(2, false, &[])).await;
        if let Ok((mut request, path)) =
            timeout(Duration::from_millis(1), script.next_request()).await
        {
            assert_eq!(path, LIST_PATH, "before any change is accepted");
            request.respond(200, &complete_list).await;
            applies_picks(&mut proxy, &["s-3"]).await;
            return;
        }
    }
    watch
        .send_watch_line(&delivery(3, false, &[draining(1)]))
        .await;
    let mut request = script.expect_request(LIST_PATH).await;
    request.respond(200, &complete_list).await;
    applies_picks(&mut proxy, &["s-3"]).await;
}

/// With one silent watch after the other, changes would exceed their limit of 6 s.
#[tokio::test]
async fn the_complete_list_is_fetched_after_a_silent_watch() {
    let ScriptedFleet {
        script,
        servers,
        supervisor,
        ..
    } = ScriptedFleet::start().await;
    let mut proxy = joined(&supervisor, 0).await;
    let mut silent_watch = script.expect_request(WATCH_PATH).await;
    silent_watch.begin_watch().await;
    let mut request = script.expect_request(LIST_PATH).await;
    let in_service = |position: usize| endpoint(&servers[position], "up");
    request
        .respond(200, &delivery(42, true, &[in_service(0), in_service(2)]))
        .await;
    applies_picks(&mut proxy, &["s-1", "s-3"]).await;
    script.expect_request("/api/targets?watch=1&from=42").await;
    supervisor
        .expect_log_lines(1, &["discovery unavailable", "reason=silent"])
        .await;
}

/// The discovery address changes in the middle of a line, and again between the header of a response and its body.
#[tokio::test]
async fn requests_in_flight_are_dropped_when_the_discovery_address_changes() {
    let ScriptedFleet {
        script,
        servers,
        supervisor,
        mut configuration,
    } = ScriptedFleet::start().await;
    let (second, third) = (
        ScriptedListener::start().await,
        ScriptedListener::start().await,
    );
    let mut proxy = joined(&supervisor, 0).await;
    let mut watch = script.expect_request(WATCH_PATH).await;
    watch.begin_watch().await;
    watch.send_chunk(PARTIAL_DELIVERY).await;
    configuration["discovery"] = json!(second.address.to_string());
    supervisor.reload(&configuration.to_string()).await;
    let mut request = second.expect_request(LIST_PATH).await;
    watch.wait_for_close().await;
    request
        .send_bytes(b"HTTP/1.1 200 OK\r\ncontent-length: 4000\r\n\r\n")
        .await;
    configuration["discovery"] = json!(third.address.to_string());
    supervisor.reload(&configuration.to_string()).await;
    let mut request = third.expect_request(LIST_PATH).await;
    // A malformed list is requested again; no watch starts from it.
    request.respond(200, "{\"index\":4").await;
    let mut request = third.expect_request(LIST_PATH).await;
    let in_service = |position: usize| endpoint(&servers[position], "up");
    request
        .respond(200, &delivery(42, true, &[in_service(0), in_service(1)]))
        .await;
    applies_picks(&mut proxy, &["s-1", "s-2"]).await;
    let mut watch = third.expect_request("/api/targets?watch=1&from=42").await;
    watch.begin_watch().await;
    // An older complete list after newer changes reverts nothing.
    let drain = endpoint(&servers[0], "draining");
    watch.send_watch_line(&delivery(44, false, &[drain])).await;
    applies_picks(&mut proxy, &["s-2"]).await;
    let older = [in_service(0), in_service(1), in_service(2)];
    watch.send_watch_line(&delivery(43, true, &older)).await;
    supervisor
        .expect_log_lines(1, &["discovery is behind"])
        .await;
    watch
        .send_watch_line(&delivery(45, false, &[in_service(2)]))
        .await;
    proxy
        .apply_until("the next change", |proxy| {
            proxy.picks("lookup").contains(&"s-3")
        })
        .await;
    assert!(!proxy.picks("lookup").contains(&"s-1"));
}

/// The server is removed while its health check is in flight and answers it afterwards. Then it returns at another
/// address with another start time, in the same delivery as the removal.
#[tokio::test]
async fn a_server_removed_during_its_health_check_returns_at_another_address() {
    let (script, servers) = (ScriptedListener::start().await, servers().await);
    let discovery = Discovery::start().await;
    for (name, address) in [("s-1", script.address), ("s-2", servers[1].address)] {
        discovery.set(name, address, "up");
    }
    let supervisor = program()
        .start(&config(&discovery, Some(discovery.list()), 1024))
        .await;
    until("a watch", || discovery.watches_opened() == 1).await;
    let mut proxy = Proxy::join(&supervisor, 0, true).await;
    let mut health_check = script.expect_request("/-/load").await;
    discovery.set("s-1", script.address, "removed");
    applies_picks(&mut proxy, &["s-2"]).await;
    health_check.respond(200, "TEXT queue=0").await;
    supervisor.expect_log_lines(1, &["s-1 gone"]).await;
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("after 1970");
    let started_ms = now.as_millis() as i64 - 1000;
    let endpoints = [
        entry("s-1", script.address, "removed", 0),
        entry("s-1", servers[0].address, "up", started_ms),
    ];
    discovery.set_version(90);
    discovery.send_line(&delivery(90, false, &endpoints));
    until("a health check at the new address", || {
        servers[0].health_check_count() > 0
    })
    .await;
    proxy
        .apply_until("its return", |proxy| proxy.picks("lookup").contains(&"s-1"))
        .await;
    let weight_of = |server: &str| {
        let mut weights = proxy.weights("lookup");
        weights
            .find(|(name, _)| *name == server)
            .map_or(0.0, |(_, weight)| weight)
    };
    assert!(weight_of("s-1") < weight_of("s-2"), "it warms up");
}

/// Guards against resuming servers that have left: the configuration of the restart still lists them in service, and
/// discovery says nothing at first (`docs/incidents/review-5-restart-without-discovery.md`).
#[tokio::test]
async fn a_restart_resumes_no_server_that_left_before_discovery_has_answered() {
    let ScriptedFleet {
        script,
        servers,
        supervisor,
        ..
    } = ScriptedFleet::start().await;
    let mut proxy = Proxy::join(&supervisor, 0, false).await;
    proxy.tables.suspended.insert("s-2".to_string());
    proxy.apply_for(OUTAGE).await;
    assert_eq!(proxy.messages, 0, "it keeps what it brought");

    let mut watch = script.expect_open_request(WATCH_PATH).await;
    watch.begin_watch().await;
    let replaced = [
        entry("s-2", servers[1].address, "removed", 0),
        entry("s-4", servers[1].address, "up", 0),
    ];
    watch.send_watch_line(&delivery(42, false, &replaced)).await;
    applies_picks(&mut proxy, &["s-1", "s-3", "s-4"]).await;
    assert!(proxy.suspended.contains("s-2"));
}

/// The list of the earlier start may be current. Discovery then has nothing to deliver, and its heartbeat is the answer.
#[tokio::test]
async fn a_heartbeat_confirms_the_list_of_an_earlier_start() {
    let ScriptedFleet {
        script, supervisor, ..
    } = ScriptedFleet::start().await;
    let mut proxy = Proxy::join(&supervisor, 0, false).await;
    let mut watch = script.expect_request(WATCH_PATH).await;
    watch.begin_watch().await;
    proxy.apply_for(Duration::from_millis(700)).await;
    assert_eq!(proxy.messages, 0, "the head of the answer confirms nothing");
    watch.send_watch_line("").await;
    applies_picks(&mut proxy, &["s-1", "s-2", "s-3"]).await;
    drop(watch);
    script.expect_request(CONFIRMED_WATCH_PATH).await;
}
