use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;

const WELL: &str = "HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\nTEXT queue=3";

/// A server that gives these answers on each connection, then closes it at the next request; the ends of so many
/// probes.
fn ends(answers: &'static [&'static str], probes: usize) -> Vec<(ProbeEnd, Load)> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
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
        let servers = Servers::new(true, Duration::from_secs(5), Duration::from_secs(60));
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
    let load = Load { queue: Some(3.0), ..Load::default() };
    assert_eq!(ends(&[WELL], 4), vec![(ProbeEnd::Done, load); 4]);
    assert_eq!(ends(&[WELL, WELL, WELL], 5), vec![(ProbeEnd::Done, load); 5]);
}

#[test]
fn answers_become_ends() {
    let of = |answer: &'static [&'static str]| ends(answer, 1)[0].0;
    assert_eq!(of(&["HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n"]), ProbeEnd::Busy);
    assert_eq!(of(&["HTTP/1.1 500 Oh\r\ncontent-length: 0\r\n\r\n"]), ProbeEnd::Error);
    assert_eq!(of(&["TEXT queue=3\r\n\r\n"]), ProbeEnd::Error);
    assert_eq!(of(&["HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\nTEXT"]), ProbeEnd::TimedOut);
    assert_eq!(of(&[""]), ProbeEnd::TimedOut);
    assert_eq!(of(&[]), ProbeEnd::Unreachable);
}

/// Danger: over months of replaced servers, the addresses of those that are gone add up.
#[test]
fn servers_that_are_gone_leave_nothing_behind() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let servers = Servers::new(true, Duration::from_secs(5), Duration::from_secs(60));
        let gone = |port: u16| (SocketAddr::from(([127, 0, 0, 1], port)), Instant::now() - 2 * TRIED_WITHIN);
        servers.closed.borrow_mut().extend((1..=20).map(gone));
        assert_eq!(servers.ask("127.0.0.1:21").await.0, ProbeEnd::Unreachable);
        assert_eq!(servers.closed.borrow().keys().map(SocketAddr::port).collect::<Vec<_>>(), [21]);
    });
}

#[test]
fn an_address_that_is_none_says_nothing_of_the_server() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let servers = Servers::new(false, Duration::from_secs(5), Duration::from_secs(60));
    assert_eq!(runtime.block_on(servers.ask("nowhere")), (ProbeEnd::Other, Load::default()));
}
