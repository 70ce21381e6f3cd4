//! Emulated discovery agent: serves the list of servers, complete or as a watch.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::channel::Channel;
use http_body_util::BodyExt;
use hyper::{Response, StatusCode};
use serde_json::{json, Value};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::http::{listen, serve, text, Body};
use crate::scripted::{delivery, entry};

#[derive(Default)]
struct ListState {
    index: u64,
    entries: BTreeMap<String, Value>,
    watches: Vec<mpsc::UnboundedSender<String>>,
    watches_opened: usize,
    is_silent: bool,
}

/// An emulated discovery agent.
#[derive(Clone)]
pub struct Discovery {
    /// Where it accepts HTTP requests.
    pub address: SocketAddr,
    state: Arc<Mutex<ListState>>,
}

impl Discovery {
    /// Starts with an empty list.
    pub async fn start() -> Self {
        let (listener, address) = listen().await;
        let state = Arc::new(Mutex::new(ListState {
            index: 1,
            ..ListState::default()
        }));
        let discovery = Discovery { address, state };
        let handler = discovery.clone();
        serve(listener, Arc::default(), move |request| {
            let discovery = handler.clone();
            async move {
                discovery
                    .respond(request.uri().query().unwrap_or_default())
                    .await
            }
        });
        let heartbeat = discovery.clone();
        tokio::spawn(async move {
            loop {
                sleep(Duration::from_millis(500)).await;
                if !heartbeat.state().is_silent {
                    heartbeat.send_line("");
                }
            }
        });
        discovery
    }

    fn state(&self) -> MutexGuard<'_, ListState> {
        self.state.lock().expect("no panic while locked")
    }

    async fn respond(&self, query: &str) -> Response<Body> {
        let complete_list = self.list().to_string();
        if !query.contains("watch=1") {
            return text(StatusCode::OK, complete_list);
        }
        let (sender, mut lines) = mpsc::unbounded_channel::<String>();
        let (mut body, channel) = Channel::<Bytes, Infallible>::new(16);
        {
            let mut state = self.state();
            state.watches_opened += 1;
            if !state.is_silent && query != format!("watch=1&from={}", state.index) {
                let _ = sender.send(complete_list);
            }
            state.watches.push(sender);
        }
        tokio::spawn(async move {
            while let Some(line) = lines.recv().await {
                // Sends each line in two chunks, since lines may be split anywhere.
                let line = format!("{line}\r\n");
                let (first, rest) = line.split_at(line.len() / 2);
                for piece in [first, rest] {
                    if body
                        .send_data(Bytes::from(piece.to_string()))
                        .await
                        .is_err()
                    {
                        return;
                    }
                }
            }
        });
        Response::new(channel.boxed())
    }

    /// Returns the complete list.
    pub fn list(&self) -> Value {
        let state = self.state();
        let entries: Vec<&Value> = state.entries.values().collect();
        json!({"index": state.index, "snapshot": true, "endpoints": entries})
    }

    /// Lists a server of zone `a` with this status, and notifies the watches.
    pub fn set(&self, name: &str, address: SocketAddr, status: &str) {
        self.set_in_zone("a", name, address, status, 0);
    }

    /// Lists a server of a zone with this status and its last start in Unix milliseconds, and notifies the watches. The
    /// status `removed` removes it from the list.
    pub fn set_in_zone(
        &self,
        zone: &str,
        name: &str,
        address: SocketAddr,
        status: &str,
        since_ms: i64,
    ) {
        let mut entry = entry(name, address, status, since_ms);
        entry["zone"] = json!(zone);
        let line = {
            let mut state = self.state();
            state.index += 1;
            if status == "removed" {
                state.entries.remove(name);
            } else {
                state.entries.insert(name.to_string(), entry.clone());
            }
            delivery(state.index, false, &[entry])
        };
        self.send_line(&line);
    }

    /// Writes a line to all watches, unless the agent is silent.
    pub fn send_line(&self, line: &str) {
        let mut state = self.state();
        if !state.is_silent {
            state
                .watches
                .retain(|watch| watch.send(line.to_string()).is_ok());
        }
    }

    /// Closes all watches.
    pub fn close_watches(&self) {
        self.state().watches.clear();
    }

    /// Starts another agent with a copy of the list.
    pub async fn start_replica(&self) -> Self {
        let replica = Discovery::start().await;
        {
            let (state, mut copy) = (self.state(), replica.state());
            (copy.index, copy.entries) = (state.index, state.entries.clone());
        }
        replica
    }

    /// Sets the version of the list without changing its entries.
    pub fn set_version(&self, index: u64) {
        self.state().index = index;
    }

    /// Sets whether the agent is silent: it then sends nothing on any watch, but still returns the list. Lines omitted
    /// meanwhile are not sent later.
    pub fn set_silent(&self, is_silent: bool) {
        self.state().is_silent = is_silent;
    }

    /// Returns the number of watches opened since the start.
    pub fn watches_opened(&self) -> usize {
        self.state().watches_opened
    }
}
