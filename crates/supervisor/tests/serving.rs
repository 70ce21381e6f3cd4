//! The program over sockets: it is started, spoken to as by its peers, and asked what it logged.

use std::sync::atomic::Ordering;

use chutegrade_emulators::{config, until, Discovery, Manner, Peer, Proxy, Server};
use serde_json::json;

mod common;
use common::*;

#[tokio::test]
async fn a_proxy_is_served_from_join_to_order_to_ack() {
    let (discovery, servers) = fleet().await;
    let mut supervisor = program().start(&config(&discovery, None, 1024)).await;
    assert!(supervisor.alive().await);
    let mut proxy = joined(&supervisor, 3).await;
    assert_eq!(
        proxy.retries.get("order").map(String::as_str),
        Some("1"),
        "once, after proof"
    );
    proxy.demand().await;
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
    // Probes go on over one kept connection each.
    until("several probes of each", || {
        servers.iter().all(|server| server.probed() >= 3)
    })
    .await;
    assert!(servers
        .iter()
        .all(|server| server.connections.load(Ordering::SeqCst) == 1));
    assert!(supervisor.runs());
    assert_eq!(
        supervisor.logged(&["peer=\"proxy\"", "connection ended"]),
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
        proxy.applies("a whole table", has_all).await;
    }
    discovery.set("s-2", servers[1].address, "draining");
    for proxy in &mut proxies {
        proxy
            .applies("the drain", |proxy| proxy.picks("lookup") == ["s-1", "s-3"])
            .await;
        assert!(!proxy.picks("order").contains(&"s-2"));
    }
    // One that joins now, with the old table, must not go there either.
    let mut late = Proxy::join(&supervisor, 5, false).await;
    late.applies("a table without it", |proxy| {
        proxy.picks("order") == ["s-1", "s-3"]
    })
    .await;
}

/// Danger: withdrawals stay with a proxy across streams; one brought from another supervisor would stay for good.
#[tokio::test]
async fn a_proxy_gets_back_what_another_supervisor_withheld() {
    let (_discovery, _servers, supervisor) = serving().await;
    let mut proxy = Proxy::join(&supervisor, 1, false).await;
    proxy.dropped.extend(["s-1".to_string(), "s-3".to_string()]);
    proxy.applies("all three servers", has_all).await;
}

#[tokio::test]
async fn a_broken_or_silent_or_garbled_watch_is_replaced_and_withdraws_nothing() {
    let (discovery, servers, supervisor) = serving().await;
    let mut proxy = joined(&supervisor, 0).await;
    let news = ["s-1", "s-2"];

    until("a watch", || discovery.opened() == 1).await;
    discovery.hang_up();
    until("a second watch", || discovery.opened() == 2).await;
    discovery.set(news[0], servers[0].address, "draining");
    proxy
        .applies("news on the second watch", |proxy| {
            proxy.picks("lookup") == ["s-2", "s-3"]
        })
        .await;

    discovery.say("{\"index\":9,\"snapshot\":true,\"endpoints\":[");
    until("a third watch", || discovery.opened() == 3).await;
    supervisor
        .logs(1, &["discovery delivered a malformed list"])
        .await;
    discovery.set(news[1], servers[1].address, "draining");
    proxy
        .applies("news on the third watch", |proxy| {
            proxy.picks("lookup") == ["s-3"]
        })
        .await;

    discovery.mute(true);
    until("a fourth watch", || discovery.opened() == 4).await;
    discovery.mute(false);
    discovery.set(news[0], servers[0].address, "up");
    discovery.set(news[1], servers[1].address, "up");
    until("the loss in the log", || {
        supervisor.logged(&["discovery unavailable", "reason=silent"]) > 0
    })
    .await;
    assert_eq!(
        proxy.picks("lookup"),
        ["s-3"],
        "the last list held all the while"
    );
    proxy
        .applies("the return", |proxy| proxy.picks("lookup").len() > 1)
        .await;
}

