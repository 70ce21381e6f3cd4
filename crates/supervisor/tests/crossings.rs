//! Two events at once, each crossing forced: the process stands still while both come, or a peer of the test holds the
//! one until the other has happened. `docs/crossings.md` names what has to hold in each.

use std::time::{Duration, Instant};

use chutegrade_emulators::{
    config, delivery, entry, soon, until, Discovery, Manner, Peer, Proxy, Scripted, Server,
    Supervisor,
};
use serde_json::{json, Value};

mod common;
use common::*;

/// Discovery as the test plays it, three servers, and a supervisor that knows them as version 41.
async fn told_by_hand() -> (Scripted, Vec<Server>, Supervisor, Value) {
    let (script, servers) = (Scripted::start().await, servers().await);
    let up: Vec<Value> = servers
        .iter()
        .map(|server| entry(server.name, server.address, "up", 0))
        .collect();
    let known = serde_json::from_str(&delivery(41, true, &up)).expect("JSON");
    let mut told = config(&Discovery::start().await, Some(known), 1024);
    told["discovery"] = json!(script.address.to_string());
    let supervisor = program().start(&told).await;
    (script, servers, supervisor, told)
}

async fn applies(proxy: &mut Proxy, picks: &[&str]) {
    proxy
        .applies(&format!("{picks:?}"), |proxy| {
            proxy.picks("lookup") == picks && proxy.picks("order") == picks
        })
        .await;
}

/// The next order; answers to nothing.
async fn order(peer: &mut Peer) -> String {
    soon("an order", peer.line())
        .await
        .expect("the stream stands")
}

fn mark(order: &str) -> &str {
    order.split("stamp=").nth(1).expect("a mark")
}

const WATCH: &str = "/api/targets?watch=1&from=41";
const WHOLE: &str = "/api/targets";

mod shutdown {
    use super::*;

    /// Danger: a signal that nobody handles yet ends the program, and SIGHUP may come to one that has only begun to read.
    #[tokio::test]
    async fn a_reload_while_the_configuration_is_read_waits_for_the_start() {
        let (discovery, _servers) = fleet().await;
        let second = discovery.second().await;
        let mut told = config(&discovery, Some(discovery.list()), 1024);
        let held = program().start_held().await;
        held.signals(&["-HUP", "-HUP"]).await;
        let mut supervisor = held.go_on(&told).await;
        told["discovery"] = json!(second.address.to_string());
        supervisor.feed(&told).await;
        supervisor
            .logs(1, &["reloaded", &second.address.to_string()])
            .await;
        until("a watch at the new address", || second.opened() == 1).await;
        joined(&supervisor, 0).await;
        assert_eq!(supervisor.terminate().await, Some(0));
    }

    #[tokio::test]
    async fn an_end_while_the_configuration_is_read_is_an_end_like_any() {
        let (discovery, _servers) = fleet().await;
        let held = program().start_held().await;
        held.signals(&["-TERM"]).await;
        let (code, said) = held
            .ends(&config(&discovery, Some(discovery.list()), 1024))
            .await;
        assert_eq!(
            (code, said.matches(" stopping").count()),
            (Some(0), 1),
            "{said}"
        );
    }

