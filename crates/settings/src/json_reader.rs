//! Typed access to the values of a JSON object.

use chutegrade_policy::{Micros, NO_LIMIT};
use serde_json::Value;

/// Reads values of a JSON object by JSON pointers. A value that is absent or of another type reads as 0, no limit,
/// `false` or the empty string.
pub(crate) struct JsonReader<'a> {
    object: &'a Value,
}

impl<'a> JsonReader<'a> {
    /// Creates a reader of an object.
    pub fn new(object: &'a Value) -> Self {
        JsonReader { object }
    }

    /// Returns a number, or 0.
    pub fn number(&self, path: &str) -> f64 {
        let value = self.object.pointer(path);
        value.and_then(Value::as_f64).unwrap_or(0.0)
    }

    /// Returns a limit, or [`NO_LIMIT`] for a number that is not above 0.
    pub fn limit(&self, path: &str) -> f64 {
        let number = self.number(path);
        if number > 0.0 {
            number
        } else {
            NO_LIMIT
        }
    }

    /// Returns a time that the object has in milliseconds, or 0.
    pub fn milliseconds(&self, path: &str) -> Micros {
        Micros::from_ms(self.number(path))
    }

    /// Returns a Boolean, or `false`.
    pub fn flag(&self, path: &str) -> bool {
        let value = self.object.pointer(path);
        value.and_then(Value::as_bool).unwrap_or(false)
    }

    /// Returns a string, or the empty string.
    pub fn string(&self, path: &str) -> &'a str {
        let value = self.object.pointer(path);
        value.and_then(Value::as_str).unwrap_or("")
    }

    /// Returns the entries of an array, or none.
    pub fn array(&self, path: &str) -> &'a [Value] {
        let value = self.object.pointer(path);
        value.and_then(Value::as_array).map_or(&[], Vec::as_slice)
    }
}
