//! Signals that race with the start, with peers, and with requests in flight.

use chutegrade_emulators::{
    config, delivery, entry, until, Discovery, Peer, ScriptedListener, Supervisor,
};
use serde_json::{json, Value};

use crate::common::{fleet, joined, program, serving};
use crate::{next_line, LIST_PATH};

/// An unhandled signal would end the program, and SIGHUP may arrive while the configuration is being read.
#[tokio::test]
async fn a_reload_while_the_configuration_is_read_waits_for_the_start() {
    let (discovery, _servers) = fleet().await;
    let second = discovery.start_replica().await;
    let mut configuration = config(&discovery, Some(discovery.list()), 1024);
    let paused = program().start_paused().await;
    paused.send_signals(&["-HUP", "-HUP"]).await;
    let mut supervisor = paused.resume_with_config(&configuration).await;
    configuration["discovery"] = json!(second.address.to_string());
    supervisor.write_config_to_pipe(&configuration).await;
    supervisor
        .expect_log_lines(1, &["reloaded", &second.address.to_string()])
        .await;
    until("a watch at the new address", || {
        second.watches_opened() == 1
    })
    .await;
    joined(&supervisor, 0).await;
    assert_eq!(supervisor.terminate().await, Some(0));
}

#[tokio::test]
async fn a_shutdown_while_the_configuration_is_read_is_graceful() {
    let (discovery, _servers) = fleet().await;
    let paused = program().start_paused().await;
    paused.send_signals(&["-TERM"]).await;
    let (code, log) = paused
        .resume_until_exit(&config(&discovery, Some(discovery.list()), 1024))
        .await;
    assert_eq!(
        (code, log.matches(" stopping").count()),
        (Some(0), 1),
        "{log}"
    );
}

/// Opens connections and awaits the answer to their `probe`; half of them are collectors.
async fn answered_peers(supervisor: &Supervisor) -> Vec<Peer> {
    let mut peers = Vec::new();
    for number in 0..8 {
        let mut peer = Peer::connect(supervisor.address).await;
        if number % 2 == 0 {
            peer.send("agent site=a").await;
        }
        peer.send("probe").await;
        assert_eq!(next_line(&mut peer).await, "alive");
        peers.push(peer);
    }
    peers
}

/// Opens connections to a stopped process and sends `probe`: they are established but not accepted.
async fn connections_not_accepted(supervisor: &Supervisor) -> Vec<Peer> {
    let mut peers = Vec::new();
    for _ in 0..4 {
        let mut peer = Peer::connect(supervisor.address).await;
        peer.send_bytes(b"probe\r\n").await;
        peers.push(peer);
    }
    peers
}

/// An answered `probe` means that proxies may be directed to the supervisor, which would be wrong while it shuts down.
#[tokio::test]
async fn probes_are_not_answered_after_sigterm() {
    let (discovery, servers, mut supervisor) = serving().await;
    until("a watch", || discovery.watches_opened() == 1).await;
    let mut proxy = joined(&supervisor, 0).await;
    let mut peers = answered_peers(&supervisor).await;
    supervisor.pause().await;
    for peer in &mut peers {
        peer.send_bytes(b"probe\r\n").await;
    }
    proxy.peer.send_bytes(b"probe\r\n").await;
    let mut not_accepted = connections_not_accepted(&supervisor).await;
    discovery.set("s-2", servers[1].address, "draining");
    supervisor.resume(&["-TERM", "-HUP", "-TERM"]).await;
    for peer in peers
        .iter_mut()
        .chain(&mut not_accepted)
        .chain([&mut proxy.peer])
    {
        assert_eq!(
            peer.read_to_end().await,
            "",
            "nothing is sent after the shutdown"
        );
    }
    assert_eq!(supervisor.wait_for_exit().await, Some(0));
    supervisor.expect_log_lines(1, &[" stopping"]).await;
    for (connections, peer) in [
        (4, "peer=\"stranger\""),
        (4, "peer=\"collector\""),
        (1, "peer=\"proxy\""),
        (1, "peer=\"discovery\""),
        (3, "peer=\"server\""),
    ] {
        supervisor
            .expect_log_lines(connections, &[peer, "reason=stopping"])
            .await;
    }
    assert_eq!(
        supervisor.count_log_lines(&["reloaded"]),
        0,
        "no configuration is reloaded"
    );
    assert_eq!(
        supervisor.count_log_lines(&["s-2 draining"]),
        0,
        "nothing is decided"
    );
}

/// A proxy that does not read receives only part of an order. It ends within a line, so it does not count as a message.
#[tokio::test]
async fn a_partially_written_order_ends_with_its_connection() {
    let (discovery, script) = (Discovery::start().await, ScriptedListener::start().await);
    let name = |number: usize| format!("server-{number:04}-{}", "x".repeat(5000));
    let endpoints: Vec<Value> = (0..1024)
        .map(|number| entry(&name(number), script.address, "up", 0))
        .collect();
    let known = serde_json::from_str(&delivery(41, true, &endpoints)).expect("JSON");
    let mut configuration = config(&discovery, Some(known), 1024);
    configuration["settings"]["familyInfo"]["backlog"] = json!(1e6);
    configuration["settings"]["familyInfo"]["linesPerS"] = json!(1e6);
    configuration["settings"]["limits"]["probes"] = json!(false);
    let mut supervisor = program().start(&configuration).await;
    let mut unresponsive = Peer::connect_with_small_buffer(supervisor.address).await;
    unresponsive.send("hello id=1 site=a rps=20.0 new=1").await;
    // Once the first table of a second stream has arrived, that of the first stream was ordered in an earlier tick.
    let mut other = Peer::connect(supervisor.address).await;
    other.send("hello id=2 site=a rps=10.0 new=1").await;
    while !next_line(&mut other).await.contains("server-1023") {}
    assert_eq!(supervisor.terminate().await, Some(0));
    let received = unresponsive.read_to_end().await;
    assert!(
        !received.is_empty() && !received.ends_with("\r\n"),
        "{} bytes",
        received.len()
    );
    supervisor
        .expect_log_lines(2, &["peer=\"proxy\"", "reason=stopping"])
        .await;
}

#[tokio::test]
async fn a_shutdown_during_a_fetch_logs_its_connection() {
    let script = ScriptedListener::start().await;
    let mut configuration = config(&Discovery::start().await, None, 1024);
    configuration["discovery"] = json!(script.address.to_string());
    let mut supervisor = program().start(&configuration).await;
    let mut request = script.expect_request(LIST_PATH).await;
    request
        .send_bytes(b"HTTP/1.1 200 OK\r\ncontent-length: 4000\r\n\r\n{\"ind")
        .await;
    assert_eq!(supervisor.terminate().await, Some(0));
    request.wait_for_close().await;
    supervisor
        .expect_log_lines(1, &["peer=\"discovery\"", "reason=stopping"])
        .await;
    supervisor.expect_log_lines(1, &["connection ended"]).await;
}
