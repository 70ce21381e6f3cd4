//! Connections that compete for descriptors or are reset.

use chutegrade_emulators::{
    config, until, Discovery, HealthCheckMode, Proxy, ScriptedListener, Server,
};

use crate::common::{fleet, program, NAMES};

/// Connections to servers are reopened each second; a proxy that connects must still get a descriptor.
#[tokio::test]
async fn idle_connections_are_closed_for_proxies() {
    let discovery = Discovery::start().await;
    let mut servers = Vec::new();
    for number in 0..40 {
        servers.push(Server::start("any", HealthCheckMode::Healthy).await);
        discovery.set(&format!("s-{number}"), servers[number].address, "up");
    }
    let configuration = config(&discovery, Some(discovery.list()), 1024);
    let mut supervisor = program()
        .start_with_descriptor_limit(&configuration, 40)
        .await;
    let mut proxies = Vec::new();
    for id in 0..8 {
        let mut proxy = Proxy::join(&supervisor, id, true).await;
        proxy
            .apply_until("a table", |proxy| !proxy.picks("lookup").is_empty())
            .await;
        proxies.push(proxy);
    }
    until("a health check of each", || {
        servers.iter().all(|server| server.health_check_count() > 0)
    })
    .await;
    assert!(supervisor.is_running());
}

#[tokio::test]
async fn only_the_server_that_resets_every_health_check_is_withdrawn() {
    let script = ScriptedListener::start().await;
    let (discovery, _servers) = fleet().await;
    discovery.set("s-4", script.address, "up");
    let mut supervisor = program()
        .start(&config(&discovery, Some(discovery.list()), 1024))
        .await;
    let mut proxy = Proxy::join(&supervisor, 0, true).await;
    let resetting = async {
        loop {
            script.expect_request("/-/load").await.reset();
        }
    };
    let withdrawn = proxy.apply_until("its withdrawal", |proxy| {
        let picks = proxy.picks("lookup");
        NAMES.iter().all(|name| picks.contains(name))
            && !picks.contains(&"s-4")
            && proxy.messages > 1
    });
    tokio::select! {
        () = resetting => {}
        () = withdrawn => {}
    }
    assert!(supervisor.is_running() && supervisor.is_responsive().await);
    assert_eq!(
        supervisor.count_log_lines(&["kind=\"server-state\"", "s-1"]),
        0,
        "no other is withdrawn"
    );
}
