//! Decodes deliveries of discovery: the complete endpoint list, or changes to it.

use std::collections::HashMap;

use chutegrade_engine::{EndpointUpdateKind, Lifecycle, Micros, NamedEndpoint, Report};
use serde::Deserialize;

use crate::protocol::malformed::MalformedMessage;

/// A delivery of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointDelivery {
    /// Version of the list after this delivery.
    pub version: u64,
    /// Whether this is the complete list rather than changes to it.
    pub is_snapshot: bool,
    /// Decoded endpoints, at most one per name.
    pub endpoints: Vec<NamedEndpoint>,
    /// Number of endpoints that could not be decoded.
    pub unreadable: usize,
    /// Names of the endpoints of which only the name could be decoded.
    pub unreadable_names: Vec<String>,
    /// Number of endpoints that were dropped because a later one has the same name.
    pub duplicates: usize,
}

impl EndpointDelivery {
    /// Returns whether this is the complete list and every endpoint could be decoded.
    pub fn is_complete(&self) -> bool {
        self.is_snapshot && self.unreadable == 0
    }
}

/// The endpoint list that was last delivered to an earlier run, which the configuration holds as `known`.
#[derive(Clone, Debug, PartialEq)]
pub struct CachedEndpointList {
    /// Version of the list; 0 if some of its endpoints could not be decoded.
    pub version: u64,
    /// Endpoints of the list that could be decoded.
    pub endpoints: Vec<NamedEndpoint>,
}

impl CachedEndpointList {
    /// Returns the report of the list to the engine.
    pub fn to_report(&self) -> Report {
        Report::EndpointList(EndpointUpdateKind::CachedSnapshot, self.endpoints.clone())
    }
}

/// The JSON form of a delivery.
#[derive(Deserialize)]
struct RawDelivery {
    index: u64,
    snapshot: bool,
    endpoints: Vec<serde_json::Value>,
}

/// The JSON form of an endpoint.
#[derive(Deserialize)]
struct RawEndpoint {
    name: String,
    #[serde(default)]
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "type")]
    machine_kind: String,
    #[serde(default)]
    group: f64,
    status: String,
    #[serde(default = "default_weight")]
    weight: f64,
    #[serde(default)]
    since_ms: f64,
}

fn default_weight() -> f64 {
    1.0
}

/// Decodes a delivery. Valid endpoints are used even if others cannot be decoded, but such a snapshot is not complete: a
/// missing endpoint that could not be decoded must not count as the removal of its server.
///
/// # Errors
///
/// If the text is not the JSON of a delivery.
pub fn decode_delivery(text: &str) -> Result<EndpointDelivery, MalformedMessage> {
    serde_json::from_str::<RawDelivery>(text)
        .map(EndpointDelivery::from)
        .map_err(malformed_list)
}

/// Decodes a delivery that is part of a larger JSON document.
///
/// # Errors
///
/// If the value does not have the form of a delivery.
pub fn decode_delivery_value(
    json: serde_json::Value,
) -> Result<EndpointDelivery, MalformedMessage> {
    serde_json::from_value::<RawDelivery>(json)
        .map(EndpointDelivery::from)
        .map_err(malformed_list)
}

fn malformed_list(error: serde_json::Error) -> MalformedMessage {
    MalformedMessage::EndpointList(error.to_string())
}

impl From<RawDelivery> for EndpointDelivery {
    fn from(raw: RawDelivery) -> Self {
        let mut endpoints = Vec::new();
        let mut unreadable = 0;
        let mut unreadable_names = Vec::new();
        for json in raw.endpoints {
            let name = endpoint_name(&json);
            match decode_endpoint(json) {
                Some(endpoint) => endpoints.push(endpoint),
                None => {
                    unreadable += 1;
                    unreadable_names.extend(name);
                }
            }
        }
        let duplicates = drop_duplicates(&mut endpoints);
        EndpointDelivery {
            version: raw.index,
            is_snapshot: raw.snapshot,
            endpoints,
            unreadable,
            unreadable_names,
            duplicates,
        }
    }
}

/// Keeps the last endpoint of each name, and returns the number of dropped endpoints.
fn drop_duplicates(endpoints: &mut Vec<NamedEndpoint>) -> usize {
    let last_positions: HashMap<String, usize> = endpoints
        .iter()
        .enumerate()
        .map(|(position, endpoint)| (endpoint.name.clone(), position))
        .collect();
    let duplicates = endpoints.len() - last_positions.len();
    if duplicates > 0 {
        let mut position = 0;
        endpoints.retain(|endpoint| {
            let is_last = last_positions.get(&endpoint.name) == Some(&position);
            position += 1;
            is_last
        });
    }
    duplicates
}

/// Returns the name of an endpoint, even if the rest cannot be decoded.
fn endpoint_name(json: &serde_json::Value) -> Option<String> {
    json.get("name")
        .and_then(serde_json::Value::as_str)
        .map(str::to_string)
}

fn decode_endpoint(json: serde_json::Value) -> Option<NamedEndpoint> {
    let raw: RawEndpoint = serde_json::from_value(json).ok()?;
    if !is_encodable_name(&raw.name) {
        return None;
    }
    let numbers = [raw.weight, raw.since_ms, raw.group];
    let are_valid = numbers
        .iter()
        .all(|number| number.is_finite() && *number >= 0.0);
    if !are_valid {
        return None;
    }
    let lifecycle = match raw.status.as_str() {
        "up" => Lifecycle::InService,
        "draining" => Lifecycle::Draining,
        "removed" => Lifecycle::Removed,
        _ => return None,
    };
    let started_at = (raw.since_ms > 0.0).then(|| Micros::from_ms(raw.since_ms));
    Some(NamedEndpoint {
        name: raw.name,
        address: raw.address,
        zone: raw.zone,
        machine_kind: raw.machine_kind,
        cell: raw.group as u32,
        lifecycle,
        weight: raw.weight,
        started_at,
    })
}

/// Returns whether a server's name can be encoded in an order.
fn is_encodable_name(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(is_encodable_byte)
}

fn is_encodable_byte(byte: u8) -> bool {
    let is_separator = matches!(byte, b',' | b':' | b'=');
    byte.is_ascii_graphic() && !is_separator
}

#[cfg(test)]
mod tests;
