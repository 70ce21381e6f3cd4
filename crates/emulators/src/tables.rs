//! What a proxy holds by the orders on its stream, applied to the letter of the protocol. An order that the protocol does
//! not allow is a fault of the supervisor, told in words.

use std::collections::{BTreeMap, BTreeSet};

/// The classes that the stand-ins' settings name.
pub const CLASSES: [&str; 2] = ["lookup", "order"];

/// Tables, levels and withdrawals of one proxy.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    /// Weights by class and server.
    pub rows: BTreeMap<String, BTreeMap<String, f64>>,
    /// Servers that are shut out.
    pub suspended: BTreeSet<String>,
    /// Way of trying again by class.
    pub retries: BTreeMap<String, String>,
    /// Admitted share by class.
    pub levels: BTreeMap<String, f64>,
    /// Whole messages applied.
    pub messages: usize,
}

impl Tables {
    /// Servers that may be picked for a class, with their weights.
    pub fn weights(&self, class: &str) -> impl Iterator<Item = (&str, f64)> + Clone {
        let rows = self.rows.get(class).into_iter().flatten();
        let usable =
            rows.filter(|(name, weight)| **weight > 0.0 && !self.suspended.contains(*name));
        usable.map(|(name, weight)| (name.as_str(), *weight))
    }

    /// Servers that may be picked for a class.
    pub fn picks(&self, class: &str) -> Vec<&str> {
        self.weights(class).map(|(name, _)| name).collect()
    }

    /// The share of a class's requests that are let in.
    pub fn level(&self, class: &str) -> f64 {
        self.levels.get(class).copied().unwrap_or(1.0)
    }

    /// Applies one line of an order; the mark to answer, if it carries one.
    pub fn apply(&mut self, line: &str) -> Result<Option<String>, String> {
        let wrong = |what: &str| format!("{what} in {line:?}");
        let mut words = line.split(' ');
        if words.next() != Some("push") {
            return Err(wrong("no order"));
        }
        let words: BTreeMap<&str, &str> = words.filter_map(|word| word.split_once('=')).collect();
        let all = CLASSES.join("+");
        for class in words.get("for").copied().unwrap_or(&all).split('+') {
            if !CLASSES.contains(&class) {
                return Err(wrong("an unknown class"));
            }
            let rows = self.rows.entry(class.to_string()).or_default();
            if words.get("replace") == Some(&"1") {
                rows.clear();
                self.retries.remove(class);
                self.levels.remove(class);
            }
            for row in words
                .get("rows")
                .into_iter()
                .flat_map(|rows| rows.split(','))
            {
                let (name, weight) = row.split_once(':').ok_or_else(|| wrong("no row"))?;
                let weight: f64 = weight.parse().map_err(|_| wrong("no weight"))?;
                if !(weight.is_finite() && weight >= 0.0) {
                    return Err(wrong("a weight that is none"));
                }
                rows.insert(name.to_string(), weight);
            }
            rows.retain(|_, weight| *weight > 0.0);
            match (words.get("gate"), words.get("again")) {
                (Some(gate), Some(retry)) => {
                    let level: f64 = gate.parse().map_err(|_| wrong("no level"))?;
                    self.levels.insert(class.to_string(), level);
                    self.retries.insert(class.to_string(), retry.to_string());
                }
                (None, None) => {}
                _ => return Err(wrong("a level without its way of trying again")),
            }
        }
        let names = |word: &str| {
            words
                .get(word)
                .into_iter()
                .flat_map(|names| names.split(','))
                .map(String::from)
        };
        self.suspended.extend(names("drop"));
        names("undrop").for_each(|name| {
            self.suspended.remove(&name);
        });
        self.messages += usize::from(!words.contains_key("part"));
        Ok(words.get("stamp").map(|mark| mark.to_string()))
    }
}

#[cfg(test)]
mod tests;
