//! Races between two events, each forced: the process is stopped while both arrive, or a peer of the test delays one
//! until the other has happened. `docs/crossings.md` lists the requirements for each.

mod connections;
mod discovery;
mod settings;
mod shutdown;
mod streams;

#[path = "../common/mod.rs"]
mod common;

use chutegrade_emulators::{
    config, delivery, entry, wait_for, Discovery, Peer, Proxy, ScriptedListener, Server, Supervisor,
};
use serde_json::{json, Value};

use common::{program, servers};

/// Path of the watch of a scripted fleet until discovery has answered: from one version before the cached one, which is
/// answered at once.
const WATCH_PATH: &str = "/api/targets?watch=1&from=40";
/// Path of its watch once the cached version is confirmed.
const CONFIRMED_WATCH_PATH: &str = "/api/targets?watch=1&from=41";
/// Path of the complete list.
const LIST_PATH: &str = "/api/targets";

/// A scripted discovery, three servers, and a supervisor whose cached endpoint list has them at version 41.
struct ScriptedFleet {
    script: ScriptedListener,
    servers: Vec<Server>,
    supervisor: Supervisor,
    configuration: Value,
}

impl ScriptedFleet {
    async fn start() -> Self {
        let script = ScriptedListener::start().await;
        let servers = servers().await;
        let endpoints: Vec<Value> = servers
            .iter()
            .map(|server| entry(server.name, server.address, "up", 0))
            .collect();
        let known = serde_json::from_str(&delivery(41, true, &endpoints)).expect("JSON");
        let mut configuration = config(&Discovery::start().await, Some(known), 1024);
        configuration["discovery"] = json!(script.address.to_string());
        let supervisor = program().start(&configuration).await;
        ScriptedFleet {
            script,
            servers,
            supervisor,
            configuration,
        }
    }
}

/// Applies orders until the proxy may pick exactly these servers for every class.
async fn applies_picks(proxy: &mut Proxy, picks: &[&str]) {
    proxy
        .apply_until(&format!("{picks:?}"), |proxy| {
            proxy.picks("lookup") == picks && proxy.picks("order") == picks
        })
        .await;
}

/// Returns the next line on a stream without acknowledging it.
async fn next_line(peer: &mut Peer) -> String {
    wait_for("an order", peer.line())
        .await
        .expect("the stream is open")
}

/// Returns the sequence number of an order.
fn sequence_number(order: &str) -> &str {
    order.split("stamp=").nth(1).expect("a sequence number")
}
