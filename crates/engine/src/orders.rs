//! Orders to proxies, by names.

use std::rc::Rc;

use chutegrade_policy::AdmissionLevel;

/// The weight of one server in a table.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerWeight {
    /// Name of the server.
    pub server: Rc<str>,
    /// Its weight; 0 removes the server from the table.
    pub weight: f64,
}

impl ServerWeight {
    /// The weight of a server, by its name.
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
    /// Names of the classes; none stands for all classes.
    pub classes: Vec<Rc<str>>,
    /// Whether the weights form the complete table, which also resets the admission levels.
    pub replace: bool,
    /// Changed weights, or the complete table.
    pub weights: Vec<ServerWeight>,
    /// The admission level and retry policy, if they change.
    pub admission: Option<AdmissionLevel>,
}

/// One message to one proxy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Order {
    /// Tables and admission levels, in the order in which they apply.
    pub updates: Vec<TableUpdate>,
    /// Names of servers to suspend in all tables.
    pub suspended: Vec<Rc<str>>,
    /// Names of servers to use again.
    pub resumed: Vec<Rc<str>>,
    /// Sequence number to acknowledge.
    pub acknowledge: Option<u16>,
}
