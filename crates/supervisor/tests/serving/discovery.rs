//! The endpoint list: watches, changes of the agent, and restarts without discovery.

use chutegrade_emulators::{config, until, Discovery, Supervisor};
use serde_json::{json, Value};

use crate::common::{fleet, has_all, joined, program, serving};

#[tokio::test]
async fn a_failed_watch_is_replaced_and_withdraws_nothing() {
    let (discovery, servers, supervisor) = serving().await;
    let mut proxy = joined(&supervisor, 0).await;
    until("a watch", || discovery.watches_opened() == 1).await;
    discovery.close_watches();
    until("a second watch", || discovery.watches_opened() == 2).await;
    discovery.set("s-1", servers[0].address, "draining");
    proxy
        .apply_until("a change on the second watch", |proxy| {
            proxy.picks("lookup") == ["s-2", "s-3"]
        })
        .await;

    discovery.send_line("{\"index\":9,\"snapshot\":true,\"endpoints\":[");
    until("a third watch", || discovery.watches_opened() == 3).await;
    supervisor
        .expect_log_lines(1, &["discovery delivered a malformed list"])
        .await;
    discovery.set("s-2", servers[1].address, "draining");
    proxy
        .apply_until("a change on the third watch", |proxy| {
            proxy.picks("lookup") == ["s-3"]
        })
        .await;

    discovery.set_silent(true);
    until("a fourth watch", || discovery.watches_opened() == 4).await;
    discovery.set_silent(false);
    discovery.set("s-1", servers[0].address, "up");
    discovery.set("s-2", servers[1].address, "up");
    until("the failure in the log", || {
        supervisor.count_log_lines(&["discovery unavailable", "reason=silent"]) > 0
    })
    .await;
    assert_eq!(
        proxy.picks("lookup"),
        ["s-3"],
        "the last list stayed in force"
    );
    proxy
        .apply_until("the return", |proxy| proxy.picks("lookup").len() > 1)
        .await;
}

/// In the `subscribe` mode the engine requests the list; after a failed subscription it subscribes again.
#[tokio::test]
async fn a_broken_subscription_is_renewed() {
    let (discovery, servers) = fleet().await;
    let mut configuration = config(&discovery, None, 1024);
    configuration["settings"]["discovery"] = json!("subscribe");
    let supervisor = program().start(&configuration).await;
    let mut proxy = joined(&supervisor, 0).await;
    until("a watch", || discovery.watches_opened() == 1).await;
    discovery.close_watches();
    until("a second watch", || discovery.watches_opened() == 2).await;
    discovery.set("s-2", servers[1].address, "draining");
    proxy
        .apply_until("a change on the second watch", |proxy| {
            proxy.picks("lookup") == ["s-1", "s-3"]
        })
        .await;
}

/// Reloads twice with different agents while the process is stopped; the last file takes effect.
async fn reload_twice_at_once(
    supervisor: &Supervisor,
    configuration: &mut Value,
    ignored: &Discovery,
    last: &Discovery,
) {
    supervisor.pause().await;
    for agent in [ignored, last] {
        configuration["discovery"] = json!(agent.address.to_string());
        supervisor.reload(&configuration.to_string()).await;
    }
    supervisor.resume(&["-HUP"]).await;
    supervisor
        .expect_log_lines(1, &["reloaded", &last.address.to_string()])
        .await;
    assert_eq!(
        supervisor.count_log_lines(&["reloaded", &ignored.address.to_string()]),
        0
    );
    until("a watch at the last address", || last.watches_opened() == 1).await;
}

/// Reloads a file that can't be parsed, and one with a change that takes effect only at a start.
async fn reload_without_effect(supervisor: &Supervisor, configuration: &mut Value) {
    supervisor
        .reload("{\"discovery\": \"127.0.0.1:9\", \"settings\"")
        .await;
    supervisor
        .expect_log_lines(1, &["new configuration rejected"])
        .await;
    configuration["limits"]["sockets"] = json!(64);
    supervisor.reload(&configuration.to_string()).await;
    supervisor
        .expect_log_lines(1, &["reloaded", "limits"])
        .await;
}

