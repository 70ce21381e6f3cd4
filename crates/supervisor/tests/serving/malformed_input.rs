//! Malformed input on connections of every kind.

use std::collections::BTreeMap;

use chutegrade_emulators::{Peer, Supervisor};

use crate::common::{joined, serving};

/// Input that closes its connection.
struct MalformedInput {
    pieces: Vec<Vec<u8>>,
    /// Kind of the peer in the log.
    peer_kind: &'static str,
    /// Code of the reason in the log.
    code: &'static str,
}

fn malformed_input(
    peer_kind: &'static str,
    code: &'static str,
    pieces: &[&[u8]],
) -> MalformedInput {
    MalformedInput {
        pieces: pieces.iter().map(|piece| piece.to_vec()).collect(),
        peer_kind,
        code,
    }
}

/// Input of unidentified connections.
fn unidentified_inputs() -> Vec<MalformedInput> {
    let long_line = "x".repeat(5000);
    let inputs: [(&str, &[u8]); 7] = [
        ("unreadable", b"GET / HTTP/1.1\r\n"),
        ("unreadable", b"\xff\xfe\r\n"),
        (
            "unreadable",
            b"outcomes site=a target=s-1 count=1 over=1\r\n",
        ),
        ("too-long", long_line.as_bytes()),
        ("unknown", b"hello id=99 site=a rps=1 new=1\r\n"),
        ("unknown", b"hello id=1 site=nowhere rps=1 new=1\r\n"),
        ("unreadable", b"hello id=1 site=a rps=NaN new=1\r\n"),
    ];
    inputs
        .map(|(code, line)| malformed_input("stranger", code, &[line]))
        .into()
}

/// Input of identified peers.
fn peer_inputs() -> Vec<MalformedInput> {
    let many_reports = "outcomes site=a target=s-1 count=-1 over=1\r\n".repeat(100);
    let hello = b"hello id=4 site=a rps=1 new=1\r\n";
    let agent = b"agent site=a\r\n";
    let garbled = b"outcomes site=a tar\xffget=s-1 count=1 over=1\r\n";
    vec![
        malformed_input("proxy", "unreadable", &[hello, b"{}\r\n"]),
        malformed_input("collector", "unreadable", &[agent, garbled]),
        malformed_input("collector", "unreadable", &[agent, many_reports.as_bytes()]),
    ]
}

/// Asserts that each input closes its connection, with the reason in the log.
async fn assert_each_closes_its_connection(supervisor: &Supervisor, inputs: Vec<MalformedInput>) {
    let mut counts = BTreeMap::<(&str, &str), usize>::new();
    for input in inputs {
        let mut sender = Peer::connect(supervisor.address).await;
        for piece in &input.pieces {
            sender.send_bytes(piece).await;
        }
        sender.wait_for_close().await;
        let count = counts.entry((input.peer_kind, input.code)).or_default();
        *count += 1;
        let peer = format!("peer=\"{}\"", input.peer_kind);
        let reason = format!("reason={}", input.code);
        supervisor.expect_log_lines(*count, &[&peer, &reason]).await;
    }
}

#[tokio::test]
async fn malformed_input_closes_only_its_connection() {
    let (_discovery, _servers, mut supervisor) = serving().await;
    let mut proxy = joined(&supervisor, 0).await;
    let mut inputs = unidentified_inputs();
    inputs.extend(peer_inputs());
    assert_each_closes_its_connection(&supervisor, inputs).await;
    // A truncated line at the end of the connection.
    let mut truncated = Peer::connect(supervisor.address).await;
    truncated.send_bytes(b"agent si").await;
    drop(truncated);
    supervisor.expect_log_lines(1, &["reason=cut-short"]).await;
    // Well-formed messages with unknown names are dropped, and the connection stays open.
    let mut collector = Peer::connect(supervisor.address).await;
    for line in [
        "agent site=a",
        "outcomes site=a target=s-none count=1 fail=0 mean=1 over=1",
        "outcomes site=moon target=s-1 count=1 fail=0 mean=1 over=1",
        "demand id=7 lane=none count=1 fail=0 over=1",
        "weather sun=1",
        "probe",
    ] {
        collector.send(line).await;
    }
    assert_eq!(collector.line().await.as_deref(), Some("alive"));
    assert!(supervisor.is_running());
    proxy.peer.send("probe").await;
    while proxy.peer.line().await.expect("the first stream is open") != "alive" {}
    assert_eq!(supervisor.count_log_lines(&["connection ended", "0@a"]), 0);
}

/// Closing a connection for one invalid field would lose its valid messages, and new tables would not reach the proxy.
#[tokio::test]
async fn a_malformed_message_is_skipped_and_its_connection_stays() {
    let (discovery, servers, supervisor) = serving().await;
    let mut proxy = joined(&supervisor, 2).await;
    for line in [
        "demand id=2 lane=lookup count=nan fail=0 over=200.0",
        "demand id=2 lane=lookup count=4 fail=5 over=200.0",
        "demand id=3 lane=lookup count=4 fail=0 over=200.0",
        "demand id=2 lane=s-zz count=4 fail=0 over=200.0",
        "demand id=2 lane=lookup count=4 fail=0",
        "ack id=2 seq=70000 ms=1",
        "ack id=5 seq=1 ms=1",
        "ack id=2 ms=1",
        "hello id=2 site=a rps=1 new=1",
        "push drop=s-1",
    ] {
        proxy.peer.send(line).await;
    }
    let mut collector = Peer::connect(supervisor.address).await;
    collector.send("agent site=a").await;
    for line in [
        "outcomes site=a target=s-1 count=-1 fail=0 mean=1 over=1",
        "outcomes site=[1] target=s-1 count=1 fail=0 mean=1 over=1",
        "ack id=0 seq=1 ms=1",
        "agent site=a",
    ] {
        collector.send(line).await;
    }
    collector.send("probe").await;
    assert_eq!(collector.line().await.as_deref(), Some("alive"));
    discovery.set("s-1", servers[0].address, "draining");
    proxy
        .apply_until("the drain on the same stream", |proxy| {
            proxy.picks("order") == ["s-2", "s-3"]
        })
        .await;
    assert_eq!(supervisor.count_log_lines(&["connection ended"]), 0);
}
