//! Discovery: the list of servers, whole and as a watch.

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
struct Told {
    index: u64,
    entries: BTreeMap<String, Value>,
    watches: Vec<mpsc::UnboundedSender<String>>,
    opened: usize,
    mute: bool,
}

/// Discovery: the list, and watches of it.
#[derive(Clone)]
pub struct Discovery {
    /// Where it answers.
    pub address: SocketAddr,
    told: Arc<Mutex<Told>>,
}

impl Discovery {
    /// Starts with an empty list.
    pub async fn start() -> Self {
        let (listener, address) = listen().await;
        let told = Arc::new(Mutex::new(Told {
            index: 1,
            ..Told::default()
        }));
        let discovery = Discovery { address, told };
        let asked = discovery.clone();
        serve(listener, Arc::default(), move |request| {
            let discovery = asked.clone();
            async move {
                discovery
                    .answer(request.uri().query().unwrap_or_default())
                    .await
            }
        });
        let beating = discovery.clone();
        tokio::spawn(async move {
            loop {
                sleep(Duration::from_millis(500)).await;
                if !beating.told().mute {
                    beating.send_line("");
                }
            }
        });
        discovery
    }

    fn told(&self) -> MutexGuard<'_, Told> {
        self.told.lock().expect("no panic while held")
    }

    async fn answer(&self, query: &str) -> Response<Body> {
        let whole = self.list().to_string();
        if !query.contains("watch=1") {
            return text(StatusCode::OK, whole);
        }
        let (send, mut news) = mpsc::unbounded_channel::<String>();
        let (mut body, channel) = Channel::<Bytes, Infallible>::new(16);
        {
            let mut told = self.told();
            told.opened += 1;
            if !told.mute && query != format!("watch=1&from={}", told.index) {
                let _ = send.send(whole);
            }
            told.watches.push(send);
        }
        tokio::spawn(async move {
            while let Some(line) = news.recv().await {
                // In two pieces, since lines may be cut anywhere on the way.
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

    /// The whole list.
    pub fn list(&self) -> Value {
        let told = self.told();
        let entries: Vec<&Value> = told.entries.values().collect();
        json!({"index": told.index, "snapshot": true, "endpoints": entries})
    }

    /// Lists a server of the zone `a` in this state, and tells the watches.
    pub fn set(&self, name: &str, address: SocketAddr, status: &str) {
        self.set_in_zone("a", name, address, status, 0);
    }

    /// Lists a server of a zone in this state, with its last start in Unix milliseconds, and tells the watches. One that
    /// is removed leaves the list.
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
            let mut told = self.told();
            told.index += 1;
            if status == "removed" {
                told.entries.remove(name);
            } else {
                told.entries.insert(name.to_string(), entry.clone());
            }
            delivery(told.index, false, &[entry])
        };
        self.send_line(&line);
    }

    /// Writes a line to all watches, unless discovery is down.
    pub fn send_line(&self, line: &str) {
        let mut told = self.told();
        if !told.mute {
            told.watches
                .retain(|watch| watch.send(line.to_string()).is_ok());
        }
    }

    /// Ends all watches.
    pub fn close_watches(&self) {
        self.told().watches.clear();
    }

    /// Another agent that has been sent the same list.
    pub async fn start_replica(&self) -> Self {
        let other = Discovery::start().await;
        {
            let (told, mut its) = (self.told(), other.told());
            (its.index, its.entries) = (told.index, told.entries.clone());
        }
        other
    }

    /// Has been sent nothing newer than this version, or counts from there.
    pub fn set_version(&self, index: u64) {
        self.told().index = index;
    }

    /// From now on nothing is said, on old watches and new ones; or everything again on new ones.
    pub fn set_silent(&self, mute: bool) {
        self.told().mute = mute;
    }

    /// How many watches were ever opened.
    pub fn watches_opened(&self) -> usize {
        self.told().opened
    }
}
