//! The pending order of one proxy.
//!
//! It contains the newest value for each class and server and the newest sequence number. Changes are merged into it
//! until it is written, so a stream never has more than one pending message.

use std::collections::BTreeMap;
use std::rc::Rc;

use chutegrade_policy::{AdmissionLevel, ServerId};

use crate::names::Names;
use crate::orders::{Order, ServerWeight, TableUpdate};

/// Weights of the servers of one table.
type Weights = BTreeMap<ServerId, f64>;

/// The pending changes of one class.
#[derive(Clone, Debug, Default, PartialEq)]
struct PendingUpdate {
    /// Whether the weights are the complete table rather than changes to it.
    replace: bool,
    weights: Weights,
    admission: Option<AdmissionLevel>,
}

impl PendingUpdate {
    fn changes_table(&self) -> bool {
        self.replace || !self.weights.is_empty()
    }
}

/// Classes with the same pending change.
struct ClassGroup<T> {
    classes: Vec<usize>,
    change: T,
}

/// The pending changes of one stream.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingOrder {
    updates: BTreeMap<usize, PendingUpdate>,
    /// Servers to suspend (`true`) or resume (`false`).
    suspensions: BTreeMap<ServerId, bool>,
    /// Sequence number to acknowledge.
    acknowledge: Option<u16>,
    /// Whether the current batch of actions changed this order.
    changed_in_batch: bool,
}

impl PendingOrder {
    /// Sets the weight of a server in the table of a class; 0 removes it.
    pub fn set_weight(&mut self, class: usize, server: ServerId, weight: f64) {
        self.changed_in_batch = true;
        let pending = self.updates.entry(class).or_default();
        if pending.replace && weight <= 0.0 {
            // A complete table that was not written yet can omit the server.
            pending.weights.remove(&server);
        } else {
            pending.weights.insert(server, weight);
        }
    }

    /// Replaces the table and the admission level of a class.
    pub fn replace_table(
        &mut self,
        class: usize,
        weights: &Weights,
        admission: Option<AdmissionLevel>,
    ) {
        self.changed_in_batch = true;
        let update = PendingUpdate {
            replace: true,
            weights: weights.clone(),
            admission,
        };
        self.updates.insert(class, update);
    }

    /// Sets the admission level of a class.
    pub fn set_admission(&mut self, class: usize, level: AdmissionLevel) {
        self.changed_in_batch = true;
        self.updates.entry(class).or_default().admission = Some(level);
    }

    /// Suspends or resumes a server.
    pub fn set_suspended(&mut self, server: ServerId, suspended: bool) {
        self.changed_in_batch = true;
        self.suspensions.insert(server, suspended);
    }

    /// Counts as changed, so that the acknowledgement request of the current batch includes the proxy.
    pub fn require_message(&mut self) {
        self.changed_in_batch = true;
    }

    /// Requests an acknowledgement with this sequence number.
    pub fn request_acknowledgement(&mut self, sequence: u16) {
        self.acknowledge = Some(sequence);
    }

    /// Returns whether the current batch of actions changed this order, and resets that for the next batch.
    pub fn take_changed_in_batch(&mut self) -> bool {
        std::mem::take(&mut self.changed_in_batch)
    }

    /// Whether the order has a weight or a suspension of a server.
    pub fn references_server(&self, server: ServerId) -> bool {
        if self.suspensions.contains_key(&server) {
            return true;
        }
        let mut updates = self.updates.values();
        updates.any(|update| update.weights.contains_key(&server))
    }

    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.updates.is_empty() && self.suspensions.is_empty() && self.acknowledge.is_none()
    }

    /// Converts the changes to a message with names instead of ids. Classes with equal changes share an update.
    pub fn into_order(self, class_count: usize, names: &Names) -> Order {
        Order {
            updates: self.named_updates(class_count, names),
            suspended: self.named_suspensions(true, names),
            resumed: self.named_suspensions(false, names),
            acknowledge: self.acknowledge,
        }
    }

    /// Returns tables before other admission levels, because a complete table resets the levels at the proxy.
    fn named_updates(&self, class_count: usize, names: &Names) -> Vec<TableUpdate> {
        let mut admissions = self.admission_groups();
        let mut updates = Vec::new();
        for group in self.table_groups() {
            let admission = take_admission_of(&mut admissions, &group.classes);
            updates.push(TableUpdate {
                classes: class_names(&group.classes, class_count, names),
                replace: group.change.replace,
                weights: named_weights(group.change.weights, names),
                admission,
            });
        }
        for group in admissions {
            updates.push(TableUpdate {
                classes: class_names(&group.classes, class_count, names),
                admission: Some(group.change),
                ..TableUpdate::default()
            });
        }
        updates
    }

    fn admission_groups(&self) -> Vec<ClassGroup<AdmissionLevel>> {
        let updates = self.updates.iter();
        group_equal(updates.filter_map(|(class, update)| Some((*class, update.admission?))))
    }

    fn table_groups(&self) -> Vec<ClassGroup<TableChange<'_>>> {
        let changed = self
            .updates
            .iter()
            .filter(|(_, update)| update.changes_table());
        group_equal(changed.map(|(class, update)| (*class, TableChange::from(update))))
    }

    fn named_suspensions(&self, suspended: bool, names: &Names) -> Vec<Rc<str>> {
        self.suspensions
            .iter()
            .filter(|(_, is_suspended)| **is_suspended == suspended)
            .filter_map(|(server, _)| names.server_name(*server))
            .collect()
    }
}

/// The part of a pending update that changes the table.
#[derive(PartialEq)]
struct TableChange<'a> {
    replace: bool,
    weights: &'a Weights,
}

impl<'a> From<&'a PendingUpdate> for TableChange<'a> {
    fn from(update: &'a PendingUpdate) -> Self {
        TableChange {
            replace: update.replace,
            weights: &update.weights,
        }
    }
}

/// Groups classes with equal changes, in the order of each group's first class.
fn group_equal<T: PartialEq>(changes: impl Iterator<Item = (usize, T)>) -> Vec<ClassGroup<T>> {
    let mut groups: Vec<ClassGroup<T>> = Vec::new();
    for (class, change) in changes {
        match groups.iter_mut().find(|group| group.change == change) {
            Some(group) => group.classes.push(class),
            None => groups.push(ClassGroup {
                classes: vec![class],
                change,
            }),
        }
    }
    groups
}

/// Removes and returns the admission level of the group with exactly these classes.
fn take_admission_of(
    admissions: &mut Vec<ClassGroup<AdmissionLevel>>,
    classes: &[usize],
) -> Option<AdmissionLevel> {
    let position = admissions
        .iter()
        .position(|group| group.classes == classes)?;
    Some(admissions.remove(position).change)
}

/// Returns the names of classes; empty if they are all classes.
fn class_names(classes: &[usize], class_count: usize, names: &Names) -> Vec<Rc<str>> {
    if classes.len() == class_count {
        return Vec::new();
    }
    let known = classes.iter().filter_map(|class| names.class_name(*class));
    known.collect()
}

fn named_weights(weights: &Weights, names: &Names) -> Vec<ServerWeight> {
    let named = |(server, weight): (&ServerId, &f64)| {
        Some(ServerWeight::new(names.server_name(*server)?, *weight))
    };
    weights.iter().filter_map(named).collect()
}
