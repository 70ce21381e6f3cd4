//! Times of the settings that the program around the decision module uses.

use serde_json::Value;

/// The least time between two batches of events, in milliseconds; 0 if there is none.
pub fn min_tick_interval_ms(json: &Value) -> f64 {
    positive_number(json, "/tickMs").unwrap_or(0.0)
}

/// The timeout for connecting to a server, in milliseconds, if the settings have one.
pub fn connect_timeout_ms(json: &Value) -> Option<f64> {
    positive_number(json, "/limits/connectTimeoutMs")
}

fn positive_number(json: &Value, path: &str) -> Option<f64> {
    let number = json.pointer(path)?.as_f64()?;
    (number > 0.0).then_some(number)
}