/// Where the list comes on request, the decisions subscribe, hear of the loss, and subscribe anew.
#[tokio::test]
async fn a_subscription_that_breaks_is_renewed_where_the_list_comes_on_request() {
    let (discovery, servers) = fleet().await;
    let mut asking = config(&discovery, None, 1024);
    asking["settings"]["discovery"] = json!("subscribe");
    let supervisor = program().start(&asking).await;
    let mut proxy = joined(&supervisor, 0).await;
    until("a watch", || discovery.opened() == 1).await;
    discovery.hang_up();
    until("a second watch", || discovery.opened() == 2).await;
    discovery.set("s-2", servers[1].address, "draining");
    proxy
        .applies("news on the second watch", |proxy| {
            proxy.picks("lookup") == ["s-1", "s-3"]
        })
        .await;
}

/// Danger: SIGHUP ends a program that has no handler, and the environment names the old address for good.
#[tokio::test]
async fn a_new_configuration_moves_it_to_another_agent() {
    let (discovery, servers) = fleet().await;
    let mut told = config(&discovery, Some(discovery.list()), 1024);
    let mut supervisor = program().start_with_env(&told).await;
    let mut proxy = joined(&supervisor, 0).await;
    until("a watch", || discovery.opened() == 1).await;

    let second = discovery.second().await;
    told["discovery"] = json!(second.address.to_string());
    supervisor.reload(&told.to_string()).await;
    until("a watch at the new address", || second.opened() == 1).await;
    second.set("s-2", servers[1].address, "draining");
    proxy
        .applies("news from there", |proxy| {
            proxy.picks("lookup") == ["s-1", "s-3"]
        })
        .await;

    // While the agent says nothing, and more signals than one at a time: the last file holds.
    second.mute(true);
    let third = second.second().await;
    supervisor.freeze().await;
    for agent in [&discovery, &third] {
        told["discovery"] = json!(agent.address.to_string());
        supervisor.reload(&told.to_string()).await;
    }
    supervisor.thaw(&["-HUP"]).await;
    supervisor
        .logs(1, &["reloaded", &third.address.to_string()])
        .await;
    assert_eq!(
        supervisor.logged(&["reloaded", &discovery.address.to_string()]),
        0
    );
    until("a watch at the third address", || third.opened() == 1).await;
    third.set("s-1", servers[0].address, "draining");
    proxy
        .applies("news from the third", |proxy| {
            proxy.picks("order") == ["s-3"]
        })
        .await;

    // What can't be read or changed while it runs leaves all as it is.
    supervisor
        .reload("{\"discovery\": \"127.0.0.1:9\", \"settings\"")
        .await;
    supervisor.logs(1, &["new configuration rejected"]).await;
    told["limits"]["sockets"] = json!(64);
    supervisor.reload(&told.to_string()).await;
    supervisor.logs(1, &["reloaded", "limits"]).await;
    third.set("s-1", servers[0].address, "up");
    proxy
        .applies("news as before", |proxy| {
            proxy.picks("order") == ["s-1", "s-3"]
        })
        .await;
    assert_eq!(
        supervisor.logged(&["peer=\"proxy\"", "connection ended"]),
        0
    );
    assert_eq!(supervisor.terminate().await, Some(0));
}

/// Danger: an agent that was sent less than the last one tells of a server that drains as if it were up.
#[tokio::test]
async fn an_agent_that_is_behind_undoes_nothing() {
    let (discovery, servers) = fleet().await;
    let behind = discovery.second().await;
    let mut told = config(&discovery, Some(discovery.list()), 1024);
    let supervisor = program().start(&told).await;
    let mut proxy = joined(&supervisor, 0).await;
    discovery.set("s-2", servers[1].address, "draining");
    proxy
        .applies("the drain", |proxy| proxy.picks("lookup") == ["s-1", "s-3"])
        .await;

    told["discovery"] = json!(behind.address.to_string());
    supervisor.reload(&told.to_string()).await;
    until("a watch there", || behind.opened() == 1).await;
    supervisor.logs(1, &["discovery is behind"]).await;
    // It catches up: the first that is news here is told after what is old.
    behind.set("s-2", servers[1].address, "draining");
    behind.set("s-3", servers[2].address, "draining");
    proxy
        .applies("the news", |proxy| proxy.picks("lookup") == ["s-1"])
        .await;
    assert_eq!(supervisor.logged(&["s-2 in service"]), 0);
    // Where the numbers start anew for good, what is told holds in the end.
    behind.count_from(1);
    behind.set("s-2", servers[1].address, "up");
    proxy
        .applies("the return", |proxy| proxy.picks("lookup").contains(&"s-2"))
        .await;
}

