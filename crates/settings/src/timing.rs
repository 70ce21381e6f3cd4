//! Times in the settings that the host of the decision module uses.

use serde_json::Value;

/// Returns the least time between two batches of events, in milliseconds; 0 if it is not set or not above 0.
pub fn min_tick_interval_ms(json: &Value) -> f64 {
    positive_number(json, "/tickMs").unwrap_or(0.0)
}

/// Returns the timeout for connecting to a server, in milliseconds; `None` if it is not set or not above 0.
pub fn connect_timeout_ms(json: &Value) -> Option<f64> {
    positive_number(json, "/limits/connectTimeoutMs")
}

fn positive_number(json: &Value, path: &str) -> Option<f64> {
    let number = json.pointer(path)?.as_f64()?;
    (number > 0.0).then_some(number)
}
