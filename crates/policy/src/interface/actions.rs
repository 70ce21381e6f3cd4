//! Actions: what an instance orders.

use super::{ClassSet, DecisionEvent, Micros, ProxyId, Retry, ServerId, TableId};

/// What proxies do with the requests of a class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionLevel {
    /// The admitted share or rate, by [`Settings::admission_unit`](super::Settings::admission_unit).
    pub level: f64,
    /// When proxies retry.
    pub retry: Retry,
}

/// An order that the decisions give.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sets the weight of a server in a table; weight 0 removes the server.
    SetWeight {
        /// The table.
        table: TableId,
        /// The server.
        server: ServerId,
        /// The weight.
        weight: f64,
    },
    /// Removes all weights and levels of a table.
    ClearTable(TableId),
    /// Assigns a table to a joined proxy, for some classes.
    AssignTable {
        /// The proxy.
        proxy: ProxyId,
        /// The table.
        table: TableId,
        /// The classes.
        classes: ClassSet,
    },
    /// Suspends a server in all tables of the joined proxies, or ends its suspension. A proxy without a table of this
    /// instance may learn of it with its first one.
    SetSuspended {
        /// The server.
        server: ServerId,
        /// Whether the server is suspended.
        suspended: bool,
    },
    /// Sets the level and retry policy of classes in a table, or for all joined proxies if no table is named.
    SetAdmission {
        /// The table; none: all joined proxies.
        table: Option<TableId>,
        /// The classes.
        classes: ClassSet,
        /// The level.
        level: f64,
        /// The retry policy.
        retry: Retry,
    },
    /// Asks each proxy that this round's orders reach for an acknowledgement.
    RequestAcknowledgement {
        /// The sequence number to echo.
        sequence: u16,
        /// Ask all joined proxies.
        all_proxies: bool,
    },
    /// Starts a health check of a server.
    HealthCheck(ServerId),
    /// Subscribes to changes of the endpoint list, or unsubscribes.
    SubscribeEndpoints(bool),
    /// Fetches the complete endpoint list once.
    FetchEndpoints,
    /// Starts a timer.
    SetTimer {
        /// The number that the timer event carries.
        id: u32,
        /// Time until it is due.
        delay: Micros,
    },
    /// Sends a message to another instance, or to all.
    SendToPeer {
        /// The receiver; none: all instances.
        peer: Option<u32>,
        /// The payload.
        data: Vec<u8>,
    },
    /// Notifies a joined proxy, for each server in its tables, whether the server is suspended, since the proxy may hold
    /// suspensions of another instance. Its first table covers those servers only that this instance saw leave.
    Reconcile(ProxyId),
    /// A server left long ago and no table names it: its state can be dropped. It may be listed again, as a new one.
    DropServerState(ServerId),
    /// Reports a decision; nothing follows from it.
    Emit(DecisionEvent),
}