#[tokio::test]
async fn a_restart_serves_from_the_known_list_while_discovery_is_down() {
    let (discovery, _servers) = fleet().await;
    let known = discovery.list();
    let first = program()
        .start(&config(&discovery, Some(known.clone()), 1024))
        .await;
    let mut proxy = joined(&first, 0).await;
    discovery.mute(true);
    first.kill().await;
    proxy.peer.ended().await;
    let again = program()
        .start(&config(&discovery, Some(known), 1024))
        .await;
    assert!(again.alive().await);
    let before = proxy.messages;
    proxy.join_again(&again).await;
    proxy
        .applies("a table from the new process", |proxy| {
            proxy.messages > before
        })
        .await;
    assert!(has_all(&proxy));
}

#[tokio::test]
async fn a_proxy_that_does_not_read_keeps_nobody_waiting() {
    let (discovery, servers, supervisor) = serving().await;
    let mut deaf = Proxy::join(&supervisor, 0, true).await;
    let mut other = joined(&supervisor, 1).await;
    // Megabytes of reports from a proxy that reads nothing are still taken in.
    let reports = "demand id=0 lane=lookup count=4 fail=0 over=200.0\r\n".repeat(40_000);
    assert!(deaf.peer.raw(reports.as_bytes()).await);
    discovery.set("s-1", servers[0].address, "draining");
    other
        .applies("the drain", |proxy| !proxy.picks("lookup").contains(&"s-1"))
        .await;
    deaf.applies("the drain, late", |proxy| {
        proxy.picks("lookup") == ["s-2", "s-3"]
    })
    .await;
    assert_eq!(
        supervisor.logged(&["peer=\"proxy\"", "connection ended"]),
        0
    );
}

#[tokio::test]
async fn a_newer_stream_of_a_proxy_takes_the_older_ones_place() {
    let (discovery, servers, supervisor) = serving().await;
    let mut older = joined(&supervisor, 2).await;
    let mut newer = Proxy::join(&supervisor, 2, false).await;
    older.peer.ended().await;
    supervisor.logs(1, &["reason=replaced", "2@a"]).await;
    newer.applies("a whole table", has_all).await;
    discovery.set("s-3", servers[2].address, "draining");
    newer
        .applies("the drain", |proxy| proxy.picks("order") == ["s-1", "s-2"])
        .await;
}

#[tokio::test]
async fn strangers_never_take_the_places_of_peers() {
    let (discovery, _servers) = fleet().await;
    // Of 48 descriptors, 16 are its own, 8 the proxies', 8 the collectors'; half of the rest is for strangers.
    let supervisor = program()
        .start(&config(&discovery, Some(discovery.list()), 48))
        .await;
    let mut strangers = Vec::new();
    for _ in 0..40 {
        strangers.push(Peer::connect(supervisor.address).await);
    }
    supervisor
        .logs(32, &["peer=\"stranger\"", "reason=crowded"])
        .await;
    for stranger in strangers.iter_mut().take(32) {
        stranger.ended().await;
    }
    assert!(supervisor.alive().await);
    joined(&supervisor, 0).await;
}

/// Danger: where no descriptor is left, a supervisor that spins, or gives up accepting, serves nobody afterwards.
#[tokio::test]
async fn it_goes_on_after_it_ran_out_of_descriptors() {
    let (discovery, _servers) = fleet().await;
    let told_wrong = config(&discovery, Some(discovery.list()), 1024);
    let mut supervisor = program().start_within(&told_wrong, 24).await;
    let mut strangers = Vec::new();
    for _ in 0..40 {
        strangers.push(Peer::connect(supervisor.address).await);
    }
    until("the lack in the log", || {
        supervisor.logged(&["no connection can be accepted now"]) > 0
    })
    .await;
    drop(strangers);
    assert!(supervisor.alive().await);
    joined(&supervisor, 0).await;
    assert!(supervisor.runs());
}

