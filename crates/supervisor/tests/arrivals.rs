//! Arrival patterns of bytes: one at a time, many messages in one segment, and connections that are reset at once.

mod common;

use chutegrade_emulators::{wait_for, Peer, Proxy};

use common::{joined, serving};

/// Writes bytes one at a time, each in its own segment.
async fn trickle(peer: &mut Peer, text: &str) {
    for byte in text.as_bytes() {
        assert!(peer.send_bytes(&[*byte]).await, "the connection is open");
        tokio::task::yield_now().await;
    }
}

/// Returns the next line that is not an order.
async fn next_answer(peer: &mut Peer) -> Option<String> {
    loop {
        let line = wait_for("an answer", peer.line()).await;
        if !line.as_ref().is_some_and(|line| line.starts_with("push")) {
            return line;
        }
    }
}

#[tokio::test]
async fn a_proxy_whose_bytes_arrive_one_at_a_time_is_served() {
    let (_discovery, _servers, supervisor) = serving().await;
    let mut proxy = Peer::connect(supervisor.address).await;
    trickle(&mut proxy, "hello id=0 site=a rps=20.0 new=1\r\n").await;
    let table = wait_for("a table", proxy.line())
        .await
        .expect("the stream is open");
    assert!(table.contains("replace=1"), "{table}");
    let sequence = table.split("stamp=").nth(1).expect("a sequence number");
    trickle(
        &mut proxy,
        &format!("ack id=0 seq={sequence} ms=12.5\r\nprobe\r\n"),
    )
    .await;
    assert_eq!(next_answer(&mut proxy).await.as_deref(), Some("alive"));
}

#[tokio::test]
async fn each_of_many_messages_in_one_segment_is_read() {
    let (_discovery, _servers, supervisor) = serving().await;
    let outcomes = |server: &str, failed: u32| {
        format!("outcomes site=a target={server} count=40 fail={failed} mean=20 over=1000.0\r\n")
            .repeat(20)
    };
    let reports = [outcomes("s-1", 40), outcomes("s-2", 0), outcomes("s-3", 0)].concat();
    let mut collector = Peer::connect(supervisor.address).await;
    collector
        .send_bytes(format!("agent site=a\r\n{reports}probe\r\n").as_bytes())
        .await;
    assert_eq!(next_answer(&mut collector).await.as_deref(), Some("alive"));
    supervisor
        .expect_log_lines(1, &["s-1", "withdrawn", "attempts failed"])
        .await;
}

#[tokio::test]
async fn a_hello_and_a_probe_in_one_segment_are_both_answered() {
    let (_discovery, _servers, supervisor) = serving().await;
    let mut peer = Peer::connect(supervisor.address).await;
    let hello = "hello id=3 site=a rps=20.0 new=1\r\n";
    let demand = "demand id=3 lane=lookup count=4 fail=0 over=200.0\r\n";
    peer.send_bytes(format!("{hello}{demand}probe\r\n").as_bytes())
        .await;
    let mut lines = Vec::new();
    while lines.len() < 2 {
        lines.push(
            wait_for("a line", peer.line())
                .await
                .expect("the stream is open"),
        );
    }
    assert!(lines.iter().any(|line| line == "alive"), "{lines:?}");
    assert!(
        lines.iter().any(|line| line.contains("replace=1")),
        "{lines:?}"
    );
}

/// Connections that are reset before they are read must not leak descriptors or stop the listener.
#[tokio::test]
async fn connections_reset_right_after_accept_do_not_affect_others() {
    let (_discovery, _servers, supervisor) = serving().await;
    for _ in 0..300 {
        Peer::connect(supervisor.address).await.reset();
    }
    joined(&supervisor, 0).await;
    assert!(supervisor.is_responsive().await);
}

/// A proxy that resets its stream right after its hello can rejoin and gets its complete table.
#[tokio::test]
async fn a_stream_reset_right_after_its_hello_can_be_opened_again() {
    let (_discovery, _servers, supervisor) = serving().await;
    for _ in 0..50 {
        Proxy::join(&supervisor, 1, true).await.peer.reset();
    }
    joined(&supervisor, 1).await;
    assert!(supervisor.is_responsive().await);
}