    /// Danger: who is told that a supervisor that stops is in use sends its proxies there.
    #[tokio::test]
    async fn nobody_hears_that_it_is_in_use_once_it_stops() {
        let (discovery, servers, mut supervisor) = serving().await;
        until("a watch", || discovery.opened() == 1).await;
        let mut proxy = joined(&supervisor, 0).await;
        let mut peers = Vec::new();
        for number in 0..8 {
            let mut peer = Peer::connect(supervisor.address).await;
            if number % 2 == 0 {
                peer.send("agent site=a").await;
            }
            peer.send("probe").await;
            assert_eq!(order(&mut peer).await, "alive");
            peers.push(peer);
        }
        supervisor.freeze().await;
        for peer in &mut peers {
            peer.raw(b"probe\r\n").await;
        }
        proxy.peer.raw(b"probe\r\n").await;
        // The system takes connections for it that it has not accepted yet.
        let mut late = Vec::new();
        for _ in 0..4 {
            let mut peer = Peer::connect(supervisor.address).await;
            peer.raw(b"probe\r\n").await;
            late.push(peer);
        }
        discovery.set("s-2", servers[1].address, "draining");
        supervisor.thaw(&["-TERM", "-HUP", "-TERM"]).await;
        for peer in peers.iter_mut().chain(&mut late).chain([&mut proxy.peer]) {
            assert_eq!(peer.rest().await, "", "nothing is said once it stops");
        }
        assert_eq!(supervisor.ends().await, Some(0));
        supervisor.logs(1, &[" stopping"]).await;
        supervisor
            .logs(4, &["peer=\"stranger\"", "reason=stopping"])
            .await;
        supervisor
            .logs(4, &["peer=\"collector\"", "reason=stopping"])
            .await;
        supervisor
            .logs(1, &["peer=\"proxy\"", "reason=stopping"])
            .await;
        supervisor
            .logs(1, &["peer=\"discovery\"", "reason=stopping"])
            .await;
        supervisor
            .logs(3, &["peer=\"server\"", "reason=stopping"])
            .await;
        assert_eq!(supervisor.logged(&["reloaded"]), 0, "nothing is read anew");
        assert_eq!(
            supervisor.logged(&["s-2 draining"]),
            0,
            "nothing is decided"
        );
    }

    /// One that reads nothing holds half an order; what it has of it ends within a line, which is no message.
    #[tokio::test]
    async fn an_order_half_written_ends_with_its_connection() {
        let (discovery, script) = (Discovery::start().await, Scripted::start().await);
        let name = |number: usize| format!("server-{number:04}-{}", "x".repeat(5000));
        let up: Vec<Value> = (0..1024)
            .map(|number| entry(&name(number), script.address, "up", 0))
            .collect();
        let known = serde_json::from_str(&delivery(41, true, &up)).expect("JSON");
        let mut told = config(&discovery, Some(known), 1024);
        told["settings"]["familyInfo"]["backlog"] = json!(1e6);
        told["settings"]["familyInfo"]["linesPerS"] = json!(1e6);
        told["settings"]["limits"]["probes"] = json!(false);
        let mut supervisor = program().start(&told).await;
        let mut deaf = Peer::connect_narrow(supervisor.address).await;
        deaf.send("hello id=1 site=a rps=20.0 new=1").await;
        // A further stream whose first table is there tells that the deaf one's was ordered in an earlier turn.
        let mut other = Peer::connect(supervisor.address).await;
        other.send("hello id=2 site=a rps=10.0 new=1").await;
        while !order(&mut other).await.contains("server-1023") {}
        assert_eq!(supervisor.terminate().await, Some(0));
        let got = deaf.rest().await;
        assert!(
            !got.is_empty() && !got.ends_with("\r\n"),
            "{} bytes",
            got.len()
        );
        supervisor
            .logs(2, &["peer=\"proxy\"", "reason=stopping"])
            .await;
    }

    #[tokio::test]
    async fn an_end_while_the_list_is_fetched_leaves_its_line() {
        let script = Scripted::start().await;
        let mut told = config(&Discovery::start().await, None, 1024);
        told["discovery"] = json!(script.address.to_string());
        let mut supervisor = program().start(&told).await;
        let mut asked = script.asked_for(WHOLE).await;
        asked
            .raw(b"HTTP/1.1 200 OK\r\ncontent-length: 4000\r\n\r\n{\"ind")
            .await;
        assert_eq!(supervisor.terminate().await, Some(0));
        asked.ended().await;
        supervisor
            .logs(1, &["peer=\"discovery\"", "reason=stopping"])
            .await;
        supervisor.logs(1, &["connection ended"]).await;
    }
}

mod list {
    use super::*;