#[tokio::test]
async fn bad_input_ends_its_connection_and_nothing_else() {
    let (_discovery, _servers, mut supervisor) = serving().await;
    let mut proxy = joined(&supervisor, 0).await;
    let long = "x".repeat(5000);
    let row = "outcomes site=a target=s-1 count=-1 over=1\r\n".repeat(100);
    let spoilt: [(&[&[u8]], &str, &str); 10] = [
        (&[b"GET / HTTP/1.1\r\n"], "stranger", "unreadable"),
        (&[b"\xff\xfe\r\n"], "stranger", "unreadable"),
        (
            &[b"outcomes site=a target=s-1 count=1 over=1\r\n"],
            "stranger",
            "unreadable",
        ),
        (&[long.as_bytes()], "stranger", "too-long"),
        (
            &[b"hello id=99 site=a rps=1 new=1\r\n"],
            "stranger",
            "unknown",
        ),
        (
            &[b"hello id=1 site=nowhere rps=1 new=1\r\n"],
            "stranger",
            "unknown",
        ),
        (
            &[b"hello id=1 site=a rps=NaN new=1\r\n"],
            "stranger",
            "unreadable",
        ),
        (
            &[b"hello id=4 site=a rps=1 new=1\r\n", b"{}\r\n"],
            "proxy",
            "unreadable",
        ),
        (
            &[
                b"agent site=a\r\n",
                b"outcomes site=a tar\xffget=s-1 count=1 over=1\r\n",
            ],
            "collector",
            "unreadable",
        ),
        (
            &[b"agent site=a\r\n", row.as_bytes()],
            "collector",
            "unreadable",
        ),
    ];
    let mut seen = std::collections::BTreeMap::<(&str, &str), usize>::new();
    for (pieces, peer, reason) in spoilt {
        let mut spoiler = Peer::connect(supervisor.address).await;
        for piece in pieces {
            spoiler.raw(piece).await;
        }
        spoiler.ended().await;
        let times = seen.entry((peer, reason)).or_default();
        *times += 1;
        supervisor
            .logs(
                *times,
                &[&format!("peer=\"{peer}\""), &format!("reason={reason}")],
            )
            .await;
    }
    // Half a line, then the end.
    let mut cut = Peer::connect(supervisor.address).await;
    cut.raw(b"agent si").await;
    drop(cut);
    supervisor.logs(1, &["reason=cut-short"]).await;
    // What is merely not known is dropped, and the connection goes on.
    let mut collector = Peer::connect(supervisor.address).await;
    collector.send("agent site=a").await;
    collector
        .send("outcomes site=a target=s-none count=1 fail=0 mean=1 over=1")
        .await;
    collector
        .send("outcomes site=moon target=s-1 count=1 fail=0 mean=1 over=1")
        .await;
    collector
        .send("demand id=7 lane=none count=1 fail=0 over=1")
        .await;
    collector.send("weather sun=1").await;
    collector.send("probe").await;
    assert_eq!(collector.line().await.as_deref(), Some("alive"));
    assert!(supervisor.runs());
    proxy.peer.send("probe").await;
    while proxy.peer.line().await.expect("the first stream stands") != "alive" {}
    assert_eq!(supervisor.logged(&["connection ended", "0@a"]), 0);
}

/// Danger: a stream or collector ended for one bad word takes with it all that was good, and its proxy's newest tables.
#[tokio::test]
async fn a_spoilt_message_is_skipped_and_its_connection_goes_on() {
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
        .applies("the drain on the same stream", |proxy| {
            proxy.picks("order") == ["s-2", "s-3"]
        })
        .await;
    assert_eq!(supervisor.logged(&["connection ended"]), 0);
}

