//! Health checks of servers with faulty responses.

use std::net::SocketAddr;

use chutegrade_emulators::{config, until, Discovery, HealthCheckMode, Proxy, Server};

use crate::common::program;

#[tokio::test]
async fn servers_with_faulty_responses_do_not_disrupt_serving() {
    let discovery = Discovery::start().await;
    let mut servers = Vec::new();
    for (name, mode) in [
        ("s-1", HealthCheckMode::Healthy),
        ("s-2", HealthCheckMode::Unavailable),
        ("s-3", HealthCheckMode::OversizedResponse),
        ("s-4", HealthCheckMode::Unresponsive),
    ] {
        servers.push(Server::start(name, mode).await);
        discovery.set(name, servers[servers.len() - 1].address, "up");
    }
    let unused = Server::start("s-5", HealthCheckMode::Healthy).await.address;
    let closed = SocketAddr::new(unused.ip(), 1);
    discovery.set("s-5", closed, "up");
    let mut supervisor = program()
        .start(&config(&discovery, Some(discovery.list()), 1024))
        .await;
    let mut proxy = Proxy::join(&supervisor, 0, true).await;
    proxy
        .apply_until("a table", |proxy| !proxy.picks("lookup").is_empty())
        .await;
    until("several health checks of each", || {
        servers
            .iter()
            .all(|server| server.health_check_count() >= 3)
    })
    .await;
    supervisor
        .expect_log_lines(1, &["server refuses connections", "reason=refused"])
        .await;
    assert!(supervisor.is_running() && supervisor.is_responsive().await);
}