/// SIGHUP would end a program without a handler, and the environment still has the old address.
#[tokio::test]
async fn a_reload_switches_to_another_discovery_agent() {
    let (discovery, servers) = fleet().await;
    let mut configuration = config(&discovery, Some(discovery.list()), 1024);
    let mut supervisor = program().start_with_discovery_env(&configuration).await;
    let mut proxy = joined(&supervisor, 0).await;
    until("a watch", || discovery.watches_opened() == 1).await;

    let second = discovery.start_replica().await;
    configuration["discovery"] = json!(second.address.to_string());
    supervisor.reload(&configuration.to_string()).await;
    until("a watch at the new address", || {
        second.watches_opened() == 1
    })
    .await;
    second.set("s-2", servers[1].address, "draining");
    proxy
        .apply_until("a change from there", |proxy| {
            proxy.picks("lookup") == ["s-1", "s-3"]
        })
        .await;

    // While the agent is silent.
    second.set_silent(true);
    let third = second.start_replica().await;
    reload_twice_at_once(&supervisor, &mut configuration, &discovery, &third).await;
    third.set("s-1", servers[0].address, "draining");
    proxy
        .apply_until("a change from the third agent", |proxy| {
            proxy.picks("order") == ["s-3"]
        })
        .await;

    reload_without_effect(&supervisor, &mut configuration).await;
    third.set("s-1", servers[0].address, "up");
    proxy
        .apply_until("changes as before", |proxy| {
            proxy.picks("order") == ["s-1", "s-3"]
        })
        .await;
    assert_eq!(
        supervisor.count_log_lines(&["peer=\"proxy\"", "connection ended"]),
        0
    );
    assert_eq!(supervisor.terminate().await, Some(0));
}

/// An agent that lags behind the previous one reports a draining server as in service.
#[tokio::test]
async fn a_stale_agent_reverts_nothing() {
    let (discovery, servers) = fleet().await;
    let stale_agent = discovery.start_replica().await;
    let mut configuration = config(&discovery, Some(discovery.list()), 1024);
    let supervisor = program().start(&configuration).await;
    let mut proxy = joined(&supervisor, 0).await;
    discovery.set("s-2", servers[1].address, "draining");
    proxy
        .apply_until("the drain", |proxy| proxy.picks("lookup") == ["s-1", "s-3"])
        .await;

    configuration["discovery"] = json!(stale_agent.address.to_string());
    supervisor.reload(&configuration.to_string()).await;
    until("a watch there", || stale_agent.watches_opened() == 1).await;
    supervisor
        .expect_log_lines(1, &["discovery is behind"])
        .await;
    // The agent catches up: old changes come before the first new one.
    stale_agent.set("s-2", servers[1].address, "draining");
    stale_agent.set("s-3", servers[2].address, "draining");
    proxy
        .apply_until("the change", |proxy| proxy.picks("lookup") == ["s-1"])
        .await;
    assert_eq!(supervisor.count_log_lines(&["s-2 in service"]), 0);
    // If the version count has really restarted, the deliveries are accepted after a while.
    stale_agent.set_version(1);
    stale_agent.set("s-2", servers[1].address, "up");
    proxy
        .apply_until("the return", |proxy| proxy.picks("lookup").contains(&"s-2"))
        .await;
}

#[tokio::test]
async fn a_restart_serves_from_the_cached_list_while_discovery_is_down() {
    let (discovery, _servers) = fleet().await;
    let known = discovery.list();
    let first = program()
        .start(&config(&discovery, Some(known.clone()), 1024))
        .await;
    let mut proxy = joined(&first, 0).await;
    discovery.set_silent(true);
    first.kill().await;
    proxy.peer.wait_for_close().await;
    let second = program()
        .start(&config(&discovery, Some(known), 1024))
        .await;
    assert!(second.is_responsive().await);
    let before = proxy.messages;
    proxy.rejoin(&second).await;
    proxy
        .apply_until("a table from the new process", |proxy| {
            proxy.messages > before
        })
        .await;
    assert!(has_all(&proxy));
}
