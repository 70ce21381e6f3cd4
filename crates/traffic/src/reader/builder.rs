//! Collects parsed requests into [`Traffic`].

use std::collections::HashMap;

use super::line::Request;
use crate::{Arrival, Traffic, TrafficError};

/// Maximum number of classes, and of zones.
const MAX_NAMES: usize = 256;
/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1000.0;

/// Requests in the order of their lines, and the names in them.
#[derive(Default)]
pub(super) struct TrafficBuilder {
    classes: NameTable,
    zones: NameTable,
    /// Numbers of the keys, by first occurrence.
    keys: HashMap<String, u32>,
    /// The requests, without their times, which [`TrafficBuilder::build`] sets.
    arrivals: Vec<Arrival>,
    /// Times of the requests in milliseconds, as in the file.
    times_ms: Vec<f64>,
    /// The latest time so far, in milliseconds.
    latest_ms: f64,
    out_of_order: u64,
}

impl TrafficBuilder {
    /// Returns the number of requests so far.
    pub(super) fn len(&self) -> usize {
        self.arrivals.len()
    }

    /// Adds the request of the next line.
    ///
    /// # Errors
    ///
    /// If there are too many classes or zones.
    pub(super) fn add(&mut self, request: &Request) -> Result<(), TrafficError> {
        let class = self.classes.index_of(request.class, "classes")?;
        let zone = request
            .zone
            .map(|zone| self.zones.index_of(zone, "zones"))
            .transpose()?;
        let key = request.key.map(|key| self.key_number(key));
        self.out_of_order += u64::from(request.at_ms < self.latest_ms);
        self.latest_ms = self.latest_ms.max(request.at_ms);
        self.times_ms.push(request.at_ms);
        self.arrivals.push(Arrival {
            at_us: 0,
            class,
            zone,
            key,
            work_ms: request.work_ms,
        });
        Ok(())
    }

    fn key_number(&mut self, key: &str) -> u32 {
        let next = self.key_count();
        *self.keys.entry(key.to_string()).or_insert(next)
    }

    fn key_count(&self) -> u32 {
        u32::try_from(self.keys.len()).unwrap_or(u32::MAX)
    }

    /// Returns the requests, ordered by their time since the first.
    pub(super) fn build(mut self) -> Traffic {
        let keys = self.key_count();
        let first_ms = self.times_ms.iter().copied().fold(f64::INFINITY, f64::min);
        for (arrival, at_ms) in self.arrivals.iter_mut().zip(&self.times_ms) {
            arrival.at_us = ((at_ms - first_ms) * US_PER_MS).round() as u64;
        }
        // A stable sort: requests at the same time stay in the order of their lines.
        self.arrivals.sort_by_key(|arrival| arrival.at_us);
        Traffic {
            classes: self.classes.names,
            zones: self.zones.names,
            arrivals: self.arrivals,
            keys,
            out_of_order: self.out_of_order,
        }
    }
}

/// Names with their indices, by first occurrence.
#[derive(Default)]
struct NameTable {
    names: Vec<String>,
    indices: HashMap<String, u16>,
}

impl NameTable {
    /// Returns the index of a name, which is added if it is new. `items` is what the names identify, for errors.
    fn index_of(&mut self, name: &str, items: &'static str) -> Result<u16, TrafficError> {
        if let Some(index) = self.indices.get(name) {
            return Ok(*index);
        }
        let too_many = TrafficError::TooMany {
            limit: MAX_NAMES,
            items,
        };
        if self.names.len() >= MAX_NAMES {
            return Err(too_many);
        }
        let index = u16::try_from(self.names.len()).map_err(|_| too_many)?;
        self.names.push(name.to_string());
        self.indices.insert(name.to_string(), index);
        Ok(index)
    }
}
