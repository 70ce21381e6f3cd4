//! A pool of connections to servers, which closes idle connections when descriptors run out.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::protocol::disconnect::DisconnectReason;
use crate::protocol::http::{self, Destination, RequestSender};
use crate::protocol::peer_kind::PeerKind;
use crate::shared::shutdown::Shutdown;

/// How long a server to which no connection could be opened stays listed after the last attempt: many times the interval of
/// health checks.
const UNREACHABLE_RETENTION: Duration = Duration::from_secs(60);
/// Delay before a retry when no descriptor is free: other health checks complete in less time.
const DESCRIPTOR_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Connections to servers, at most one idle connection to each.
pub struct ConnectionPool {
    shutdown: Shutdown,
    connect_timeout: Duration,
    idle_timeout: Duration,
    idle: RefCell<HashMap<SocketAddr, IdleConnection>>,
    reduced: Cell<Option<ReducedCapacity>>,
    /// Servers to which no connection could be opened, with the time of the last attempt.
    unreachable: RefCell<HashMap<SocketAddr, Instant>>,
}

struct IdleConnection {
    sender: RequestSender,
    last_used_at: Instant,
}

/// The reduced capacity of the pool after descriptors ran out.
#[derive(Clone, Copy)]
struct ReducedCapacity {
    max_idle: usize,
    since: Instant,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(shutdown: Shutdown, connect_timeout: Duration, idle_timeout: Duration) -> Self {
        ConnectionPool {
            shutdown,
            connect_timeout,
            idle_timeout,
            idle: RefCell::default(),
            reduced: Cell::default(),
            unreachable: RefCell::default(),
        }
    }

    /// Takes the idle connection to a server, if there is one. Closes all connections that were idle for too long.
    pub fn take_idle(&self, address: SocketAddr) -> Option<RequestSender> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connection| {
            let is_open = !connection.sender.is_closed();
            is_open && connection.last_used_at.elapsed() < self.idle_timeout
        });
        idle.remove(&address).map(|connection| connection.sender)
    }

    /// Returns a connection to the pool for the next request.
    pub fn put_idle(&self, address: SocketAddr, sender: RequestSender) {
        let connection = IdleConnection {
            sender,
            last_used_at: Instant::now(),
        };
        self.idle.borrow_mut().insert(address, connection);
        let Some(reduced) = self.reduced.get() else {
            return;
        };
        if reduced.since.elapsed() < self.idle_timeout {
            self.limit_idle(reduced.max_idle);
        }
    }

    /// Closes half of the idle connections to free descriptors, and limits the pool to that size for the idle timeout.
    pub fn release_idle(&self) {
        let max_idle = self.idle.borrow().len() / 2;
        self.reduced.set(Some(ReducedCapacity {
            max_idle,
            since: Instant::now(),
        }));
        self.limit_idle(max_idle);
    }

    /// Closes the least recently used connections until at most `max_idle` are left.
    fn limit_idle(&self, max_idle: usize) {
        let mut idle = self.idle.borrow_mut();
        while idle.len() > max_idle {
            let oldest = idle
                .iter()
                .min_by_key(|(_, connection)| connection.last_used_at)
                .map(|(address, _)| *address);
            let Some(oldest) = oldest else { return };
            idle.remove(&oldest);
        }
    }

    /// Opens a connection, and sets `attempted_at` to the start of the last attempt. The first failure in a row is logged.
    ///
    /// # Errors
    ///
    /// If no connection can be established within the timeout.
    pub async fn connect(
        &self,
        address: SocketAddr,
        name: &str,
        attempted_at: &mut Instant,
    ) -> Result<RequestSender, DisconnectReason> {
        let connected = self.connect_with_retry(address, name, attempted_at).await;
        match &connected {
            Ok(_) => {
                self.unreachable.borrow_mut().remove(&address);
            }
            Err(reason) => self.record_unreachable(address, name, *reason),
        }
        connected
    }

    /// Opens a connection. While no descriptor is free, closes idle connections and retries until the connect timeout: with
    /// more servers than descriptors, some servers would otherwise never be checked.
    async fn connect_with_retry(
        &self,
        address: SocketAddr,
        name: &str,
        attempted_at: &mut Instant,
    ) -> Result<RequestSender, DisconnectReason> {
        let started_at = Instant::now();
        loop {
            *attempted_at = Instant::now();
            let destination = Destination {
                peer_kind: PeerKind::Server,
                peer_name: name.to_string(),
                address,
            };
            let connected = http::connect(&self.shutdown, destination, self.connect_timeout).await;
            let is_exhausted = matches!(connected, Err(DisconnectReason::ResourcesExhausted));
            if !is_exhausted || started_at.elapsed() >= self.connect_timeout {
                return connected;
            }
            self.release_idle();
            sleep(DESCRIPTOR_RETRY_DELAY).await;
        }
    }

    /// Logs the first failure to connect to a server. Drops servers without recent attempts, such as removed ones.
    fn record_unreachable(&self, address: SocketAddr, name: &str, reason: DisconnectReason) {
        let mut unreachable = self.unreachable.borrow_mut();
        unreachable.retain(|_, attempted_at| attempted_at.elapsed() < UNREACHABLE_RETENTION);
        let is_first_failure = unreachable.insert(address, Instant::now()).is_none();
        if is_first_failure {
            tracing::info!(server = name, %reason, "server refuses connections");
        }
    }
}

#[cfg(test)]
mod tests;
