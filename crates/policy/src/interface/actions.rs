//! Actions: the orders that an instance gives.

use super::{ClassSet, DecisionEvent, Micros, ProxyId, Retry, ServerId, TableId};

/// How proxies admit and retry the requests of a class.
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
        /// The table to change.
        table: TableId,
        /// The server to add, update or remove.
        server: ServerId,
        /// Relative to the other weights of the table, at least 0.
        weight: f64,
    },
    /// Removes all weights and levels of a table.
    ClearTable(TableId),
    /// Assigns a table to a joined proxy, for some classes.
    AssignTable {
        /// The joined proxy that gets the table.
        proxy: ProxyId,
        /// The table to use from now on.
        table: TableId,
        /// The classes whose requests the proxy routes by this table.
        classes: ClassSet,
    },
    /// Suspends a server in all tables of the joined proxies, or ends its suspension. A proxy without a table of this
    /// instance may be notified with its first table.
    SetSuspended {
        /// The server to suspend or to resume.
        server: ServerId,
        /// Whether the server is suspended.
        suspended: bool,
    },
    /// Sets the level and retry policy of classes in a table, or for all joined proxies if no table is named.
    SetAdmission {
        /// The table; absent for all joined proxies.
        table: Option<TableId>,
        /// The classes that the level applies to.
        classes: ClassSet,
        /// The admitted share or rate, by [`Settings::admission_unit`](super::Settings::admission_unit).
        level: f64,
        /// The retry policy.
        retry: Retry,
    },
    /// Requests an acknowledgement from each proxy that this round's orders reach.
    RequestAcknowledgement {
        /// The sequence number to echo.
        sequence: u16,
        /// Whether to request it from all joined proxies.
        all_proxies: bool,
    },
    /// Sends a joined proxy a message in any case, so that the acknowledgement request reaches it.
    CheckLiveness(ProxyId),
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
        /// The receiver; absent for all instances.
        peer: Option<u32>,
        /// The payload.
        data: Vec<u8>,
    },
    /// Sends a joined proxy the suspension state of each server in its tables, since the proxy may hold suspensions of
    /// another instance. Its first table covers only the servers that left service while this instance listed them.
    Reconcile(ProxyId),
    /// Allows the state of a server to be dropped: it was removed long ago and no table contains it. If it is listed
    /// again, it counts as a new server.
    DropServerState(ServerId),
    /// Reports a decision; has no other effect.
    Emit(DecisionEvent),
}
