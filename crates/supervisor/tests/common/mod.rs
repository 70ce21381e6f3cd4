//! Program, servers and proxies for the tests of a supervisor over sockets. Not every test target uses all of it.
#![allow(dead_code)]

use chutegrade_emulators::{
    config, Discovery, HealthCheckMode, Program, Proxy, Server, Supervisor,
};

/// Names of the three servers.
pub const NAMES: [&str; 3] = ["s-1", "s-2", "s-3"];

/// Returns the program under test.
pub fn program() -> Program {
    Program::new(
        env!("CARGO_BIN_EXE_chutegrade"),
        env!("CARGO_TARGET_TMPDIR"),
    )
}

/// Starts the three servers, all healthy.
pub async fn servers() -> Vec<Server> {
    let mut servers = Vec::new();
    for name in NAMES {
        servers.push(Server::start(name, HealthCheckMode::Healthy).await);
    }
    servers
}

/// Starts discovery with the three servers in service.
pub async fn fleet() -> (Discovery, Vec<Server>) {
    let (discovery, servers) = (Discovery::start().await, servers().await);
    for server in &servers {
        discovery.set(server.name, server.address, "up");
    }
    (discovery, servers)
}

/// Starts a supervisor with the three servers in its cached endpoint list.
pub async fn serving() -> (Discovery, Vec<Server>, Supervisor) {
    let (discovery, servers) = fleet().await;
    let supervisor = program()
        .start(&config(&discovery, Some(discovery.list()), 1024))
        .await;
    (discovery, servers, supervisor)
}

/// Whether a proxy may pick each server for each class.
pub fn has_all(proxy: &Proxy) -> bool {
    ["lookup", "order"]
        .iter()
        .all(|class| proxy.picks(class) == NAMES)
}

/// Joins a proxy and waits for its complete table.
pub async fn joined(supervisor: &Supervisor, id: u32) -> Proxy {
    let mut proxy = Proxy::join(supervisor, id, true).await;
    proxy.apply_until("a complete table", has_all).await;
    proxy
}
