//! Unidentified, excess and rejected connections.

use chutegrade_emulators::{config, until, Peer};

use crate::common::{fleet, joined, program, serving};

#[tokio::test]
async fn unidentified_connections_never_take_the_slots_of_peers() {
    let (discovery, _servers) = fleet().await;
    // Of 48 descriptors, 16 are reserved, 8 are for proxies and 8 for collectors; half of the rest is for unidentified
    // connections.
    let supervisor = program()
        .start(&config(&discovery, Some(discovery.list()), 48))
        .await;
    let mut unidentified = Vec::new();
    for _ in 0..40 {
        unidentified.push(Peer::connect(supervisor.address).await);
    }
    supervisor
        .expect_log_lines(32, &["peer=\"stranger\"", "reason=crowded"])
        .await;
    for connection in unidentified.iter_mut().take(32) {
        connection.wait_for_close().await;
    }
    assert!(supervisor.is_responsive().await);
    joined(&supervisor, 0).await;
}

/// The supervisor must not spin or stop accepting connections when no descriptor is left.
#[tokio::test]
async fn it_recovers_from_running_out_of_descriptors() {
    let (discovery, _servers) = fleet().await;
    let configuration = config(&discovery, Some(discovery.list()), 1024);
    let mut supervisor = program()
        .start_with_descriptor_limit(&configuration, 24)
        .await;
    let mut unidentified = Vec::new();
    for _ in 0..40 {
        unidentified.push(Peer::connect(supervisor.address).await);
    }
    until("the shortage in the log", || {
        supervisor.count_log_lines(&["cannot accept connections"]) > 0
    })
    .await;
    drop(unidentified);
    assert!(supervisor.is_responsive().await);
    joined(&supervisor, 0).await;
    assert!(supervisor.is_running());
}

#[tokio::test]
async fn the_oldest_of_too_many_collectors_of_a_zone_is_evicted() {
    let (_discovery, _servers, supervisor) = serving().await;
    let mut collectors = Vec::new();
    for _ in 0..5 {
        let mut collector = Peer::connect(supervisor.address).await;
        collector.send("agent site=a").await;
        collector.send("probe").await;
        assert_eq!(collector.line().await.as_deref(), Some("alive"));
        collectors.push(collector);
    }
    collectors[0].wait_for_close().await;
    supervisor
        .expect_log_lines(1, &["peer=\"collector\"", "reason=crowded"])
        .await;
    collectors[4].send("probe").await;
    assert_eq!(collectors[4].line().await.as_deref(), Some("alive"));
}

/// A connection that sends half a line, nothing or only `probe` lines gets the reason and is closed.
#[tokio::test]
async fn an_unidentified_connection_is_rejected_in_time() {
    let (_discovery, _servers, supervisor) = serving().await;
    let mut half_a_line = Peer::connect(supervisor.address).await;
    half_a_line.send_bytes(b"hello id=1 si").await;
    let mut silent = Peer::connect(supervisor.address).await;
    let mut one_probe = Peer::connect(supervisor.address).await;
    one_probe.send("probe").await;
    assert_eq!(one_probe.line().await.as_deref(), Some("alive"));
    let mut many_probes = Peer::connect(supervisor.address).await;
    let mut answer = Some("alive".to_string());
    while answer.as_deref() == Some("alive") {
        many_probes.send_bytes(b"probe\r\n").await;
        answer = many_probes.line().await;
    }
    assert_eq!(answer.as_deref(), Some("error reason=unnamed"));
    for connection in [&mut half_a_line, &mut silent, &mut one_probe] {
        assert_eq!(
            connection.line().await.as_deref(),
            Some("error reason=unnamed")
        );
        connection.wait_for_close().await;
    }
    supervisor
        .expect_log_lines(4, &["peer=\"stranger\"", "reason=unnamed"])
        .await;
    assert!(supervisor.is_responsive().await);
}

/// Closing a connection with unread input resets it, which may discard the message with the reason.
#[tokio::test]
async fn a_rejected_connection_gets_the_reason() {
    let (_discovery, _servers, supervisor) = serving().await;
    let rest = "x".repeat(900);
    for (line, code) in [
        ("GET /api/targets HTTP/1.1", "unreadable"),
        (
            "demand id=1 lane=lookup count=1 fail=0 over=200.0",
            "unreadable",
        ),
        ("push drop=s-1", "unreadable"),
        ("agent site=nowhere", "unknown"),
        ("hello id=99544 site=a rps=1 new=1", "unknown"),
        ("hello id=one site=a rps=1 new=1", "unreadable"),
        (&"y".repeat(2000), "too-long"),
    ] {
        let mut connection = Peer::connect(supervisor.address).await;
        connection
            .send_bytes(format!("{line}\r\n{rest}").as_bytes())
            .await;
        connection.send_bytes(rest.as_bytes()).await;
        let answer = connection.line().await;
        assert_eq!(answer, Some(format!("error reason={code}")), "{line}");
        connection.wait_for_close().await;
    }
    assert!(supervisor.is_responsive().await);
}

#[tokio::test]
async fn a_client_that_sends_without_end_is_disconnected() {
    let (_discovery, _servers, supervisor) = serving().await;
    for piece in [
        vec![b'x'; 4096],
        b"probe\r\n".repeat(512),
        b"agent site=nowhere\r\n".repeat(200),
    ] {
        let mut endless = Peer::connect(supervisor.address).await;
        while endless.send_bytes(&piece).await {}
    }
    assert!(supervisor.is_responsive().await);
}
