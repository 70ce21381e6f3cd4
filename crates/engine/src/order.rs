//! What is to be written to one proxy: the newest value for each class, line, server and mark. What could not
//! be written yet merges here with what follows, so that a stream never has more than one message waiting.

use std::collections::BTreeMap;
use std::rc::Rc;

use chutegrade_policy::{AdmissionLevel, ServerId};

use crate::names::Names;

/// One part of an order: what it changes for some classes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TableUpdate {
    /// The classes; none: all of them.
    pub classes: Vec<Rc<str>>,
    /// The lines form the whole table, and levels are forgotten.
    pub replace: bool,
    /// Servers and weights; weight 0 takes a line out.
    pub weights: Vec<(Rc<str>, f64)>,
    /// The level and the way of trying again.
    pub admission: Option<AdmissionLevel>,
}

/// One message to one proxy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Order {
    /// Tables and levels, in the order in which they apply.
    pub updates: Vec<TableUpdate>,
    /// Servers to shut out.
    pub suspended: Vec<Rc<str>>,
    /// Servers to let back.
    pub resumed: Vec<Rc<str>>,
    /// A mark to be answered.
    pub acknowledge: Option<u16>,
}

/// What waits for one class of one stream.
#[derive(Clone, Debug, Default, PartialEq)]
struct Pending {
    replace: bool,
    rows: BTreeMap<ServerId, f64>,
    gate: Option<AdmissionLevel>,
}

/// Classes for which the same waits, together.
fn alike<T: PartialEq>(each: impl Iterator<Item = (usize, T)>) -> Vec<(Vec<usize>, T)> {
    let mut together: Vec<(Vec<usize>, T)> = Vec::new();
    for (class, what) in each {
        match together.iter_mut().find(|(_, known)| *known == what) {
            Some((classes, _)) => classes.push(class),
            None => together.push((vec![class], what)),
        }
    }
    together
}

/// What waits for one stream.
#[derive(Clone, Debug, Default)]
pub(crate) struct Draft {
    classes: BTreeMap<usize, Pending>,
    withdrawn: BTreeMap<ServerId, bool>,
    stamp: Option<u16>,
    touched: bool,
}

impl Draft {
    pub fn row(&mut self, class: usize, server: ServerId, weight: f64) {
        self.touched = true;
        let pending = self.classes.entry(class).or_default();
        if pending.replace && weight <= 0.0 {
            // A whole table that was not written yet simply does not name the server.
            pending.rows.remove(&server);
        } else {
            pending.rows.insert(server, weight);
        }
    }

    pub fn replace(
        &mut self,
        class: usize,
        rows: &BTreeMap<ServerId, f64>,
        gate: Option<AdmissionLevel>,
    ) {
        self.touched = true;
        self.classes.insert(
            class,
            Pending {
                replace: true,
                rows: rows.clone(),
                gate,
            },
        );
    }

    pub fn gate(&mut self, class: usize, level: AdmissionLevel) {
        self.touched = true;
        self.classes.entry(class).or_default().gate = Some(level);
    }

    pub fn withdraw(&mut self, server: ServerId, out: bool) {
        self.touched = true;
        self.withdrawn.insert(server, out);
    }

    pub fn stamp(&mut self, mark: u16) {
        self.stamp = Some(mark);
    }

    /// Whether this turn reached the stream; asked once a turn.
    pub fn take_touched(&mut self) -> bool {
        std::mem::take(&mut self.touched)
    }

    /// Whether what waits names the server.
    pub fn mentions(&self, server: ServerId) -> bool {
        let rows = self
            .classes
            .values()
            .any(|pending| pending.rows.contains_key(&server));
        rows || self.withdrawn.contains_key(&server)
    }

    pub fn is_empty(&self) -> bool {
        self.classes.is_empty() && self.withdrawn.is_empty() && self.stamp.is_none()
    }

    /// The message, by names. Classes that change alike share a part; tables come before levels, because a
    /// whole table makes the proxy forget its levels.
    pub fn into_order(self, all: usize, names: &Names) -> Order {
        let pending = self.classes.iter();
        let mut gates = alike(
            pending
                .clone()
                .filter_map(|(class, p)| Some((*class, p.gate?))),
        );
        let changed = pending.filter(|(_, p)| p.replace || !p.rows.is_empty());
        let tables = alike(changed.map(|(class, p)| (*class, (p.replace, &p.rows))));
        let named = |classes: Vec<usize>| {
            if classes.len() == all {
                return Vec::new();
            }
            classes
                .into_iter()
                .filter_map(|class| names.class_name(class))
                .collect()
        };
        let row = |(server, weight): (&ServerId, &f64)| Some((names.name(*server)?, *weight));
        let mut parts: Vec<TableUpdate> = Vec::new();
        for (classes, (replace, rows)) in tables {
            let at = gates.iter().position(|(gated, _)| *gated == classes);
            let gate = at.map(|at| gates.remove(at).1);
            let rows = rows.iter().filter_map(row).collect();
            parts.push(TableUpdate {
                classes: named(classes),
                replace,
                weights: rows,
                admission: gate,
            });
        }
        for (classes, level) in gates {
            parts.push(TableUpdate {
                classes: named(classes),
                admission: Some(level),
                ..TableUpdate::default()
            });
        }
        let list = |out: bool| {
            let those = self.withdrawn.iter().filter(|(_, shut)| **shut == out);
            those
                .filter_map(|(server, _)| names.name(*server))
                .collect()
        };
        Order {
            updates: parts,
            suspended: list(true),
            resumed: list(false),
            acknowledge: self.stamp,
        }
    }
}