#[tokio::test]
async fn of_too_many_collectors_of_a_zone_the_oldest_goes() {
    let (_discovery, _servers, supervisor) = serving().await;
    let mut collectors = Vec::new();
    for _ in 0..5 {
        let mut collector = Peer::connect(supervisor.address).await;
        collector.send("agent site=a").await;
        collector.send("probe").await;
        assert_eq!(collector.line().await.as_deref(), Some("alive"));
        collectors.push(collector);
    }
    collectors[0].ended().await;
    supervisor
        .logs(1, &["peer=\"collector\"", "reason=crowded"])
        .await;
    collectors[4].send("probe").await;
    assert_eq!(collectors[4].line().await.as_deref(), Some("alive"));
}

/// Half a line, nothing, or questions without end: whoever is no peer hears so in time, and its place is needed.
#[tokio::test]
async fn who_does_not_say_who_it_is_is_told_and_must_go() {
    let (_discovery, _servers, supervisor) = serving().await;
    let mut half = Peer::connect(supervisor.address).await;
    half.raw(b"hello id=1 si").await;
    let mut silent = Peer::connect(supervisor.address).await;
    let mut holds = Peer::connect(supervisor.address).await;
    holds.send("probe").await;
    assert_eq!(holds.line().await.as_deref(), Some("alive"));
    let mut asks = Peer::connect(supervisor.address).await;
    let mut answer = Some("alive".to_string());
    while answer.as_deref() == Some("alive") {
        asks.raw(b"probe\r\n").await;
        answer = asks.line().await;
    }
    assert_eq!(answer.as_deref(), Some("error reason=unnamed"));
    for stranger in [&mut half, &mut silent, &mut holds] {
        assert_eq!(
            stranger.line().await.as_deref(),
            Some("error reason=unnamed")
        );
        stranger.ended().await;
    }
    supervisor
        .logs(4, &["peer=\"stranger\"", "reason=unnamed"])
        .await;
    assert!(supervisor.alive().await);
}

/// The word must have left before the close: what is still on its way here would turn it into a reset.
#[tokio::test]
async fn whoever_is_no_peer_hears_why_it_is_turned_away() {
    let (_discovery, _servers, supervisor) = serving().await;
    let more = "x".repeat(900);
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
        let mut stranger = Peer::connect(supervisor.address).await;
        stranger.raw(format!("{line}\r\n{more}").as_bytes()).await;
        stranger.raw(more.as_bytes()).await;
        let answer = stranger.line().await;
        assert_eq!(answer, Some(format!("error reason={code}")), "{line}");
        stranger.ended().await;
    }
    assert!(supervisor.alive().await);
}

/// One that sends without end and never reads is let go all the same.
#[tokio::test]
async fn a_client_that_sends_without_end_is_let_go() {
    let (_discovery, _servers, supervisor) = serving().await;
    for piece in [
        vec![b'x'; 4096],
        b"probe\r\n".repeat(512),
        b"agent site=nowhere\r\n".repeat(200),
    ] {
        let mut endless = Peer::connect(supervisor.address).await;
        while endless.raw(&piece).await {}
    }
    assert!(supervisor.alive().await);
}

/// Silence counts only once something was due: usage comes every period from one that has brought it before.
#[tokio::test]
async fn a_stream_that_falls_silent_is_given_up() {
    let (_discovery, _servers, supervisor) = serving().await;
    let mut proxy = joined(&supervisor, 0).await;
    proxy.demand().await;
    proxy.peer.ended().await;
    supervisor
        .logs(1, &["peer=\"proxy\"", "0@a", "reason=silent", "no usage"])
        .await;
    assert!(supervisor.alive().await);
}

/// Danger: where few requests come to each of many proxies, most have none to tell of in most periods, and on a day without
/// any fault streams were ended for it. A pause of 2 s was seen here, so that 7 s more are none: 5 s end a busy one's.
#[tokio::test]
async fn a_proxy_to_which_few_requests_come_keeps_its_stream() {
    let (_discovery, _servers, supervisor) = serving().await;
    let mut proxy = joined(&supervisor, 0).await;
    tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    proxy.demand().await;
    // A weight that moves meanwhile brings a mark, which it answers like any proxy.
    proxy.applies_for(std::time::Duration::from_secs(7)).await;
    proxy.peer.send("probe").await;
    // Orders that came meanwhile are ahead of the answer.
    let mut line = proxy.peer.line().await;
    while line.as_ref().is_some_and(|line| line.starts_with("push")) {
        line = proxy.peer.line().await;
    }
    assert_eq!(line.as_deref(), Some("alive"), "its stream goes on");
}