    /// Danger: what an entry that can't be read told is never told again to whoever asks for what came after it.
    #[tokio::test]
    async fn a_version_that_was_read_in_part_is_asked_for_again() {
        let (script, servers, supervisor, _) = told_by_hand().await;
        let mut proxy = joined(&supervisor, 0).await;
        let (drains, gone) = (
            entry("s-2", servers[1].address, "draining", 0),
            entry("s-3", servers[2].address, "removed", 0),
        );
        let mut spoilt = drains.clone();
        spoilt["status"] = json!("dra\u{fffd}ning");
        let mut watch = script.asked_for(WATCH).await;
        watch.begin().await;
        watch
            .tell(&delivery(42, false, &[spoilt, gone.clone()]))
            .await;
        // What could be read holds at once.
        applies(&mut proxy, &["s-1", "s-2"]).await;
        let mut again = script.asked_for(WATCH).await;
        again.begin().await;
        again.tell(&delivery(42, false, &[drains, gone])).await;
        applies(&mut proxy, &["s-1"]).await;
    }

    /// What is told in the same words for good holds without them, and the next news is heard.
    #[tokio::test]
    async fn a_version_that_can_never_be_read_whole_keeps_no_news_back() {
        let (script, servers, supervisor, _) = told_by_hand().await;
        let mut proxy = joined(&supervisor, 0).await;
        let mut watch = script.asked_for(WATCH).await;
        for _ in 0..4 {
            watch.begin().await;
            watch
                .tell(&delivery(
                    42,
                    false,
                    &[json!({"name": "s-9", "status": "resting"})],
                ))
                .await;
            watch = script.asked_for(WATCH).await;
        }
        watch.begin().await;
        watch
            .tell(&delivery(
                42,
                false,
                &[json!({"name": "s-9", "status": "resting"})],
            ))
            .await;
        watch
            .tell(&delivery(
                43,
                false,
                &[entry("s-1", servers[0].address, "draining", 0)],
            ))
            .await;
        applies(&mut proxy, &["s-2", "s-3"]).await;
        // The fifth watch stands, and the next one asks for what came after both.
        drop(watch);
        script.asked_for("/api/targets?watch=1&from=43").await;
    }

    /// Danger: a whole list that lacks one that was removed would never read as its removal because another entry is spoilt.
    #[tokio::test]
    async fn a_whole_list_with_a_spoilt_entry_still_tells_who_is_gone() {
        let (script, servers, supervisor, _) = told_by_hand().await;
        let mut proxy = joined(&supervisor, 0).await;
        let mut watch = script.asked_for(WATCH).await;
        watch.begin().await;
        let mut spoilt = entry("s-2", servers[1].address, "up", 0);
        spoilt["weight"] = json!(-1.0);
        watch
            .tell(&delivery(
                50,
                true,
                &[entry("s-1", servers[0].address, "up", 0), spoilt],
            ))
            .await;
        applies(&mut proxy, &["s-1", "s-2"]).await;
    }

    /// A list known at the start of which an entry can't be read: its news came before the version that the list names.
    #[tokio::test]
    async fn a_known_list_read_in_part_is_followed_from_the_first_version() {
        let (script, servers) = (Scripted::start().await, servers().await);
        let up = entry("s-1", servers[0].address, "up", 0);
        let known = delivery(41, true, &[up, json!({"name": "s-2", "status": 7})]);
        let mut told = config(
            &Discovery::start().await,
            serde_json::from_str(&known).ok(),
            1024,
        );
        told["discovery"] = json!(script.address.to_string());
        let _supervisor = program().start(&told).await;
        script.asked_for("/api/targets?watch=1&from=0").await;
    }

