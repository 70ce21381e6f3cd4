//! Health checks of servers with faulty responses.

use std::net::SocketAddr;

use chutegrade_emulators::{config, until, Discovery, Manner, Proxy, Server};

use crate::common::program;

#[tokio::test]
async fn servers_with_faulty_responses_do_not_disrupt_serving() {
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
    let unused = Server::start("s-5", Manner::Well).await.address;
    let closed = SocketAddr::new(unused.ip(), 1);
    discovery.set("s-5", closed, "up");
    let mut supervisor = program()
        .start(&config(&discovery, Some(discovery.list()), 1024))
        .await;
    let mut proxy = Proxy::join(&supervisor, 0, true).await;
    proxy
        .applies("a table", |proxy| !proxy.picks("lookup").is_empty())
        .await;
    until("several health checks of each", || {
        servers.iter().all(|server| server.probed() >= 3)
    })
    .await;
    supervisor
        .logs(1, &["server refuses connections", "reason=refused"])
        .await;
    assert!(supervisor.runs() && supervisor.alive().await);
}
