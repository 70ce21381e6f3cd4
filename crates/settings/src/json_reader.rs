//! Typed access to the values of a JSON object by path.

use chutegrade_policy::{Micros, NO_LIMIT};
use serde_json::Value;

/// Reads values of a JSON object by their JSON pointers. A value that is absent or of another type reads as 0, no
/// limit, `false` or the empty text.
pub(crate) struct JsonReader<'a> {
    object: &'a Value,
}

impl<'a> JsonReader<'a> {
    /// A reader of an object.
    pub fn new(object: &'a Value) -> Self {
        JsonReader { object }
    }

    /// A number.
    pub fn number(&self, path: &str) -> f64 {
        let value = self.object.pointer(path);
        value.and_then(Value::as_f64).unwrap_or(0.0)
    }

    /// A limit; numbers that are not above 0 stand for no limit.
    pub fn limit(&self, path: &str) -> f64 {
        let number = self.number(path);
        if number > 0.0 {
            number
        } else {
            NO_LIMIT
        }
    }

    /// A time in milliseconds.
    pub fn milliseconds(&self, path: &str) -> Micros {
        Micros::from_ms(self.number(path))
    }

    /// A Boolean.
    pub fn flag(&self, path: &str) -> bool {
        let value = self.object.pointer(path);
        value.and_then(Value::as_bool).unwrap_or(false)
    }

    /// A text.
    pub fn text(&self, path: &str) -> &'a str {
        let value = self.object.pointer(path);
        value.and_then(Value::as_str).unwrap_or("")
    }

    /// The entries of an array.
    pub fn array(&self, path: &str) -> &'a [Value] {
        let value = self.object.pointer(path);
        value.and_then(Value::as_array).map_or(&[], Vec::as_slice)
    }
}
