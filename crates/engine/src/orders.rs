//! Orders to proxies, with names instead of ids.

use std::rc::Rc;

use chutegrade_policy::AdmissionLevel;

/// The weight of one server in a table.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerWeight {
    /// Name of the server.
    pub server: Rc<str>,
    /// Weight of the server; 0 removes it from the table.
    pub weight: f64,
}

impl ServerWeight {
    /// Creates the entry of a server.
    pub fn new(server: impl Into<Rc<str>>, weight: f64) -> Self {
        ServerWeight {
            server: server.into(),
            weight,
        }
    }
}

/// One update within an order: the changes of some classes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TableUpdate {
    /// Names of the classes; empty for all classes.
    pub classes: Vec<Rc<str>>,
    /// Whether the weights are the complete table, which also resets the admission levels.
    pub replace: bool,
    /// Changed weights, or the complete table.
    pub weights: Vec<ServerWeight>,
    /// The admission level and retry policy, if they change.
    pub admission: Option<AdmissionLevel>,
}

/// A message to a proxy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Order {
    /// Changes of tables and admission levels, in the order in which the proxy applies them.
    pub updates: Vec<TableUpdate>,
    /// Names of servers to suspend in all tables.
    pub suspended: Vec<Rc<str>>,
    /// Names of servers to resume in all tables.
    pub resumed: Vec<Rc<str>>,
    /// Sequence number to acknowledge; `None` if no acknowledgement is requested.
    pub acknowledge: Option<u16>,
}