    /// Danger: of a list that counts anew, the changes that are believed at last lack those that were not.
    #[tokio::test]
    async fn a_list_that_counts_anew_is_taken_whole() {
        let (script, servers, supervisor, _) = told_by_hand().await;
        let mut proxy = joined(&supervisor, 0).await;
        let [first, second] =
            [0, 1].map(|of| entry(servers[of].name, servers[of].address, "draining", 0));
        let mut watch = script.asked_for(WATCH).await;
        watch.begin().await;
        watch
            .tell(&delivery(2, false, std::slice::from_ref(&first)))
            .await;
        supervisor.logs(1, &["discovery is behind"]).await;
        let since = Instant::now();
        while since.elapsed() < Duration::from_millis(6100) {
            tokio::time::sleep(Duration::from_millis(500)).await;
            watch.tell(&delivery(2, false, &[])).await;
            if let Ok((mut asked, path)) =
                tokio::time::timeout(Duration::from_millis(1), script.asked()).await
            {
                assert_eq!(path, WHOLE, "before anything is believed");
                asked
                    .answer(
                        200,
                        &delivery(
                            3,
                            true,
                            &[first, second, entry("s-3", servers[2].address, "up", 0)],
                        ),
                    )
                    .await;
                applies(&mut proxy, &["s-3"]).await;
                return;
            }
        }
        watch
            .tell(&delivery(3, false, std::slice::from_ref(&second)))
            .await;
        let mut asked = script.asked_for(WHOLE).await;
        asked
            .answer(
                200,
                &delivery(
                    3,
                    true,
                    &[first, second, entry("s-3", servers[2].address, "up", 0)],
                ),
            )
            .await;
        applies(&mut proxy, &["s-3"]).await;
    }

    /// Danger: where watches open and say nothing one after the other, news is later than the 6 s after which it counts as told.
    #[tokio::test]
    async fn after_a_watch_that_says_nothing_the_whole_list_is_asked_for() {
        let (script, servers, supervisor, _) = told_by_hand().await;
        let mut proxy = joined(&supervisor, 0).await;
        let mut silent = script.asked_for(WATCH).await;
        silent.begin().await;
        let mut asked = script.asked_for(WHOLE).await;
        let up = |of: usize| entry(servers[of].name, servers[of].address, "up", 0);
        asked
            .answer(200, &delivery(42, true, &[up(0), up(2)]))
            .await;
        applies(&mut proxy, &["s-1", "s-3"]).await;
        script.asked_for("/api/targets?watch=1&from=42").await;
        supervisor
            .logs(1, &["discovery unavailable", "reason=silent"])
            .await;
    }

    /// The head of an answer and no body; then the agent moves; then half a line, and it moves again.
    #[tokio::test]
    async fn what_is_under_way_is_left_when_discovery_moves() {
        let (script, servers, supervisor, mut told) = told_by_hand().await;
        let (second, third) = (Scripted::start().await, Scripted::start().await);
        let mut proxy = joined(&supervisor, 0).await;
        let mut watch = script.asked_for(WATCH).await;
        watch.begin().await;
        watch
            .piece(
                "{\"index\":42,\"snapshot\":false,\"endpoints\":[{\"name\":\"s-1\",\"status\":\"draining\"",
            )
            .await;
        told["discovery"] = json!(second.address.to_string());
        supervisor.reload(&told.to_string()).await;
        let mut asked = second.asked_for(WHOLE).await;
        watch.ended().await;
        asked
            .raw(b"HTTP/1.1 200 OK\r\ncontent-length: 4000\r\n\r\n")
            .await;
        told["discovery"] = json!(third.address.to_string());
        supervisor.reload(&told.to_string()).await;
        let mut asked = third.asked_for(WHOLE).await;
        // One that can't be read is asked for again, not followed from.
        asked.answer(200, "{\"index\":4").await;
        let mut asked = third.asked_for(WHOLE).await;
        let up = |of: usize| entry(servers[of].name, servers[of].address, "up", 0);
        asked
            .answer(200, &delivery(42, true, &[up(0), up(1)]))
            .await;
        applies(&mut proxy, &["s-1", "s-2"]).await;
        let mut watch = third.asked_for("/api/targets?watch=1&from=42").await;
        watch.begin().await;
        // An older whole list after newer changes undoes nothing.
        watch
            .tell(&delivery(
                44,
                false,
                &[entry("s-1", servers[0].address, "draining", 0)],
            ))
            .await;
        applies(&mut proxy, &["s-2"]).await;
        watch
            .tell(&delivery(43, true, &[up(0), up(1), up(2)]))
            .await;
        supervisor.logs(1, &["discovery is behind"]).await;
        watch.tell(&delivery(45, false, &[up(2)])).await;
        proxy
            .applies("the next news", |proxy| {
                proxy.picks("lookup").contains(&"s-3")
            })
            .await;
        assert!(!proxy.picks("lookup").contains(&"s-1"));
    }