/// Danger: a proxy with little to do says nothing before its table has come. Where that waits in a slow channel, its stream
/// was ended for it, and the time limits on its old table ran on. What waits here takes some ten seconds by the settings.
#[tokio::test]
async fn an_answer_is_not_due_before_the_channel_has_brought_the_mark() {
    let (discovery, _servers) = fleet().await;
    let mut slow = config(&discovery, Some(discovery.list()), 1024);
    slow["settings"]["familyInfo"]["linesPerS"] = json!(1.0);
    let supervisor = program().start(&slow).await;
    let mut quiet = Peer::connect(supervisor.address).await;
    quiet.send("hello id=1 site=a rps=0.1 new=0").await;
    let table = quiet.line().await.expect("a table");
    assert!(
        table.contains("replace=1") && table.contains("stamp="),
        "{table}"
    );
    tokio::time::sleep(std::time::Duration::from_secs(9)).await;
    quiet.send("probe").await;
    assert_eq!(
        quiet.line().await.as_deref(),
        Some("alive"),
        "its stream goes on"
    );
    quiet.ended().await;
    supervisor
        .logs(
            1,
            &[
                "peer=\"proxy\"",
                "1@a",
                "reason=silent",
                "no answer to a mark",
            ],
        )
        .await;
}

#[tokio::test]
async fn servers_that_answer_badly_stop_nothing() {
    let discovery = Discovery::start().await;
    let mut servers = Vec::new();
    for (name, manner) in [
        ("s-1", Manner::Well),
        ("s-2", Manner::Busy),
        ("s-3", Manner::Huge),
        ("s-4", Manner::Hangs),
    ] {
        servers.push(Server::start(name, manner).await);
        discovery.set(name, servers[servers.len() - 1].address, "up");
    }
    let nobody = Server::start("s-5", Manner::Well).await.address;
    let closed = std::net::SocketAddr::new(nobody.ip(), 1);
    discovery.set("s-5", closed, "up");
    let mut supervisor = program()
        .start(&config(&discovery, Some(discovery.list()), 1024))
        .await;
    let mut proxy = Proxy::join(&supervisor, 0, true).await;
    proxy
        .applies("some table", |proxy| !proxy.picks("lookup").is_empty())
        .await;
    until("further probes of each", || {
        servers.iter().all(|server| server.probed() >= 3)
    })
    .await;
    supervisor
        .logs(1, &["server refuses connections", "reason=refused"])
        .await;
    assert!(supervisor.runs() && supervisor.alive().await);
}

#[tokio::test]
async fn sigterm_ends_it_with_one_line_for_each_connection() {
    let (_discovery, _servers, mut supervisor) = serving().await;
    let mut proxy = joined(&supervisor, 0).await;
    let mut collector = Peer::connect(supervisor.address).await;
    collector.send("agent site=b").await;
    collector.send("probe").await;
    assert_eq!(collector.line().await.as_deref(), Some("alive"));
    assert_eq!(supervisor.terminate().await, Some(0));
    proxy.peer.ended().await;
    supervisor
        .logs(1, &["peer=\"proxy\"", "reason=stopping"])
        .await;
    supervisor
        .logs(1, &["peer=\"collector\"", "reason=stopping"])
        .await;
}

#[tokio::test]
async fn a_bad_configuration_ends_it_with_one_sentence() {
    let discovery = Discovery::start().await;
    let whole = config(&discovery, None, 1024);
    let mut no_settings = whole.clone();
    no_settings["settings"] = json!([]);
    let mut no_address = whole.clone();
    no_address["listen"] = json!("somewhere");
    for spoilt in [no_settings, no_address, json!("nothing")] {
        let (code, said) = program().fails_to_start(&spoilt).await;
        assert_eq!(code, Some(1));
        assert_eq!(said.lines().count(), 1, "{said}");
        assert!(said.contains("cannot run"), "{said}");
    }
}
