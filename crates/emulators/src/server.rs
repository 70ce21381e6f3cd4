//! Emulated server that responds to health checks in one mode.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use hyper::StatusCode;

use crate::http::{listen, serve, text};

/// How a server responds to health checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckMode {
    /// Responds with a load report.
    Healthy,
    /// Responds with status 503.
    Unavailable,
    /// Responds with a body of 1 MiB.
    OversizedResponse,
    /// Accepts the request and never responds.
    Unresponsive,
}

/// An emulated server.
#[derive(Clone)]
pub struct Server {
    /// As in the server list.
    pub name: &'static str,
    /// Where it listens.
    pub address: SocketAddr,
    /// Number of accepted connections.
    pub connections: Arc<AtomicUsize>,
    /// Number of received health checks.
    pub health_checks: Arc<AtomicUsize>,
}

impl Server {
    /// Starts a server that responds in this mode.
    pub async fn start(name: &'static str, mode: HealthCheckMode) -> Self {
        let (listener, address) = listen().await;
        let (connections, health_checks) =
            (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let counted = health_checks.clone();
        serve(listener, connections.clone(), move |request| {
            let counted = counted.clone();
            async move {
                counted.fetch_add(1, Ordering::SeqCst);
                assert_eq!(request.uri().path(), "/-/load");
                match mode {
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

    /// Returns the number of received health checks.
    pub fn health_check_count(&self) -> usize {
        self.health_checks.load(Ordering::SeqCst)
    }
}
