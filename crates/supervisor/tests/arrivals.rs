//! How bytes arrive: one at a time, many messages in one piece, and on connections that end at once.

mod common;
use chutegrade_emulators::{soon, Peer, Proxy};
use common::*;

/// Writes bytes one at a time, each in a segment of its own.
async fn trickle(peer: &mut Peer, text: &str) {
    for byte in text.as_bytes() {
        assert!(peer.raw(&[*byte]).await, "the connection stands");
        tokio::task::yield_now().await;
    }
}

/// The next line that is no order.
async fn answer(peer: &mut Peer) -> Option<String> {
    loop {
        let line = soon("an answer", peer.line()).await;
        if !line.as_ref().is_some_and(|line| line.starts_with("push")) {
            return line;
        }
    }
}

#[tokio::test]
async fn a_proxy_whose_bytes_come_one_at_a_time_is_served() {
    let (_discovery, _servers, supervisor) = serving().await;
    let mut slow = Peer::connect(supervisor.address).await;
    trickle(&mut slow, "hello id=0 site=a rps=20.0 new=1\r\n").await;
    let table = soon("a table", slow.line())
        .await
        .expect("the stream stands");
    assert!(table.contains("replace=1"), "{table}");
    let mark = table.split("stamp=").nth(1).expect("a mark");
    trickle(
        &mut slow,
        &format!("ack id=0 seq={mark} ms=12.5\r\nprobe\r\n"),
    )
    .await;
    assert_eq!(answer(&mut slow).await.as_deref(), Some("alive"));
}

#[tokio::test]
async fn each_of_many_messages_in_one_piece_is_read() {
    let (_discovery, _servers, supervisor) = serving().await;
    let outcomes = |server: &str, failed: u32| {
        format!("outcomes site=a target={server} count=40 fail={failed} mean=20 over=1000.0\r\n")
            .repeat(20)
    };
    let reports = [outcomes("s-1", 40), outcomes("s-2", 0), outcomes("s-3", 0)].concat();
    let mut collector = Peer::connect(supervisor.address).await;
    collector
        .raw(format!("agent site=a\r\n{reports}probe\r\n").as_bytes())
        .await;
    assert_eq!(answer(&mut collector).await.as_deref(), Some("alive"));
    supervisor
        .logs(1, &["s-1", "withdrawn", "tries fail"])
        .await;
}

/// The same of a proxy, whose join, usage and question arrive together.
#[tokio::test]
async fn a_join_and_a_question_in_one_piece_are_both_answered() {
    let (_discovery, _servers, supervisor) = serving().await;
    let mut peer = Peer::connect(supervisor.address).await;
    let join = "hello id=3 site=a rps=20.0 new=1\r\n";
    let usage = "demand id=3 lane=lookup count=4 fail=0 over=200.0\r\n";
    peer.raw(format!("{join}{usage}probe\r\n").as_bytes()).await;
    let mut lines = Vec::new();
    while lines.len() < 2 {
        lines.push(
            soon("a line", peer.line())
                .await
                .expect("the stream stands"),
        );
    }
    assert!(lines.iter().any(|line| line == "alive"), "{lines:?}");
    assert!(
        lines.iter().any(|line| line.contains("replace=1")),
        "{lines:?}"
    );
}

/// Danger: connections that are gone before they were looked at would use up descriptors, or end the accepting of others.
#[tokio::test]
async fn connections_reset_right_after_they_were_accepted_cost_nobody_anything() {
    let (_discovery, _servers, supervisor) = serving().await;
    for _ in 0..300 {
        Peer::connect(supervisor.address).await.reset();
    }
    joined(&supervisor, 0).await;
    assert!(supervisor.alive().await);
}

/// A proxy that breaks its stream right behind its join comes again, and holds its whole table.
#[tokio::test]
async fn a_join_that_is_reset_in_the_same_instant_leaves_room_for_the_next() {
    let (_discovery, _servers, supervisor) = serving().await;
    for _ in 0..50 {
        Proxy::join(&supervisor, 1, true).await.peer.reset();
    }
    joined(&supervisor, 1).await;
    assert!(supervisor.alive().await);
}