    /// A removal while its probe is under way, and the answer after it; then a return under another address and start, told
    /// with the removal in one delivery.
    #[tokio::test]
    async fn a_server_that_goes_under_its_probe_and_returns_elsewhere() {
        let (script, servers) = (Scripted::start().await, servers().await);
        let discovery = Discovery::start().await;
        for (name, address) in [("s-1", script.address), ("s-2", servers[1].address)] {
            discovery.set(name, address, "up");
        }
        let supervisor = program()
            .start(&config(&discovery, Some(discovery.list()), 1024))
            .await;
        until("a watch", || discovery.opened() == 1).await;
        let mut proxy = Proxy::join(&supervisor, 0, true).await;
        let mut held = script.asked_for("/-/load").await;
        discovery.set("s-1", script.address, "removed");
        applies(&mut proxy, &["s-2"]).await;
        held.answer(200, "TEXT queue=0").await;
        supervisor.logs(1, &["s-1 gone"]).await;
        let now = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .expect("after 1970");
        let since = now.as_millis() as i64 - 1000;
        let told = [
            entry("s-1", script.address, "removed", 0),
            entry("s-1", servers[0].address, "up", since),
        ];
        discovery.count_from(90);
        discovery.say(&delivery(90, false, &told));
        until("a probe at the new address", || servers[0].probed() > 0).await;
        proxy
            .applies("its return", |proxy| proxy.picks("lookup").contains(&"s-1"))
            .await;
        let weight = |of: &str| {
            proxy
                .weights("lookup")
                .find(|(name, _)| *name == of)
                .map_or(0.0, |line| line.1)
        };
        assert!(weight("s-1") < weight("s-2"), "it is cold");
    }
}

mod streams {
    use super::*;

