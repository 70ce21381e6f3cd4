//! A server that answers probes in one manner.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use hyper::StatusCode;

use crate::http::{listen, serve, text};

/// What a server does with a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// Answers with a load report.
    Well,
    /// Turns probes away.
    Busy,
    /// Answers with far too much.
    Huge,
    /// Never answers.
    Hangs,
}

/// A server.
#[derive(Clone)]
pub struct Server {
    /// Its name.
    pub name: &'static str,
    /// Where it listens.
    pub address: SocketAddr,
    /// Connections that it accepted.
    pub connections: Arc<AtomicUsize>,
    /// Probes that it was asked.
    pub probes: Arc<AtomicUsize>,
}

impl Server {
    /// Starts one.
    pub async fn start(name: &'static str, manner: Manner) -> Self {
        let (listener, address) = listen().await;
        let (connections, probes) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let counted = probes.clone();
        serve(listener, connections.clone(), move |request| {
            let counted = counted.clone();
            async move {
                counted.fetch_add(1, Ordering::SeqCst);
                assert_eq!(request.uri().path(), "/-/load");
                match manner {
                    Manner::Well => text(StatusCode::OK, "TEXT queue=0, latency_ms=12.5"),
                    Manner::Busy => text(StatusCode::SERVICE_UNAVAILABLE, ""),
                    Manner::Huge => text(StatusCode::OK, vec![b'x'; 1 << 20]),
                    Manner::Hangs => std::future::pending().await,
                }
            }
        });
        Server {
            name,
            address,
            connections,
            probes,
        }
    }

    /// How many probes it was asked.
    pub fn probed(&self) -> usize {
        self.probes.load(Ordering::SeqCst)
    }
}
