//! A server that answers probes in one manner.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use hyper::StatusCode;

use crate::http::{listen, serve, text};

/// What a server does with a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckMode {
    /// Answers with a load report.
    Healthy,
    /// Turns probes away.
    Unavailable,
    /// Answers with far too much.
    OversizedResponse,
    /// Never answers.
    Unresponsive,
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
    pub health_checks: Arc<AtomicUsize>,
}

impl Server {
    /// Starts one.
    pub async fn start(name: &'static str, manner: HealthCheckMode) -> Self {
        let (listener, address) = listen().await;
        let (connections, health_checks) =
            (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let counted = health_checks.clone();
        serve(listener, connections.clone(), move |request| {
            let counted = counted.clone();
            async move {
                counted.fetch_add(1, Ordering::SeqCst);
                assert_eq!(request.uri().path(), "/-/load");
                match manner {
                    HealthCheckMode::Healthy => {
                        text(StatusCode::OK, "TEXT queue=0, latency_ms=12.5")
                    }
                    HealthCheckMode::Unavailable => text(StatusCode::SERVICE_UNAVAILABLE, ""),
                    HealthCheckMode::OversizedResponse => text(StatusCode::OK, vec![b'x'; 1 << 20]),
                    HealthCheckMode::Unresponsive => std::future::pending().await,
                }
            }
        });
        Server {
            name,
            address,
            connections,
            health_checks,
        }
    }

    /// How many probes it was asked.
    pub fn health_check_count(&self) -> usize {
        self.health_checks.load(Ordering::SeqCst)
    }
}