    /// Danger: one that goes on with usage but takes no order keeps its old tables, and what has left, for good.
    #[tokio::test]
    async fn usage_is_no_answer() {
        let (_discovery, _servers, supervisor) = serving().await;
        let mut proxy = joined(&supervisor, 1).await;
        let mut deaf = Peer::connect(supervisor.address).await;
        deaf.send("hello id=0 site=a rps=20.0 new=0").await;
        let talking = async {
            while supervisor.logged(&["0@a", "reason=silent", "no answer to a mark"]) == 0 {
                deaf.raw(b"demand id=0 lane=lookup count=4 fail=0 over=200.0\r\n")
                    .await;
                proxy.demand().await;
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        };
        soon("the end of one that talks and does not answer", talking).await;
        assert_eq!(
            supervisor.logged(&["1@a", "connection ended"]),
            0,
            "one that answers stays"
        );
    }

    /// Danger: the answer to an older mark would clear the expectation of a newer one, which never comes.
    #[tokio::test]
    async fn the_answer_to_an_older_mark_is_none_to_a_newer_one() {
        let (discovery, servers, supervisor) = serving().await;
        let mut quiet = Peer::connect(supervisor.address).await;
        quiet.send("hello id=0 site=a rps=1.0 new=1").await;
        let first = order(&mut quiet).await;
        discovery.set("s-2", servers[1].address, "draining");
        let mut second = order(&mut quiet).await;
        while !second.contains("drop=s-2") {
            second = order(&mut quiet).await;
        }
        assert_ne!(mark(&first), mark(&second));
        quiet
            .send(&format!("ack id=0 seq={} ms=1.0", mark(&first)))
            .await;
        quiet.ended().await;
        supervisor
            .logs(1, &["0@a", "reason=silent", "no answer to a mark"])
            .await;
    }

    /// Three streams of one proxy and a drain in one turn, the older ones ended by their peer, reset, or standing.
    #[tokio::test]
    async fn the_newest_stream_of_a_turn_holds_and_knows_of_its_drain() {
        let (discovery, servers, supervisor) = serving().await;
        until("a watch", || discovery.opened() == 1).await;
        let mut proxy = joined(&supervisor, 0).await;
        supervisor.freeze().await;
        let mut older = Vec::new();
        for _ in 0..3 {
            let mut peer = Peer::connect(supervisor.address).await;
            peer.raw(b"hello id=0 site=a rps=20.0 new=0\r\n").await;
            older.push(peer);
        }
        older.remove(0).reset();
        discovery.set("s-2", servers[1].address, "draining");
        let mut first = std::mem::replace(&mut proxy.peer, Peer::connect(supervisor.address).await);
        proxy
            .peer
            .raw(b"hello id=0 site=a rps=20.0 new=0\r\n")
            .await;
        supervisor.thaw(&[]).await;
        proxy
            .applies("the drain", |proxy| {
                proxy.picks("order") == ["s-1", "s-3"] && proxy.messages > 1
            })
            .await;
        for peer in older.iter_mut().chain([&mut first]) {
            peer.ended().await;
        }
        proxy.peer.send("probe").await;
        while order(&mut proxy.peer).await != "alive" {}
        discovery.set("s-3", servers[2].address, "draining");
        applies(&mut proxy, &["s-1"]).await;
    }

    /// An order that was taken for a stream and lost with it comes again, whole, on the next.
    #[tokio::test]
    async fn an_order_lost_with_its_stream_comes_with_the_next() {
        let (discovery, servers, supervisor) = serving().await;
        until("a watch", || discovery.opened() == 1).await;
        let mut proxy = joined(&supervisor, 0).await;
        let mut other = joined(&supervisor, 1).await;
        supervisor.freeze().await;
        discovery.set("s-2", servers[1].address, "draining");
        let next = Peer::connect(supervisor.address).await;
        std::mem::replace(&mut proxy.peer, next).reset();
        supervisor.thaw(&[]).await;
        applies(&mut other, &["s-1", "s-3"]).await;
        supervisor.logs(1, &["0@a", "connection ended"]).await;
        proxy.peer.send("hello id=0 site=a rps=20.0 new=0").await;
        applies(&mut proxy, &["s-1", "s-3"]).await;
    }

    /// A proxy goes to another supervisor and comes back with what either had shut out.
    #[tokio::test]
    async fn what_two_supervisors_shut_out_is_let_back_by_either() {
        let (discovery, servers, first) = serving().await;
        let second = program()
            .start(&config(&discovery, Some(discovery.list()), 1024))
            .await;
        until("both watches", || discovery.opened() == 2).await;
        let mut proxy = joined(&first, 0).await;
        discovery.set("s-1", servers[0].address, "draining");
        applies(&mut proxy, &["s-2", "s-3"]).await;
        assert!(proxy.dropped.contains("s-1"));
        proxy.join_again(&second).await;
        discovery.set("s-1", servers[0].address, "up");
        proxy.applies("all, at the second", has_all).await;
        discovery.set("s-3", servers[2].address, "draining");
        applies(&mut proxy, &["s-1", "s-2"]).await;
        proxy.join_again(&first).await;
        discovery.set("s-3", servers[2].address, "up");
        proxy.applies("all, back at the first", has_all).await;
    }

    /// No effect twice: with each whole table comes how the unsafe class may be tried again, whatever was asked for before.
    #[tokio::test]
    async fn a_whole_table_never_comes_without_the_way_of_trying_again() {
        let (discovery, _servers) = fleet().await;
        let mut told = config(&discovery, Some(discovery.list()), 1024);
        told["settings"]["familyInfo"]["usualHow"] = json!(3);
        let supervisor = program().start(&told).await;
        for new in [1, 0, 0] {
            let mut peer = Peer::connect(supervisor.address).await;
            peer.send(&format!("hello id=0 site=a rps=20.0 new={new}"))
                .await;
            let table = order(&mut peer).await;
            assert!(
                table.contains("replace=1") && table.contains("again=1"),
                "{table}"
            );
        }
    }
}

mod idle {
    use super::*;

