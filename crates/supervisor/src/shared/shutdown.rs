//! The shutdown signal, and the connections that have to end before the process exits.

use std::future::Future;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::task::TaskTracker;

/// A handle to the shutdown signal and the tracked connections; clones refer to the same ones.
#[derive(Clone, Debug)]
pub struct Shutdown {
    requested: watch::Sender<bool>,
    connections: TaskTracker,
}

impl Shutdown {
    /// Creates a signal that has not been requested, without connections.
    pub fn new() -> Self {
        Shutdown {
            requested: watch::channel(false).0,
            connections: TaskTracker::new(),
        }
    }

    /// Requests the shutdown.
    pub fn request(&self) {
        self.requested.send_replace(true);
    }

    /// Waits until the shutdown is requested.
    pub async fn requested(&self) {
        let mut requested = self.requested.subscribe();
        let _ = requested.wait_for(|requested| *requested).await;
    }

    /// Spawns a connection as a task that [`Shutdown::drain_connections`] waits for.
    pub fn spawn_connection(&self, connection: impl Future<Output = ()> + 'static) {
        tokio::task::spawn_local(self.connections.track_future(connection));
    }

    /// Waits until all connections have ended, or for at most `within`.
    pub async fn drain_connections(&self, within: Duration) {
        self.connections.close();
        let _ = timeout(within, self.connections.wait()).await;
    }
}
