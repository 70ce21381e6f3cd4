//! Tables of an emulated proxy, updated by the orders on its stream exactly as the protocol requires. An order that
//! violates the protocol is a fault of the supervisor and is returned as an error.

use std::collections::{BTreeMap, BTreeSet};

/// Classes in the settings of the emulated deployment.
pub const CLASSES: [&str; 2] = ["lookup", "order"];

/// Tables, admission levels and suspended servers of one proxy.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    /// Weights by class and server.
    pub rows: BTreeMap<String, BTreeMap<String, f64>>,
    /// Servers that must not be picked.
    pub suspended: BTreeSet<String>,
    /// Retry policy by class, as in the order.
    pub retries: BTreeMap<String, String>,
    /// Admission level by class: the admitted share of requests.
    pub levels: BTreeMap<String, f64>,
    /// Number of complete messages applied.
    pub messages: usize,
}

impl Tables {
    /// Returns the servers that may be picked for a class, with their weights.
    pub fn weights(&self, class: &str) -> impl Iterator<Item = (&str, f64)> + Clone {
        let rows = self.rows.get(class).into_iter().flatten();
        let usable =
            rows.filter(|(name, weight)| **weight > 0.0 && !self.suspended.contains(*name));
        usable.map(|(name, weight)| (name.as_str(), *weight))
    }

    /// Returns the servers that may be picked for a class.
    pub fn picks(&self, class: &str) -> Vec<&str> {
        self.weights(class).map(|(name, _)| name).collect()
    }

    /// Returns the admission level of a class; 1 if none was ordered.
    pub fn level(&self, class: &str) -> f64 {
        self.levels.get(class).copied().unwrap_or(1.0)
    }

    /// Applies one line of an order; returns the sequence number to acknowledge, if it has one.
    pub fn apply(&mut self, line: &str) -> Result<Option<String>, String> {
        let error = |problem: &str| format!("{problem} in {line:?}");
        let mut tokens = line.split(' ');
        if tokens.next() != Some("push") {
            return Err(error("not an order"));
        }
        let fields: BTreeMap<&str, &str> =
            tokens.filter_map(|token| token.split_once('=')).collect();
        let all_classes = CLASSES.join("+");
        for class in fields
            .get("for")
            .copied()
            .unwrap_or(&all_classes)
            .split('+')
        {
            if !CLASSES.contains(&class) {
                return Err(error("unknown class"));
            }
            let rows = self.rows.entry(class.to_string()).or_default();
            if fields.get("replace") == Some(&"1") {
                rows.clear();
                self.retries.remove(class);
                self.levels.remove(class);
            }
            for row in fields
                .get("rows")
                .into_iter()
                .flat_map(|rows| rows.split(','))
            {
                let (name, weight) = row
                    .split_once(':')
                    .ok_or_else(|| error("row without weight"))?;
                let weight: f64 = weight.parse().map_err(|_| error("malformed weight"))?;
                if !(weight.is_finite() && weight >= 0.0) {
                    return Err(error("negative or non-finite weight"));
                }
                rows.insert(name.to_string(), weight);
            }
            rows.retain(|_, weight| *weight > 0.0);
            match (fields.get("gate"), fields.get("again")) {
                (Some(gate), Some(retry)) => {
                    let level: f64 = gate
                        .parse()
                        .map_err(|_| error("malformed admission level"))?;
                    self.levels.insert(class.to_string(), level);
                    self.retries.insert(class.to_string(), retry.to_string());
                }
                (None, None) => {}
                _ => return Err(error("admission level without retry policy or the reverse")),
            }
        }
        let names = |field: &str| {
            fields
                .get(field)
                .into_iter()
                .flat_map(|names| names.split(','))
                .map(String::from)
        };
        self.suspended.extend(names("drop"));
        names("undrop").for_each(|name| {
            self.suspended.remove(&name);
        });
        self.messages += usize::from(!fields.contains_key("part"));
        Ok(fields.get("stamp").map(|sequence| sequence.to_string()))
    }
}

#[cfg(test)]
mod tests;