    /// Danger: kept connections to servers come back each second, and a proxy that dials would find no descriptor for good.
    #[tokio::test]
    async fn kept_connections_make_room_for_proxies() {
        let discovery = Discovery::start().await;
        let mut many = Vec::new();
        for number in 0..40 {
            many.push(Server::start("any", Manner::Well).await);
            discovery.set(&format!("s-{number}"), many[number].address, "up");
        }
        let told = config(&discovery, Some(discovery.list()), 1024);
        let mut supervisor = program().start_within(&told, 40).await;
        let mut proxies = Vec::new();
        for id in 0..8 {
            let mut proxy = Proxy::join(&supervisor, id, true).await;
            proxy
                .applies("a table", |proxy| !proxy.picks("lookup").is_empty())
                .await;
            proxies.push(proxy);
        }
        until("a probe of each", || {
            many.iter().all(|server| server.probed() > 0)
        })
        .await;
        assert!(supervisor.runs());
    }

    /// A server that resets under every probe is blamed alone, and stops nothing.
    #[tokio::test]
    async fn a_server_reset_under_every_probe_stops_nothing() {
        let (script, discovery, servers) = (
            Scripted::start().await,
            Discovery::start().await,
            servers().await,
        );
        for server in &servers {
            discovery.set(server.name, server.address, "up");
        }
        discovery.set("s-4", script.address, "up");
        let mut supervisor = program()
            .start(&config(&discovery, Some(discovery.list()), 1024))
            .await;
        let mut proxy = Proxy::join(&supervisor, 0, true).await;
        let resetting = async {
            loop {
                script.asked_for("/-/load").await.reset();
            }
        };
        let withdrawn = proxy.applies("its withdrawal", |proxy| {
            let picks = proxy.picks("lookup");
            NAMES.iter().all(|name| picks.contains(name))
                && !picks.contains(&"s-4")
                && proxy.messages > 1
        });
        tokio::select! {
            () = resetting => {}
            () = withdrawn => {}
        }
        assert!(supervisor.runs() && supervisor.alive().await);
        assert_eq!(
            supervisor.logged(&["kind=\"server-state\"", "s-1"]),
            0,
            "no other is blamed"
        );
    }
}

mod settings {
    use super::*;

    /// A reload that changes what only a start takes says so and changes nothing.
    #[tokio::test]
    async fn a_reload_of_the_settings_waits_for_a_start() {
        let (discovery, servers) = fleet().await;
        let mut told = config(&discovery, Some(discovery.list()), 1024);
        let supervisor = program().start(&told).await;
        let mut proxy = joined(&supervisor, 0).await;
        told["settings"]["classes"][0]["name"] = json!("other");
        told["settings"]["zones"] = json!(["c"]);
        told["settings"]["familyInfo"]["proxies"] = json!(1);
        supervisor.reload(&told.to_string()).await;
        supervisor
            .logs(1, &["reloaded", "restart_for=\"settings\""])
            .await;
        discovery.set("s-1", servers[0].address, "draining");
        applies(&mut proxy, &["s-2", "s-3"]).await;
        Proxy::join(&supervisor, 7, true)
            .await
            .applies("a table", |proxy| !proxy.picks("order").is_empty())
            .await;
    }

    /// Nothing of a former run is read by the next: what one leaves behind, killed or ended, is nothing at all.
    #[tokio::test]
    async fn a_run_leaves_nothing_behind() {
        let scratch = tempfile::tempdir().expect("a directory");
        let (discovery, _servers) = fleet().await;
        let program = program().with_scratch(scratch.path());
        for killed in [false, true] {
            let mut supervisor = program
                .start(&config(&discovery, Some(discovery.list()), 1024))
                .await;
            joined(&supervisor, 0).await;
            if killed {
                supervisor.kill().await;
            } else {
                assert_eq!(supervisor.terminate().await, Some(0));
            }
            assert_eq!(
                std::fs::read_dir(scratch.path())
                    .expect("a directory")
                    .count(),
                0
            );
        }
    }
}
